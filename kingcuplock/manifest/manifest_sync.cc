#include "kingcuplock/manifest/manifest_sync.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Interval in ms between two refreshes by any of the live instances. Each
/// refreshes at this times their number, so the store's load does not grow
/// with them.
constexpr Milliseconds kSharedRefresh{500};
/// Time in ms for which a peer's answer is awaited before another is asked.
constexpr Milliseconds kOfferWait{500};

}  // namespace

ManifestSync::ManifestSync(ManifestSyncOptions names,
                           TimerService& timers,
                           StoreClient& store,
                           Outbox& outbox,
                           ManifestSyncCallbacks ports,
                           ManifestRules rules)
    : names_(std::move(names)),
      timers_(timers),
      store_(store),
      ports_(std::move(ports)),
      keeper_(
          names_.deployment,
          outbox,
          [this](const Manifest& previous) {
            ports_.on_manifest_changed(previous);
          },
          rules) {}

void ManifestSync::Start() {
  store_.Watch(names_.key, [this](const StoreItem& item, bool deleted) {
    if (!deleted && item.key == names_.key) {
      keeper_.ApplyIfNewer(item.value, "watch");
    }
  });
  ScheduleRefresh();
}

void ManifestSync::ScheduleRefresh() {
  const auto count =
      std::max<std::size_t>(ports_.list_live_instances().size(), 1);
  timers_.After(kSharedRefresh * static_cast<int>(count), [this] {
    if (!refreshing_) {
      Refresh();
    }
    ScheduleRefresh();
  });
}

void ManifestSync::Refresh() {
  refreshing_ = true;
  StoreCall call;
  call.op = StoreOp::kGet;
  call.key = names_.key;
  store_.Call(std::move(call), [this](const StoreAnswer* answer) {
    refreshing_ = false;
    if (answer != nullptr && !answer->items.empty()) {
      keeper_.ApplyIfNewer(answer->items.front().value, "refresh");
    }
  });
}

void ManifestSync::OnHeartbeat(const Heartbeat& heartbeat,
                               const std::function<void(ManifestWanted)>& ask) {
  keeper_.NotePeerManifest(heartbeat.instance, heartbeat.manifest_version,
                           heartbeat.manifest_hash);
  const auto newer = heartbeat.manifest_version > keeper_.version();
  if (newer && timers_.Now() >= asked_until_) {
    asked_until_ = timers_.Now() + kOfferWait;
    ask(ManifestWanted{names_.self});
  }
}

void ManifestSync::OnOffer(const ManifestOffer& offer,
                           const std::string& peer) {
  asked_until_ = Time{};
  if (!offer.text.empty()) {
    keeper_.ApplyIfNewer(offer.text, peer);
  }
}

}  // namespace kingcuplock

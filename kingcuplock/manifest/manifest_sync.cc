#include "kingcuplock/manifest/manifest_sync.h"

#include <algorithm>
#include <utility>

namespace kingcuplock {
namespace {

/// Average interval in ms between two refreshes by any live instance. Each
/// instance refreshes at this interval times the number of live instances, so
/// that the load on the store does not grow with their number.
constexpr Milliseconds kSharedRefreshInterval{500};
/// Time in ms for which an offer is awaited before another peer is asked.
constexpr Milliseconds kOfferTimeout{500};

}  // namespace

ManifestSync::ManifestSync(ManifestSyncOptions options,
                           TimerService& timers,
                           StoreClient& store,
                           Outbox& outbox,
                           ManifestSyncCallbacks callbacks,
                           ManifestRules rules)
    : options_(std::move(options)),
      timers_(timers),
      store_(store),
      callbacks_(std::move(callbacks)),
      active_manifest_(
          options_.deployment,
          outbox,
          [this](const Manifest& previous) {
            callbacks_.on_manifest_changed(previous);
          },
          rules) {}

void ManifestSync::Start() {
  store_.Watch(options_.key, [this](const StoreItem& item, bool deleted) {
    if (!deleted && item.key == options_.key) {
      active_manifest_.ApplyIfNewer(item.value, "watch");
    }
  });
  ScheduleRefresh();
}

void ManifestSync::ScheduleRefresh() {
  const auto count =
      std::max<std::size_t>(callbacks_.list_live_instances().size(), 1);
  timers_.After(kSharedRefreshInterval * static_cast<int>(count), [this] {
    if (!refresh_in_flight_) {
      Refresh();
    }
    ScheduleRefresh();
  });
}

void ManifestSync::Refresh() {
  refresh_in_flight_ = true;
  StoreCall call;
  call.op = StoreOp::kGet;
  call.key = options_.key;
  store_.Call(std::move(call), [this](const StoreAnswer* answer) {
    refresh_in_flight_ = false;
    if (answer != nullptr && !answer->items.empty()) {
      active_manifest_.ApplyIfNewer(answer->items.front().value, "refresh");
    }
  });
}

void ManifestSync::OnHeartbeat(
    const Heartbeat& heartbeat,
    const std::function<void(ManifestWanted)>& send_request) {
  active_manifest_.NotePeerManifest(
      heartbeat.instance, heartbeat.manifest_version, heartbeat.manifest_hash);
  const auto newer = heartbeat.manifest_version > active_manifest_.version();
  if (newer && timers_.Now() >= offer_awaited_until_) {
    offer_awaited_until_ = timers_.Now() + kOfferTimeout;
    send_request(ManifestWanted{options_.own_instance});
  }
}

void ManifestSync::OnOffer(const ManifestOffer& offer,
                           const std::string& peer) {
  offer_awaited_until_ = Time{};
  if (!offer.text.empty()) {
    active_manifest_.ApplyIfNewer(offer.text, peer);
  }
}

}  // namespace kingcuplock

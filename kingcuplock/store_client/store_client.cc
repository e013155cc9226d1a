#include "kingcuplock/store_client/store_client.h"

#include <utility>

namespace kingcuplock {
namespace {

/// Delay in ms before a lost connection is opened again.
constexpr int kReconnectDelayMs = 100;
/// Time in ms after which an attempt to open the connection is given up.
constexpr int kConnectTimeoutMs = 500;
/// Delay before a call that the service rejected as unavailable is called back,
/// so that callers that retry at once do not add to an overload of the service.
constexpr Milliseconds kRejectedCallDelay{200};

}  // namespace

StoreClient::StoreClient(Address address,
                         TimingSettings timing,
                         TimerService& timers,
                         Outbox& outbox)
    : address_(std::move(address)),
      timing_(timing),
      timers_(timers),
      outbox_(outbox) {}

void StoreClient::Start() {
  Connect();
}

void StoreClient::Connect() {
  open_ = false;
  connection_ = outbox_.Open(ConnectionKind::kStore, address_.host,
                             address_.port, kConnectTimeoutMs);
}

void StoreClient::SubscribeToNewEra(std::function<void()> callback) {
  era_subscribers_.push_back(std::move(callback));
}

void StoreClient::BeginNewEra() {
  era_ = 0;
  era_known_since_.reset();
  DiscardVersions();
}

// Returns false if the reply is from an earlier era than the latest.
auto StoreClient::NoteEra(const StoreReply& reply) -> bool {
  const auto era = std::visit([](const auto& it) { return it.era; }, reply);
  if (era < era_) {
    return false;
  }
  const auto is_new = era > era_ && era_known_since_;
  era_ = era;
  if (!era_known_since_ || is_new) {
    era_known_since_ = timers_.Now();
  }
  if (is_new) {
    DiscardVersions();
  }
  return true;
}

// Subscribers come first, so that the callbacks of ended calls find them in the
// new era.
void StoreClient::DiscardVersions() {
  ++era_change_count_;
  for (auto& watch : watches_) {
    for (auto& [key, version] : watch.versions) {
      version = 0;
    }
  }
  auto ended = std::exchange(calls_, {});
  for (const auto& it : era_subscribers_) {
    it();
  }
  for (auto& [id, call] : ended) {
    timers_.Cancel(call.timer);
    call.callback(nullptr);
  }
  if (open_) {
    for (std::size_t n = 0; n < watches_.size(); ++n) {
      SendWatch(n);
    }
  }
}

void StoreClient::Call(StoreCall call, Callback callback) {
  call.id = ++last_call_id_;
  const auto id = call.id;
  const auto timer = timers_.After(Milliseconds(timing_.store_timeout_ms),
                                   [this, id] { OnCallTimeout(id); });
  auto& entry = calls_[id];
  entry.callback = std::move(callback);
  entry.timer = timer;
  if (open_) {
    outbox_.Send(connection_, std::move(call));
  } else {
    entry.unsent = std::move(call);
  }
}

void StoreClient::Watch(std::string prefix, WatchCallback callback) {
  watches_.push_back({std::move(prefix), std::move(callback), false, {}});
  if (open_) {
    SendWatch(watches_.size() - 1);
  }
}

void StoreClient::SendWatch(std::size_t index) {
  if (std::exchange(watches_[index].pending, true)) {
    return;
  }
  StoreCall call;
  call.op = StoreOp::kWatch;
  call.key = watches_[index].prefix;
  Call(std::move(call), [this, index](const StoreAnswer* answer) {
    OnWatchAnswer(index, answer);
  });
}

void StoreClient::OnWatchAnswer(std::size_t index, const StoreAnswer* answer) {
  watches_[index].pending = false;
  if (answer == nullptr) {
    if (open_) {
      SendWatch(index);
    }
    return;
  }
  auto& watch = watches_[index];
  std::map<std::string, std::int64_t> deleted_versions = watch.versions;
  for (const auto& it : answer->items) {
    deleted_versions.erase(it.key);
    NotifyWatcher(watch, it, false);
  }
  for (const auto& [key, version] : deleted_versions) {
    NotifyWatcher(watch, {key, "", version + 1}, true);
  }
}

void StoreClient::NotifyWatcher(WatchedPrefix& watch,
                                const StoreItem& item,
                                bool deleted) {
  auto& known = watch.versions[item.key];
  if (item.version <= known) {
    return;
  }
  known = item.version;
  if (deleted) {
    watch.versions.erase(item.key);
  }
  watch.callback(item, deleted);
}

auto StoreClient::OnOpened(ConnectionId connection) -> bool {
  if (connection != connection_) {
    return false;
  }
  open_ = true;
  last_heard_ = timers_.Now();
  for (auto& [id, call] : calls_) {
    if (call.unsent) {
      outbox_.Send(connection_, *std::exchange(call.unsent, std::nullopt));
    }
  }
  for (std::size_t n = 0; n < watches_.size(); ++n) {
    SendWatch(n);
  }
  return true;
}

auto StoreClient::OnClosed(ConnectionId connection) -> bool {
  if (connection != connection_) {
    return false;
  }
  open_ = false;
  SetReachable(false);
  for (auto& [id, call] : std::exchange(calls_, {})) {
    timers_.Cancel(call.timer);
    call.callback(nullptr);
  }
  timers_.After(Milliseconds(kReconnectDelayMs), [this] { Connect(); });
  return true;
}

auto StoreClient::OnReply(ConnectionId connection, const StoreReply& reply)
    -> bool {
  if (connection != connection_) {
    return false;
  }
  last_heard_ = timers_.Now();
  if (!NoteEra(reply)) {
    return true;
  }
  const auto* answer = std::get_if<StoreAnswer>(&reply);
  const auto rejected =
      answer != nullptr && answer->status == StoreStatus::kUnavailable;
  SetReachable(!rejected);
  if (rejected) {
    OnCallRejected(answer->id);
    return true;
  }
  if (answer != nullptr) {
    OnAnswer(*answer);
    return true;
  }
  const auto& event = std::get<StoreEvent>(reply);
  for (auto& it : watches_) {
    if (event.item.key.starts_with(it.prefix)) {
      NotifyWatcher(it, event.item, event.deleted);
    }
  }
  return true;
}

void StoreClient::OnAnswer(const StoreAnswer& answer) {
  auto node = calls_.extract(answer.id);
  if (node.empty()) {
    return;
  }
  timers_.Cancel(node.mapped().timer);
  node.mapped().callback(&answer);
}

void StoreClient::OnCallRejected(std::int64_t id) {
  auto node = calls_.extract(id);
  if (node.empty()) {
    return;
  }
  timers_.Cancel(node.mapped().timer);
  timers_.After(kRejectedCallDelay,
                [callback = node.mapped().callback] { callback(nullptr); });
}

void StoreClient::OnCallTimeout(std::int64_t id) {
  SetReachable(false);
  auto node = calls_.extract(id);
  if (!node.empty()) {
    node.mapped().callback(nullptr);
  }
  CloseIfSilent();
}

void StoreClient::CloseIfSilent() {
  const auto silence = timers_.Now() - last_heard_;
  if (open_ && silence >= Milliseconds(timing_.store_timeout_ms)) {
    open_ = false;
    outbox_.Close(connection_);
  }
}

void StoreClient::SetReachable(bool reachable) {
  if (std::exchange(reachable_, reachable) != reachable) {
    outbox_.Log(
        reachable ? Event::kStoreUp : Event::kStoreDown,
        {{"host", address_.host}, {"port", std::to_string(address_.port)}});
  }
}

}  // namespace kingcuplock

#include <algorithm>
#include <utility>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/node/node.h"
#include "kingcuplock/routing/rendezvous.h"

namespace kingcuplock {
namespace {

/// Interval in ms at which a planned stop looks whether it is complete.
constexpr Milliseconds kStopPoll{20};
/// Quiet time in ms after which a stopping instance ends.
constexpr Milliseconds kStopQuiet{300};
/// Part of the time for a planned stop, in percent, after which new requests
/// are refused, so that those at hand are answered before the end.
constexpr int kServeWhileLeavingPercent = 70;
/// Longest time in ms for which an owner drains before it is replaced. What
/// runs then is resolved by its successor under the same request id.
constexpr Milliseconds kOwnerDrain{1000};
/// Pause in ms before a change of an owner is tried again.
constexpr Milliseconds kOwnerRetry{50};

/// Returns the part of a configuration that an owner is built from. Kinds are
/// looked up with each request.
auto OwnerPart(DatabaseConfig config) -> DatabaseConfig {
  config.kinds.clear();
  return config;
}

}  // namespace

// -------------------------------------------------- change of configuration

void Node::OnManifestChanged(const Manifest& previous) {
  counters_.SetManifest(manifests().manifest());
  std::vector<std::string> names;
  for (const auto& it : manifests().manifest().databases) {
    names.push_back(it.name);
  }
  ownership_.SetDatabases(names);
  std::vector<std::string> owned;
  for (const auto& [name, owner] : owners_) {
    owned.push_back(name);
  }
  for (const auto& name : owned) {
    const auto* now = FindDatabase(manifests().manifest(), name);
    const auto* before = FindDatabase(previous, name);
    const auto same = now != nullptr && before != nullptr &&
                      OwnerPart(*now) == OwnerPart(*before);
    if (!same) {
      Reconfigure(name);
    }
  }
  for (const auto& it : names) {
    ownership_.EvaluateTakeover(it);
  }
}

void Node::Reconfigure(const std::string& database) {
  if (!leaving_ && reconfiguring_.insert(database).second) {
    TryReconfigure(database);
  }
}

// The epoch is raised while the owner still serves, so that an outage of the
// store finds either the old or the new one whole.
void Node::TryReconfigure(const std::string& database) {
  if (leaving_ || !owners_.contains(database)) {
    reconfiguring_.erase(database);
    return;
  }
  if (!ownership_.LeaseIsValid()) {
    timers_.After(kOwnerRetry, [this, database] { TryReconfigure(database); });
    return;
  }
  if (FindDatabase(manifests().manifest(), database) == nullptr) {
    reconfiguring_.erase(database);
    DrainOwner(database, [this, database] { ReleaseOwned(database); });
    return;
  }
  ownership_.RaiseEpoch(database, [this, database](bool raised) {
    if (!raised) {
      reconfiguring_.erase(database);
      return;
    }
    DrainOwner(database, [this, database] { RestartOwner(database); });
  });
}

void Node::RestartOwner(const std::string& database) {
  if (!ownership_.Owns(database) || leaving_) {
    reconfiguring_.erase(database);
    return;
  }
  if (ownership_.IsWritingRecord(database)) {
    timers_.After(kOwnerRetry, [this, database] { RestartOwner(database); });
    return;
  }
  reconfiguring_.erase(database);
  Retire(database);
  outbox_.Log(Event::kDatabaseReconfigured,
              {{"database", database},
               {"version", std::to_string(manifests().version())}});
  StartOwner(database, *ownership_.RecordOf(database));
  entry_.OnOwnerChanged(database);
}

void Node::DrainOwner(const std::string& database, std::function<void()> done) {
  const auto once = [done = std::move(done),
                     called = std::make_shared<bool>(false)] {
    if (!std::exchange(*called, true)) {
      done();
    }
  };
  timers_.After(kOwnerDrain, once);
  owners_.at(database)->Drain(once);
}

void Node::Retire(const std::string& database) {
  auto node = owners_.extract(database);
  if (node.empty()) {
    return;
  }
  node.mapped()->Stop();
  // The end may be reported from within a callback of this owner.
  retired_owners_.push_back(std::move(node.mapped()));
  timers_.After(Duration::zero(), [this] { retired_owners_.clear(); });
}

// ------------------------------------------------------------ planned stop

void Node::BeginStop() {
  if (std::exchange(leaving_, true)) {
    return;
  }
  outbox_.Log(Event::kProxyStopping, {{"instance", settings_.instance}});
  stop_began_ = timers_.Now();
  last_busy_ = timers_.Now();
  ownership_.StopAcquiring();
  entry_.SetLeaving();
  // Peers leave this instance out of the succession from now on.
  peers_.SendHeartbeats();
  std::vector<std::string> owned;
  for (const auto& [name, owner] : owners_) {
    owned.push_back(name);
  }
  for (const auto& it : owned) {
    DrainOwner(it, [this, it] { ReleaseOwned(it); });
  }
  StopWhenIdle();
}

void Node::ReleaseOwned(const std::string& database) {
  const auto* record = ownership_.RecordOf(database);
  const auto epoch = record == nullptr ? 0 : record->epoch;
  ownership_.Release(database, [this, database, epoch](bool released) {
    if (released) {
      outbox_.Log(Event::kOwnerReleased, {{"database", database}});
      NotifySuccessor(database, epoch);
    } else if (ownership_.Owns(database)) {
      // Another write of the record is under way.
      timers_.After(kOwnerRetry, [this, database] { ReleaseOwned(database); });
    }
  });
}

void Node::NotifySuccessor(const std::string& database, std::int64_t epoch) {
  if (FindDatabase(manifests().manifest(), database) == nullptr) {
    return;
  }
  auto live = peers_.LiveInstances();
  std::erase(live, settings_.instance);
  const auto order = RendezvousOrder(database, live);
  if (!order.empty()) {
    peers_.Send(order.front(), HandOver{database, epoch});
  }
}

void Node::StopWhenIdle() {
  const auto now = timers_.Now();
  const auto limit = Milliseconds(settings_.timing.drain_ms);
  if (entry_.CountPendingRequests() > 0 || !owners_.empty()) {
    last_busy_ = now;
  }
  last_busy_ = std::max(last_busy_, entry_.LastRequestTime());
  if (now - stop_began_ >= limit * kServeWhileLeavingPercent / 100) {
    entry_.RefuseNewRequests();
  }
  if (now - stop_began_ >= limit) {
    entry_.AnswerAllPendingRequests(ErrorKind::kLeaving);
  }
  if (now - last_busy_ >= kStopQuiet || now - stop_began_ >= limit) {
    entry_.RefuseNewRequests();
    ownership_.RevokeLease();
    outbox_.CompleteStop();
    return;
  }
  timers_.After(kStopPoll, [this] { StopWhenIdle(); });
}

}  // namespace kingcuplock

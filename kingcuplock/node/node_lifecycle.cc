#include <algorithm>
#include <utility>

#include "kingcuplock/admission/planned_stop.h"
#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/node/node.h"
#include "kingcuplock/routing/rendezvous.h"

namespace kingcuplock {
namespace {

/// Interval in ms at which a planned stop checks whether it is complete.
constexpr Milliseconds kStopPollInterval{20};
/// Time in ms without requests or owned databases after which a planned stop
/// completes.
constexpr Milliseconds kStopQuietPeriod{300};
/// New requests are refused so early that pending requests are answered before
/// the end.
constexpr PlannedStopTimes kStopTimes{.refuse_new_percent = 70};
/// Longest time in ms for which an owner drains before it is replaced. The
/// successor resolves requests that still run then, by their request ids.
constexpr Milliseconds kOwnerDrainTimeout{1000};
/// Delay in ms before a change of an owner is retried.
constexpr Milliseconds kOwnerChangeRetryDelay{50};

/// Returns the part of a configuration that an owner is built from. Kinds are
/// not part of it, because they are looked up for each request.
auto WithoutKinds(DatabaseConfig config) -> DatabaseConfig {
  config.kinds.clear();
  return config;
}

}  // namespace

// -------------------------------------------------- change of configuration

void Node::OnManifestChanged(const Manifest& previous) {
  request_counters_.SetManifest(active_manifest().manifest());
  std::vector<std::string> names;
  for (const auto& it : active_manifest().manifest().databases) {
    names.push_back(it.name);
  }
  ownership_.SetDatabases(names);
  std::vector<std::string> owned;
  for (const auto& [name, owner] : owners_) {
    owned.push_back(name);
  }
  for (const auto& name : owned) {
    const auto* now = FindDatabase(active_manifest().manifest(), name);
    const auto* before = FindDatabase(previous, name);
    const auto same = now != nullptr && before != nullptr &&
                      WithoutKinds(*now) == WithoutKinds(*before);
    if (!same) {
      ReconfigureOwner(name);
    }
  }
  for (const auto& it : names) {
    ownership_.EvaluateTakeover(it);
  }
}

void Node::ReconfigureOwner(const std::string& database) {
  if (!leaving_ && reconfiguring_.insert(database).second) {
    TryReconfigureOwner(database);
  }
}

// The epoch is raised while the owner still serves, so that during a store
// outage either the old or the new owner is fully functional.
void Node::TryReconfigureOwner(const std::string& database) {
  if (leaving_ || !owners_.contains(database)) {
    reconfiguring_.erase(database);
    return;
  }
  if (!ownership_.LeaseIsValid()) {
    timers_.After(kOwnerChangeRetryDelay,
                  [this, database] { TryReconfigureOwner(database); });
    return;
  }
  if (FindDatabase(active_manifest().manifest(), database) == nullptr) {
    reconfiguring_.erase(database);
    DrainOwner(database, [this, database] { ReleaseOwnership(database); });
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
    timers_.After(kOwnerChangeRetryDelay,
                  [this, database] { RestartOwner(database); });
    return;
  }
  reconfiguring_.erase(database);
  RetireOwner(database);
  outbox_.Log(Event::kDatabaseReconfigured,
              {{"database", database},
               {"version", std::to_string(active_manifest().version())}});
  StartOwner(database, *ownership_.RecordOf(database));
  request_router_.OnOwnerChanged(database);
}

void Node::DrainOwner(const std::string& database, std::function<void()> done) {
  const auto once = [done = std::move(done),
                     called = std::make_shared<bool>(false)] {
    if (!std::exchange(*called, true)) {
      done();
    }
  };
  timers_.After(kOwnerDrainTimeout, once);
  owners_.at(database)->Drain(once);
}

void Node::RetireOwner(const std::string& database) {
  auto node = owners_.extract(database);
  if (node.empty()) {
    return;
  }
  node.mapped()->Stop();
  // The owner is destroyed later, because the loss of ownership may be reported
  // from within one of its callbacks.
  retired_owners_.push_back(std::move(node.mapped()));
  timers_.After(Duration::zero(), [this] { retired_owners_.clear(); });
}

// ------------------------------------------------------------ planned stop

void Node::BeginPlannedStop() {
  if (std::exchange(leaving_, true)) {
    return;
  }
  outbox_.Log(Event::kProxyStopping, {{"instance", settings_.instance}});
  stop_begin_time_ = timers_.Now();
  last_busy_time_ = timers_.Now();
  ownership_.StopAcquiring();
  request_router_.SetLeaving();
  // Once notified, peers no longer choose this instance as a successor.
  peer_links_.SendHeartbeats();
  std::vector<std::string> owned;
  for (const auto& [name, owner] : owners_) {
    owned.push_back(name);
  }
  for (const auto& it : owned) {
    DrainOwner(it, [this, it] { ReleaseOwnership(it); });
  }
  StopWhenIdle();
}

void Node::ReleaseOwnership(const std::string& database) {
  const auto* record = ownership_.RecordOf(database);
  const auto epoch = record == nullptr ? 0 : record->epoch;
  ownership_.Release(database, [this, database, epoch](bool released) {
    if (released) {
      outbox_.Log(Event::kOwnerReleased, {{"database", database}});
      NotifySuccessor(database, epoch);
    } else if (ownership_.Owns(database)) {
      // Another write of the ownership record is in progress.
      timers_.After(kOwnerChangeRetryDelay,
                    [this, database] { ReleaseOwnership(database); });
    }
  });
}

void Node::NotifySuccessor(const std::string& database, std::int64_t epoch) {
  if (FindDatabase(active_manifest().manifest(), database) == nullptr) {
    return;
  }
  auto live = peer_links_.LiveInstances();
  std::erase(live, settings_.instance);
  const auto order = RendezvousOrder(database, live);
  if (!order.empty()) {
    peer_links_.Send(order.front(), HandOver{database, epoch});
  }
}

void Node::StopWhenIdle() {
  const auto now = timers_.Now();
  const auto limit = Milliseconds(settings_.timing.drain_ms);
  if (request_router_.CountPendingRequests() > 0 || !owners_.empty()) {
    last_busy_time_ = now;
  }
  last_busy_time_ =
      std::max(last_busy_time_, request_router_.LastRequestTime());
  const auto phase = PhaseOfStop(now - stop_begin_time_, limit, kStopTimes);
  if (phase >= StopPhase::kRefusingNew) {
    request_router_.RefuseNewRequests();
  }
  if (phase == StopPhase::kEnding) {
    request_router_.AnswerAllPendingRequests(ErrorKind::kLeaving);
  }
  if (now - last_busy_time_ >= kStopQuietPeriod ||
      phase == StopPhase::kEnding) {
    request_router_.RefuseNewRequests();
    ownership_.RevokeLease();
    outbox_.CompleteStop();
    return;
  }
  timers_.After(kStopPollInterval, [this] { StopWhenIdle(); });
}

}  // namespace kingcuplock

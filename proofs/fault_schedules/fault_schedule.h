#pragma once

/// Random schedules of the failures that the proxy must tolerate, alone and
/// combined, and their injection into a NodeFixture.
///
/// Example:
///   NodeFixture fixture({.seed = 7, .nodes = 3});
///   FaultInjector injector(fixture);
///   const auto schedule =
///       MakeFaultSchedule(fixture.random(), Milliseconds(3000));
///   const auto undo = injector.BeginFault(schedule[0]);
///   fixture.RunFor(schedule[0].duration);
///   undo();

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "testing/node_fixture.h"

namespace kingcuplock {

/// A kind of failure that the proxy must tolerate. The owner is the instance
/// that owns database db0; `choice` of the fault selects an unnamed member or
/// node.
enum class FaultKind {
  kKillPrimary,
  kKillMember,
  /// The member answers nothing until it is resumed.
  kPauseMember,
  kPausePrimary,
  /// The primary is cut off from its replicas; instances still reach it.
  kIsolatePrimary,
  /// Replication to the member is delayed.
  kLagMember,
  /// Open connections to the member go silent for good; new ones work.
  kSilenceMember,
  kCutOwnerFromPrimary,
  kKillOwner,
  kKillNode,
  kPauseOwner,
  kPauseNode,
  /// A planned stop of the owner.
  kStopOwner,
  /// Two instances no longer reach each other.
  kCutPeers,
  kCutOwnerFromStore,
  kStoreDown,
  kStoreSlow,
  /// The store carries out some calls whose answers are lost.
  kLoseStoreAnswers,
  /// The store ends every lease at once.
  kExpireLeases,
  /// The store is down, and comes back from an older copy of its data.
  kRestoreStore
};

/// Number of FaultKind values.
inline constexpr int kFaultKindCount = 20;

/// Whether the store keeps its data, or is restored once or twice in addition
/// to the other failures.
enum class StoreData { kKept, kRestored };

/// Returns the name of a kind as run descriptions show it.
auto ToString(FaultKind kind) -> std::string_view;

/// A failure and when it begins and ends.
struct ScheduledFault {
  FaultKind kind = FaultKind::kKillPrimary;
  /// Time from the start of the run.
  Duration begin{};
  Duration duration{};
  /// Selects the member or instance if the kind does not determine it.
  std::size_t choice = 0;
};

/// Returns one to three failures. Each begins within `span` or, if it is the
/// second one, at most 50 ms after the first. The result depends only on
/// `random` and `span`.
auto MakeFaultSchedule(std::mt19937_64& random,
                       Duration span,
                       StoreData store_data = StoreData::kKept)
    -> std::vector<ScheduledFault>;

/// Injects failures into a fixture that has the database db0. The fixture must
/// outlive it and the functions that it returns.
class FaultInjector {
 public:
  explicit FaultInjector(NodeFixture& fixture) : fixture_(fixture) {}

  /// Begins a failure. Returns the function that ends it; that does nothing if
  /// the failure ends by itself.
  auto BeginFault(const ScheduledFault& fault) -> std::function<void()>;

 private:
  auto BeginMemberFault(const ScheduledFault& fault) -> std::function<void()>;
  auto BeginInstanceFault(const ScheduledFault& fault) -> std::function<void()>;
  auto BeginStoreFault(const ScheduledFault& fault) -> std::function<void()>;
  /// Returns a function that starts the node unless it is alive.
  auto MakeRestart(std::size_t node) -> std::function<void()>;
  /// Returns the owner of db0, or the node selected by `choice` if it has none.
  auto FindOwner(const ScheduledFault& fault) -> std::size_t;

  NodeFixture& fixture_;
};

}  // namespace kingcuplock

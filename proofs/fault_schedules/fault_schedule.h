#pragma once

/// Random schedules of the failures in the brief's list, single and paired.
///
/// Example:
///   auto schedule = MakeSchedule(random, 3, {"db0-1", "db0-2", "db0-3"});
///   for (const auto& it : schedule) { ApplyAt(it.begin, it); }

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "testing/node_fixture.h"

namespace kingcuplock {

/// A failure from the brief's list.
enum class FaultKind {
  kKillPrimary,
  kKillMember,
  kPauseMember,
  kPausePrimary,
  kIsolatePrimary,
  kLagMember,
  kSilenceMember,
  kCutOwnerFromPrimary,
  kKillOwner,
  kKillNode,
  kPauseOwner,
  kPauseNode,
  kStopOwner,
  kCutPeers,
  kCutOwnerFromStore,
  kStoreDown,
  kStoreSlow,
  kLoseStoreAnswers,
  kExpireLeases
};

/// Number of kinds.
inline constexpr int kFaultKinds = 19;

/// Returns the name of a kind.
auto ToString(FaultKind kind) -> std::string_view;

/// One failure with its time.
struct Fault {
  FaultKind kind = FaultKind::kKillPrimary;
  /// Since the start of the run.
  Duration begin{};
  Duration length{};
  /// Chooses the member or instance where the kind leaves it open.
  std::size_t choice = 0;
};

/// Returns one to three failures within `span`. Deterministic by `random`.
auto MakeSchedule(std::mt19937_64& random, Duration span) -> std::vector<Fault>;

/// Applies failures to a fixture with database db0 and undoes them.
class FaultInjector {
 public:
  explicit FaultInjector(NodeFixture& fixture) : fixture_(fixture) {}

  /// Begins a failure. Returns what undoes it.
  auto Begin(const Fault& fault) -> std::function<void()>;

 private:
  auto BeginMemberFault(const Fault& fault) -> std::function<void()>;
  auto BeginInstanceFault(const Fault& fault) -> std::function<void()>;
  auto BeginStoreFault(const Fault& fault) -> std::function<void()>;
  auto Restart(std::size_t node) -> std::function<void()>;
  auto Owner(const Fault& fault) -> std::size_t;

  NodeFixture& fixture_;
};

}  // namespace kingcuplock

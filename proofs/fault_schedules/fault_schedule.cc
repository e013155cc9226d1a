#include "proofs/fault_schedules/fault_schedule.h"

#include <array>

namespace kingcuplock {
namespace {

constexpr std::array<std::string_view, kFaultKindCount> kFaultNames{
    "kill-primary",
    "kill-member",
    "pause-member",
    "pause-primary",
    "isolate-primary",
    "lag-member",
    "silence",
    "cut-owner-from-primary",
    "kill-owner",
    "kill-node",
    "pause-owner",
    "pause-node",
    "stop-owner",
    "cut-peers",
    "cut-owner-from-store",
    "store-down",
    "store-slow",
    "lose-store-answers",
    "expire-leases",
    "restore-store"};

constexpr std::int64_t kMinFaultDurationMs = 100;
constexpr std::int64_t kMaxFaultDurationMs = 4000;
constexpr Milliseconds kSlowStoreDelay{500};
constexpr Milliseconds kReplicationLag{3000};
constexpr int kLostStoreAnswers = 3;
/// Number of the kinds that any schedule may have.
constexpr int kCommonKindCount = kFaultKindCount - 1;
/// Age of the copy from which a store is restored, and time until operators
/// have written to it again, in ms per unit of a fault's choice (0 to 1000).
constexpr std::int64_t kCopyAgePerChoice = 8;
constexpr std::int64_t kRewriteDelayPerChoice = 2;

auto RandomInRange(std::mt19937_64& random, std::int64_t low, std::int64_t high)
    -> std::int64_t {
  return std::uniform_int_distribution<std::int64_t>(low, high)(random);
}

auto NoUndo() -> std::function<void()> {
  return [] {};
}

}  // namespace

auto ToString(FaultKind kind) -> std::string_view {
  return kFaultNames.at(static_cast<std::size_t>(kind));
}

auto MakeFaultSchedule(std::mt19937_64& random,
                       Duration span,
                       StoreData store_data) -> std::vector<ScheduledFault> {
  std::vector<ScheduledFault> schedule;
  constexpr std::int64_t kMaxFaults = 3;
  for (auto remaining = RandomInRange(random, 1, kMaxFaults); remaining > 0;
       --remaining) {
    ScheduledFault fault;
    fault.kind =
        static_cast<FaultKind>(RandomInRange(random, 0, kCommonKindCount - 1));
    fault.begin = Duration(RandomInRange(random, 0, span.count()));
    fault.duration = Milliseconds(
        RandomInRange(random, kMinFaultDurationMs, kMaxFaultDurationMs));
    fault.choice = static_cast<std::size_t>(RandomInRange(random, 0, 1000));
    schedule.push_back(fault);
  }
  // In half of the schedules with several failures, the second one begins at
  // most 50 ms after the first.
  if (schedule.size() > 1 && RandomInRange(random, 0, 1) == 0) {
    schedule[1].begin =
        schedule[0].begin + Milliseconds(RandomInRange(random, 0, 50));
  }
  if (store_data == StoreData::kRestored) {
    for (auto n = RandomInRange(random, 1, 2); n > 0; --n) {
      schedule.push_back(
          {FaultKind::kRestoreStore,
           Duration(RandomInRange(random, 0, span.count())),
           Milliseconds(RandomInRange(random, 1, kMaxFaultDurationMs / 4)),
           static_cast<std::size_t>(RandomInRange(random, 0, 1000))});
    }
  }
  return schedule;
}

auto FaultInjector::FindOwner(const ScheduledFault& fault) -> std::size_t {
  const auto owner = fixture_.OwnerOf("db0");
  return owner < fixture_.nodes() ? owner : fault.choice % fixture_.nodes();
}

auto FaultInjector::BeginFault(const ScheduledFault& fault)
    -> std::function<void()> {
  switch (fault.kind) {
    case FaultKind::kKillOwner:
    case FaultKind::kKillNode:
    case FaultKind::kPauseOwner:
    case FaultKind::kPauseNode:
    case FaultKind::kStopOwner:
    case FaultKind::kCutPeers:
      return BeginInstanceFault(fault);
    case FaultKind::kCutOwnerFromStore:
    case FaultKind::kStoreDown:
    case FaultKind::kStoreSlow:
    case FaultKind::kLoseStoreAnswers:
    case FaultKind::kExpireLeases:
    case FaultKind::kRestoreStore:
      return BeginStoreFault(fault);
    default:
      return BeginMemberFault(fault);
  }
}

auto FaultInjector::BeginMemberFault(const ScheduledFault& fault)
    -> std::function<void()> {
  const auto primary = fixture_.Primary("db0").name;
  const auto any_member = "db0-" + std::to_string(fault.choice % 3 + 1);
  switch (fault.kind) {
    case FaultKind::kKillPrimary:
    case FaultKind::kKillMember: {
      const auto name =
          fault.kind == FaultKind::kKillPrimary ? primary : any_member;
      fixture_.KillMember(name);
      return [this, name] { fixture_.ReviveMember(name); };
    }
    case FaultKind::kPauseMember:
    case FaultKind::kPausePrimary: {
      const auto name =
          fault.kind == FaultKind::kPausePrimary ? primary : any_member;
      fixture_.PauseMember(name, true);
      return [this, name] { fixture_.PauseMember(name, false); };
    }
    case FaultKind::kIsolatePrimary:
      fixture_.IsolateMember(primary, true);
      return [this, primary] { fixture_.IsolateMember(primary, false); };
    case FaultKind::kLagMember:
      fixture_.SetLag(any_member, kReplicationLag);
      return
          [this, any_member] { fixture_.SetLag(any_member, Duration::zero()); };
    case FaultKind::kSilenceMember:
      fixture_.SilenceOpenConnections(any_member);
      return NoUndo();
    default: {
      const auto owner = FindOwner(fault);
      fixture_.PartitionFromMember(owner, primary, true);
      return [this, owner, primary] {
        fixture_.PartitionFromMember(owner, primary, false);
      };
    }
  }
}

auto FaultInjector::MakeRestart(std::size_t node) -> std::function<void()> {
  return [this, node] {
    if (!fixture_.IsAlive(node)) {
      fixture_.StartNode(node);
    }
  };
}

auto FaultInjector::BeginInstanceFault(const ScheduledFault& fault)
    -> std::function<void()> {
  const auto any_node = fault.choice % fixture_.nodes();
  switch (fault.kind) {
    case FaultKind::kKillOwner:
    case FaultKind::kKillNode: {
      const auto node =
          fault.kind == FaultKind::kKillOwner ? FindOwner(fault) : any_node;
      fixture_.KillNode(node);
      return MakeRestart(node);
    }
    case FaultKind::kPauseOwner:
    case FaultKind::kPauseNode: {
      const auto node =
          fault.kind == FaultKind::kPauseOwner ? FindOwner(fault) : any_node;
      fixture_.PauseNode(node, true);
      return [this, node] { fixture_.PauseNode(node, false); };
    }
    case FaultKind::kStopOwner: {
      const auto node = FindOwner(fault);
      fixture_.StartPlannedStop(node);
      return MakeRestart(node);
    }
    default: {
      const auto next_node = (any_node + 1) % fixture_.nodes();
      fixture_.PartitionPeers(any_node, next_node, true);
      return [this, any_node, next_node] {
        fixture_.PartitionPeers(any_node, next_node, false);
      };
    }
  }
}

auto FaultInjector::BeginStoreFault(const ScheduledFault& fault)
    -> std::function<void()> {
  switch (fault.kind) {
    case FaultKind::kCutOwnerFromStore: {
      const auto owner = FindOwner(fault);
      fixture_.PartitionFromStore(owner, true);
      return [this, owner] { fixture_.PartitionFromStore(owner, false); };
    }
    case FaultKind::kStoreDown:
      fixture_.SetStoreDown(true);
      return [this] { fixture_.SetStoreDown(false); };
    case FaultKind::kStoreSlow:
      fixture_.SetStoreDelay(kSlowStoreDelay);
      return [this] { fixture_.SetStoreDelay(Duration::zero()); };
    case FaultKind::kLoseStoreAnswers:
      fixture_.LoseStoreAnswers(kLostStoreAnswers);
      return NoUndo();
    case FaultKind::kRestoreStore:
      fixture_.SetStoreDown(true);
      return [this, choice = static_cast<std::int64_t>(fault.choice)] {
        fixture_.RestoreStore(Milliseconds(choice * kCopyAgePerChoice),
                              Milliseconds(choice * kRewriteDelayPerChoice));
        fixture_.SetStoreDown(false);
      };
    default:
      fixture_.ExpireLeases();
      return NoUndo();
  }
}

}  // namespace kingcuplock

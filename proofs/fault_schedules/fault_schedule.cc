#include "proofs/fault_schedules/fault_schedule.h"

#include <array>

namespace kingcuplock {
namespace {

constexpr std::array<std::string_view, kFaultKinds> kNames{
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
    "expire-leases"};

constexpr std::int64_t kMinLengthMs = 100;
constexpr std::int64_t kMaxLengthMs = 4000;
constexpr Milliseconds kSlowStore{500};
constexpr Milliseconds kLag{3000};
constexpr int kLostAnswers = 3;

auto Pick(std::mt19937_64& random, std::int64_t low, std::int64_t high)
    -> std::int64_t {
  return std::uniform_int_distribution<std::int64_t>(low, high)(random);
}

auto Nothing() -> std::function<void()> {
  return [] {};
}

}  // namespace

auto ToString(FaultKind kind) -> std::string_view {
  return kNames.at(static_cast<std::size_t>(kind));
}

auto MakeSchedule(std::mt19937_64& random, Duration span)
    -> std::vector<Fault> {
  std::vector<Fault> out;
  constexpr std::int64_t kMostFaults = 3;
  for (auto n = Pick(random, 1, kMostFaults); n > 0; --n) {
    Fault fault;
    fault.kind = static_cast<FaultKind>(Pick(random, 0, kFaultKinds - 1));
    fault.begin = Duration(Pick(random, 0, span.count()));
    fault.length = Milliseconds(Pick(random, kMinLengthMs, kMaxLengthMs));
    fault.choice = static_cast<std::size_t>(Pick(random, 0, 1000));
    out.push_back(fault);
  }
  // Half of the pairs hit at the same moment.
  if (out.size() > 1 && Pick(random, 0, 1) == 0) {
    out[1].begin = out[0].begin + Milliseconds(Pick(random, 0, 50));
  }
  return out;
}

auto FaultInjector::Owner(const Fault& fault) -> std::size_t {
  const auto owner = fixture_.OwnerOf("db0");
  return owner < fixture_.nodes() ? owner : fault.choice % fixture_.nodes();
}

auto FaultInjector::Begin(const Fault& fault) -> std::function<void()> {
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
      return BeginStoreFault(fault);
    default:
      return BeginMemberFault(fault);
  }
}

auto FaultInjector::BeginMemberFault(const Fault& fault)
    -> std::function<void()> {
  const auto primary = fixture_.Primary("db0").name;
  const auto any = "db0-" + std::to_string(fault.choice % 3 + 1);
  switch (fault.kind) {
    case FaultKind::kKillPrimary:
    case FaultKind::kKillMember: {
      const auto name = fault.kind == FaultKind::kKillPrimary ? primary : any;
      fixture_.KillMember(name);
      return [this, name] { fixture_.ReviveMember(name); };
    }
    case FaultKind::kPauseMember:
    case FaultKind::kPausePrimary: {
      const auto name = fault.kind == FaultKind::kPausePrimary ? primary : any;
      fixture_.PauseMember(name, true);
      return [this, name] { fixture_.PauseMember(name, false); };
    }
    case FaultKind::kIsolatePrimary:
      fixture_.IsolateMember(primary, true);
      return [this, primary] { fixture_.IsolateMember(primary, false); };
    case FaultKind::kLagMember:
      fixture_.SetLag(any, kLag);
      return [this, any] { fixture_.SetLag(any, Duration::zero()); };
    case FaultKind::kSilenceMember:
      fixture_.SilenceOpenConnections(any);
      return Nothing();
    default: {
      const auto owner = Owner(fault);
      fixture_.PartitionFromMember(owner, primary, true);
      return [this, owner, primary] {
        fixture_.PartitionFromMember(owner, primary, false);
      };
    }
  }
}

auto FaultInjector::Restart(std::size_t node) -> std::function<void()> {
  return [this, node] {
    if (!fixture_.IsAlive(node)) {
      fixture_.StartNode(node);
    }
  };
}

auto FaultInjector::BeginInstanceFault(const Fault& fault)
    -> std::function<void()> {
  const auto any = fault.choice % fixture_.nodes();
  switch (fault.kind) {
    case FaultKind::kKillOwner:
    case FaultKind::kKillNode: {
      const auto node =
          fault.kind == FaultKind::kKillOwner ? Owner(fault) : any;
      fixture_.KillNode(node);
      return Restart(node);
    }
    case FaultKind::kPauseOwner:
    case FaultKind::kPauseNode: {
      const auto node =
          fault.kind == FaultKind::kPauseOwner ? Owner(fault) : any;
      fixture_.PauseNode(node, true);
      return [this, node] { fixture_.PauseNode(node, false); };
    }
    case FaultKind::kStopOwner: {
      const auto node = Owner(fault);
      fixture_.StartPlannedStop(node);
      return Restart(node);
    }
    default: {
      const auto other = (any + 1) % fixture_.nodes();
      fixture_.PartitionPeers(any, other, true);
      return [this, any, other] { fixture_.PartitionPeers(any, other, false); };
    }
  }
}

auto FaultInjector::BeginStoreFault(const Fault& fault)
    -> std::function<void()> {
  switch (fault.kind) {
    case FaultKind::kCutOwnerFromStore: {
      const auto owner = Owner(fault);
      fixture_.PartitionFromStore(owner, true);
      return [this, owner] { fixture_.PartitionFromStore(owner, false); };
    }
    case FaultKind::kStoreDown:
      fixture_.SetStoreDown(true);
      return [this] { fixture_.SetStoreDown(false); };
    case FaultKind::kStoreSlow:
      fixture_.SetStoreDelay(kSlowStore);
      return [this] { fixture_.SetStoreDelay(Duration::zero()); };
    case FaultKind::kLoseStoreAnswers:
      fixture_.LoseStoreAnswers(kLostAnswers);
      return Nothing();
    default:
      fixture_.ExpireLeases();
      return Nothing();
  }
}

}  // namespace kingcuplock

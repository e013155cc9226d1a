#include "benchmarks/failover_gap/gap_run.h"

#include <algorithm>
#include <numeric>
#include <string>

#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

constexpr std::size_t kInstances = 5;
constexpr std::size_t kDatabases = 3;
/// Interval between the caller's writes.
constexpr Milliseconds kWriteInterval{10};
/// Time of writing before the fault. A random part of kLeaseRenewUs is added,
/// so that the fault falls on any point between two renewals of a lease.
constexpr Milliseconds kWriteBeforeFault{300};
constexpr std::uint64_t kLeaseRenewUs = 500'000;
/// Longest wait for writes to resume.
constexpr Milliseconds kResumeTimeout{20'000};
/// Time of writing after the first write is acknowledged again.
constexpr Milliseconds kWriteAfterResume{300};
/// Delay of the store's answers with Fault::kStoreSlow.
constexpr Milliseconds kSlowStoreDelay{500};

/// Sends writes at a steady rate through one instance and finds the gaps
/// between their acknowledgements.
class Caller {
 public:
  Caller(NodeFixture& fixture, std::size_t node)
      : fixture_(fixture), node_(node) {}

  void SendWritesFor(Duration duration) {
    const auto until = fixture_.Now() + duration;
    while (fixture_.Now() < until) {
      WriteOnce();
    }
  }

  /// Writes until a write that was sent from now on is acknowledged. Returns
  /// false if none is within kResumeTimeout.
  auto WriteUntilAcknowledged() -> bool {
    const auto began = fixture_.Now();
    while (fixture_.Now() - began < kResumeTimeout) {
      WriteOnce();
      if (LatestAcknowledgedSendTime() > began) {
        return true;
      }
    }
    return false;
  }

  /// Returns the longest time between two successive acknowledgements of which
  /// the second comes at `from` or later.
  auto LongestGap(Time from) const -> Duration {
    Time last{};
    Duration longest{};
    for (const auto& it : fixture_.answers()) {
      if (it.answer.status != Status::kOk) {
        continue;
      }
      if (last != Time{} && it.answered >= from) {
        longest = std::max(longest, it.answered - last);
      }
      last = it.answered;
    }
    return longest;
  }

 private:
  void WriteOnce() {
    const auto number = std::to_string(++last_id_);
    auto request = fixture_.MakeAppendRequest("w" + number, "k" + number, "x");
    request.patience_ms = kResumeTimeout.count();
    fixture_.Send(node_, request);
    fixture_.RunFor(kWriteInterval);
  }

  auto LatestAcknowledgedSendTime() const -> Time {
    Time last{};
    for (const auto& it : fixture_.answers()) {
      if (it.answer.status == Status::kOk) {
        last = std::max(last, it.asked);
      }
    }
    return last;
  }

  NodeFixture& fixture_;
  std::size_t node_;
  int last_id_ = 0;
};

void InjectFault(NodeFixture& fixture, Fault fault) {
  const auto primary = fixture.Primary("db0").name;
  switch (fault) {
    case Fault::kPrimaryKilled:
    case Fault::kStoreSlow:
      fixture.KillMember(primary);
      break;
    case Fault::kPrimaryFrozen:
      fixture.PauseMember(primary, true);
      break;
    case Fault::kPrimaryCutOff:
      fixture.IsolateMember(primary, true);
      break;
    case Fault::kOwnerAndPrimaryKilled:
      fixture.KillNode(fixture.OwnerOf("db0"));
      fixture.KillMember(primary);
      break;
  }
}

auto GapTimesOf(NodeFixture& fixture, Duration gap) -> GapTimes {
  GapTimes times{gap.count()};
  const auto owner = fixture.OwnerOf("db0");
  const auto status = fixture.StatusOf(owner);
  for (const auto& it : status.failovers) {
    if (it.database == "db0") {
      times = {gap.count(),
               it.suspect_us,
               it.record_us,
               it.hear_us,
               it.promote_us,
               it.open_us,
               0};
    }
  }
  times.back() = times.front() - std::accumulate(times.begin() + 1, times.end(),
                                                 std::int64_t{0});
  return times;
}

}  // namespace

auto ToString(Fault fault) -> std::string_view {
  switch (fault) {
    case Fault::kPrimaryKilled:
      return "primary_killed";
    case Fault::kPrimaryFrozen:
      return "primary_frozen";
    case Fault::kPrimaryCutOff:
      return "primary_cut_off";
    case Fault::kOwnerAndPrimaryKilled:
      return "owner_and_primary_killed";
    case Fault::kStoreSlow:
      return "store_slow";
  }
  return "";
}

auto RunFailover(const Deployment& deployment, Fault fault, std::uint64_t seed)
    -> std::optional<GapTimes> {
  NodeFixture fixture({.seed = seed,
                       .nodes = kInstances,
                       .databases = kDatabases,
                       .slots = deployment.slots,
                       .connections = deployment.connections,
                       .min_delay_us = deployment.one_way_delay_us,
                       .max_delay_us = deployment.one_way_delay_us,
                       .open_us = deployment.connect_us});
  fixture.RunUntilServing();
  if (fault == Fault::kStoreSlow) {
    fixture.SetStoreDelay(kSlowStoreDelay);
  }
  Caller caller(fixture, (fixture.OwnerOf("db0") + 1) % kInstances);
  const auto random_part = fixture.random()() % kLeaseRenewUs;
  caller.SendWritesFor(kWriteBeforeFault +
                       Duration(static_cast<std::int64_t>(random_part)));
  const auto began = fixture.Now();
  InjectFault(fixture, fault);
  if (!caller.WriteUntilAcknowledged()) {
    return std::nullopt;
  }
  caller.SendWritesFor(kWriteAfterResume);
  return GapTimesOf(fixture, caller.LongestGap(began));
}

}  // namespace kingcuplock

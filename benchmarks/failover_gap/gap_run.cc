#include "benchmarks/failover_gap/gap_run.h"

#include <algorithm>
#include <numeric>
#include <string>

#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

constexpr std::size_t kInstances = 5;
constexpr std::size_t kDatabases = 3;
/// Interval in ms between a caller's writes.
constexpr Milliseconds kWriteInterval{10};
/// Writing in ms before the fault, beside a random part of a lease period.
constexpr Milliseconds kLead{300};
constexpr std::uint64_t kLeaseRenewUs = 500'000;
/// Longest wait in ms for writes to resume.
constexpr Milliseconds kLongest{20'000};
/// Writing in ms after the first answer past the fault.
constexpr Milliseconds kTail{300};
/// Answers of the store with Fault::kStoreSlow in ms.
constexpr Milliseconds kSlowStore{500};

/// Sends writes at a steady rate and remembers when they were acknowledged.
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

  /// Returns whether a write sent from now on was acknowledged in time.
  auto WriteUntilAcknowledged() -> bool {
    const auto began = fixture_.Now();
    while (fixture_.Now() - began < kLongest) {
      WriteOnce();
      if (LastAcknowledgedAsked() > began) {
        return true;
      }
    }
    return false;
  }

  /// Returns the longest time between two acknowledgements that ends after
  /// `from`.
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
    request.patience_ms = kLongest.count();
    fixture_.Send(node_, request);
    fixture_.RunFor(kWriteInterval);
  }

  auto LastAcknowledgedAsked() const -> Time {
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

void Cause(NodeFixture& fixture, Fault fault) {
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

auto Measure(NodeFixture& fixture, Duration gap) -> GapTimes {
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
                       .min_delay_us = deployment.delay_us,
                       .max_delay_us = deployment.delay_us,
                       .open_us = deployment.open_us});
  fixture.RunUntilServing();
  if (fault == Fault::kStoreSlow) {
    fixture.SetStoreDelay(kSlowStore);
  }
  Caller caller(fixture, (fixture.OwnerOf("db0") + 1) % kInstances);
  const auto random_part = fixture.random()() % kLeaseRenewUs;
  caller.SendWritesFor(kLead +
                       Duration(static_cast<std::int64_t>(random_part)));
  const auto began = fixture.Now();
  Cause(fixture, fault);
  if (!caller.WriteUntilAcknowledged()) {
    return std::nullopt;
  }
  caller.SendWritesFor(kTail);
  return Measure(fixture, caller.LongestGap(began));
}

}  // namespace kingcuplock

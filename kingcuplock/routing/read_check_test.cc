#include "kingcuplock/routing/read_check.h"

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "standin/database/database_group.h"

namespace kingcuplock {
namespace {

constexpr int kWalks = 1500;
constexpr int kSteps = 300;
constexpr std::array<std::string_view, 3> kMembers{"a", "b", "c"};
constexpr Milliseconds kMaxAge{150};

/// Counts over all walks of one policy.
struct Counts {
  /// Answers that lacked what their session had seen.
  int behind = 0;
  /// Answers older than the maximum age.
  int too_old = 0;
  /// Answers that were rejected on arrival.
  int rejected = 0;
  int answered = 0;
};

/// Random sequence of events in one group, with the state of its owner and of
/// one session.
template <ReadRules Rules>
class Walk {
 public:
  explicit Walk(std::uint64_t seed) : random_(seed), group_({"a", "b", "c"}) {}

  void Run(Counts& counts) {
    for (auto n = 0; n < kSteps; ++n) {
      now_us_ += 1000 * Pick(5);
      Step(counts);
    }
  }

 private:
  /// A member's answer to a read that has not arrived yet.
  struct PendingAnswer {
    MemberAnswer answer;
    LogPosition seen_when_sent;
  };

  auto Pick(int n) -> int {
    return std::uniform_int_distribution<int>(0, n - 1)(random_);
  }
  auto Now() const -> Time { return Time(Duration(now_us_)); }
  auto Any() -> std::string_view {
    return kMembers[static_cast<std::size_t>(Pick(3))];
  }
  static auto PositionIn(const MemberAnswer& it) -> LogPosition {
    return {it.entry_term, it.position};
  }

  void Step(Counts& counts) {
    switch (Pick(11)) {
      case 0:
      case 1:
        Write();
        break;
      case 2:
        Sample(Any());
        break;
      case 3:
        Sample(primary_);
        break;
      case 4:
        group_.Replicate(now_us_);
        break;
      case 5:
        group_.member(Any()).lag_us = 1000 * Pick(100);
        break;
      case 6:
        Send(Any());
        break;
      case 7:
        Send(Any());
        break;
      case 8:
      case 9:
        Arrive(counts);
        break;
      default:
        if (Pick(8) == 0) {
          Promote();
        } else if (Pick(4) == 0) {
          Restore(Any());
        }
    }
  }

  void Write() {
    MemberRequest write;
    write.op = MemberOp::kExecute;
    write.statements = {{Verb::kAppend, "row", std::to_string(++writes_)}};
    const auto answer = group_.Handle(primary_, write, now_us_);
    if (Pick(2) == 0) {
      See(answer, group_.member(primary_).rows.at("row"));
    }
  }

  void See(const MemberAnswer& answer, const std::string& value) {
    if (!Rules::kCheckLostData || !history_.IsLost(seen_)) {
      seen_ = std::max(seen_, PositionIn(answer));
      value_ = value;
    }
  }

  void Sample(std::string_view name) {
    MemberRequest status;
    const auto answer = group_.Handle(name, status, now_us_);
    places_[std::string(name)] = PositionIn(answer);
    if (name == primary_) {
      ages_.AddSample(Now(), PositionIn(answer));
    }
  }

  /// Promotes another member; the entries that it lacks are lost.
  void Promote() {
    const auto candidate = Any();
    if (candidate == primary_) {
      return;
    }
    MemberRequest order;
    order.op = MemberOp::kPromote;
    order.term = ++term_;
    const auto answer = group_.Handle(candidate, order, now_us_);
    history_.NoteTermStart(term_, answer.position + 1);
    primary_ = candidate;
    MemberRequest follow;
    follow.op = MemberOp::kFollow;
    follow.term = term_;
    follow.primary = std::string(primary_);
    for (const auto it : kMembers) {
      group_.Handle(it, follow, now_us_);
    }
    MemberRequest fence;
    fence.op = MemberOp::kRaiseEpoch;
    group_.Handle(primary_, fence, now_us_);
  }

  /// Rebuilds a replica from an older copy of itself.
  void Restore(std::string_view name) {
    auto& member = group_.member(name);
    if (name == primary_ || member.log.empty()) {
      return;
    }
    member.log.resize(
        static_cast<std::size_t>(Pick(static_cast<int>(member.log.size()))));
    member.rows.clear();
    for (const auto& entry : member.log) {
      for (const auto& [key, value] : entry.rows) {
        member.rows[key] = value.value_or("");
      }
    }
  }

  void Send(std::string_view name) {
    if (Rules::kCheckLostData && history_.IsLost(seen_)) {
      // The session was told of the loss and starts again without a token.
      seen_ = {};
      value_.clear();
    }
    const ReadCheck<Rules> check(ages_, history_, term_);
    if (name == primary_ ||
        !check.MaySendRead({seen_, kMaxAge}, places_[std::string(name)],
                           Now())) {
      return;
    }
    // Replication goes on while the read is on its way to the member.
    group_.Replicate(now_us_);
    MemberRequest read;
    read.op = MemberOp::kRead;
    read.statements = {{Verb::kGet, "row", ""}};
    pending_.push_back({group_.Handle(name, read, now_us_), seen_});
  }

  void Arrive(Counts& counts) {
    if (pending_.empty()) {
      return;
    }
    const auto pending = pending_.front();
    pending_.pop_front();
    const ReadCheck<Rules> check(ages_, history_, term_);
    // The session waits for this answer, so it still has the token it sent.
    const ReadRequirements need{pending.seen_when_sent, kMaxAge};
    if (!check.MayAnswer(need, PositionIn(pending.answer), Now())) {
      ++counts.rejected;
      return;
    }
    ++counts.answered;
    const auto& got = pending.answer.results.at(0).value;
    const auto same_session = pending.seen_when_sent == seen_;
    if (same_session && !got.starts_with(value_)) {
      ++counts.behind;
    }
    if (ActualDataAge(pending.answer) > kMaxAge) {
      ++counts.too_old;
    }
    if (same_session) {
      See(pending.answer, got);
    }
  }

  /// Returns for how long the primary has had an entry that the answer lacks;
  /// 0 if there is none.
  auto ActualDataAge(const MemberAnswer& answer) -> Duration {
    const auto& log = group_.member(primary_).log;
    const auto next = static_cast<std::size_t>(answer.position);
    return Duration(next < log.size() ? std::max<std::int64_t>(
                                            0, now_us_ - log[next].committed_us)
                                      : 0);
  }

  std::mt19937_64 random_;
  DatabaseGroup group_;
  std::int64_t now_us_ = 1'000'000;
  std::int64_t term_ = 1;
  int writes_ = 0;
  std::string_view primary_ = "a";
  std::map<std::string, LogPosition> places_;
  AgeTracker ages_;
  TermHistory history_;
  LogPosition seen_;
  std::string value_;
  std::deque<PendingAnswer> pending_;
};

template <ReadRules Rules>
auto RunWalks() -> Counts {
  Counts counts;
  for (std::uint64_t seed = 1; seed <= kWalks; ++seed) {
    Walk<Rules>(seed).Run(counts);
  }
  MESSAGE("answered " << counts.answered << ", behind " << counts.behind
                      << ", too old " << counts.too_old << ", rejected "
                      << counts.rejected);
  return counts;
}

struct WithoutTokenBeforeSend : AllReadRules {
  static constexpr bool kCheckTokenBeforeSend = false;
};
struct WithoutTokenOnAnswer : AllReadRules {
  static constexpr bool kCheckTokenOnAnswer = false;
};
struct WithoutTokenChecks : WithoutTokenBeforeSend {
  static constexpr bool kCheckTokenOnAnswer = false;
};
struct WithoutAgeOnAnswer : AllReadRules {
  static constexpr bool kCheckAgeOnAnswer = false;
};
struct WithoutLostData : AllReadRules {
  static constexpr bool kCheckLostData = false;
};

TEST_CASE("With every rule, no answer is behind its session or too old") {
  const auto counts = RunWalks<AllReadRules>();
  CHECK(counts.answered > kWalks);
  CHECK(counts.behind == 0);
  CHECK(counts.too_old == 0);
}

TEST_CASE("Without the token check before sending, more answers are rejected") {
  const auto with = RunWalks<AllReadRules>();
  const auto without = RunWalks<WithoutTokenBeforeSend>();
  CHECK(without.behind == 0);
  CHECK(without.rejected > 2 * with.rejected);
}

TEST_CASE(
    "Without the token check on arrival, an answer is behind its session") {
  CHECK(RunWalks<WithoutTokenOnAnswer>().behind > 0);
  CHECK(RunWalks<WithoutTokenChecks>().behind > 0);
}

TEST_CASE("Without the age check on arrival, an answer is too old") {
  CHECK(RunWalks<WithoutAgeOnAnswer>().too_old > 0);
}

TEST_CASE("Without the check for lost data, an answer is behind its session") {
  CHECK(RunWalks<WithoutLostData>().behind > 0);
}

}  // namespace
}  // namespace kingcuplock

#pragma once

/// Random-walk model of acknowledgement and promotion on one group of three
/// members over several terms. Every decision is taken by the product's own
/// WriteAcknowledgementTracker and MemberLogReports; the model supplies
/// members, logs and the order of events.
///
/// Example:
///   std::mt19937_64 random(seed);
///   auto loss = PromotionWalk<AllSafetyRules>(random).Run();
///   if (loss) { Print(loss->trace); }

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kingcuplock/failover/candidate.h"
#include "kingcuplock/outcome/safety_rules.h"
#include "kingcuplock/outcome/write_acknowledgement_tracker.h"
#include "proofs/promotion_model/model_group.h"

namespace kingcuplock {

/// A walk that lost an acknowledged entry.
struct LostWrite {
  /// The entry.
  ModelEntry entry;
  /// What happened, in order.
  std::vector<std::string> trace;
};

/// One walk. Not thread safe; O(steps * log size).
template <SafetyRules Rules>
class PromotionWalk {
 public:
  /// `random` is used by this walk alone until Run() returns.
  explicit PromotionWalk(std::mt19937_64& random) : random_(random) {
    AddOwner(1, 0);
  }

  /// Takes all steps. Returns the first loss, if there is one.
  auto Run() -> std::optional<LostWrite> {
    for (auto n = 0; n < kSteps && !loss_; ++n) {
      ++now_;
      Step();
    }
    return loss_;
  }

 private:
  static constexpr int kSteps = 90;
  static constexpr std::int64_t kMaxTerm = 5;
  static constexpr std::size_t kMaxLog = 4;
  /// Of this many chances to begin an attempt, three are taken.
  static constexpr std::uint64_t kBeginOdds = 10;

  /// The owner of one term, with what it has sampled.
  struct Owner {
    std::size_t primary = 0;
    WriteAcknowledgementTracker<Rules> by_lease;
    WriteAcknowledgementTracker<Rules> by_confirmation;
    /// Positions committed, with the time at which the owner learnt of it.
    std::map<std::int64_t, Time> committed;
  };

  static auto Name(std::size_t member) -> std::string {
    return std::string(1, static_cast<char>('a' + member));
  }

  auto Below(std::uint64_t limit) -> std::uint64_t { return random_() % limit; }
  auto AnyMember() -> std::size_t { return Below(ModelGroup::kMembers); }
  auto Now() const -> Time { return Time{Milliseconds(now_)}; }

  void AddOwner(std::int64_t term, std::size_t primary) {
    const std::vector<std::string> members{"a", "b", "c"};
    const auto make = [&] {
      return WriteAcknowledgementTracker<Rules>(
          members, Name(primary), term, AcknowledgementMode::kReplicated);
    };
    owners_.emplace(term, Owner{primary, make(), make(), {}});
  }

  auto AnyOwner() -> std::pair<const std::int64_t, Owner>& {
    return *std::next(owners_.begin(),
                      static_cast<std::ptrdiff_t>(Below(owners_.size())));
  }

  void Step() {
    switch (Below(15)) {
      case 0:
      case 1:
        return Write();
      case 2:
      case 3:
      case 4:
        return Replicate();
      case 5:
        return Follow();
      case 6:
        return Begin();
      case 7:
      case 8:
        return Hear();
      case 9:
        return Promote();
      case 10:
      case 11:
        return AcknowledgeByLease();
      case 12:
      case 13:
        return Sample();
      default:
        return Confirm();
    }
  }

  void Write() {
    auto& [term, owner] = AnyOwner();
    const auto& log = group_.member(owner.primary).log;
    if (group_.member(owner.primary).follows == term && log.size() < kMaxLog) {
      Commit(term, owner);
    }
  }

  void Commit(std::int64_t term, Owner& owner) {
    const auto position = group_.Append(owner.primary, term);
    owner.committed[position] = Now();
    Trace("write t" + std::to_string(term) + " at " + Name(owner.primary));
  }

  void Replicate() {
    const auto member = AnyMember();
    const auto source = owners_.at(group_.member(member).follows).primary;
    if (group_.Replicate(source, member)) {
      Trace("replicate " + Name(source) + " to " + Name(member));
    }
  }

  void Follow() {
    const auto member = AnyMember();
    const auto term = owners_.rbegin()->first;
    if (group_.member(member).follows < term) {
      group_.member(member).follows = term;
      Trace("follow " + Name(member) + " t" + std::to_string(term));
    }
  }

  void Begin() {
    if (begun_ == kMaxTerm || Below(kBeginOdds) >= 3) {
      return;
    }
    attempt_ = ++begun_;
    log_reports_.BeginAttempt(begun_);
    Trace("begin t" + std::to_string(begun_));
  }

  void Hear() {
    const auto member = AnyMember();
    if (attempt_ == 0 || group_.member(member).follows >= attempt_) {
      return;
    }
    const auto& state = group_.member(member);
    log_reports_.Note(attempt_,
                      {Name(member), state.follows, group_.LastPlace(member)});
    Trace("hear " + Name(member));
  }

  void Promote() {
    if (attempt_ == 0) {
      return;
    }
    const auto choice = log_reports_.Choose(
        {ModelGroup::kMembers, attempt_, std::nullopt, false, {}});
    if (choice.verdict != CandidateVerdict::kChosen) {
      return;
    }
    const auto member =
        static_cast<std::size_t>(choice.candidate.member.front() - 'a');
    if (group_.member(member).follows >= attempt_) {
      return;
    }
    Trace("promote " + Name(member) + " t" + std::to_string(attempt_));
    group_.member(member).follows = attempt_;
    CheckHolds(member);
    AddOwner(attempt_, member);
    if (Rules::kRequireOwnTermEntry) {
      // The epoch row.
      Commit(attempt_, owners_.at(attempt_));
    }
    attempt_ = 0;
  }

  void AcknowledgeByLease() {
    const auto found = owners_.find(begun_);
    if (attempt_ != 0 || found == owners_.end()) {
      return;
    }
    const auto term = found->first;
    auto& owner = found->second;
    const auto member = AnyMember();
    if (group_.member(owner.primary).follows != term) {
      return;
    }
    owner.by_lease.Note(Name(member), SampleOf(member));
    AcknowledgeAll(term, owner, [&](std::int64_t position, Time committed) {
      return owner.by_lease.MayAcknowledge(position, committed, true);
    });
  }

  void Sample() {
    auto& [term, owner] = AnyOwner();
    const auto member = AnyMember();
    owner.by_confirmation.Note(Name(member), SampleOf(member));
    Trace("sample " + Name(member) + " for t" + std::to_string(term));
  }

  void Confirm() {
    auto& entry = AnyOwner();
    const auto& owner = entry.second;
    AcknowledgeAll(entry.first, owner,
                   [&](std::int64_t position, Time committed) {
                     return owner.by_confirmation.MayAcknowledge(
                         position, committed, false);
                   });
  }

  auto SampleOf(std::size_t member) const -> MemberLogSample {
    return {Now(), group_.member(member).follows, group_.LastPlace(member)};
  }

  template <typename MayAcknowledge>
  void AcknowledgeAll(std::int64_t term,
                      const Owner& owner,
                      MayAcknowledge allows) {
    // Acknowledging a position also answers look-ups of everything before it.
    const auto& log = group_.member(owner.primary).log;
    for (const auto& [position, committed] : owner.committed) {
      if (static_cast<std::size_t>(position) > log.size() ||
          log[static_cast<std::size_t>(position) - 1].term != term ||
          !allows(position, committed)) {
        continue;
      }
      for (std::int64_t n = 0; n < position; ++n) {
        Acknowledge(term, log[static_cast<std::size_t>(n)]);
      }
    }
    LookUp(term, owner, allows);
  }

  // A request id of an earlier term is looked up and acknowledged at its own
  // position.
  template <typename MayAcknowledge>
  void LookUp(std::int64_t term, const Owner& owner, MayAcknowledge allows) {
    const auto& log = group_.member(owner.primary).log;
    for (std::size_t n = 0; n < log.size(); ++n) {
      const auto position = static_cast<std::int64_t>(n) + 1;
      if (log[n].term < term && allows(position, Now())) {
        Acknowledge(term, log[n]);
      }
    }
  }

  void Acknowledge(std::int64_t term, const ModelEntry& entry) {
    if (!acknowledged_.insert(entry).second) {
      return;
    }
    Trace("acknowledge " + std::to_string(entry.serial) + " by t" +
          std::to_string(term));
    for (const auto& [later, owner] : owners_) {
      if (later > term && !group_.Holds(owner.primary, entry)) {
        loss_ = {entry, trace_};
      }
    }
  }

  void CheckHolds(std::size_t member) {
    for (const auto& it : acknowledged_) {
      if (!group_.Holds(member, it)) {
        loss_ = {it, trace_};
      }
    }
  }

  void Trace(std::string text) { trace_.push_back(std::move(text)); }

  std::mt19937_64& random_;
  ModelGroup group_;
  std::map<std::int64_t, Owner> owners_;
  MemberLogReports<Rules> log_reports_;
  std::set<ModelEntry> acknowledged_;
  std::int64_t begun_ = 1;
  std::int64_t attempt_ = 0;
  std::int64_t now_ = 0;
  std::vector<std::string> trace_;
  std::optional<LostWrite> loss_;
};

/// Result of many walks.
struct WalkResult {
  /// Walks taken.
  std::int64_t walks = 0;
  /// Walks that lost an acknowledged entry.
  std::int64_t losses = 0;
  /// The loss with the shortest trace.
  std::optional<LostWrite> shortest;
};

/// Takes `walks` walks of one seed.
template <SafetyRules Rules>
auto RunWalks(std::int64_t walks, std::uint64_t seed) -> WalkResult {
  std::mt19937_64 random(seed);
  WalkResult result;
  result.walks = walks;
  for (std::int64_t n = 0; n < walks; ++n) {
    auto loss = PromotionWalk<Rules>(random).Run();
    if (!loss) {
      continue;
    }
    ++result.losses;
    const auto is_shortest =
        !result.shortest || loss->trace.size() < result.shortest->trace.size();
    if (is_shortest) {
      result.shortest = std::move(loss);
    }
  }
  return result;
}

/// Rules with one switched off each.
struct WithoutEntryTerm : AllSafetyRules {
  static constexpr bool kCompareLastEntryTerm = false;
};
struct WithoutOwnEntry : AllSafetyRules {
  static constexpr bool kRequireOwnTermEntry = false;
};
struct WithoutHearEnough : AllSafetyRules {
  static constexpr bool kRequireAllButOneReport = false;
};
struct WithoutConfirmAll : AllSafetyRules {
  static constexpr bool kRequireAllConfirmations = false;
};
struct WithoutHearAgain : AllSafetyRules {
  static constexpr bool kRequireFreshReports = false;
};

}  // namespace kingcuplock

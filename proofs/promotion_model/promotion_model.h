#pragma once

/// Random-walk model of write acknowledgement and promotion on one group of
/// three members over several terms. The production code in
/// WriteAcknowledgementTracker and MemberLogReports takes every decision; the
/// model supplies members, logs and the order of events.
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
  /// The acknowledged entry that a later primary lacks.
  ModelEntry entry;
  /// Events of the walk, in order.
  std::vector<std::string> trace;
};

/// One walk with the given rules. Not thread safe; O(steps * log size).
template <SafetyRules Rules>
class PromotionWalk {
 public:
  /// `random` must not be used by others until Run() returns.
  explicit PromotionWalk(std::mt19937_64& random) : random_(random) {
    AddOwner(1, 0);
  }

  /// Runs the walk. Returns the loss of an acknowledged entry, if there is one.
  auto Run() -> std::optional<LostWrite> {
    for (auto n = 0; n < kSteps && !loss_; ++n) {
      ++now_;
      TakeRandomStep();
    }
    return loss_;
  }

 private:
  static constexpr int kSteps = 90;
  static constexpr std::int64_t kMaxTerm = 5;
  static constexpr std::size_t kMaxLogEntries = 4;
  /// A promotion begins in 3 of this many steps that could begin one.
  static constexpr std::uint64_t kBeginChances = 10;

  /// The owner of one term, with the samples that it has taken. One tracker
  /// decides as with a valid lease, the other as without.
  struct Owner {
    std::size_t primary = 0;
    WriteAcknowledgementTracker<Rules> lease_tracker;
    WriteAcknowledgementTracker<Rules> confirmation_tracker;
    /// Time at which the owner learned of each commit, by log position.
    std::map<std::int64_t, Time> committed_at;
  };

  static auto MemberName(std::size_t member) -> std::string {
    return std::string(1, static_cast<char>('a' + member));
  }

  auto RandomBelow(std::uint64_t limit) -> std::uint64_t {
    return random_() % limit;
  }
  auto RandomMember() -> std::size_t {
    return RandomBelow(ModelGroup::kMembers);
  }
  auto Now() const -> Time { return Time{Milliseconds(now_)}; }

  void AddOwner(std::int64_t term, std::size_t primary) {
    const std::vector<std::string> members{"a", "b", "c"};
    const auto make_tracker = [&] {
      return WriteAcknowledgementTracker<Rules>(
          members, MemberName(primary), term, AcknowledgementMode::kReplicated);
    };
    owners_.emplace(term, Owner{primary, make_tracker(), make_tracker(), {}});
  }

  auto RandomOwner() -> std::pair<const std::int64_t, Owner>& {
    return *std::next(owners_.begin(),
                      static_cast<std::ptrdiff_t>(RandomBelow(owners_.size())));
  }

  void TakeRandomStep() {
    switch (RandomBelow(15)) {
      case 0:
      case 1:
        return WriteEntry();
      case 2:
      case 3:
      case 4:
        return ReplicateNextEntry();
      case 5:
        return FollowNewestTerm();
      case 6:
        return BeginPromotion();
      case 7:
      case 8:
        return CollectReport();
      case 9:
        return PromoteCandidate();
      case 10:
      case 11:
        return AcknowledgeByLease();
      case 12:
      case 13:
        return SampleMember();
      default:
        return AcknowledgeByConfirmation();
    }
  }

  void WriteEntry() {
    auto& [term, owner] = RandomOwner();
    const auto& log = group_.member(owner.primary).log;
    if (group_.member(owner.primary).followed_term == term &&
        log.size() < kMaxLogEntries) {
      CommitEntry(term, owner);
    }
  }

  void CommitEntry(std::int64_t term, Owner& owner) {
    const auto position = group_.AppendEntry(owner.primary, term);
    owner.committed_at[position] = Now();
    AddToTrace("write t" + std::to_string(term) + " at " +
               MemberName(owner.primary));
  }

  void ReplicateNextEntry() {
    const auto member = RandomMember();
    const auto source = owners_.at(group_.member(member).followed_term).primary;
    if (group_.ReplicateNextEntry(source, member)) {
      AddToTrace("replicate " + MemberName(source) + " to " +
                 MemberName(member));
    }
  }

  void FollowNewestTerm() {
    const auto member = RandomMember();
    const auto term = owners_.rbegin()->first;
    if (group_.member(member).followed_term < term) {
      group_.member(member).followed_term = term;
      AddToTrace("follow " + MemberName(member) + " t" + std::to_string(term));
    }
  }

  void BeginPromotion() {
    if (last_begun_term_ == kMaxTerm || RandomBelow(kBeginChances) >= 3) {
      return;
    }
    attempt_term_ = ++last_begun_term_;
    log_reports_.BeginAttempt(last_begun_term_);
    AddToTrace("begin t" + std::to_string(last_begun_term_));
  }

  void CollectReport() {
    const auto member = RandomMember();
    if (attempt_term_ == 0 ||
        group_.member(member).followed_term >= attempt_term_) {
      return;
    }
    const auto& state = group_.member(member);
    log_reports_.Note(attempt_term_, {MemberName(member), state.followed_term,
                                      group_.LastPosition(member)});
    AddToTrace("report of " + MemberName(member));
  }

  void PromoteCandidate() {
    if (attempt_term_ == 0) {
      return;
    }
    const auto choice = log_reports_.Choose(
        {ModelGroup::kMembers, attempt_term_, std::nullopt, false, {}});
    if (choice.verdict != CandidateVerdict::kChosen) {
      return;
    }
    const auto member =
        static_cast<std::size_t>(choice.candidate.member.front() - 'a');
    if (group_.member(member).followed_term >= attempt_term_) {
      return;
    }
    AddToTrace("promote " + MemberName(member) + " t" +
               std::to_string(attempt_term_));
    group_.member(member).followed_term = attempt_term_;
    CheckHasAcknowledged(member);
    AddOwner(attempt_term_, member);
    if (Rules::kRequireOwnTermEntry) {
      // A new owner writes its epoch row, the first entry of its own term.
      CommitEntry(attempt_term_, owners_.at(attempt_term_));
    }
    attempt_term_ = 0;
  }

  void AcknowledgeByLease() {
    const auto found = owners_.find(last_begun_term_);
    if (attempt_term_ != 0 || found == owners_.end()) {
      return;
    }
    const auto term = found->first;
    auto& owner = found->second;
    const auto member = RandomMember();
    if (group_.member(owner.primary).followed_term != term) {
      return;
    }
    owner.lease_tracker.Note(MemberName(member), LogSampleOf(member));
    AcknowledgeAllowed(term, owner,
                       [&](std::int64_t position, Time committed_at) {
                         return owner.lease_tracker.MayAcknowledge(
                             position, committed_at, true);
                       });
  }

  void SampleMember() {
    auto& [term, owner] = RandomOwner();
    const auto member = RandomMember();
    owner.confirmation_tracker.Note(MemberName(member), LogSampleOf(member));
    AddToTrace("sample " + MemberName(member) + " for t" +
               std::to_string(term));
  }

  void AcknowledgeByConfirmation() {
    auto& entry = RandomOwner();
    const auto& owner = entry.second;
    AcknowledgeAllowed(entry.first, owner,
                       [&](std::int64_t position, Time committed_at) {
                         return owner.confirmation_tracker.MayAcknowledge(
                             position, committed_at, false);
                       });
  }

  auto LogSampleOf(std::size_t member) const -> MemberLogSample {
    return {Now(), group_.member(member).followed_term,
            group_.LastPosition(member)};
  }

  template <typename MayAcknowledge>
  void AcknowledgeAllowed(std::int64_t term,
                          const Owner& owner,
                          MayAcknowledge may_acknowledge) {
    // Acknowledging a position also answers the look-ups of the request ids of
    // every entry before it.
    const auto& log = group_.member(owner.primary).log;
    for (const auto& [position, committed_at] : owner.committed_at) {
      if (static_cast<std::size_t>(position) > log.size() ||
          log[static_cast<std::size_t>(position) - 1].term != term ||
          !may_acknowledge(position, committed_at)) {
        continue;
      }
      for (std::int64_t n = 0; n < position; ++n) {
        Acknowledge(term, log[static_cast<std::size_t>(n)]);
      }
    }
    AcknowledgeEarlierTerms(term, owner, may_acknowledge);
  }

  // Models repeated requests: the request id of an entry of an earlier term is
  // looked up and the entry acknowledged at its own position.
  template <typename MayAcknowledge>
  void AcknowledgeEarlierTerms(std::int64_t term,
                               const Owner& owner,
                               MayAcknowledge may_acknowledge) {
    const auto& log = group_.member(owner.primary).log;
    for (std::size_t n = 0; n < log.size(); ++n) {
      const auto position = static_cast<std::int64_t>(n) + 1;
      if (log[n].term < term && may_acknowledge(position, Now())) {
        Acknowledge(term, log[n]);
      }
    }
  }

  void Acknowledge(std::int64_t term, const ModelEntry& entry) {
    if (!acknowledged_entries_.insert(entry).second) {
      return;
    }
    AddToTrace("acknowledge " + std::to_string(entry.serial) + " by t" +
               std::to_string(term));
    for (const auto& [later, owner] : owners_) {
      if (later > term && !group_.HasEntry(owner.primary, entry)) {
        loss_ = {entry, trace_};
      }
    }
  }

  // Records a loss if `member`, the new primary, lacks an acknowledged entry.
  void CheckHasAcknowledged(std::size_t member) {
    for (const auto& it : acknowledged_entries_) {
      if (!group_.HasEntry(member, it)) {
        loss_ = {it, trace_};
      }
    }
  }

  void AddToTrace(std::string text) { trace_.push_back(std::move(text)); }

  std::mt19937_64& random_;
  ModelGroup group_;
  std::map<std::int64_t, Owner> owners_;
  MemberLogReports<Rules> log_reports_;
  std::set<ModelEntry> acknowledged_entries_;
  std::int64_t last_begun_term_ = 1;
  /// Term of the current promotion attempt; 0 if there is none.
  std::int64_t attempt_term_ = 0;
  /// Steps taken, which are also the time in ms.
  std::int64_t now_ = 0;
  std::vector<std::string> trace_;
  std::optional<LostWrite> loss_;
};

/// Counts and shortest loss of many walks.
struct PromotionWalkResult {
  std::int64_t walks = 0;
  /// Walks that lost an acknowledged entry.
  std::int64_t losses = 0;
  /// The loss with the shortest trace.
  std::optional<LostWrite> shortest;
};

/// Runs `walks` walks, all drawn from `seed`. The same arguments give the same
/// result.
template <SafetyRules Rules>
auto RunPromotionWalks(std::int64_t walks, std::uint64_t seed)
    -> PromotionWalkResult {
  std::mt19937_64 random(seed);
  PromotionWalkResult result;
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

// Policies with one rule disabled each, named after the constant in
// AllSafetyRules that they set to false.
struct WithoutCompareLastEntryTerm : AllSafetyRules {
  static constexpr bool kCompareLastEntryTerm = false;
};
struct WithoutOwnTermEntry : AllSafetyRules {
  static constexpr bool kRequireOwnTermEntry = false;
};
struct WithoutAllButOneReport : AllSafetyRules {
  static constexpr bool kRequireAllButOneReport = false;
};
struct WithoutAllConfirmations : AllSafetyRules {
  static constexpr bool kRequireAllConfirmations = false;
};
struct WithoutFreshReports : AllSafetyRules {
  static constexpr bool kRequireFreshReports = false;
};

}  // namespace kingcuplock

#pragma once

/// Decides when a committed write may be acknowledged to its caller.
///
/// Example:
///   WriteAcknowledgementTracker<> tracker({"a", "b"}, "a", term, mode);
///   tracker.Note("b", {.requested_at = sent, .followed_term = term,
///                      .last_entry = end_of_log});
///   if (tracker.MayAcknowledge(position, committed_at, lease_valid)) {
///     Answer();
///   }

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/outcome/safety_rules.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// Term and log end that a member reported in answer to a sample request.
struct MemberLogSample {
  /// Time at which the sample was requested.
  Time requested_at{};
  /// Term of the primary that the member follows.
  std::int64_t followed_term = 0;
  /// Last entry of the member's log.
  LogPosition last_entry;
};

/// Tracks one primary during one term. Not thread safe. Every query is
/// O(members).
template <SafetyRules Rules = AllSafetyRules>
class WriteAcknowledgementTracker {
 public:
  WriteAcknowledgementTracker(std::vector<std::string> members,
                              std::string primary,
                              std::int64_t term,
                              AcknowledgementMode mode)
      : members_(std::move(members)),
        primary_(std::move(primary)),
        term_(term),
        mode_(mode) {}

  /// Stores a member's sample, unless one that was requested later is already
  /// stored.
  void Note(std::string_view member, const MemberLogSample& sample) {
    auto [it, is_new] = samples_.try_emplace(std::string(member), sample);
    if (!is_new && sample.requested_at >= it->second.requested_at) {
      it->second = sample;
    }
  }

  /// Returns whether the write at `position` of this term's log may be
  /// acknowledged now. `committed_at` is the time at which the primary answered
  /// the commit, `lease_valid` whether this instance holds its lease.
  auto MayAcknowledge(std::int64_t position,
                      Time committed_at,
                      bool lease_valid) const -> bool {
    if (!lease_valid) {
      return IsConfirmedWithoutLease(position, committed_at);
    }
    return mode_ == AcknowledgementMode::kPrimary || members_.size() == 1 ||
           AnyReplicaHolds(position);
  }

  /// Returns a time at which the primary is proved to have led: every
  /// member was sampled at or after it and still followed this term. nullopt if
  /// a member has no sample or follows another term.
  auto PrimaryConfirmedSince() const -> std::optional<Time> {
    std::optional<Time> since;
    for (const auto& it : members_) {
      const auto sample = samples_.find(it);
      if (sample == samples_.end() || sample->second.followed_term != term_) {
        return std::nullopt;
      }
      since = std::min(since.value_or(sample->second.requested_at),
                       sample->second.requested_at);
    }
    return since;
  }

 private:
  auto HoldsEntry(const MemberLogSample& sample, std::int64_t position) const
      -> bool {
    const auto own_entry =
        !Rules::kRequireOwnTermEntry || sample.last_entry.term == term_;
    return sample.followed_term == term_ && own_entry &&
           sample.last_entry.position >= position;
  }

  auto AnyReplicaHolds(std::int64_t position) const -> bool {
    return std::any_of(samples_.begin(), samples_.end(), [&](const auto& it) {
      return it.first != primary_ && HoldsEntry(it.second, position);
    });
  }

  auto IsConfirmedWithoutLease(std::int64_t position, Time committed_at) const
      -> bool {
    const auto confirming = static_cast<std::size_t>(
        std::count_if(samples_.begin(), samples_.end(), [&](const auto& it) {
          return it.second.requested_at >= committed_at &&
                 HoldsEntry(it.second, position);
        }));
    const auto primary = samples_.find(primary_);
    const auto primary_confirms =
        primary != samples_.end() &&
        primary->second.requested_at >= committed_at &&
        HoldsEntry(primary->second, position);
    const auto needed = Rules::kRequireAllConfirmations
                            ? members_.size()
                            : members_.size() / 2 + 1;
    return primary_confirms && confirming >= needed;
  }

  std::vector<std::string> members_;
  std::string primary_;
  std::int64_t term_;
  AcknowledgementMode mode_;
  std::map<std::string, MemberLogSample, std::less<>> samples_;
};

}  // namespace kingcuplock

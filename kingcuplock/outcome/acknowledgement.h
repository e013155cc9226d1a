#pragma once

/// Decides when a committed write may be acknowledged.
///
/// Example:
///   WriteAcknowledgementTracker<> acks({"a", "b", "c"}, "a", term, mode);
///   acks.Note("b", {.asked = sent, .follows = term, .last_entry = place});
///   if (acks.MayAcknowledge(position, committed_at, lease_valid)) { Answer();
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
#include "kingcuplock/session/log_place.h"

namespace kingcuplock {

/// What a member said of its log.
struct MemberLogSample {
  /// When the sample was asked for.
  Time requested_at{};
  /// Term that the member follows.
  std::int64_t followed_term = 0;
  /// Its last log entry.
  LogPosition last_entry;
};

/// One primary in one term. Not thread safe; O(members) per question.
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

  /// Notes a member's newest sample. Samples asked for earlier than the one
  /// already known are ignored.
  void Note(std::string_view member, const MemberLogSample& sample) {
    auto [it, is_new] = samples_.try_emplace(std::string(member), sample);
    if (!is_new && sample.requested_at >= it->second.requested_at) {
      it->second = sample;
    }
  }

  /// Returns whether a write at `position` of this term's log, whose commit
  /// was answered at `committed_at`, may be acknowledged now.
  auto MayAcknowledge(std::int64_t position,
                      Time committed_at,
                      bool lease_valid) const -> bool {
    if (!lease_valid) {
      return ConfirmedWithoutLease(position, committed_at);
    }
    return mode_ == AcknowledgementMode::kPrimary || members_.size() == 1 ||
           OnAReplica(position);
  }

  /// Returns a time at which the primary surely led, because every member was
  /// asked at or after it and still followed this term; nullopt if one did not.
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
  auto Holds(const MemberLogSample& sample, std::int64_t position) const
      -> bool {
    const auto own_entry =
        !Rules::kRequireOwnTermEntry || sample.last_entry.term == term_;
    return sample.followed_term == term_ && own_entry &&
           sample.last_entry.position >= position;
  }

  auto OnAReplica(std::int64_t position) const -> bool {
    return std::any_of(samples_.begin(), samples_.end(), [&](const auto& it) {
      return it.first != primary_ && Holds(it.second, position);
    });
  }

  auto ConfirmedWithoutLease(std::int64_t position, Time committed_at) const
      -> bool {
    const auto confirming = static_cast<std::size_t>(
        std::count_if(samples_.begin(), samples_.end(), [&](const auto& it) {
          return it.second.requested_at >= committed_at &&
                 Holds(it.second, position);
        }));
    const auto primary = samples_.find(primary_);
    const auto primary_confirms =
        primary != samples_.end() &&
        primary->second.requested_at >= committed_at &&
        Holds(primary->second, position);
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

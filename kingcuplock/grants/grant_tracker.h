#pragma once

/// An instance's grant for one group, and what waits for one: positions of the
/// primary's log, which may only be used as floors of reads if the member that
/// told them still led then.
///
/// Example:
///   GrantTracker user;
///   const auto ask = user.BeginRequest(now);
///   user.NoteGiven(ask, grant);
///   for (const auto& it : user.TakeProvedSamples(now)) { Use(it); }

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/grants/primary_grant.h"
#include "kingcuplock/session/log_place.h"

namespace kingcuplock {

/// Where a member's log ended at `sent` or later.
struct LogEndSample {
  std::string member;
  Time sent{};
  LogPlace place;
};

/// Not thread safe.
class GrantTracker {
 public:
  /// Samples that wait for a grant at most; the oldest go first.
  static constexpr std::size_t kMaxPendingSamples = 32;

  /// Returns the grant in force, or the last one.
  auto grant() const -> const PrimaryGrant& { return grant_; }

  /// Returns whether `member` leads at `now` and a statement's way later.
  auto Covers(std::string_view member, Time now) const -> bool {
    return grant_.Covers(member, now);
  }

  /// Begins to ask and returns the request's number; nullopt if a request is
  /// under way.
  auto BeginRequest(Time now) -> std::optional<std::int64_t> {
    used_ = true;
    if (asked_) {
      return std::nullopt;
    }
    asked_ = now;
    sent_ = now;
    used_ = false;
    return ++ask_;
  }

  /// Returns when the request `ask` was sent, if it still counts.
  auto SentTimeIfPending(std::int64_t ask) const -> std::optional<Time> {
    return ask == ask_ ? asked_ : std::nullopt;
  }

  /// Returns when the newest request was sent if `ask` is it, also once it has
  /// ended.
  auto SentTimeIfNewest(std::int64_t ask) const -> std::optional<Time> {
    return ask == ask_ ? std::optional(sent_) : std::nullopt;
  }

  /// Returns whether a request is under way.
  auto HasPendingRequest() const -> bool { return asked_.has_value(); }

  /// Ends the request under way.
  auto EndRequest() -> void { asked_.reset(); }

  /// Takes a grant, unless a newer term is known.
  auto AcceptGrant(const PrimaryGrant& grant) -> void {
    if (grant.term > grant_.term ||
        (grant.term == grant_.term && grant.until > grant_.until)) {
      grant_ = grant;
    }
  }

  /// The member refused as it does not lead.
  auto InvalidateGrant(std::string_view member) -> void {
    if (grant_.member == member) {
      grant_.until = Time{};
    }
  }

  /// Notes that the grant was of use, so that it is renewed.
  auto NoteGrantUse() -> void { used_ = true; }

  /// Returns whether it was of use since it was asked for.
  auto WasGrantUsed() const -> bool { return used_; }

  /// Keeps a sample until a grant proves it.
  auto AddPendingSample(LogEndSample sample) -> void {
    if (samples_.size() >= kMaxPendingSamples) {
      samples_.pop_front();
    }
    samples_.push_back(std::move(sample));
  }

  /// Returns and forgets the samples that the grant proves at `now`, oldest
  /// first.
  auto TakeProvedSamples(Time now) -> std::vector<LogEndSample> {
    std::vector<LogEndSample> out;
    if (!grant_.Covers(grant_.member, now)) {
      return out;
    }
    for (auto& it : samples_) {
      if (it.member == grant_.member) {
        out.push_back(std::move(it));
      }
    }
    samples_.clear();
    return out;
  }

 private:
  PrimaryGrant grant_;
  std::optional<Time> asked_;
  Time sent_{};
  std::int64_t ask_ = 0;
  bool used_ = false;
  std::deque<LogEndSample> samples_;
};

}  // namespace kingcuplock

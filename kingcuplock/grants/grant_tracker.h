#pragma once

/// Tracks one instance's grant for a group, the request for the next grant, and
/// the log positions that wait for one. A position that a member reported may
/// be used as the lower bound for reads only if that member was still the
/// primary at that time, which a later grant proves.
///
/// Example:
///   GrantTracker tracker;
///   if (const auto ask = tracker.BeginRequest(now)) { SendRequest(*ask); }
///   // When the answer to `ask` arrives:
///   if (const auto sent = tracker.SentTimeIfPending(ask)) {
///     tracker.EndRequest();
///     tracker.AcceptGrant(GrantFromHolder(member, term, *sent, now, lasts));
///   }
///   for (const auto& it : tracker.TakeProvedSamples(now)) { UseAsFloor(it); }

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/grants/primary_grant.h"
#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// The end of a member's log, as the member read it at `sent` or later.
struct LogEndSample {
  std::string member;
  Time sent{};
  LogPosition place;
};

/// Not thread safe.
class GrantTracker {
 public:
  /// Largest number of samples that wait for a grant; beyond it, the oldest is
  /// discarded.
  static constexpr std::size_t kMaxPendingSamples = 32;

  /// Returns the newest grant, which may have expired; one without a member if
  /// there was none.
  auto grant() const -> const PrimaryGrant& { return grant_; }

  /// Returns whether a statement sent to `member` at `now` arrives while the
  /// grant proves that `member` is the primary.
  auto Covers(std::string_view member, Time now) const -> bool {
    return grant_.Covers(member, now);
  }

  /// Starts a request at `now` and returns its number. Returns nullopt if one
  /// is pending; the grant then counts as used.
  auto BeginRequest(Time now) -> std::optional<std::int64_t> {
    used_ = true;
    if (pending_sent_) {
      return std::nullopt;
    }
    pending_sent_ = now;
    newest_sent_ = now;
    used_ = false;
    return ++newest_request_;
  }

  /// Returns when the request `ask` was sent if it is still pending, otherwise
  /// nullopt.
  auto SentTimeIfPending(std::int64_t ask) const -> std::optional<Time> {
    return ask == newest_request_ ? pending_sent_ : std::nullopt;
  }

  /// Returns when the request `ask` was sent if it is the newest one, whether
  /// pending or ended; otherwise nullopt.
  auto SentTimeIfNewest(std::int64_t ask) const -> std::optional<Time> {
    return ask == newest_request_ ? std::optional(newest_sent_) : std::nullopt;
  }

  /// Returns whether a request is pending.
  auto HasPendingRequest() const -> bool { return pending_sent_.has_value(); }

  /// Ends the pending request, if any.
  auto EndRequest() -> void { pending_sent_.reset(); }

  /// Replaces the current grant if `grant` has a newer term, or the same term
  /// and a later end.
  auto AcceptGrant(const PrimaryGrant& grant) -> void {
    if (grant.term > grant_.term ||
        (grant.term == grant_.term && grant.until > grant_.until)) {
      grant_ = grant;
    }
  }

  /// Invalidates the grant for `member`, which refused a statement because it
  /// is not the primary.
  auto InvalidateGrant(std::string_view member) -> void {
    if (grant_.member == member) {
      grant_.until = Time{};
    }
  }

  /// Records that the grant was used, so that it is renewed before it ends.
  auto NoteGrantUse() -> void { used_ = true; }

  /// Returns whether the grant was used since the newest request was sent.
  auto WasGrantUsed() const -> bool { return used_; }

  /// Keeps `sample` until a grant proves that its member was the primary.
  auto AddPendingSample(LogEndSample sample) -> void {
    if (pending_samples_.size() >= kMaxPendingSamples) {
      pending_samples_.pop_front();
    }
    pending_samples_.push_back(std::move(sample));
  }

  /// Returns the samples of the member that the grant names, oldest first, and
  /// discards all samples. Returns none and keeps them if the grant does not
  /// cover `now`.
  auto TakeProvedSamples(Time now) -> std::vector<LogEndSample> {
    std::vector<LogEndSample> out;
    if (!grant_.Covers(grant_.member, now)) {
      return out;
    }
    for (auto& it : pending_samples_) {
      if (it.member == grant_.member) {
        out.push_back(std::move(it));
      }
    }
    pending_samples_.clear();
    return out;
  }

 private:
  PrimaryGrant grant_;
  std::optional<Time> pending_sent_;
  Time newest_sent_{};
  std::int64_t newest_request_ = 0;
  bool used_ = false;
  std::deque<LogEndSample> pending_samples_;
};

}  // namespace kingcuplock

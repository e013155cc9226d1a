#pragma once

/// Adaptive limit on the statements that one instance has in flight at one
/// member. Instances share the member's slots without communicating. A member
/// runs statements in order of arrival, so one that is sent too early waits
/// there, where priorities and deadlines have no effect.
///
/// The limit starts near this instance's even share of the slots and follows
/// the shortest response time over a few statements: a standing queue at the
/// member delays every one of them (CoDel, RFC 8289). Additive increase and
/// multiplicative decrease bring the instances to equal shares (D. Chiu and R.
/// Jain, 1989). The fractional part of a limit, or a limit below one, is kept
/// by pauses between statements.
///
/// Example:
///   ConcurrencyLimit limit(options);
///   if (limit.MayStart(now, urgent)) { limit.NoteStatementSent(); Send(); }
///   limit.NoteAnswer(now, took);

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Values from which a limit is computed.
struct ConcurrencyLimitOptions {
  /// Statements that the member runs at once.
  std::int64_t slots = 1;
  /// Instances that send to the member.
  std::int64_t instances = 1;
  /// Connections of this instance to the member, each for one statement: the
  /// upper bound of the limit.
  std::int64_t max_connections = 1;
  /// Response time of the shortest statements, their wait and their work, above
  /// which the member is taken to have a standing queue.
  Duration queue_threshold{Milliseconds(25)};
};

/// Not thread safe; O(1).
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencyLimitOptions& options) {
    SetOptions(options);
  }

  /// Replaces the options. A limit that has adapted to the member is kept,
  /// within the new bounds.
  auto SetOptions(const ConcurrencyLimitOptions& options) -> void {
    options_ = options;
    limit_ =
        learnt_ ? std::clamp(limit_, MinLimit(), MaxLimit()) : InitialLimit();
  }

  /// Returns whether a statement may be sent. An urgent one may be sent during
  /// a pause, which then becomes longer for the others.
  auto MayStart(Time now, bool urgent) const -> bool {
    const auto whole = std::floor(limit_);
    const auto running = static_cast<double>(in_flight_);
    return running < whole || (running < whole + 1 && Fraction() > 0 &&
                               (urgent || now >= resumes_));
  }

  /// Returns when the pause ends that keeps statements from being sent; nullopt
  /// if no pause does.
  auto PauseEndsAt(Time now) const -> std::optional<Time> {
    const auto waits = static_cast<double>(in_flight_) == std::floor(limit_) &&
                       Fraction() > 0 && now < resumes_;
    return waits ? std::optional(resumes_) : std::nullopt;
  }

  /// Records that a statement is sent.
  auto NoteStatementSent() -> void { ++in_flight_; }

  /// Records that statements wait because the limit is reached; otherwise the
  /// limit is not raised.
  auto NoteWaiting() -> void { limit_reached_ = true; }

  /// Records that a statement ran and was answered after `took`.
  auto NoteAnswer(Time now, Duration took) -> void {
    FinishStatement(now, took);
    shortest_ = std::min(shortest_.value_or(took), took);
    ++answers_;
    const auto enough =
        std::max<std::int64_t>(kWindowAnswers, std::llround(limit_));
    if (answers_ >= enough ||
        (answers_ >= kMinWindowAnswers && now - window_start_ >= kLongWindow)) {
      AdjustLimit(now);
    }
  }

  /// Records that the member refused a statement for lack of room, after
  /// `took`. Halves the limit, at most once per kLongWindow.
  auto NoteBusy(Time now, Duration took) -> void {
    FinishStatement(now, took);
    if (now >= no_halving_before_) {
      learnt_ = true;
      limit_ = std::max(limit_ / 2, MinLimit());
      no_halving_before_ = now + kLongWindow;
    }
    Begin(now);
  }

  /// Records that a statement ended in any other way.
  auto NoteEnd(Time now) -> void { FinishStatement(now, Duration::zero()); }

  auto limit() const -> double { return limit_; }
  auto in_flight() const -> std::int64_t { return in_flight_; }

 private:
  /// Number of answers per adjustment, of which the shortest time counts:
  /// enough that one of them is short if the member has no standing queue.
  static constexpr std::int64_t kWindowAnswers = 8;
  /// Number of answers that suffice after kLongWindow, where few statements are
  /// sent.
  static constexpr std::int64_t kMinWindowAnswers = 3;
  /// Time in ms for which an instance with a small share waits for answers:
  /// several times as long as a statement takes.
  static constexpr Milliseconds kLongWindow{500};
  /// Number of shares of the slots with which the limit starts: the other
  /// instances seldom use all of theirs.
  static constexpr double kStartShares = 2;
  /// Fraction of its share below which an instance never limits itself.
  static constexpr double kMinShares = 0.5;
  /// Fraction of a share by which the limit is raised while the member has
  /// room.
  static constexpr double kRaiseShares = 0.25;
  /// Factor of a raise, up to a limit of one statement, while the member is far
  /// from a standing queue. Where a share is small, it soon restores a limit
  /// that an overload has lowered.
  static constexpr double kFastRaiseFactor = 1.5;
  /// Smallest factor of one decrease.
  static constexpr double kMinDecreaseFactor = 0.7;
  /// Number of pauses by which urgent statements may delay the others.
  static constexpr int kMaxPendingPauses = 3;
  /// Fractional part of a limit that is ignored, as too small to keep by a
  /// pause.
  static constexpr double kMinFraction = 0.02;

  auto Share() const -> double {
    return static_cast<double>(std::max<std::int64_t>(options_.slots, 1)) /
           static_cast<double>(std::max<std::int64_t>(options_.instances, 1));
  }
  auto MinLimit() const -> double {
    return std::min(Share() * kMinShares, 1.0);
  }
  auto MaxLimit() const -> double {
    return std::max<double>(static_cast<double>(options_.max_connections), 1);
  }
  auto InitialLimit() const -> double {
    return std::clamp(Share() * kStartShares, 1.0, MaxLimit());
  }
  auto Fraction() const -> double {
    const auto fraction = limit_ - std::floor(limit_);
    return fraction < kMinFraction ? 0 : fraction;
  }

  /// Counts a statement as ended. One that only the fractional part of the
  /// limit has allowed is followed by a pause, the longer the smaller the
  /// fraction.
  auto FinishStatement(Time now, Duration took) -> void {
    const auto fraction = Fraction();
    if (static_cast<double>(in_flight_) > std::floor(limit_) && fraction > 0) {
      const auto pause =
          std::chrono::duration_cast<Duration>(took * (1 / fraction - 1));
      resumes_ = std::max(resumes_, now) + pause;
      resumes_ = std::min(resumes_, now + std::chrono::duration_cast<Duration>(
                                              kMaxPendingPauses * pause));
    }
    in_flight_ = std::max<std::int64_t>(in_flight_ - 1, 0);
  }

  /// Starts to count the answers of the next adjustment.
  auto Begin(Time now) -> void {
    answers_ = 0;
    shortest_.reset();
    limit_reached_ = false;
    window_start_ = now;
  }

  /// Lowers the limit if even the shortest response time shows a standing
  /// queue; otherwise raises it if statements have waited for it.
  auto AdjustLimit(Time now) -> void {
    learnt_ = true;
    if (*shortest_ > options_.queue_threshold) {
      const auto factor =
          std::chrono::duration<double>(options_.queue_threshold) /
          std::chrono::duration<double>(*shortest_);
      limit_ *= std::max(factor, kMinDecreaseFactor);
    } else if (limit_reached_) {
      const auto ample = 2 * *shortest_ < options_.queue_threshold;
      const auto fast = std::min(kFastRaiseFactor * limit_, 1.0);
      limit_ = std::max(limit_ + kRaiseShares * Share(), ample ? fast : 0);
    }
    limit_ = std::clamp(limit_, MinLimit(), MaxLimit());
    Begin(now);
  }

  ConcurrencyLimitOptions options_;
  double limit_ = 1;
  bool learnt_ = false;
  std::int64_t in_flight_ = 0;
  Time resumes_{};
  std::optional<Duration> shortest_;
  std::int64_t answers_ = 0;
  Time window_start_{};
  Time no_halving_before_{};
  bool limit_reached_ = false;
};

}  // namespace kingcuplock

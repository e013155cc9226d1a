#pragma once

/// Limit on the statements that one instance has in flight at one member, where
/// instances share the member's slots without talking. A member runs what comes
/// first come first served, so what is sent too early waits there, out of reach
/// of priorities and deadlines.
///
/// The limit begins near this instance's even share of the slots and follows
/// the shortest time at the member over a few statements: a queue that stands
/// there shows in every one of them (CoDel, RFC 8289), and multiplicative
/// decrease with additive increase brings the instances to equal shares (D.
/// Chiu and R. Jain, 1989). A share below one is held by pauses.
///
/// Example:
///   ConcurrencyLimit limit(options);
///   if (limit.MayStart(now, urgent)) { limit.NoteStatementSent(now); Send(); }
///   limit.NoteAnswer(now, took);

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// What a limit is derived from.
struct ConcurrencyLimitOptions {
  /// Statements that the member runs at once.
  std::int64_t slots = 1;
  /// Instances that send to it.
  std::int64_t instances = 1;
  /// Statements that this instance has connections for.
  std::int64_t max_connections = 1;
  /// Time at the member, wait and work of the shortest statements, above which
  /// a queue stands there.
  Duration queue_threshold{Milliseconds(25)};
};

/// Not thread safe; O(1).
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencyLimitOptions& options) {
    SetOptions(options);
  }

  /// Takes new options; what was learnt stays.
  auto SetOptions(const ConcurrencyLimitOptions& options) -> void {
    options_ = options;
    limit_ = learnt_ ? std::clamp(limit_, Least(), Most()) : Start();
  }

  /// Returns whether a statement may be sent. An urgent one need not wait for
  /// the end of a pause; others make up for it.
  auto MayStart(Time now, bool urgent) const -> bool {
    const auto whole = std::floor(limit_);
    const auto flying = static_cast<double>(in_flight_);
    return flying < whole || (flying < whole + 1 && Fraction() > 0 &&
                              (urgent || now >= resumes_));
  }

  /// Returns when the pause ends that keeps statements back; nullopt if none
  /// does.
  auto PauseEndsAt(Time now) const -> std::optional<Time> {
    const auto waits = static_cast<double>(in_flight_) == std::floor(limit_) &&
                       Fraction() > 0 && now < resumes_;
    return waits ? std::optional(resumes_) : std::nullopt;
  }

  /// Notes that a statement is sent.
  auto NoteStatementSent() -> void { ++in_flight_; }

  /// Notes that statements wait as the limit is reached.
  auto NoteWaiting() -> void { binding_ = true; }

  /// A statement ran and was answered after `took`.
  auto NoteAnswer(Time now, Duration took) -> void {
    End(now, took);
    shortest_ = std::min(shortest_.value_or(took), took);
    ++answers_;
    const auto enough = std::max<std::int64_t>(kAnswers, std::llround(limit_));
    if (answers_ >= enough ||
        (answers_ >= kFewAnswers && now - began_ >= kLongWindow)) {
      Judge(now);
    }
  }

  /// The member had no room for a statement, after `took`.
  auto NoteBusy(Time now, Duration took) -> void {
    End(now, took);
    if (now >= no_halving_before_) {
      learnt_ = true;
      limit_ = std::max(limit_ / 2, Least());
      no_halving_before_ = now + kLongWindow;
    }
    Begin(now);
  }

  /// A statement ended otherwise.
  auto NoteEnd(Time now) -> void { End(now, Duration::zero()); }

  auto limit() const -> double { return limit_; }
  auto in_flight() const -> std::int64_t { return in_flight_; }

 private:
  /// Answers of which the shortest time is taken: enough that one of them is
  /// short if no queue stands at the member.
  static constexpr std::int64_t kAnswers = 8;
  /// Answers that do after kLongWindow, where few are sent.
  static constexpr std::int64_t kFewAnswers = 3;
  /// Time in ms for which an instance with a small share waits for answers:
  /// some times as long as a statement takes.
  static constexpr Milliseconds kLongWindow{500};
  /// Shares of the slots at the start: the others seldom use theirs whole.
  static constexpr double kStartShares = 2;
  /// RatioAt of its share that an instance keeps whatever it observes.
  static constexpr double kLeastShares = 0.5;
  /// RatioAt of a share that is added while there is room at the member.
  static constexpr double kRaise = 0.25;
  /// Factor of a raise, up to one statement, while the member is far from a
  /// standing queue: a limit that an overload left low is back soon where a
  /// share is small.
  static constexpr double kFastRaise = 1.5;
  /// Least factor of one decrease.
  static constexpr double kLowest = 0.7;
  /// Pauses that urgent statements may run up.
  static constexpr int kDebt = 3;
  /// RatioAt of a statement that is too small to hold a pause for.
  static constexpr double kNoFraction = 0.02;

  auto Share() const -> double {
    return static_cast<double>(std::max<std::int64_t>(options_.slots, 1)) /
           static_cast<double>(std::max<std::int64_t>(options_.instances, 1));
  }
  auto Least() const -> double { return std::min(Share() * kLeastShares, 1.0); }
  auto Most() const -> double {
    return std::max<double>(static_cast<double>(options_.max_connections), 1);
  }
  auto Start() const -> double {
    return std::clamp(Share() * kStartShares, 1.0, Most());
  }
  auto Fraction() const -> double {
    const auto fraction = limit_ - std::floor(limit_);
    return fraction < kNoFraction ? 0 : fraction;
  }

  auto End(Time now, Duration took) -> void {
    const auto fraction = Fraction();
    if (static_cast<double>(in_flight_) > std::floor(limit_) && fraction > 0) {
      const auto pause =
          std::chrono::duration_cast<Duration>(took * (1 / fraction - 1));
      resumes_ = std::max(resumes_, now) + pause;
      resumes_ = std::min(
          resumes_, now + std::chrono::duration_cast<Duration>(kDebt * pause));
    }
    in_flight_ = std::max<std::int64_t>(in_flight_ - 1, 0);
  }

  auto Begin(Time now) -> void {
    answers_ = 0;
    shortest_.reset();
    binding_ = false;
    began_ = now;
  }

  auto Judge(Time now) -> void {
    learnt_ = true;
    if (*shortest_ > options_.queue_threshold) {
      const auto over =
          std::chrono::duration<double>(options_.queue_threshold) /
          std::chrono::duration<double>(*shortest_);
      limit_ *= std::max(over, kLowest);
    } else if (binding_) {
      const auto ample = 2 * *shortest_ < options_.queue_threshold;
      const auto fast = std::min(kFastRaise * limit_, 1.0);
      limit_ = std::max(limit_ + kRaise * Share(), ample ? fast : 0);
    }
    limit_ = std::clamp(limit_, Least(), Most());
    Begin(now);
  }

  ConcurrencyLimitOptions options_;
  double limit_ = 1;
  bool learnt_ = false;
  std::int64_t in_flight_ = 0;
  Time resumes_{};
  std::optional<Duration> shortest_;
  std::int64_t answers_ = 0;
  Time began_{};
  Time no_halving_before_{};
  bool binding_ = false;
};

}  // namespace kingcuplock

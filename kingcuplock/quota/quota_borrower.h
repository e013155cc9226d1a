#pragma once

/// Operations that this instance may begin, by tenant, and those of its clients
/// that wait for more. Decides how many to ask for and when; sending is left to
/// its owner.
///
/// Example:
///   QuotaBorrower borrower(seed);
///   borrower.SetTenants(directory.tenants());
///   borrower.Begin("tenant-a", now, [](const QuotaDecision& it) { ... });
///   for (auto& it : borrower.TakeWishes(now)) { Send(it); }
///   borrower.OnLoan(loan, asked_at, now);

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "kingcuplock/admission/retry_after.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Whether an operation may begin.
struct QuotaDecision {
  bool admitted = false;
  /// If not: why, and the time in ms after which the client may try again.
  std::string reason = {};
  std::int64_t retry_after_ms = 0;
};

using QuotaCallback = std::function<void(const QuotaDecision&)>;

/// What became of one tenant's operations, for logs and metrics.
struct TenantUse {
  std::string tenant;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
};

/// Not thread safe. Operations are O(log n) in the number of tenants.
class QuotaBorrower {
 public:
  /// Longest time in ms for which an operation waits for a loan. A refusal
  /// after it leaves the client time to try again within its target.
  static constexpr Milliseconds kMaxWait{300};
  /// Time in ms after which an unanswered question counts as lost.
  static constexpr Milliseconds kAnswerTimeout{150};

  explicit QuotaBorrower(std::uint64_t seed) : retry_after_(seed) {}

  /// Replaces the tenants. What was lent before is used up to its end; times at
  /// which lenders promised room are forgotten.
  auto SetTenants(std::span<const TenantConfig> tenants) -> void;

  /// Returns whether the tenant's operations are limited.
  auto IsLimited(const std::string& tenant) const -> bool {
    return tenants_.contains(tenant);
  }

  /// Decides about an operation that is to begin: calls back at once, or once a
  /// loan arrives or can't be had. An unlimited tenant's is admitted.
  auto Begin(const std::string& tenant, Time now, QuotaCallback callback)
      -> void;

  /// Counts a run that repeats an operation's statement. It takes the place of
  /// an operation that begins later.
  auto NoteRepeat(const std::string& tenant) -> void;

  /// Returns what is to be asked for now; those tenants count as asked.
  auto TakeWishes(Time now) -> std::vector<QuotaWish>;

  /// Handles an answer to a question that was sent at `asked`.
  auto OnLoan(const QuotaLoan& loan, Time asked, Time now) -> void;

  /// Handles the loss of a question about these tenants: they may be asked for
  /// again, elsewhere. Operations that have waited for too long are refused.
  auto OnAskLost(std::span<const std::string> tenants, Time now) -> void;

  /// Handles that nobody can be asked about a tenant: refuses what waits.
  auto OnNoLender(const std::string& tenant, Time now) -> void;

  /// Refuses operations that have waited for too long. Returns when to call it
  /// again; nullopt if nothing waits.
  auto RefuseOverdue(Time now) -> std::optional<Time>;

  /// Returns the earliest time at which TakeWishes() has more to ask for
  /// because a tenant gets room; nullopt if there is none.
  auto NextAskAt() const -> std::optional<Time>;

  /// Returns what became of the operations of limited tenants since the start,
  /// and clears none of it. O(n).
  auto Uses() const -> std::vector<TenantUse>;

 private:
  struct Loan {
    std::int64_t left = 0;
    Time until{};
  };
  struct Waiting {
    QuotaCallback callback;
    Time since{};
  };
  struct Account {
    std::deque<Loan> loans;
    std::deque<Waiting> waiting;
    bool asked = false;
    /// Until when nothing is lent; operations are refused if the tenant is
    /// overloaded, and wait otherwise.
    Time no_room_before{};
    bool overloaded = false;
    /// When there is room for what the tenant's clients here offer.
    Time room_for_all{};
    /// Rate of the tenant over all instances, in operations per second.
    double rate_per_s = 0;
    /// Repeats that no loan has covered yet.
    std::int64_t debt = 0;
    /// Operations that began to wait or were decided: of this interval, and the
    /// moving average for one.
    Time interval_began{};
    double in_interval = 0;
    double average = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };

  auto TakeToken(Account& account, Time now) -> bool;
  auto NoteOffered(Account& account, Time now) -> void;
  auto Available(const Account& account, Time now) const -> std::int64_t;
  auto WishOf(const Account& account, Time now) const -> std::int64_t;
  auto Refuse(Account& account,
              Waiting waiting,
              Duration wait,
              std::string_view reason) -> void;
  auto ServeWaiting(Account& account, Time now) -> void;

  std::map<std::string, Account> tenants_;
  /// Tenants that may have more to ask for.
  std::set<std::string> unchecked_;
  RetryAfter retry_after_;
};

}  // namespace kingcuplock

#pragma once

/// One instance's part in limiting tenants over all instances. Each tenant has
/// a lender among the registered instances, which all instances choose alike;
/// the others borrow from it. This class chooses lenders, asks them, lends, and
/// passes on the questions of instances that can't know or reach the lender. It
/// needs no network: messages go through callbacks.
///
/// Example:
///   QuotaExchange quotas("gw-1", limits, timers, std::move(callbacks));
///   quotas.SetTenants(directory.tenants());
///   quotas.SetInstances(names);
///   quotas.Begin("tenant-a", [](const QuotaDecision& it) { ... });

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "kingcuplock/base/callback_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/quota/quota_borrower.h"
#include "kingcuplock/quota/quota_lender.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// What an instance knows of another one.
enum class PeerState {
  /// Messages pass.
  kUp,
  /// No message passes; its process may run.
  kUnreachable,
  /// Its process has ended: its address refuses connections.
  kGone
};

/// What an instance that is up said last of itself. It says so at once when it
/// changes.
struct QuotaPeer {
  std::string name;
  /// Whether it reaches the store, and when it did last.
  bool reaches_store = false;
  Time last_contact{};
  /// QuotaExchange::MayLend() and LendersHash() there.
  bool lends = false;
  std::int64_t lenders_hash = 0;
};

/// For how many of the tenants that it was asked about an instance lends, lends
/// little as another one may lend too, and lends nothing.
struct LendingStates {
  int sole = 0;
  int doubtful = 0;
  int none = 0;

  auto operator==(const LendingStates&) const -> bool = default;
};

/// Callbacks of a QuotaExchange.
struct QuotaExchangeCallbacks {
  /// Sends a question to an instance that is up. Returns whether it was sent.
  std::function<bool(const std::string& instance, const QuotaWanted& wanted)>
      send;
  std::function<PeerState(const std::string& instance)> peer_state;
  /// Notes that an instance did not answer a question that was sent at `since`;
  /// its connection may be dead. May be empty.
  std::function<void(const std::string& instance, Time since)> not_answered;
  /// Returns when this instance reached the store last, from which it learns
  /// who is registered: now if it does.
  std::function<Time()> last_store_contact;
  /// Returns whether its own registration in the store can't have lapsed.
  std::function<bool()> is_registered;
  /// Returns the instances that are up.
  std::function<std::vector<QuotaPeer>()> peers;
  /// What this instance lends has changed, or why. May be empty.
  std::function<void(const LendingStates&)> lending_changed;
};

/// Counts of messages, for metrics.
struct QuotaMessageCounts {
  std::uint64_t asked = 0;
  std::uint64_t answered = 0;
  std::uint64_t relayed = 0;
  std::uint64_t lost = 0;
};

/// Not thread safe.
class QuotaExchange {
 public:
  /// Sends an answer to the instance that asked.
  using ReplyCallback = std::function<void(const QuotaGiven&)>;

  /// Number of instances that lend, at most. Each instance needs a link to each
  /// of them.
  static constexpr std::size_t kMaxLenders = 8;

  /// `timers` has to outlive the exchange.
  QuotaExchange(std::string self,
                QuotaLimits limits,
                TimerService& timers,
                QuotaExchangeCallbacks callbacks);
  ~QuotaExchange();
  QuotaExchange(const QuotaExchange&) = delete;
  auto operator=(const QuotaExchange&) -> QuotaExchange& = delete;

  /// Replaces the tenants.
  auto SetTenants(std::span<const TenantConfig> tenants) -> void;

  /// Sets the registered instances, as the store says.
  auto SetInstances(std::span<const std::string> names) -> void;

  /// Returns whether the tenant's operations are limited.
  auto IsLimited(const std::string& tenant) const -> bool {
    return borrower_.IsLimited(tenant);
  }

  /// Decides about an operation of a tenant; see QuotaBorrower::Begin().
  auto Begin(const std::string& tenant, QuotaCallback callback) -> void;

  /// See QuotaBorrower::NoteRepeat().
  auto NoteRepeat(const std::string& tenant) -> void {
    borrower_.NoteRepeat(tenant);
  }

  /// Handles a question of another instance.
  auto OnWanted(const QuotaWanted& wanted, ReplyCallback reply) -> void;

  /// Handles an answer.
  auto OnGiven(const QuotaGiven& given) -> void;

  /// Returns whether no peer has a newer list of lenders. If the store is lost
  /// for all at one time, all go on with the list that they had.
  auto HasCurrentList() const -> bool;

  /// Returns whether this instance lends the operations of tenants whose lender
  /// it is. It does not once others may have lost sight of it. Peers have to be
  /// told of a change at once, as another instance lends then.
  auto MayLend() const -> bool;

  /// Returns a hash of the list of lenders; 0 for an empty one.
  auto LendersHash() const -> std::int64_t { return lenders_hash_; }

  /// Returns the instances that lend, to which links are needed; empty if no
  /// tenant is limited.
  auto Lenders() const -> std::vector<std::string>;

  auto Uses() const -> std::vector<TenantUse> { return borrower_.Uses(); }
  auto message_counts() const -> const QuotaMessageCounts& { return counts_; }

 private:
  struct Ask {
    std::vector<std::string> tenants;
    Time sent{};
    std::string lender;
    /// For a question that is passed on.
    ReplyCallback reply;
    std::int64_t reply_ask = 0;
  };
  /// A lender, and whether one before it in the order was passed over although
  /// it may lend.
  struct Choice {
    std::string lender;
    bool passed_over = false;
  };

  auto AnyPeerReachesStore() const -> bool;
  auto CanLend(const std::string& lender,
               std::span<const QuotaPeer> peers) const -> bool;
  auto IsTakeoverDoubtful(const std::string& tenant) -> bool;
  auto Order(const std::string& tenant) -> const std::vector<std::string>&;
  auto ChooseLender(const std::string& tenant) -> std::optional<Choice>;
  auto OwnState(const std::string& tenant) -> std::optional<LenderState>;
  auto Lend(const QuotaWish& wish) -> QuotaLoan;
  auto CheckOwnStates() -> void;
  auto ScheduleStateCheck() -> void;
  auto ScheduleAsk(Duration delay) -> void;
  auto AskNow() -> void;
  auto AskThroughPeer(std::vector<QuotaWish> wishes) -> void;
  auto SendAsk(const std::string& to,
               bool relay,
               std::vector<QuotaWish> wishes,
               ReplyCallback reply,
               std::int64_t reply_ask) -> void;
  auto OnAskTimeout(std::int64_t ask) -> void;
  auto IsSilent(const std::string& instance) const -> bool;

  std::string self_;
  TimerService& timers_;
  QuotaExchangeCallbacks callbacks_;
  CallbackGuard guard_;
  Time started_;
  QuotaBorrower borrower_;
  QuotaLender lender_;
  std::vector<std::string> limited_tenants_;
  std::vector<std::string> lenders_;
  /// Order of the lenders by tenant.
  std::map<std::string, std::vector<std::string>> orders_;
  /// When this instance became the first lender of a tenant, and in whose
  /// place; empty if that one is not registered any more.
  struct Takeover {
    Time since{};
    std::string former;
  };
  std::map<std::string, Takeover> takeovers_;
  std::map<std::int64_t, Ask> asks_;
  std::int64_t last_ask_ = 0;
  /// Until when lenders that did not answer are passed over.
  std::map<std::string, Time> silent_until_;
  std::int64_t lenders_hash_ = 0;
  LendingStates lending_states_;
  /// Whether a timer checks regularly what this instance may lend.
  bool checking_states_ = false;
  std::optional<Time> ask_at_;
  TimerId ask_timer_ = 0;
  QuotaMessageCounts counts_;
};

}  // namespace kingcuplock

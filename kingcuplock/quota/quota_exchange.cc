#include "kingcuplock/quota/quota_exchange.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "kingcuplock/routing/rendezvous.h"

namespace kingcuplock {
namespace {

/// Number of bits by which hashes are shortened, so that every JSON reader
/// takes them exactly.
constexpr int kHashShift = 12;
/// Key by which the lenders are chosen among the instances.
constexpr std::string_view kLenderKey = "quota lenders";
/// Time in ms for which a lender that did not answer is passed over.
constexpr Milliseconds kSilentTime{500};
/// Time in ms within which the former lender hears that this one has returned.
constexpr Milliseconds kNewsTime{200};
/// Time in ms for which a lender that returns takes another one to lend on that
/// is cut off. A registration and a loan end within it.
constexpr Milliseconds kTakeoverDoubt{3500};
/// Time in ms since its start in which an instance is taken to have returned
/// together with all others.
constexpr Milliseconds kYoungInstance{3000};
/// Interval in ms at which a lender checks whether it is still the one.
constexpr Milliseconds kStateCheckInterval{200};
/// Time in ms after which an instance that is no lender is asked again.
constexpr Milliseconds kNotLenderRoomTime{50};

}  // namespace

QuotaExchange::QuotaExchange(std::string self,
                             QuotaLimits limits,
                             TimerService& timers,
                             QuotaExchangeCallbacks callbacks)
    : self_(std::move(self)),
      timers_(timers),
      callbacks_(std::move(callbacks)),
      started_(timers.Now()),
      borrower_(XXH64(self_.data(), self_.size(), 0)),
      lender_(limits) {}

QuotaExchange::~QuotaExchange() {
  timers_.Cancel(ask_timer_);
}

auto QuotaExchange::SetTenants(std::span<const TenantConfig> tenants) -> void {
  limited_tenants_.clear();
  for (const auto& it : tenants) {
    if (it.limited) {
      limited_tenants_.push_back(it.name);
    }
  }
  orders_.clear();
  lender_.SetTenants(tenants, timers_.Now());
  borrower_.SetTenants(tenants);
  ScheduleAsk(Duration::zero());
}

auto QuotaExchange::SetInstances(std::span<const std::string> names) -> void {
  auto lenders = RendezvousOrder(kLenderKey, names);
  if (lenders.size() > kMaxLenders) {
    lenders.resize(kMaxLenders);
  }
  if (lenders == lenders_) {
    return;
  }
  lenders_ = std::move(lenders);
  lenders_hash_ = 0;
  for (const auto& it : lenders_) {
    lenders_hash_ = static_cast<std::int64_t>(
        XXH64(it.data(), it.size(), static_cast<XXH64_hash_t>(lenders_hash_)) >>
        kHashShift);
  }
  const auto former_orders = std::exchange(orders_, {});
  for (const auto& it : limited_tenants_) {
    const auto& order = Order(it);
    const auto former = former_orders.find(it);
    const auto first_before =
        former == former_orders.end() || former->second.empty()
            ? std::string()
            : former->second.front();
    if (order.empty() || order.front() != self_) {
      takeovers_.erase(it);
    } else if (first_before != self_) {
      const auto registered =
          std::find(names.begin(), names.end(), first_before) != names.end();
      takeovers_[it] = {timers_.Now(), registered ? first_before : ""};
    }
  }
  CheckOwnStates();
}

// Buckets fill only while this instance is the one that lends; meanwhile
// another one may have lent as much.
auto QuotaExchange::CheckOwnStates() -> void {
  LendingStates states;
  for (const auto& it : lender_.Tenants()) {
    const auto state = OwnState(it);
    ++(!state                             ? states.none
       : *state == LenderState::kDoubtful ? states.doubtful
                                          : states.sole);
    if (state != LenderState::kSole) {
      lender_.NoteInterrupted(it, timers_.Now());
    }
    if (!state && Order(it).size() > 1 && Order(it).front() == self_) {
      // The next in the order lends meanwhile.
      takeovers_[it] = {timers_.Now(), Order(it)[1]};
    }
  }
  if (std::exchange(lending_states_, states) != states &&
      callbacks_.lending_changed) {
    callbacks_.lending_changed(states);
  }
}

auto QuotaExchange::Lenders() const -> std::vector<std::string> {
  return limited_tenants_.empty() ? std::vector<std::string>() : lenders_;
}

auto QuotaExchange::Order(const std::string& tenant)
    -> const std::vector<std::string>& {
  auto& order = orders_[tenant];
  if (order.empty()) {
    order = RendezvousOrder(tenant, lenders_);
  }
  return order;
}

// Of two lists that differ, the one of the instance that reached the store
// later is newer.
auto QuotaExchange::HasCurrentList() const -> bool {
  const auto contact = callbacks_.last_store_contact();
  if (lenders_.empty()) {
    return false;
  }
  if (contact >= timers_.Now()) {
    return true;
  }
  const auto peers = callbacks_.peers();
  return std::none_of(peers.begin(), peers.end(), [&](const auto& it) {
    const auto later =
        it.reaches_store || it.last_contact > contact ||
        (it.last_contact == contact && it.lenders_hash > lenders_hash_);
    return it.lenders_hash != 0 && it.lenders_hash != lenders_hash_ && later;
  });
}

auto QuotaExchange::AnyPeerReachesStore() const -> bool {
  const auto peers = callbacks_.peers();
  return std::any_of(peers.begin(), peers.end(),
                     [](const auto& it) { return it.reaches_store; });
}

// An instance that is cut off from the store gives the role up as soon as a
// peer still reaches the store. If the store is lost for all, it lends on; once
// its registration may have lapsed, only while every other lender is up or
// gone, so that one which reaches the store would be heard.
auto QuotaExchange::MayLend() const -> bool {
  if (!HasCurrentList()) {
    return false;
  }
  if (callbacks_.last_store_contact() >= timers_.Now()) {
    return true;
  }
  const auto hears_all =
      std::none_of(lenders_.begin(), lenders_.end(), [this](const auto& it) {
        return it != self_ &&
               callbacks_.peer_state(it) == PeerState::kUnreachable;
      });
  return !AnyPeerReachesStore() && (callbacks_.is_registered() || hears_all);
}

// Returns whether another lender may lend: its process may run, and it has not
// said that it gave the role up.
auto QuotaExchange::CanLend(const std::string& lender,
                            std::span<const QuotaPeer> peers) const -> bool {
  const auto it =
      std::find_if(peers.begin(), peers.end(),
                   [&](const auto& peer) { return peer.name == lender; });
  return callbacks_.peer_state(lender) != PeerState::kGone &&
         (it == peers.end() || it->lends);
}

// Returns whether the instance that lent before this one may not know yet
// that it has been replaced, as it is cut off from this one and from the store.
// It stops by itself once its registration may have lapsed.
auto QuotaExchange::IsTakeoverDoubtful(const std::string& tenant) -> bool {
  const auto it = takeovers_.find(tenant);
  if (it == takeovers_.end() || it->second.former.empty() ||
      it->second.since - started_ < kYoungInstance) {
    return false;
  }
  const auto passed = timers_.Now() - it->second.since;
  return passed < kNewsTime ||
         (passed < kTakeoverDoubt &&
          callbacks_.peer_state(it->second.former) == PeerState::kUnreachable);
}

auto QuotaExchange::IsSilent(const std::string& instance) const -> bool {
  const auto it = silent_until_.find(instance);
  return it != silent_until_.end() && timers_.Now() < it->second;
}

auto QuotaExchange::ChooseLender(const std::string& tenant)
    -> std::optional<Choice> {
  const auto peers = callbacks_.peers();
  const auto lends = MayLend();
  auto passed_over = false;
  for (const auto& it : Order(tenant)) {
    if (it == self_ && lends) {
      return Choice{it, passed_over};
    }
    if (it == self_ || !CanLend(it, peers)) {
      continue;
    }
    if (callbacks_.peer_state(it) == PeerState::kUp && !IsSilent(it)) {
      return Choice{it, passed_over};
    }
    passed_over = true;
  }
  return std::nullopt;
}

// Returns nullopt if this instance must not lend.
auto QuotaExchange::OwnState(const std::string& tenant)
    -> std::optional<LenderState> {
  if (!MayLend()) {
    return std::nullopt;
  }
  const auto peers = callbacks_.peers();
  for (const auto& it : Order(tenant)) {
    if (it == self_) {
      return IsTakeoverDoubtful(tenant) ? LenderState::kDoubtful
                                        : LenderState::kSole;
    }
    if (CanLend(it, peers)) {
      const auto& order = Order(tenant);
      const auto is_lender =
          std::find(order.begin(), order.end(), self_) != order.end();
      return is_lender ? std::optional(LenderState::kDoubtful) : std::nullopt;
    }
  }
  return std::nullopt;
}

auto QuotaExchange::ScheduleStateCheck() -> void {
  if (std::exchange(checking_states_, true)) {
    return;
  }
  timers_.After(kStateCheckInterval, guard_.Bind([this] {
    checking_states_ = false;
    CheckOwnStates();
    ScheduleStateCheck();
  }));
}

auto QuotaExchange::Lend(const QuotaWish& wish) -> QuotaLoan {
  ScheduleStateCheck();
  if (const auto state = OwnState(wish.tenant)) {
    return lender_.Lend(wish, *state, timers_.Now());
  }
  QuotaLoan none;
  none.tenant = wish.tenant;
  none.room_ms = kNotLenderRoomTime.count();
  return none;
}

auto QuotaExchange::Begin(const std::string& tenant, QuotaCallback callback)
    -> void {
  borrower_.Begin(tenant, timers_.Now(), std::move(callback));
  ScheduleAsk(Duration::zero());
}

// Questions that arise together travel together.
auto QuotaExchange::ScheduleAsk(Duration delay) -> void {
  const auto due = timers_.Now() + delay;
  if (ask_at_ && *ask_at_ <= due) {
    return;
  }
  timers_.Cancel(ask_timer_);
  ask_at_ = due;
  ask_timer_ = timers_.After(delay, [this] {
    ask_at_.reset();
    AskNow();
  });
}

auto QuotaExchange::AskNow() -> void {
  const auto now = timers_.Now();
  auto wishes = borrower_.TakeWishes(now);
  if (!wishes.empty() && !HasCurrentList()) {
    AskThroughPeer(std::move(wishes));
  } else {
    std::map<std::pair<std::string, bool>, std::vector<QuotaWish>> by_lender;
    for (auto& it : wishes) {
      const auto choice = ChooseLender(it.tenant);
      if (!choice) {
        borrower_.OnNoLender(it.tenant, now);
      } else if (choice->lender == self_) {
        borrower_.OnLoan(Lend(it), now, now);
      } else {
        by_lender[{choice->lender, choice->passed_over}].push_back(
            std::move(it));
      }
    }
    for (auto& [lender, list] : by_lender) {
      SendAsk(lender.first, lender.second, std::move(list), nullptr, 0);
    }
  }
  auto next = borrower_.RefuseOverdue(now);
  if (const auto ask_at = borrower_.NextAskAt()) {
    next = std::min(next.value_or(*ask_at), *ask_at);
  }
  if (next) {
    ScheduleAsk(std::max<Duration>(*next - now, Milliseconds(1)));
  }
}

// Asks a peer whose list of instances is newer to find the lenders.
auto QuotaExchange::AskThroughPeer(std::vector<QuotaWish> wishes) -> void {
  std::optional<QuotaPeer> newest;
  for (const auto& it : callbacks_.peers()) {
    const auto newer =
        !newest || std::pair(it.reaches_store, it.last_contact) >
                       std::pair(newest->reaches_store, newest->last_contact);
    if (it.lenders_hash != 0 && !IsSilent(it.name) && newer) {
      newest = it;
    }
  }
  if (!newest) {
    for (const auto& it : wishes) {
      borrower_.OnNoLender(it.tenant, timers_.Now());
    }
    return;
  }
  SendAsk(newest->name, true, std::move(wishes), nullptr, 0);
}

auto QuotaExchange::SendAsk(const std::string& to,
                            bool relay,
                            std::vector<QuotaWish> wishes,
                            ReplyCallback reply,
                            std::int64_t reply_ask) -> void {
  const auto id = ++last_ask_;
  Ask ask;
  for (const auto& it : wishes) {
    ask.tenants.push_back(it.tenant);
  }
  ask.sent = timers_.Now();
  ask.lender = to;
  ask.reply = std::move(reply);
  ask.reply_ask = reply_ask;
  asks_[id] = std::move(ask);
  ++counts_.asked;
  if (!callbacks_.send(to, {self_, id, relay, std::move(wishes)})) {
    // Decided from the event loop, as the caller may be deciding just now.
    timers_.After(Duration::zero(),
                  guard_.Bind([this, id] { OnAskTimeout(id); }));
    return;
  }
  timers_.After(QuotaBorrower::kAnswerTimeout,
                guard_.Bind([this, id] { OnAskTimeout(id); }));
}

auto QuotaExchange::OnAskTimeout(std::int64_t id) -> void {
  const auto node = asks_.extract(id);
  if (node.empty()) {
    return;
  }
  ++counts_.lost;
  const auto& ask = node.mapped();
  silent_until_[ask.lender] = timers_.Now() + kSilentTime;
  if (callbacks_.not_answered) {
    callbacks_.not_answered(ask.lender, ask.sent);
  }
  if (!ask.reply) {
    borrower_.OnAskLost(ask.tenants, timers_.Now());
    ScheduleAsk(Duration::zero());
  }
}

auto QuotaExchange::OnWanted(const QuotaWanted& wanted, ReplyCallback reply)
    -> void {
  QuotaGiven given;
  given.ask = wanted.ask;
  std::map<std::string, std::vector<QuotaWish>> by_lender;
  const auto may_relay = wanted.relay && HasCurrentList();
  for (const auto& it : wanted.wishes) {
    const auto choice = may_relay ? ChooseLender(it.tenant) : std::nullopt;
    if (choice && choice->lender != self_) {
      by_lender[choice->lender].push_back(it);
    } else {
      given.loans.push_back(Lend(it));
    }
  }
  if (!given.loans.empty()) {
    ++counts_.answered;
    reply(given);
  }
  for (auto& [lender, wishes] : by_lender) {
    ++counts_.relayed;
    SendAsk(lender, false, std::move(wishes), reply, wanted.ask);
  }
}

auto QuotaExchange::OnGiven(const QuotaGiven& given) -> void {
  const auto it = asks_.find(given.ask);
  if (it == asks_.end()) {
    return;
  }
  silent_until_.erase(it->second.lender);
  if (it->second.reply) {
    auto copy = given;
    copy.ask = it->second.reply_ask;
    const auto reply = std::move(it->second.reply);
    asks_.erase(it);
    reply(copy);
    return;
  }
  const auto sent = it->second.sent;
  for (const auto& loan : given.loans) {
    std::erase(it->second.tenants, loan.tenant);
  }
  if (it->second.tenants.empty()) {
    asks_.erase(it);
  }
  for (const auto& loan : given.loans) {
    borrower_.OnLoan(loan, sent, timers_.Now());
  }
  ScheduleAsk(Duration::zero());
}

}  // namespace kingcuplock

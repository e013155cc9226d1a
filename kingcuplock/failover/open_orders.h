#pragma once

/// Tracks the orders to promote a member of one group that may still be carried
/// out, on a platform that checks fencing tokens. An order without an answer
/// stays open until the platform has answered one with a higher token, and an
/// order that was accepted until its member leads.
///
/// An open order for the primary itself changes nothing. One for another member
/// replaces the primary at a time of its own, so nothing may be acknowledged
/// meanwhile that this member lacks.
///
/// Example:
///   OpenOrders orders;
///   orders.NoteSent("m-2", token, now);
///   orders.NoteAccepted(token, now);
///   if (orders.MayReplace("m-1")) { KeepOthersPaused(); }

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Longest time in ms from an accepted order until its member leads, or until
/// the platform has dropped the order.
constexpr Milliseconds kMaxPromotionTime{3000};
/// Longest time in ms after which an order without an answer may still be
/// carried out on a platform that checks fencing tokens; the platform documents
/// seconds.
constexpr Milliseconds kMaxFencedOrderDelay{15'000};

/// Not thread safe. O(n) in open orders.
class OpenOrders {
 public:
  /// Stands for a member that is not known.
  static constexpr std::string_view kUnknownMember = "";

  /// Records an order right before it is sent. `token` must be higher than all
  /// earlier ones.
  auto NoteSent(std::string member, std::int64_t token, Time now) -> void {
    orders_.push_back(
        {std::move(member), token, now + kMaxFencedOrderDelay, false});
  }

  /// Records an order that a former holder may have sent at `now` or earlier.
  auto NoteInherited(std::string_view member, Time now) -> void {
    const auto known =
        std::any_of(orders_.begin(), orders_.end(), [member](const auto& it) {
          return it.token == 0 && it.member == member && !it.superseded;
        });
    if (!known) {
      orders_.push_back(
          {std::string(member), 0, now + kMaxFencedOrderDelay, false});
    }
  }

  /// Records that the platform accepted the order with `token`. Earlier ones
  /// are refused from now on, but one that was accepted before may still take
  /// effect.
  auto NoteAccepted(std::int64_t token, Time now) -> void {
    for (auto& it : orders_) {
      if (it.token < token) {
        it.superseded = true;
      }
      if (it.token <= token) {
        it.until = std::min<Time>(it.until, now + kMaxPromotionTime);
      }
    }
  }

  /// Records that the order with `token` was not and will not be carried out.
  auto NoteNotDone(std::int64_t token) -> void {
    std::erase_if(orders_,
                  [token](const auto& it) { return it.token == token; });
  }

  /// Records that `member` has replaced another primary, which one of its
  /// orders did, or else one of an unknown member. Orders with lower tokens are
  /// refused from now on.
  auto NoteTookLead(std::string_view member) -> void {
    std::optional<std::int64_t> own;
    for (const auto& it : orders_) {
      if (it.member == member) {
        own = std::min(own.value_or(it.token), it.token);
      }
    }
    std::erase_if(orders_, [own](const auto& it) {
      return own ? it.token <= *own : it.member == kUnknownMember;
    });
  }

  /// Removes the orders that can no longer be carried out.
  auto ForgetExpired(Time now) -> void {
    std::erase_if(orders_, [now](const auto& it) { return it.until <= now; });
  }

  /// Returns whether an open order may replace `primary`, which leads now, by
  /// another member. `primary` is empty if it is not known.
  auto MayReplace(std::string_view primary) const -> bool {
    return std::any_of(
        orders_.begin(), orders_.end(),
        [primary](const auto& it) { return it.Replaces(primary); });
  }

  /// Returns whether an order that may replace `primary` could be carried out
  /// unless the platform answers one with a higher token.
  auto NeedsSuperseding(std::string_view primary) const -> bool {
    return std::any_of(orders_.begin(), orders_.end(),
                       [primary](const auto& it) {
                         return it.Replaces(primary) && !it.superseded;
                       });
  }

  /// Returns the member that alone may replace `primary`; nullopt if there is
  /// none or more than one, or if it is not known.
  auto OnlySuccessor(std::string_view primary) const
      -> std::optional<std::string> {
    std::set<std::string_view> members;
    for (const auto& it : orders_) {
      if (it.Replaces(primary)) {
        members.insert(it.member);
      }
    }
    if (members.size() != 1 || *members.begin() == kUnknownMember) {
      return std::nullopt;
    }
    return std::string(*members.begin());
  }

 private:
  struct Order {
    std::string member;
    /// Fencing token, 0 for an order of a former holder.
    std::int64_t token = 0;
    /// When it can no longer be carried out.
    Time until{};
    /// Whether the platform refuses it from now on.
    bool superseded = false;

    auto Replaces(std::string_view primary) const -> bool {
      return member == kUnknownMember || member != primary;
    }
  };

  std::vector<Order> orders_;
};

}  // namespace kingcuplock

#pragma once

/// The rules of grants as a compile-time policy. The product uses
/// AllGrantRules; proofs switch one rule off to show what it prevents.
///
/// Example:
///   struct WithoutTenure : AllGrantRules {
///     static constexpr bool kWaitForPredecessor = false;
///   };

#include <concepts>

namespace kingcuplock {

/// Every rule in force.
struct AllGrantRules {
  /// A grant counts from when it was asked for, not from when it arrived.
  static constexpr bool kCountFromRequest = true;
  /// A promotion waits, from the pause of its candidate on, for the end of
  /// grants and of evidence from before it.
  static constexpr bool kWaitForGrantExpiry = true;
  /// A paused member gives no evidence that nobody replaces the primary.
  static constexpr bool kRejectPausedReports = true;
  /// Evidence needs a report of every other member.
  static constexpr bool kRequireAllReports = true;
  /// A new holder waits until its predecessor can't order or grant any more.
  static constexpr bool kWaitForPredecessor = true;
  /// An order goes out only under a lease that is valid.
  static constexpr bool kRequireValidLease = true;
  /// Nothing is granted and nobody else is ordered to lead while an order may
  /// still be carried out, a former holder's as well.
  static constexpr bool kSingleUnresolvedOrder = true;
};

/// A policy that states every rule.
template <typename T>
concept GrantRules = requires {
  { T::kCountFromRequest } -> std::convertible_to<bool>;
  { T::kWaitForGrantExpiry } -> std::convertible_to<bool>;
  { T::kRejectPausedReports } -> std::convertible_to<bool>;
  { T::kRequireAllReports } -> std::convertible_to<bool>;
  { T::kWaitForPredecessor } -> std::convertible_to<bool>;
  { T::kRequireValidLease } -> std::convertible_to<bool>;
  { T::kSingleUnresolvedOrder } -> std::convertible_to<bool>;
};

}  // namespace kingcuplock

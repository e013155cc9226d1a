#pragma once

/// Safety rules for grants and promotions on platforms that do not check
/// fencing tokens, as a compile-time policy. Production code uses
/// AllGrantRules; the proofs disable one rule at a time to show which fault it
/// prevents.
///
/// Example:
///   struct WithoutWaitForPredecessor : AllGrantRules {
///     static constexpr bool kWaitForPredecessor = false;
///   };

#include <concepts>

namespace kingcuplock {

/// Policy with every rule enabled.
struct AllGrantRules {
  /// A grant is valid from when it was requested, not from when it arrived.
  static constexpr bool kCountFromRequest = true;
  /// A promotion is ordered only once the grants and the evidence from before
  /// its candidate was paused have expired.
  static constexpr bool kWaitForGrantExpiry = true;
  /// The report of a paused member is no evidence for the primary, because the
  /// member may be about to replace it.
  static constexpr bool kRejectPausedReports = true;
  /// A member counts as paused only if its answer says that the pause is in
  /// effect.
  static constexpr bool kRequireEffectivePause = true;
  /// The store holds which member may have been ordered to become primary
  /// before the order is sent, and a new holder takes that over.
  static constexpr bool kRecordOrders = true;
  /// Evidence requires a report from every other member.
  static constexpr bool kRequireAllReports = true;
  /// Evidence requires members that the instance has observed for as long as an
  /// order may take, or a record that shows no open order. A member loses its
  /// pause by a restart.
  static constexpr bool kRequireObservedMembers = true;
  /// A new holder waits until its predecessor can no longer order or grant.
  static constexpr bool kWaitForPredecessor = true;
  /// An order is sent only while the holder's lease is valid.
  static constexpr bool kRequireValidLease = true;
  /// While an order may still be carried out, including one of a former holder,
  /// nothing is granted and no other member is ordered to become primary.
  static constexpr bool kSingleUnresolvedOrder = true;
};

/// Satisfied by a policy that defines every rule.
template <typename T>
concept GrantRules = requires {
  { T::kCountFromRequest } -> std::convertible_to<bool>;
  { T::kWaitForGrantExpiry } -> std::convertible_to<bool>;
  { T::kRejectPausedReports } -> std::convertible_to<bool>;
  { T::kRequireEffectivePause } -> std::convertible_to<bool>;
  { T::kRecordOrders } -> std::convertible_to<bool>;
  { T::kRequireAllReports } -> std::convertible_to<bool>;
  { T::kRequireObservedMembers } -> std::convertible_to<bool>;
  { T::kWaitForPredecessor } -> std::convertible_to<bool>;
  { T::kRequireValidLease } -> std::convertible_to<bool>;
  { T::kSingleUnresolvedOrder } -> std::convertible_to<bool>;
};

}  // namespace kingcuplock

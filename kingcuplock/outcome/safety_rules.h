#pragma once

/// The rules of promotion and acknowledgement as a compile-time policy. The
/// product uses AllRules; proofs switch one rule off to show what it prevents.
///
/// Example:
///   struct WithoutOwnEntry : AllRules {
///     static constexpr bool kOwnEntry = false;
///   };

#include <concepts>

namespace kingcuplock {

/// Every rule in force.
struct AllRules {
  /// Members are compared by the term of their last log entry, not by the
  /// term that they follow.
  static constexpr bool kCompareEntryTerm = true;
  /// Nothing is acknowledged before a replica holds an entry of the own term.
  static constexpr bool kOwnEntry = true;
  /// A successor hears all members but one before it chooses.
  static constexpr bool kHearEnough = true;
  /// Without a lease every member confirms.
  static constexpr bool kConfirmAll = true;
  /// A new promotion attempt uses nothing heard before it began.
  static constexpr bool kHearAgain = true;
};

/// A policy that states every rule.
template <typename T>
concept SafetyRules = requires {
  { T::kCompareEntryTerm } -> std::convertible_to<bool>;
  { T::kOwnEntry } -> std::convertible_to<bool>;
  { T::kHearEnough } -> std::convertible_to<bool>;
  { T::kConfirmAll } -> std::convertible_to<bool>;
  { T::kHearAgain } -> std::convertible_to<bool>;
};

}  // namespace kingcuplock

#pragma once

/// The rules of promotion and acknowledgement as a compile-time policy. The
/// product uses AllSafetyRules; proofs switch one rule off to show what it
/// prevents.
///
/// Example:
///   struct WithoutOwnEntry : AllSafetyRules {
///     static constexpr bool kRequireOwnTermEntry = false;
///   };

#include <concepts>

namespace kingcuplock {

/// Every rule in force.
struct AllSafetyRules {
  /// Members are compared by the term of their last log entry, not by the
  /// term that they follow.
  static constexpr bool kCompareLastEntryTerm = true;
  /// Nothing is acknowledged before a replica holds an entry of the own term.
  static constexpr bool kRequireOwnTermEntry = true;
  /// A successor hears all members but one before it chooses.
  static constexpr bool kRequireAllButOneReport = true;
  /// Without a lease every member confirms.
  static constexpr bool kRequireAllConfirmations = true;
  /// A new promotion attempt uses nothing heard before it began.
  static constexpr bool kRequireFreshReports = true;
};

/// A policy that states every rule.
template <typename T>
concept SafetyRules = requires {
  { T::kCompareLastEntryTerm } -> std::convertible_to<bool>;
  { T::kRequireOwnTermEntry } -> std::convertible_to<bool>;
  { T::kRequireAllButOneReport } -> std::convertible_to<bool>;
  { T::kRequireAllConfirmations } -> std::convertible_to<bool>;
  { T::kRequireFreshReports } -> std::convertible_to<bool>;
};

}  // namespace kingcuplock

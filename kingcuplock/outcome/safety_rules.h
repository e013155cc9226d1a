#pragma once

/// Rules of promotion and write acknowledgement as a compile-time policy. The
/// product uses AllSafetyRules. Tests in `proofs/` disable one rule at a time
/// to show which failure it prevents.
///
/// Example:
///   struct WithoutOwnTermEntry : AllSafetyRules {
///     static constexpr bool kRequireOwnTermEntry = false;
///   };

#include <concepts>

namespace kingcuplock {

/// Policy with every rule enabled.
struct AllSafetyRules {
  /// Compares promotion candidates by the term of their last log entry, not by
  /// the term that they follow.
  static constexpr bool kCompareLastEntryTerm = true;
  /// Acknowledges no write before a replica holds an entry of the primary's
  /// own term.
  static constexpr bool kRequireOwnTermEntry = true;
  /// Chooses a new primary only after all members but one have reported.
  static constexpr bool kRequireAllButOneReport = true;
  /// Without a valid lease, acknowledges a write only after every member has
  /// confirmed it.
  static constexpr bool kRequireAllConfirmations = true;
  /// Ignores reports from before the current promotion attempt began.
  static constexpr bool kRequireFreshReports = true;
};

/// Satisfied by a policy that defines every rule.
template <typename T>
concept SafetyRules = requires {
  { T::kCompareLastEntryTerm } -> std::convertible_to<bool>;
  { T::kRequireOwnTermEntry } -> std::convertible_to<bool>;
  { T::kRequireAllButOneReport } -> std::convertible_to<bool>;
  { T::kRequireAllConfirmations } -> std::convertible_to<bool>;
  { T::kRequireFreshReports } -> std::convertible_to<bool>;
};

}  // namespace kingcuplock

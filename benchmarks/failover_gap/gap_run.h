#pragma once

/// One failover on virtual time, with the gap as a caller sees it.
///
/// Example:
///   auto gap = RunFailover(kHamsukhan, Fault::kPrimaryKilled, seed);

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Sizes of one deployment.
struct Deployment {
  std::string_view name;
  /// One-way delay between data centres in microseconds.
  std::int64_t delay_us = 0;
  /// Time to open a connection to a member in microseconds.
  std::int64_t open_us = 0;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
};

inline constexpr std::array<Deployment, 2> kDeployments = {
    {{"hamsukhan", 500, 12'000, 2, 16}, {"siam", 1000, 30'000, 5, 50}}};

/// What happens to the database.
enum class Fault {
  kPrimaryKilled,
  kPrimaryFrozen,
  kOwnerAndPrimaryKilled,
  kStoreSlow
};

inline constexpr std::array<Fault, 4> kFaults = {
    Fault::kPrimaryKilled, Fault::kPrimaryFrozen, Fault::kOwnerAndPrimaryKilled,
    Fault::kStoreSlow};

/// Returns the name of a fault.
auto ToString(Fault fault) -> std::string_view;

/// Columns of a measured gap, in the order of ColumnNames().
inline constexpr std::size_t kColumns = 7;

/// Names: the gap, its phases, and what belongs to no phase.
inline constexpr std::array<std::string_view, kColumns> kColumnNames = {
    "gap", "suspect", "record", "hear", "promote", "open", "other"};

/// Time in microseconds for each column.
using GapTimes = std::array<std::int64_t, kColumns>;

/// Runs one failover. Returns nullopt if writes did not resume within 20 s.
/// Throws std::runtime_error if the deployment does not settle.
auto RunFailover(const Deployment& deployment, Fault fault, std::uint64_t seed)
    -> std::optional<GapTimes>;

}  // namespace kingcuplock

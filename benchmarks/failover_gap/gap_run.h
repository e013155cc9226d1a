#pragma once

/// Runs one failover on virtual time and measures how long a caller's writes
/// are not acknowledged.
///
/// Example:
///   auto times = RunFailover(kDeployments[0], Fault::kPrimaryKilled, seed);

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Delays and sizes of one deployment.
struct Deployment {
  std::string_view name;
  /// One-way delay between data centres in microseconds.
  std::int64_t one_way_delay_us = 0;
  /// Time to open a connection to a member in microseconds.
  std::int64_t connect_us = 0;
  /// Statement slots and connections of each member.
  std::int64_t slots = 0;
  std::int64_t connections = 0;
};

inline constexpr std::array<Deployment, 2> kDeployments = {
    {{"hamsukhan", 500, 12'000, 2, 16}, {"siam", 1000, 30'000, 5, 50}}};

/// Fault that is injected; each one stops writes at the primary.
enum class Fault {
  kPrimaryKilled,
  /// The primary is paused; its connections stay open without answers.
  kPrimaryFrozen,
  /// The primary answers requests, but its log reaches no replica.
  kPrimaryCutOff,
  kOwnerAndPrimaryKilled,
  /// The primary is killed while the store answers slowly.
  kStoreSlow
};

inline constexpr std::array<Fault, 5> kFaults = {
    Fault::kPrimaryKilled, Fault::kPrimaryFrozen, Fault::kPrimaryCutOff,
    Fault::kOwnerAndPrimaryKilled, Fault::kStoreSlow};

/// Returns the name of a fault, as in the output and for --fault.
auto ToString(Fault fault) -> std::string_view;

/// Number of times that are measured for one failover.
inline constexpr std::size_t kGapColumnCount = 7;

/// Names of these times: the whole gap, its phases, and the rest of the gap,
/// which belongs to no phase.
inline constexpr std::array<std::string_view, kGapColumnCount> kGapColumnNames =
    {"gap", "suspect", "record", "hear", "promote", "open", "other"};

/// Times in microseconds, in the order of kGapColumnNames.
using GapTimes = std::array<std::int64_t, kGapColumnCount>;

/// Runs one failover. The same seed gives the same times. Returns nullopt if
/// writes do not resume within 20 s after the fault. Throws std::runtime_error
/// if the deployment does not settle.
auto RunFailover(const Deployment& deployment, Fault fault, std::uint64_t seed)
    -> std::optional<GapTimes>;

}  // namespace kingcuplock

#pragma once

/// Epochs of ownership records, ordered across restores of the store. A restore
/// takes records back to older epochs, so epochs that were used since must not
/// be given out again: each era of the store has a range of its own, above
/// those of all earlier eras.
///
/// Example:
///   next.epoch = std::max(record.epoch + 1, FirstEpochOf(store.era()));

#include <cstdint>

namespace kingcuplock {

/// Number of epochs that one era has for each record. Together with the orders
/// per epoch, fencing tokens of the first two million eras stay below 2^53, so
/// that every JSON reader takes them exactly.
constexpr std::int64_t kEpochsPerEra = std::int64_t{1} << 20U;

/// Returns the lowest epoch of `era`, which counts from 0.
constexpr auto FirstEpochOf(std::int64_t era) -> std::int64_t {
  return era * kEpochsPerEra;
}

}  // namespace kingcuplock

#pragma once

/// A caller that writes one row per request to a NodeFixture and checks at the
/// end that the database agrees with every answer.
///
/// Example:
///   WriteWorkload history(fixture);
///   history.SendWritesFor(0, Milliseconds(500));
///   CHECK(history.FindViolations() == "");

#include <algorithm>
#include <cstddef>
#include <string>

#include "kingcuplock/base/timer_service.h"
#include "testing/node_fixture.h"

namespace kingcuplock {

/// Not thread safe.
class WriteWorkload {
 public:
  explicit WriteWorkload(NodeFixture& fixture) : fixture_(fixture) {}

  /// Sends a write to database db0 by way of `node`.
  void SendWrite(std::size_t node) {
    const auto number = std::to_string(++last_id_);
    auto request = fixture_.MakeAppendRequest("h" + number, "k" + number, "x");
    request.patience_ms = 2000;
    fixture_.Send(node, request);
  }

  /// Sends a write by way of `node` every 10 ms.
  void SendWritesFor(std::size_t node, Duration duration) {
    const auto until = fixture_.Now() + duration;
    while (fixture_.Now() < until) {
      SendWrite(node);
      fixture_.RunFor(Milliseconds(10));
    }
  }

  /// Writes by way of `node` until one is acknowledged. Returns whether that
  /// happened within `longest`.
  auto WriteUntilAcknowledged(std::size_t node, Duration longest) -> bool {
    const auto began = fixture_.Now();
    const auto acknowledged = [&] { return NewestAcknowledged() >= began; };
    while (!acknowledged() && fixture_.Now() - began < longest) {
      SendWrite(node);
      fixture_.RunFor(Milliseconds(20));
    }
    return acknowledged();
  }

  /// Returns the number of acknowledged writes.
  auto CountAcknowledgedWrites() const -> int {
    auto count = 0;
    for (const auto& it : fixture_.answers()) {
      count += it.answer.status == Status::kOk ? 1 : 0;
    }
    return count;
  }

  /// Returns what the primary's rows contradict: writes that were acknowledged
  /// and lost, doubled, or said not to have run; empty for nothing.
  auto FindViolations() -> std::string {
    const auto& rows = fixture_.Primary("db0").rows;
    std::string faults;
    for (const auto& it : fixture_.answers()) {
      const auto& key = it.request.statements.front().key;
      const auto row = rows.find(key);
      const auto value = row == rows.end() ? "" : row->second;
      const auto lost = it.answer.status == Status::kOk && value.empty();
      const auto ran = it.answer.status == Status::kNotRun && !value.empty();
      if (lost || ran || value.size() > 1) {
        faults += key + (lost ? " lost;" : ran ? " ran;" : " doubled;");
      }
    }
    return faults;
  }

 private:
  auto NewestAcknowledged() const -> Time {
    Time newest{};
    for (const auto& it : fixture_.answers()) {
      if (it.answer.status == Status::kOk) {
        newest = std::max(newest, it.asked);
      }
    }
    return newest;
  }

  NodeFixture& fixture_;
  int last_id_ = 0;
};

}  // namespace kingcuplock

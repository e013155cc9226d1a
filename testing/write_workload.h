#pragma once

/// Sends writes to a NodeFixture, each to a row of its own, and checks that the
/// primary's rows agree with the answers.
///
/// Example:
///   WriteWorkload workload(fixture);
///   workload.SendWritesFor(0, Milliseconds(500));
///   CHECK(workload.FindViolations() == "");

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

  /// Sends a write to database db0 through instance `node`. Doesn't wait for
  /// the answer.
  void SendWrite(std::size_t node) {
    const auto number = std::to_string(++last_id_);
    auto request = fixture_.MakeAppendRequest("h" + number, "k" + number, "x");
    request.patience_ms = 2000;
    fixture_.Send(node, request);
  }

  /// Sends a write through instance `node` every 10 ms for `duration`.
  void SendWritesFor(std::size_t node, Duration duration) {
    const auto until = fixture_.Now() + duration;
    while (fixture_.Now() < until) {
      SendWrite(node);
      fixture_.RunFor(Milliseconds(10));
    }
  }

  /// Sends a write through instance `node` every 20 ms until one that was sent
  /// after the call is acknowledged. Returns whether that happened within
  /// `max_duration`.
  auto WriteUntilAcknowledged(std::size_t node, Duration max_duration) -> bool {
    const auto began = fixture_.Now();
    const auto acknowledged = [&] { return NewestAcknowledged() >= began; };
    while (!acknowledged() && fixture_.Now() - began < max_duration) {
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

  /// Returns the writes of which the primary's rows contradict the answer:
  /// acknowledged but lost, applied more than once, or applied although the
  /// answer says that they didn't run. Empty if there are none.
  auto FindViolations() -> std::string {
    const auto& rows = fixture_.Primary("db0").rows;
    std::string violations;
    for (const auto& it : fixture_.answers()) {
      const auto& key = it.request.statements.front().key;
      const auto row = rows.find(key);
      const auto value = row == rows.end() ? "" : row->second;
      const auto lost = it.answer.status == Status::kOk && value.empty();
      const auto ran = it.answer.status == Status::kNotRun && !value.empty();
      if (lost || ran || value.size() > 1) {
        violations += key + (lost  ? " lost;"
                             : ran ? " ran;"
                                   : " applied twice;");
      }
    }
    return violations;
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

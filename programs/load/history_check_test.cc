#include "programs/load/history_check.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace kingcuplock {
namespace {

auto MakeWrite(std::int64_t session,
               const std::string& part,
               OperationOutcome outcome,
               std::int64_t answered_us) -> Operation {
  Operation out;
  out.session = session;
  out.database = "db";
  out.kind = "book";
  out.key = "row";
  out.part = part;
  out.outcome = outcome;
  out.answered_us = answered_us;
  return out;
}

auto MakeRead(std::int64_t session,
              const std::string& kind,
              const std::string& value,
              std::int64_t sent_us) -> Operation {
  Operation out;
  out.session = session;
  out.database = "db";
  out.kind = kind;
  out.key = "row";
  out.value = value;
  out.outcome = OperationOutcome::kOk;
  out.sent_us = sent_us;
  return out;
}

auto MakeHistoryWithFinalRow(const std::string& row) -> History {
  History out;
  out.operations = {MakeWrite(1, "a", OperationOutcome::kOk, 100),
                    MakeWrite(2, "b", OperationOutcome::kOk, 200),
                    MakeWrite(1, "c", OperationOutcome::kUnknown, 300),
                    MakeWrite(2, "d", OperationOutcome::kNotRun, 400)};
  out.rows[{"db", "row"}] = row;
  out.max_age_ms[{"db", "list"}] = 5;
  return out;
}

auto FindViolationKinds(const History& history) -> std::vector<ViolationKind> {
  std::vector<ViolationKind> out;
  for (const auto& it : CheckHistory(history)) {
    out.push_back(it.kind);
  }
  return out;
}

using ViolationKinds = std::vector<ViolationKind>;

TEST_CASE("A consistent history has no violations") {
  CHECK(FindViolationKinds(MakeHistoryWithFinalRow("a,b")).empty());
  CHECK(FindViolationKinds(MakeHistoryWithFinalRow("b,a,c")).empty());
}

TEST_CASE("Each kind of violation in the final rows is found") {
  CHECK(FindViolationKinds(MakeHistoryWithFinalRow("a")) ==
        ViolationKinds{ViolationKind::kLostWrite});
  CHECK(FindViolationKinds(MakeHistoryWithFinalRow("a,b,a")) ==
        ViolationKinds{ViolationKind::kDoubledWrite});
  CHECK(FindViolationKinds(MakeHistoryWithFinalRow("a,b,c,c")) ==
        ViolationKinds{ViolationKind::kDoubledWrite});
  CHECK(FindViolationKinds(MakeHistoryWithFinalRow("a,b,d")) ==
        ViolationKinds{ViolationKind::kRanAfterRefusal});
  CHECK(FindViolationKinds(MakeHistoryWithFinalRow("a,b,x")) ==
        ViolationKinds{ViolationKind::kForeignPart});
  auto missing = MakeHistoryWithFinalRow("");
  missing.rows.clear();
  CHECK(FindViolationKinds(missing) ==
        ViolationKinds{ViolationKind::kRowMissing});
}

TEST_CASE("A read that lacks a write of its own session is found") {
  auto history = MakeHistoryWithFinalRow("a,b");
  history.operations.push_back(MakeRead(1, "list", "b", 100));
  CHECK(FindViolationKinds(history) ==
        ViolationKinds{ViolationKind::kOwnWriteUnseen});
  history.operations.back() = MakeRead(1, "list", "b", 99);
  CHECK(FindViolationKinds(history).empty());
  history.operations.back() = MakeRead(2, "list", "b", 100);
  CHECK(FindViolationKinds(history).empty());
}

TEST_CASE("A read older than the maximum age of its kind is found") {
  auto history = MakeHistoryWithFinalRow("a,b");
  history.operations.push_back(MakeRead(3, "list", "b", 5101));
  CHECK(FindViolationKinds(history) == ViolationKinds{ViolationKind::kTooOld});
  history.operations.back() = MakeRead(3, "list", "b", 5100);
  CHECK(FindViolationKinds(history).empty());
  history.operations.back() = MakeRead(3, "fresh", "b", 150);
  CHECK(FindViolationKinds(history) == ViolationKinds{ViolationKind::kTooOld});
}

TEST_CASE("A single lost, duplicated or unknown part among many is found") {
  CHECK(rc::check([] {
    const auto count = *rc::gen::inRange(1, 60);
    const auto at = *rc::gen::inRange(0, count);
    const auto fault = *rc::gen::inRange(0, 3);
    History history;
    std::string row;
    for (auto n = 0; n < count; ++n) {
      const auto part = "p" + std::to_string(n);
      history.operations.push_back(
          MakeWrite(n % 3, part, OperationOutcome::kOk, n));
      if (n != at || fault != 0) {
        row += part + ",";
      }
      if (n == at && fault == 1) {
        row += part + ",";
      }
    }
    if (fault == 2) {
      row += "stranger";
    }
    history.rows[{"db", "row"}] = row;
    const ViolationKinds expected{fault == 0   ? ViolationKind::kLostWrite
                                  : fault == 1 ? ViolationKind::kDoubledWrite
                                               : ViolationKind::kForeignPart};
    RC_ASSERT(FindViolationKinds(history) == expected);
  }));
}

}  // namespace
}  // namespace kingcuplock

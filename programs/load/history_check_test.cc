#include "programs/load/history_check.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace kingcuplock {
namespace {

auto Write(std::int64_t session,
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

auto Read(std::int64_t session,
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

auto Whole(const std::string& row) -> History {
  History out;
  out.operations = {Write(1, "a", OperationOutcome::kOk, 100),
                    Write(2, "b", OperationOutcome::kOk, 200),
                    Write(1, "c", OperationOutcome::kUnknown, 300),
                    Write(2, "d", OperationOutcome::kNotRun, 400)};
  out.rows[{"db", "row"}] = row;
  out.max_age_ms[{"db", "list"}] = 5;
  return out;
}

auto Kinds(const History& history) -> std::vector<ViolationKind> {
  std::vector<ViolationKind> out;
  for (const auto& it : CheckHistory(history)) {
    out.push_back(it.kind);
  }
  return out;
}

using Found = std::vector<ViolationKind>;

TEST_CASE("A history that keeps the promises has no violation") {
  CHECK(Kinds(Whole("a,b")).empty());
  CHECK(Kinds(Whole("b,a,c")).empty());
}

TEST_CASE("Each planted fault of the rows is found") {
  CHECK(Kinds(Whole("a")) == Found{ViolationKind::kLostWrite});
  CHECK(Kinds(Whole("a,b,a")) == Found{ViolationKind::kDoubledWrite});
  CHECK(Kinds(Whole("a,b,c,c")) == Found{ViolationKind::kDoubledWrite});
  CHECK(Kinds(Whole("a,b,d")) == Found{ViolationKind::kRanAfterRefusal});
  CHECK(Kinds(Whole("a,b,x")) == Found{ViolationKind::kForeignPart});
  auto missing = Whole("");
  missing.rows.clear();
  CHECK(Kinds(missing) == Found{ViolationKind::kRowMissing});
}

TEST_CASE("A session that misses its own write is found") {
  auto history = Whole("a,b");
  history.operations.push_back(Read(1, "list", "b", 100));
  CHECK(Kinds(history) == Found{ViolationKind::kOwnWriteUnseen});
  history.operations.back() = Read(1, "list", "b", 99);
  CHECK(Kinds(history).empty());
  history.operations.back() = Read(2, "list", "b", 100);
  CHECK(Kinds(history).empty());
}

TEST_CASE("A read older than stated is found") {
  auto history = Whole("a,b");
  history.operations.push_back(Read(3, "list", "b", 5101));
  CHECK(Kinds(history) == Found{ViolationKind::kTooOld});
  history.operations.back() = Read(3, "list", "b", 5100);
  CHECK(Kinds(history).empty());
  history.operations.back() = Read(3, "fresh", "b", 150);
  CHECK(Kinds(history) == Found{ViolationKind::kTooOld});
}

TEST_CASE("Any single lost, doubled or foreign part among many is found") {
  CHECK(rc::check([] {
    const auto count = *rc::gen::inRange(1, 60);
    const auto at = *rc::gen::inRange(0, count);
    const auto fault = *rc::gen::inRange(0, 3);
    History history;
    std::string row;
    for (auto n = 0; n < count; ++n) {
      const auto part = "p" + std::to_string(n);
      history.operations.push_back(
          Write(n % 3, part, OperationOutcome::kOk, n));
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
    const Found expected{fault == 0   ? ViolationKind::kLostWrite
                         : fault == 1 ? ViolationKind::kDoubledWrite
                                      : ViolationKind::kForeignPart};
    RC_ASSERT(Kinds(history) == expected);
  }));
}

}  // namespace
}  // namespace kingcuplock

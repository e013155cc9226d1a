#include "kingcuplock/owner/answers.h"

#include <fstream>
#include <sstream>

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace kingcuplock {
namespace {

constexpr auto kLastError = static_cast<int>(ErrorKind::kTransactionsFull);

auto ReadErrorsPage() -> std::string {
  std::ifstream in(std::string(KINGCUPLOCK_SOURCE_DIR) + "/docs/ERRORS.md");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

TEST_CASE("Every error has a message, and docs/ERRORS.md lists the same text") {
  const auto page = ReadErrorsPage();
  for (auto n = 1; n <= kLastError; ++n) {
    const auto error = static_cast<ErrorKind>(n);
    CHECK_MESSAGE(!ErrorMessageFor(error).empty(), ToString(error));
    const auto row =
        fmt::format("| `{}` | {} |", ToString(error), ErrorMessageFor(error));
    CHECK_MESSAGE(page.find(row) != std::string::npos, row);
  }
}

TEST_CASE("An unknown answer carries the request id as its receipt") {
  CHECK(BuildUnknownOutcomeAnswer("id-1", ErrorKind::kConnectionLost).receipt ==
        "id-1");
}

}  // namespace
}  // namespace kingcuplock

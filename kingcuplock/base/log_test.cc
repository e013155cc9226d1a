#include "kingcuplock/base/log.h"

#include <fstream>
#include <set>
#include <sstream>

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace kingcuplock {
namespace {

auto ReadPage(const std::string& name) -> std::string {
  std::ifstream in(std::string(KINGCUPLOCK_SOURCE_DIR) + "/docs/" + name);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

TEST_CASE("docs/EVENTS.md lists every event with its number and text") {
  const auto page = ReadPage("EVENTS.md");
  for (const auto& it : EventCatalogue()) {
    const auto row =
        fmt::format("| {} | {} |", static_cast<int>(it.event), it.text);
    CHECK_MESSAGE(page.find(row) != std::string::npos, row);
  }
}

TEST_CASE("Event numbers are unique") {
  std::set<int> numbers;
  for (const auto& it : EventCatalogue()) {
    CHECK(numbers.insert(static_cast<int>(it.event)).second);
  }
}

TEST_CASE("A value with spaces, quotes or newlines is quoted on one line") {
  const auto line =
      FormatEvent(Event::kManifestRejected, {{"reason", "a \"b\"\nc"}});
  CHECK(line.find("reason=\"a \\\"b\\\" c\"") != std::string::npos);
  CHECK(line.find('\n') == std::string::npos);
}

}  // namespace
}  // namespace kingcuplock

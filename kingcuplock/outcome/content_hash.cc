#include "kingcuplock/outcome/content_hash.h"

#include <string_view>

#include <xxhash.h>

#include <fmt/format.h>

namespace kingcuplock {
namespace {

/// Adds a part with its length in front, so that parts can't run together.
void AddPart(std::string& text, std::string_view part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

}  // namespace

auto HashRequestContent(const CallerRequest& request) -> std::string {
  std::string text;
  AddPart(text, request.database);
  AddPart(text, request.kind);
  AddPart(text, ToString(request.step));
  AddPart(text, request.transaction);
  for (const auto& it : request.statements) {
    AddPart(text, ToString(it.verb));
    AddPart(text, it.key);
    AddPart(text, it.value);
  }
  return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

}  // namespace kingcuplock

#include "kingcuplock/session/session_token.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include <fmt/format.h>
#include <xxhash.h>

namespace kingcuplock {
namespace {

/// First character of every token; changes with the token format.
constexpr char kFormatVersion = '1';
/// Length of the checksum in hexadecimal digits.
constexpr std::size_t kChecksumDigits = 16;
constexpr std::string_view kDamagedTokenMessage =
    "the session token is damaged; repeat the request with the token of the "
    "last answer, or without one to begin a new session";

auto Checksum(std::string_view body) -> std::string {
  return fmt::format("{:016x}", XXH64(body.data(), body.size(), 0));
}

[[noreturn]] void ThrowDamagedToken() {
  throw SessionTokenError(std::string(kDamagedTokenMessage));
}

auto ParseNumber(std::string_view text) -> std::int64_t {
  std::int64_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size() || value < 0) {
    ThrowDamagedToken();
  }
  return value;
}

/// Splits `text` at the last `separator`. Throws SessionTokenError if there is
/// none.
auto SplitLast(std::string_view text, char separator)
    -> std::pair<std::string_view, std::string_view> {
  const auto at = text.rfind(separator);
  if (at == std::string_view::npos) {
    ThrowDamagedToken();
  }
  return {text.substr(0, at), text.substr(at + 1)};
}

}  // namespace

auto SessionToken::Parse(std::string_view text) -> SessionToken {
  SessionToken token;
  if (text.empty()) {
    return token;
  }
  if (text.size() < 1 + kChecksumDigits || text.front() != kFormatVersion) {
    ThrowDamagedToken();
  }
  auto body = text.substr(1 + kChecksumDigits);
  if (text.substr(1, kChecksumDigits) != Checksum(body)) {
    ThrowDamagedToken();
  }
  while (!body.empty()) {
    const auto end = std::min(body.find(';'), body.size());
    const auto [rest, position] = SplitLast(body.substr(0, end), '.');
    const auto [database, term] = SplitLast(rest, '.');
    token.Advance(database, {ParseNumber(term), ParseNumber(position)});
    body.remove_prefix(std::min(end + 1, body.size()));
  }
  return token;
}

auto SessionToken::Format() const -> std::string {
  if (positions_.empty()) {
    return {};
  }
  std::string body;
  for (const auto& [database, position] : positions_) {
    body += fmt::format("{}{}.{}.{}", body.empty() ? "" : ";", database,
                        position.term, position.position);
  }
  return kFormatVersion + Checksum(body) + body;
}

auto SessionToken::PositionIn(std::string_view database) const -> LogPosition {
  const auto it = positions_.find(database);
  return it == positions_.end() ? LogPosition{} : it->second;
}

void SessionToken::Advance(std::string_view database, LogPosition position) {
  const auto it = positions_.find(database);
  if (it == positions_.end()) {
    positions_.emplace(database, position);
    return;
  }
  it->second = std::max(it->second, position);
}

}  // namespace kingcuplock

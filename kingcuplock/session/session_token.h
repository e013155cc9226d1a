#pragma once

/// Session token: the newest log position that a session has seen in each
/// database. The caller stores it, so instances keep no session state.
///
/// Example:
///   auto token = SessionToken::Parse(request.token);
///   token.Advance("bookings", {term, position});
///   answer.token = token.Format();

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

#include "kingcuplock/session/log_position.h"

namespace kingcuplock {

/// Thrown for a token that is truncated, altered or not issued by this system.
class SessionTokenError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Value type. The checksum detects accidental damage, not forgery. A forged
/// token can only demand later positions, which delays its own session and no
/// other.
class SessionToken {
 public:
  /// Parses a token; empty text stands for a new session. Throws
  /// SessionTokenError.
  static auto Parse(std::string_view text) -> SessionToken;

  /// Returns the text that Parse() accepts; empty for a new session.
  auto Format() const -> std::string;

  /// Returns the newest position seen in `database`, {0, 0} if there is none.
  auto PositionIn(std::string_view database) const -> LogPosition;

  /// Raises the position in `database` to `position`; ignored if it is lower.
  void Advance(std::string_view database, LogPosition position);

  auto operator==(const SessionToken&) const -> bool = default;

 private:
  std::map<std::string, LogPosition, std::less<>> positions_;
};

}  // namespace kingcuplock

#pragma once

/// Session token: the newest log place that a session has seen, per database.
/// The caller carries it, so no instance keeps anything of a session.
///
/// Example:
///   auto token = SessionToken::Parse(request.token);
///   token.Advance("bookings", {term, position});
///   answer.token = token.Format();

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

#include "kingcuplock/session/log_place.h"

namespace kingcuplock {

/// A token that was cut, changed or not issued by this system.
class SessionTokenError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Value type. A checksum finds accidents; a forged token can only ask for
/// later places, which delays its own session and nobody else.
class SessionToken {
 public:
  /// Reads a token; an empty text is a new session. Throws SessionTokenError.
  static auto Parse(std::string_view text) -> SessionToken;

  /// Returns the text that Parse() reads; empty for a new session.
  auto Format() const -> std::string;

  /// Returns the newest place seen in `database`, {0, 0} for none.
  auto PositionIn(std::string_view database) const -> LogPosition;

  /// Moves the place in `database` on to `place`; never back.
  void Advance(std::string_view database, LogPosition place);

  auto operator==(const SessionToken&) const -> bool = default;

 private:
  std::map<std::string, LogPosition, std::less<>> places_;
};

}  // namespace kingcuplock

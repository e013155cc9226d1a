#include "kingcuplock/session/session_token.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace kingcuplock {
namespace {

auto AnyPosition() -> rc::Gen<LogPosition> {
  return rc::gen::build<LogPosition>(
      rc::gen::set(&LogPosition::term, rc::gen::inRange<std::int64_t>(0, 1000)),
      rc::gen::set(&LogPosition::position,
                   rc::gen::inRange<std::int64_t>(0, 1LL << 40)));
}

TEST_CASE("Parsing a formatted token gives the same token") {
  CHECK(rc::check([] {
    SessionToken token;
    const auto names = *rc::gen::container<std::vector<std::string>>(
        rc::gen::nonEmpty(rc::gen::container<std::string>(
            rc::gen::elementOf(std::string("abc-.01")))));
    for (const auto& it : names) {
      token.Advance(it, *AnyPosition());
    }
    RC_ASSERT(SessionToken::Parse(token.Format()) == token);
  }));
}

TEST_CASE("A token that was altered, truncated or extended is rejected") {
  CHECK(rc::check([] {
    SessionToken token;
    token.Advance("bookings", *AnyPosition());
    auto text = token.Format();
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    if (*rc::gen::arbitrary<bool>()) {
      text[at] = static_cast<char>(text[at] ^ 1);
    } else if (at > 0) {
      text.resize(at);
    } else {
      text += "x";
    }
    RC_ASSERT_THROWS_AS(SessionToken::Parse(text), SessionTokenError);
  }));
}

TEST_CASE("Advance keeps the higher of two positions") {
  CHECK(rc::check([] {
    SessionToken token;
    const auto a = *AnyPosition();
    const auto b = *AnyPosition();
    token.Advance("bookings", a);
    token.Advance("bookings", b);
    RC_ASSERT(token.PositionIn("bookings") == std::max(a, b));
  }));
}

}  // namespace
}  // namespace kingcuplock

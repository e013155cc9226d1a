#include "kingcuplock/statement/session_state.h"

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

auto Kinds(const std::vector<SessionStatement>& statements)
    -> std::vector<StatementKind> {
  std::vector<StatementKind> out;
  for (const auto& it : statements) {
    out.push_back(it.kind);
  }
  return out;
}

TEST_CASE("Only what differs is replayed") {
  LinkState link;
  SessionState session;
  session.values = {{"zone", "a"}, {"app", "x"}};
  std::vector<SessionStatement> sent;
  CHECK(link.ReplayCost(session, nullptr) == 2);
  link.Replay(session, nullptr, sent);
  CHECK(sent.size() == 2);
  CHECK(link.ReplayCost(session, nullptr) == 0);
  session.values["zone"] = "b";
  sent.clear();
  link.Replay(session, nullptr, sent);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].name == "zone");
  CHECK(sent[0].arguments == "b");
}

TEST_CASE("A value of another session is taken away by a reset") {
  LinkState link;
  std::vector<SessionStatement> sent;
  const PreparedStatement prepared{true, "q2c"};
  link.Replay({{{"zone", "a"}}, {}}, &prepared, sent);
  sent.clear();
  link.Replay({{{"app", "x"}}, {}}, &prepared, sent);
  CHECK(Kinds(sent) == std::vector{StatementKind::kReset,
                                   StatementKind::kSetValue,
                                   StatementKind::kPrepare});
}

TEST_CASE("Sessions share a prepared statement by what it runs") {
  LinkState link;
  std::vector<SessionStatement> sent;
  const PreparedStatement read{false, "q1"};
  const PreparedStatement write{true, "q1"};
  const auto first = link.Replay({}, &read, sent);
  CHECK(link.Replay({}, &read, sent) == first);
  CHECK(sent.size() == 1);
  CHECK(link.Replay({}, &write, sent) != first);
}

TEST_CASE("A connection with too many prepared statements starts anew") {
  LinkState link;
  std::vector<SessionStatement> sent;
  for (std::size_t n = 0; n <= LinkState::kMaxPrepared; ++n) {
    const PreparedStatement prepared{false, std::to_string(n)};
    link.Replay({}, &prepared, sent);
  }
  CHECK(sent[LinkState::kMaxPrepared].kind == StatementKind::kReset);
}

}  // namespace
}  // namespace kingcuplock

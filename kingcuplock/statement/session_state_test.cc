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

TEST_CASE("Only values that differ from the connection's are replayed") {
  MemberConnectionState link;
  SessionState session;
  session.values = {{"zone", "a"}, {"app", "x"}};
  std::vector<SessionStatement> sent;
  CHECK(link.CountReplayStatements(session, nullptr) == 2);
  link.PlanReplay(session, nullptr, sent);
  CHECK(sent.size() == 2);
  CHECK(link.CountReplayStatements(session, nullptr) == 0);
  session.values["zone"] = "b";
  sent.clear();
  link.PlanReplay(session, nullptr, sent);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].name == "zone");
  CHECK(sent[0].arguments == "b");
}

TEST_CASE("A value left by another session is removed by a reset") {
  MemberConnectionState link;
  std::vector<SessionStatement> sent;
  const PreparedStatement prepared{true, "q2c"};
  link.PlanReplay({{{"zone", "a"}}, {}}, &prepared, sent);
  sent.clear();
  link.PlanReplay({{{"app", "x"}}, {}}, &prepared, sent);
  CHECK(Kinds(sent) == std::vector{StatementKind::kReset,
                                   StatementKind::kSetValue,
                                   StatementKind::kPrepare});
}

TEST_CASE("A prepared statement is sent once and shared by equal content") {
  MemberConnectionState link;
  std::vector<SessionStatement> sent;
  const PreparedStatement read{false, "q1"};
  const PreparedStatement write{true, "q1"};
  const auto first = link.PlanReplay({}, &read, sent);
  CHECK(link.PlanReplay({}, &read, sent) == first);
  CHECK(sent.size() == 1);
  CHECK(link.PlanReplay({}, &write, sent) != first);
}

TEST_CASE("A prepared statement over the connection's limit causes a reset") {
  MemberConnectionState link;
  std::vector<SessionStatement> sent;
  for (std::size_t n = 0; n <= MemberConnectionState::kMaxPreparedStatements;
       ++n) {
    const PreparedStatement prepared{false, std::to_string(n)};
    link.PlanReplay({}, &prepared, sent);
  }
  CHECK(sent[MemberConnectionState::kMaxPreparedStatements].kind ==
        StatementKind::kReset);
}

}  // namespace
}  // namespace kingcuplock

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

/// Plans a replay that the member confirms, and returns the name of `prepared`.
auto Replay(MemberConnectionState& link,
            const SessionState& session,
            const PreparedStatement* prepared,
            std::vector<SessionStatement>& sent) -> std::string {
  std::vector<SessionStatement> planned;
  auto name = link.PlanReplay(session, prepared, planned);
  for (const auto& it : planned) {
    link.NoteApplied(it);
    sent.push_back(it);
  }
  return name;
}

TEST_CASE("Only values that differ from the connection's are replayed") {
  MemberConnectionState link;
  SessionState session;
  session.values = {{"zone", "a"}, {"app", "x"}};
  std::vector<SessionStatement> sent;
  CHECK(link.CountReplayStatements(session, nullptr) == 2);
  Replay(link, session, nullptr, sent);
  CHECK(sent.size() == 2);
  CHECK(link.CountReplayStatements(session, nullptr) == 0);
  session.values["zone"] = "b";
  sent.clear();
  Replay(link, session, nullptr, sent);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].name == "zone");
  CHECK(sent[0].arguments == "b");
}

TEST_CASE("A value left by another session is removed by a reset") {
  MemberConnectionState link;
  std::vector<SessionStatement> sent;
  const PreparedStatement prepared{true, "q2c"};
  Replay(link, {{{"zone", "a"}}, {}}, &prepared, sent);
  sent.clear();
  Replay(link, {{{"app", "x"}}, {}}, &prepared, sent);
  CHECK(Kinds(sent) == std::vector{StatementKind::kReset,
                                   StatementKind::kSetValue,
                                   StatementKind::kPrepare});
}

TEST_CASE("A prepared statement is sent once and shared by equal content") {
  MemberConnectionState link;
  std::vector<SessionStatement> sent;
  const PreparedStatement read{false, "q1"};
  const PreparedStatement write{true, "q1"};
  const auto first = Replay(link, {}, &read, sent);
  CHECK(Replay(link, {}, &read, sent) == first);
  CHECK(sent.size() == 1);
  CHECK(Replay(link, {}, &write, sent) != first);
}

TEST_CASE("A prepared statement over the connection's limit causes a reset") {
  MemberConnectionState link;
  std::vector<SessionStatement> sent;
  for (std::size_t n = 0; n <= MemberConnectionState::kMaxPreparedStatements;
       ++n) {
    const PreparedStatement prepared{false, std::to_string(n)};
    Replay(link, {}, &prepared, sent);
  }
  CHECK(sent[MemberConnectionState::kMaxPreparedStatements].kind ==
        StatementKind::kReset);
}

// Guards against a state that is presumed before the member's answer: a value
// of another session, or a name that the member does not know.
TEST_CASE("What the member has not confirmed is planned again") {
  MemberConnectionState link;
  std::vector<SessionStatement> sent;
  const PreparedStatement prepared{true, "q2c"};
  Replay(link, {{{"zone", "a"}}, {}}, &prepared, sent);
  const SessionState other{{{"app", "x"}}, {}};
  std::vector<SessionStatement> planned;
  const auto refused = link.PlanReplay(other, &prepared, planned);
  CHECK(link.CountReplayStatements(other, &prepared) == 3);
  CHECK(link.CountReplayStatements({{{"zone", "a"}}, {}}, &prepared) == 0);
  std::vector<SessionStatement> again;
  CHECK(link.PlanReplay(other, &prepared, again) != refused);
  CHECK(again.size() == planned.size());
}

}  // namespace
}  // namespace kingcuplock

// Session values, prepared statements and transactions at members that refuse
// the statements by which a connection gets them, or whose answers are lost.

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

constexpr Milliseconds kStart{1200};
/// Time in ms for the answer to a statement that is retried.
constexpr Milliseconds kAnswerTime{900};

/// Refuses every `n`th of the statements of the given kinds.
auto RefuseEvery(int n, std::set<StatementKind> kinds, StatementError error)
    -> std::function<StatementError(StatementKind)> {
  return [n, kinds = std::move(kinds), error,
          count = 0](StatementKind kind) mutable {
    return kinds.contains(kind) && ++count % n == 0 ? error
                                                    : StatementError::kNone;
  };
}

const std::set<StatementKind> kStateKinds = {
    StatementKind::kSetValue, StatementKind::kReset, StatementKind::kPrepare};

/// Clients with values and prepared statements of their own, which share the
/// few connections to the members.
class Sessions {
 public:
  Sessions(GatewayFixture& world, const std::string& database) : world_(world) {
    for (auto n = 0; n < 6; ++n) {
      clients_.push_back(world.OpenClient(0, database));
    }
  }

  /// Sends `set`, then `kind`, to each client's session, and waits.
  auto RunRound(StatementKind kind) -> void {
    ++round_;
    for (std::size_t n = 0; n < clients_.size(); ++n) {
      Set(clients_[n], n % 2 == 0 ? "zone" : "app",
          fmt::format("v{}-{}", n, round_ / 2));
      sent_.push_back(Send(clients_[n], kind, fmt::format("a {}", n)));
    }
    world_.RunFor(kAnswerTime);
  }

  /// Prepares a statement of its own for each client, which `writes` or not.
  auto Prepare(bool writes) -> void {
    for (std::size_t n = 0; n < clients_.size(); ++n) {
      SessionStatement it;
      it.id = fmt::format("p{}", ++last_id_);
      it.kind = StatementKind::kPrepare;
      it.name = "s1";
      it.arguments = fmt::format("shape-{}-{}", n, last_id_);
      it.prepares_write = writes;
      shapes_[clients_[n]] = it.arguments;
      world_.SendClientStatement(clients_[n], it);
    }
  }

  /// Sends a statement and returns its number.
  auto Send(std::size_t client, StatementKind kind, std::string arguments)
      -> std::size_t {
    SessionStatement it;
    it.id = fmt::format("x{}", ++last_id_);
    it.kind = kind;
    it.name = kind == StatementKind::kExecute ? "s1" : "";
    it.arguments = std::move(arguments);
    it.prepares_write = kind == StatementKind::kExecute;
    expected_shapes_[it.id] =
        kind == StatementKind::kExecute ? shapes_[client] : "";
    return world_.SendClientStatement(client, it);
  }

  auto Set(std::size_t client, std::string name, std::string value) -> void {
    SessionStatement it;
    it.id = fmt::format("v{}", ++last_id_);
    it.kind = StatementKind::kSetValue;
    it.name = std::move(name);
    it.arguments = std::move(value);
    world_.SendClientStatement(client, it);
  }

  /// Returns how many statements were answered with `error`.
  auto Count(StatementError error) const -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(sent_.begin(), sent_.end(), [&](auto it) {
          const auto* answer = world_.FindAnswer(it);
          return answer != nullptr && answer->error == error;
        }));
  }

  /// Returns whether a member ran another prepared statement than its client's.
  auto AnyWrongShape() const -> bool {
    return std::any_of(world_.group().runs().begin(),
                       world_.group().runs().end(), [&](const auto& it) {
                         const auto found = expected_shapes_.find(it.id);
                         return found != expected_shapes_.end() &&
                                found->second != it.shape;
                       });
  }

  auto client(std::size_t n) const -> std::size_t { return clients_[n]; }

 private:
  GatewayFixture& world_;
  std::vector<std::size_t> clients_;
  std::vector<std::size_t> sent_;
  std::map<std::size_t, std::string> shapes_;
  std::map<std::string, std::string> expected_shapes_;
  int round_ = 0;
  int last_id_ = 0;
};

// Guards against a statement that is sent behind a SET, RESET or PREPARE which
// the member then refuses: it ran with the values of another session, and the
// client was told that its outcome is unknown.
TEST_CASE("A statement runs only with its session's state") {
  for (const auto* database : {"db-primary", "db-session", "db-bounded"}) {
    for (const auto error : {StatementError::kBusy, StatementError::kFailed,
                             StatementError::kTimeout}) {
      CAPTURE(database);
      CAPTURE(ToString(error));
      GatewayFixture world({.group = {.connections = 4}});
      world.RunFor(kStart);
      for (const auto* it : {"m1", "m2", "m3"}) {
        world.group().SetRefusals(it, RefuseEvery(3, kStateKinds, error));
      }
      Sessions sessions(world, database);
      for (auto n = 0; n < 6; ++n) {
        sessions.RunRound(StatementKind::kWrite);
        sessions.RunRound(StatementKind::kRead);
        sessions.Prepare(true);
        sessions.RunRound(StatementKind::kExecute);
      }
      CHECK(world.FindViolations().empty());
      CHECK_FALSE(sessions.AnyWrongShape());
      CHECK(sessions.Count(StatementError::kUnknownOutcome) == 0);
      CHECK(sessions.Count(StatementError::kUnknownStatement) == 0);
      CHECK(sessions.Count(StatementError::kNone) > 54);
    }
  }
}

// Guards against an answer to a SET that is lost: the next answer is taken for
// it, or the statement is called unknown although it was never sent.
TEST_CASE("A lost answer to a SET lets nothing run without it") {
  GatewayFixture world({.group = {.connections = 4}});
  world.RunFor(kStart);
  Sessions sessions(world, "db-session");
  for (auto n = 0; n < 8; ++n) {
    world.LoseStateAnswers("m1", 1);
    sessions.RunRound(StatementKind::kWrite);
  }
  CHECK(world.FindViolations().empty());
  CHECK(sessions.Count(StatementError::kUnknownOutcome) == 0);
  CHECK(sessions.Count(StatementError::kNone) > 30);
}

// Guards against a transaction that goes on after a SET was refused, and
// against a commit that was not sent and is called unknown.
TEST_CASE("A transaction ends if the member refuses a SET within it") {
  for (const auto kind : {StatementKind::kWrite, StatementKind::kCommit}) {
    CAPTURE(ToString(kind));
    GatewayFixture world({});
    world.RunFor(kStart);
    Sessions sessions(world, "db-primary");
    const auto client = sessions.client(0);
    sessions.Send(client, StatementKind::kBegin, "");
    const auto write = sessions.Send(client, StatementKind::kWrite, "a 1");
    world.RunFor(kAnswerTime);
    REQUIRE(world.FindAnswer(write)->IsOk());
    world.group().SetRefusals(
        "m1", RefuseEvery(1, kStateKinds, StatementError::kBusy));
    sessions.Set(client, "zone", "b");
    const auto last = sessions.Send(client, kind, "b 1");
    world.RunFor(kAnswerTime);
    REQUIRE(world.FindAnswer(last) != nullptr);
    CHECK(world.FindAnswer(last)->error == StatementError::kAborted);
    CHECK(world.FindAnswer(last)->state == (kind == StatementKind::kCommit
                                                ? TransactionState::kIdle
                                                : TransactionState::kFailed));
    CHECK(world.group().commits().empty());
    CHECK(world.FindViolations().empty());
  }
}

// Guards against a member that ends between a SET and the statement that waits
// for it.
TEST_CASE("A statement that waits for its state is not unknown") {
  GatewayFixture world({.delay = Milliseconds(20)});
  world.RunFor(kStart);
  Sessions sessions(world, "db-session");
  for (auto n = 0; n < 4; ++n) {
    sessions.Set(sessions.client(0), "zone", std::to_string(n));
    const auto write =
        sessions.Send(sessions.client(0), StatementKind::kWrite, "a 1");
    // The SET is on its way.
    world.RunFor(Milliseconds(25));
    world.CrashMember("m1");
    world.RestartMember("m1");
    world.RunFor(kAnswerTime);
    REQUIRE(world.FindAnswer(write) != nullptr);
    CHECK(world.FindAnswer(write)->error != StatementError::kUnknownOutcome);
  }
  CHECK(world.FindViolations().empty());
}

// Guards against a write that its instance held back for too long, and whose
// client was told that it may have run.
TEST_CASE("A write that was not sent in time is not unknown") {
  GatewayFixture world({.gateways = 2, .group = {.fenced = false}});
  world.RunFor(Milliseconds(5000));
  const auto client = world.OpenClient(1, "db-primary");
  const auto first =
      world.SendClientStatement(client, "w1", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(300));
  REQUIRE(world.FindAnswer(first)->IsOk());
  world.FreezeBeforeNextSend(1, Milliseconds(700));
  const auto late =
      world.SendClientStatement(client, "w2", StatementKind::kWrite, "a 1");
  world.RunFor(Milliseconds(2000));
  REQUIRE(world.FindAnswer(late) != nullptr);
  const auto ran =
      std::any_of(world.group().runs().begin(), world.group().runs().end(),
                  [](const auto& it) { return it.id == "w2"; });
  CHECK_FALSE(ran);
  CHECK(world.FindAnswer(late)->error == StatementError::kAborted);
}

// Guards against a round trip that a connection with the session's state does
// not need, and against more than one where it does.
TEST_CASE("Only a change of the state costs a round trip") {
  GatewayFixture world({});
  world.RunFor(kStart);
  Sessions sessions(world, "db-session");
  const auto time_of_write = [&](bool changes) {
    if (changes) {
      sessions.Set(sessions.client(0), "zone", "other");
      sessions.Set(sessions.client(0), "app", "other");
    }
    const auto write =
        sessions.Send(sessions.client(0), StatementKind::kWrite, "a 1");
    world.RunFor(Milliseconds(100));
    const auto& it = world.client_statements().at(write);
    REQUIRE(it.answer);
    return it.answered - it.sent;
  };
  time_of_write(false);
  const auto before = world.CountInternalStatements();
  const auto plain = time_of_write(false);
  CHECK(world.CountInternalStatements() == before);
  // The fixture's delay is 1 ms each way.
  CHECK(time_of_write(true) <= plain + Milliseconds(2));
  CHECK(time_of_write(false) == plain);
}

}  // namespace
}  // namespace kingcuplock

#include "kingcuplock/endpoint/connection_pool.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "standin/database/transaction_session.h"

namespace kingcuplock {
namespace {

constexpr Duration kOpenDuration = Milliseconds(12);
constexpr Milliseconds kAnswerTimeout{20};

/// A member on virtual time that answers with random delays, so that answers
/// arrive late and, across connections, out of order.
class SlowMember {
 public:
  SlowMember(std::uint64_t seed, TimerService& timers, Outbox& outbox)
      : random_(seed), timers_(timers), outbox_(outbox) {}

  /// Carries out the actions that `pool` has queued.
  void PerformActions(ConnectionPool& pool) {
    for (auto& action : outbox_.Take()) {
      if (const auto* open = std::get_if<OpenConnection>(&action)) {
        sessions_[open->connection];
        timers_.After(kOpenDuration, [this, &pool, id = open->connection] {
          pool.OnOpened(id);
        });
      } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
        sessions_.erase(close->connection);
      } else if (const auto* send = std::get_if<SendMessage>(&action)) {
        Answer(pool, send->connection, std::get<MemberRequest>(send->message));
      }
    }
  }

  /// Returns whether a committed transaction contained statements of another
  /// one.
  auto HasMixedTransactions() const -> bool { return has_mixed_transactions_; }

 private:
  void Answer(ConnectionPool& pool,
              ConnectionId id,
              const MemberRequest& request) {
    // One answer in eight may take longer than the pool waits for it.
    const auto delay =
        Duration(random_() % 8 == 0 ? random_() % 60'000 : random_() % 3000);
    const auto it = sessions_.find(id);
    if (it == sessions_.end()) {
      return;
    }
    if (request.op == MemberOp::kCommit) {
      NoteCommittedStatements(it->second);
    }
    const auto now = timers_.Now().time_since_epoch().count();
    const auto answer = it->second.Handle(group_, "m", request, now);
    timers_.After(delay, [&pool, id, answer] { pool.OnAnswer(id, answer); });
  }

  void NoteCommittedStatements(const TransactionSession& session) {
    std::set<std::string> writers;
    for (const auto& it : session.statements()) {
      writers.insert(it.value);
    }
    has_mixed_transactions_ |= writers.size() > 1;
  }

  std::mt19937_64 random_;
  TimerService& timers_;
  Outbox& outbox_;
  DatabaseGroup group_{{"m"}};
  std::map<ConnectionId, TransactionSession> sessions_;
  bool has_mixed_transactions_ = false;
};

/// Runs transactions over one pool. Each writes its own name into a row of its
/// own and reads it back. They always return their connection as clean, so that
/// only the pool can notice that a connection must not be used again.
class Workload {
 public:
  Workload(std::uint64_t seed, ConnectionPoolOptions options)
      : random_(seed),
        pool_({"m", "127.0.0.1", 1, ""}, {6, 2}, timers_, outbox_, options),
        member_(seed, timers_, outbox_) {}

  /// Returns whether a transaction got the statements or the answers of another
  /// one.
  auto Run() -> bool {
    pool_.OpenMissingConnections();
    for (auto n = 0; n < 2000; ++n) {
      if (n % 4 == 0 && pool_.CanPinConnection()) {
        BeginTransaction();
      }
      member_.PerformActions(pool_);
      timers_.AdvanceTo(timers_.Now() + Duration(500));
    }
    return wrong_answer_ || member_.HasMixedTransactions();
  }

 private:
  void BeginTransaction() {
    const auto name = "t" + std::to_string(++last_transaction_);
    const auto connection = pool_.PinConnection();
    MemberRequest begin;
    begin.op = MemberOp::kBegin;
    SendOnPinned(connection, begin,
                 [this, name, connection](const MemberAnswer* it) {
                   if (it == nullptr) {
                     pool_.UnpinConnection(connection, true);
                   } else {
                     Write(name, connection);
                   }
                 });
  }

  void Write(const std::string& name, ConnectionId connection) {
    MemberRequest request;
    request.op = MemberOp::kStatement;
    request.statements = {{Verb::kPut, "row-" + name, name},
                          {Verb::kGet, "row-" + name, name}};
    SendOnPinned(connection, request,
                 [this, name, connection](const MemberAnswer* answer) {
                   if (answer == nullptr) {
                     pool_.UnpinConnection(connection, true);
                     return;
                   }
                   Check(name, *answer);
                   Commit(connection);
                 });
  }

  void Check(const std::string& name, const MemberAnswer& answer) {
    const auto own =
        answer.results.size() == 2 && answer.results.back().value == name;
    wrong_answer_ |= answer.status == MemberStatus::kDone && !own;
  }

  void Commit(ConnectionId connection) {
    MemberRequest request;
    request.op = MemberOp::kCommit;
    SendOnPinned(connection, request, [this, connection](const MemberAnswer*) {
      pool_.UnpinConnection(connection, true);
    });
  }

  void SendOnPinned(ConnectionId connection,
                    const MemberRequest& request,
                    MemberCallback callback) {
    // Retries until fewer statements run than allowed, as an owner does.
    if (!pool_.HasFreeSlot()) {
      timers_.After(Duration(500), [this, connection, request, callback] {
        SendOnPinned(connection, request, callback);
      });
      return;
    }
    pool_.RunPinned(connection, request, kAnswerTimeout, std::move(callback));
  }

  std::mt19937_64 random_;
  TimerService timers_;
  Outbox outbox_;
  ConnectionPool pool_;
  SlowMember member_;
  int last_transaction_ = 0;
  bool wrong_answer_ = false;
};

// If a connection stayed in use after its answer was overdue, the late answer
// could be taken for that of the next request, and the statements of two
// transactions could end up in one commit.
TEST_CASE("A transaction never gets another one's statements or answers") {
  CHECK(rc::check(
      [](std::uint64_t seed) { RC_ASSERT(!Workload(seed, {}).Run()); }));
}

// Shows that the test above can fail: without the safeguard, connections whose
// answer was overdue are used again.
TEST_CASE("Transactions mix if desynchronized connections are reused") {
  auto mixed = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    mixed += Workload(seed, {.close_desynchronized = false}).Run() ? 1 : 0;
  }
  CHECK(mixed > 0);
}

TEST_CASE("Pinning leaves one connection per slot and one spare") {
  TimerService timers;
  Outbox outbox;
  ConnectionPool pool({"m", "127.0.0.1", 1, ""}, {6, 2}, timers, outbox);
  pool.OpenMissingConnections();
  auto pinned = 0;
  for (auto n = 0; n < 10; ++n) {
    for (auto& action : outbox.Take()) {
      if (const auto* open = std::get_if<OpenConnection>(&action)) {
        pool.OnOpened(open->connection);
      }
    }
    if (pool.CanPinConnection()) {
      pool.PinConnection();
      ++pinned;
    }
  }
  CHECK(pinned == 3);
  CHECK(pool.CountConnections() == 6);
  CHECK(pool.HasFreeConnection());
}

TEST_CASE("A spare connection is free at once when another is lost") {
  TimerService timers;
  Outbox outbox;
  ConnectionPool pool({"m", "127.0.0.1", 1, ""}, {6, 2}, timers, outbox);
  pool.OpenMissingConnections();
  for (auto& action : outbox.Take()) {
    pool.OnOpened(std::get<OpenConnection>(action).connection);
  }
  // Two statements run, as many as allowed; the connection of one is lost.
  MemberRequest read;
  read.op = MemberOp::kRead;
  pool.Run(read, Milliseconds(1000), [](const MemberAnswer*) {});
  pool.Run(read, Milliseconds(1000), [](const MemberAnswer*) {});
  const auto sent = outbox.Take();
  pool.OnClosed(std::get<SendMessage>(sent.front()).connection);
  CHECK(pool.HasFreeConnection());
}

}  // namespace
}  // namespace kingcuplock

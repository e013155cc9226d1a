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

constexpr Duration kOpening = Milliseconds(12);
constexpr Milliseconds kTimeout{20};

/// A member on virtual time whose answers come late and out of order.
class LateMember {
 public:
  LateMember(std::uint64_t seed, TimerService& timers, Outbox& outbox)
      : random_(seed), timers_(timers), outbox_(outbox) {}

  /// Carries out what the pool asked for.
  void Serve(ConnectionPool& pool) {
    for (auto& action : outbox_.Take()) {
      if (const auto* open = std::get_if<OpenConnection>(&action)) {
        sessions_[open->connection];
        timers_.After(kOpening, [this, &pool, id = open->connection] {
          pool.OnOpened(id);
        });
      } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
        sessions_.erase(close->connection);
      } else if (const auto* send = std::get_if<SendMessage>(&action)) {
        Answer(pool, send->connection, std::get<MemberRequest>(send->message));
      }
    }
  }

  /// Returns whether a committed transaction held statements of another.
  auto Mixed() const -> bool { return mixed_; }

 private:
  void Answer(ConnectionPool& pool,
              ConnectionId id,
              const MemberRequest& request) {
    // A few answers take longer than the pool waits.
    const auto delay =
        Duration(random_() % 8 == 0 ? random_() % 60'000 : random_() % 3000);
    const auto it = sessions_.find(id);
    if (it == sessions_.end()) {
      return;
    }
    if (request.op == MemberOp::kCommit) {
      CheckCommit(it->second);
    }
    const auto now = timers_.Now().time_since_epoch().count();
    const auto answer = it->second.Handle(group_, "m", request, now);
    timers_.After(delay, [&pool, id, answer] { pool.OnAnswer(id, answer); });
  }

  void CheckCommit(const TransactionSession& session) {
    std::set<std::string> writers;
    for (const auto& it : session.statements()) {
      writers.insert(it.value);
    }
    mixed_ |= writers.size() > 1;
  }

  std::mt19937_64 random_;
  TimerService& timers_;
  Outbox& outbox_;
  DatabaseGroup group_{{"m"}};
  std::map<ConnectionId, TransactionSession> sessions_;
  bool mixed_ = false;
};

/// Transactions that each put their own name into a row of their own and read
/// it back, over one pool. They never say that a connection is in doubt: that
/// is for the pool to know.
class Workload {
 public:
  Workload(std::uint64_t seed, ConnectionPoolOptions guards)
      : random_(seed),
        pool_({"m", "127.0.0.1", 1, ""}, {6, 2}, timers_, outbox_, guards),
        member_(seed, timers_, outbox_) {}

  /// Runs the transactions. Returns whether statements or answers mixed.
  auto Run() -> bool {
    pool_.OpenMissingConnections();
    for (auto n = 0; n < 2000; ++n) {
      if (n % 4 == 0 && pool_.CanPinConnection()) {
        Begin();
      }
      member_.Serve(pool_);
      timers_.AdvanceTo(timers_.Now() + Duration(500));
    }
    return wrong_answer_ || member_.Mixed();
  }

 private:
  void Begin() {
    const auto name = "t" + std::to_string(++last_);
    const auto connection = pool_.PinConnection();
    MemberRequest begin;
    begin.op = MemberOp::kBegin;
    Ask(connection, begin, [this, name, connection](const MemberAnswer* it) {
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
    Ask(connection, request,
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
    Ask(connection, request, [this, connection](const MemberAnswer*) {
      pool_.UnpinConnection(connection, true);
    });
  }

  void Ask(ConnectionId connection,
           const MemberRequest& request,
           MemberCallback callback) {
    // Waits for a slot as an owner does.
    if (!pool_.HasFreeSlot()) {
      timers_.After(Duration(500), [this, connection, request, callback] {
        Ask(connection, request, callback);
      });
      return;
    }
    pool_.RunPinned(connection, request, kTimeout, std::move(callback));
  }

  std::mt19937_64 random_;
  TimerService timers_;
  Outbox outbox_;
  ConnectionPool pool_;
  LateMember member_;
  int last_ = 0;
  bool wrong_answer_ = false;
};

TEST_CASE("Statements and answers of transactions never mix") {
  CHECK(rc::check(
      [](std::uint64_t seed) { RC_ASSERT(!Workload(seed, {}).Run()); }));
}

TEST_CASE("They mix when a connection in doubt is used again") {
  auto mixed = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    mixed += Workload(seed, {.close_desynchronized = false}).Run() ? 1 : 0;
  }
  CHECK(mixed > 0);
}

TEST_CASE("Pinned connections leave one per slot and a spare") {
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

TEST_CASE("A spare hides the time to open a connection") {
  TimerService timers;
  Outbox outbox;
  ConnectionPool pool({"m", "127.0.0.1", 1, ""}, {6, 2}, timers, outbox);
  pool.OpenMissingConnections();
  for (auto& action : outbox.Take()) {
    pool.OnOpened(std::get<OpenConnection>(action).connection);
  }
  // Both slots are busy and one of their connections is lost.
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

#include "kingcuplock/store_client/store_client.h"

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

/// A client with one watch, whose replies the test gives.
struct ClientFixture {
  TimerService timers;
  Outbox outbox;
  StoreClient client{{"10.0.0.9", 1}, {}, timers, outbox};
  /// Watched changes as "key=value@version" or "-key", in order.
  std::vector<std::string> changes;
  /// Calls that reached the store, in order.
  std::vector<StoreCall> sent;
  ConnectionId connection = 0;

  ClientFixture() {
    client.Watch("a/", [this](const StoreItem& it, bool deleted) {
      changes.push_back(deleted ? "-" + it.key
                                : it.key + "=" + it.value + "@" +
                                      std::to_string(it.version));
    });
    client.Start();
    TakeActions();
    client.OnOpened(connection);
    TakeActions();
  }

  auto TakeActions() -> void {
    for (const auto& action : outbox.Take()) {
      if (const auto* open = std::get_if<OpenConnection>(&action)) {
        connection = open->connection;
      } else if (const auto* send = std::get_if<SendMessage>(&action)) {
        sent.push_back(std::get<StoreCall>(send->message));
      }
    }
  }

  /// Answers the last watch that was sent.
  auto AnswerWatch(std::vector<StoreItem> items, std::int64_t era) -> void {
    REQUIRE(sent.back().op == StoreOp::kWatch);
    Reply(StoreAnswer{sent.back().id, StoreStatus::kDone, 0, std::move(items),
                      era});
  }

  auto Reply(const StoreReply& reply) -> void {
    client.OnReply(connection, reply);
    TakeActions();
  }
};

TEST_SUITE_BEGIN("restored_store");

// Guards against items that stay unknown, or stay known, after a restore: the
// client compared their versions with those from before it.
TEST_CASE("The items of a restored store replace those known before") {
  ClientFixture fixture;
  fixture.AnswerWatch({{"a/1", "x", 8}, {"a/2", "y", 9}}, 1);
  fixture.Reply(StoreEvent{{"a/1", "z", 4}, false, 2});
  fixture.AnswerWatch({{"a/1", "z", 4}}, 2);
  CHECK(fixture.changes ==
        std::vector<std::string>{"a/1=x@8", "a/2=y@9", "a/1=z@4", "-a/2"});
}

// Guards against a change of the lost data that overtakes the restored data.
TEST_CASE("A reply from before the restore is ignored") {
  ClientFixture fixture;
  fixture.AnswerWatch({{"a/1", "x", 3}}, 2);
  fixture.Reply(StoreEvent{{"a/1", "old", 7}, false, 1});
  CHECK(fixture.changes == std::vector<std::string>{"a/1=x@3"});
}

// Guards against an outcome that is taken for the present one, though the call
// was based on data from before the restore.
TEST_CASE("A call that is answered in a new era ends without an answer") {
  ClientFixture fixture;
  fixture.AnswerWatch({}, 1);
  auto lost_count = 0;
  auto told_before_calls_end = false;
  fixture.client.SubscribeToNewEra(
      [&] { told_before_calls_end = lost_count == 0; });
  StoreCall call;
  call.op = StoreOp::kCompareAndSwap;
  fixture.client.Call(call, [&](const StoreAnswer* answer) {
    lost_count += answer == nullptr ? 1 : 0;
  });
  fixture.TakeActions();
  fixture.Reply(
      StoreAnswer{fixture.sent.back().id, StoreStatus::kDone, 0, {}, 2});
  CHECK(lost_count == 1);
  CHECK(told_before_calls_end);
  CHECK(fixture.client.era_change_count() == 1);
}

TEST_CASE("The first answer of a store begins no new era") {
  ClientFixture fixture;
  CHECK_FALSE(fixture.client.era_known_since());
  fixture.AnswerWatch({}, 7);
  CHECK(fixture.client.era() == 7);
  CHECK(fixture.client.era_known_since());
  CHECK(fixture.client.era_change_count() == 0);
}

TEST_SUITE_END();

}  // namespace
}  // namespace kingcuplock

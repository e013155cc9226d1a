#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "kingcuplock/manifest/active_manifest.h"
#include "kingcuplock/schema/codec.h"
#include "programs/publish/fleet_status.h"
#include "programs/publish/manifest_diff.h"
#include "programs/publish/publisher.h"
#include "standin/store/key_value_store.h"

namespace kingcuplock {
namespace {

constexpr const char* kManifestKey = "kingcuplock/test/manifest";

auto MakeManifest(std::int64_t version) -> Manifest {
  KindConfig kind;
  kind.name = "book";
  kind.access = Access::kWrite;
  DatabaseConfig database;
  database.name = "bookings";
  database.slots = 2;
  database.connections = 16;
  database.kinds = {kind};
  for (auto n = 1; n <= 3; ++n) {
    database.members.push_back(
        {"b" + std::to_string(n), "127.0.0.1", 7500 + n, "dc-1"});
  }
  Manifest manifest;
  manifest.version = version;
  manifest.deployment = "test";
  manifest.databases = {database};
  return manifest;
}

auto EncodeManifest(const Manifest& manifest) -> std::string {
  return EncodeJson(manifest, FrameFormat::kJson);
}

/// A store that loses its answers or calls as listed in `losses`.
class LossyStore {
 public:
  enum class Loss { kNone, kAnswer, kCall };

  auto MakeCallback() -> CallStore {
    return [this](const StoreCall& call) -> std::optional<StoreAnswer> {
      const auto loss =
          next_loss_ < losses.size() ? losses[next_loss_++] : Loss::kNone;
      if (loss == Loss::kCall) {
        return std::nullopt;
      }
      auto answer = store.Handle(call, 0);
      if (after) {
        after(call);
      }
      return loss == Loss::kAnswer ? std::nullopt : std::optional(answer);
    };
  }

  KeyValueStore store;
  std::vector<Loss> losses;
  /// Invoked after each call has taken effect.
  std::function<void(const StoreCall&)> after;

 private:
  std::size_t next_loss_ = 0;
};

TEST_CASE("Check returns all faults at once, with pointer and remedy") {
  auto json = nlohmann::json(MakeManifest(1));
  json["databases"][0]["slots"] = 0;
  json["databases"].push_back(json["databases"][0]);
  json["databases"][1]["slots"] = 20;
  json["databases"][1]["kinds"][0]["max_age_ms"] = 5;
  json["surplus"] = 1;
  const auto faults = CheckManifest(json.dump());
  const auto has_fault = [&](const std::string& pointer,
                             const std::string& remedy_part) {
    return std::any_of(faults.begin(), faults.end(), [&](const auto& it) {
      return it.pointer == pointer &&
             it.remedy.find(remedy_part) != std::string::npos;
    });
  };
  CHECK(has_fault("/databases/0/slots", "minimum=1"));
  CHECK(has_fault("/databases/1/connections", "slots"));
  CHECK(has_fault("/databases/1/kinds/0/max_age_ms", "remove"));
  CHECK(has_fault("", "surplus"));
  CHECK(CheckManifest(EncodeManifest(MakeManifest(1))).empty());
  CHECK(CheckManifest("{").size() == 1);
}

TEST_CASE("Diff lists each change under its path") {
  auto before = MakeManifest(1);
  auto after = MakeManifest(2);
  after.databases[0].slots = 5;
  after.databases[0].kinds[0].priority = 1;
  after.databases[0].members.pop_back();
  std::reverse(after.databases[0].members.begin(),
               after.databases[0].members.end());
  const auto changes = DiffManifests(before, after);
  REQUIRE(changes.size() == 3);
  CHECK(changes[0].field_path == "databases/bookings/kinds/book/priority");
  CHECK(changes[1].field_path == "databases/bookings/members/b3");
  CHECK(changes[1].after.is_null());
  CHECK(changes[2].field_path == "databases/bookings/slots");
  CHECK(changes[2].after == 5);
  CHECK(ToJson(changes).size() == 3);
}

TEST_CASE("Moving two members at once is rejected") {
  LossyStore store;
  ManifestPublisher publisher(kManifestKey, store.MakeCallback());
  CHECK(publisher.Publish(EncodeManifest(MakeManifest(1)), 0).outcome ==
        PublishOutcome::kPublished);
  auto next = MakeManifest(2);
  next.databases[0].members[0].port = 1;
  next.databases[0].members[1].port = 2;
  CHECK_THROWS_AS(publisher.Publish(EncodeManifest(next), 1), ManifestError);
}

TEST_CASE("At most one of two concurrent publishers succeeds") {
  rc::check("at most one success", [] {
    std::mt19937_64 random(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    LossyStore store;
    ManifestPublisher(kManifestKey, store.MakeCallback())
        .Publish(EncodeManifest(MakeManifest(1)), 0);
    // The second publisher runs just before one of the first one's calls, which
    // may be lost, take effect without an answer, or succeed.
    auto mine = MakeManifest(2);
    auto theirs = MakeManifest(2);
    theirs.databases[0].slots = 3;
    auto race_at = random() % 3;
    auto their_result = PublishOutcome::kUnknown;
    LossyStore direct;
    const CallStore ask =
        [&](const StoreCall& call) -> std::optional<StoreAnswer> {
      if (race_at-- == 0) {
        their_result =
            ManifestPublisher(kManifestKey,
                              [&](const StoreCall& it) {
                                return std::optional(store.store.Handle(it, 0));
                              })
                .Publish(EncodeManifest(theirs), 1)
                .outcome;
      }
      const auto lost = random() % 3;
      if (lost == 0) {
        return std::nullopt;
      }
      const auto answer = store.store.Handle(call, 0);
      return lost == 1 ? std::nullopt : std::optional(answer);
    };
    PublishResult my_result;
    try {
      my_result =
          ManifestPublisher(kManifestKey, ask).Publish(EncodeManifest(mine), 1);
    } catch (const StoreUnreachableError&) {
      my_result.outcome = PublishOutcome::kConflict;
    }
    const auto stored_text = store.store.Range(kManifestKey).at(0).value;
    if (my_result.outcome == PublishOutcome::kPublished) {
      RC_ASSERT(stored_text == EncodeManifest(mine));
      RC_ASSERT(their_result != PublishOutcome::kPublished);
    } else if (my_result.outcome == PublishOutcome::kConflict) {
      RC_ASSERT(stored_text != EncodeManifest(mine));
    }
    if (their_result == PublishOutcome::kPublished) {
      RC_ASSERT(stored_text == EncodeManifest(theirs));
    }
  });
}

TEST_CASE("The outcome is determined after a lost answer") {
  using Loss = LossyStore::Loss;
  LossyStore store;
  store.losses = {Loss::kNone, Loss::kAnswer};
  const auto applied = ManifestPublisher(kManifestKey, store.MakeCallback())
                           .Publish(EncodeManifest(MakeManifest(1)), 0);
  CHECK(applied.outcome == PublishOutcome::kPublished);
  CHECK(applied.read_back);

  LossyStore without_swap_answers;
  without_swap_answers.losses = {Loss::kNone, Loss::kCall, Loss::kCall,
                                 Loss::kCall, Loss::kCall, Loss::kCall};
  CHECK(ManifestPublisher(kManifestKey, without_swap_answers.MakeCallback())
            .Publish(EncodeManifest(MakeManifest(1)), 0)
            .outcome == PublishOutcome::kUnknown);

  LossyStore unreachable;
  unreachable.losses = std::vector<Loss>(5, Loss::kCall);
  CHECK_THROWS_AS(ManifestPublisher(kManifestKey, unreachable.MakeCallback())
                      .Publish(EncodeManifest(MakeManifest(1)), 0),
                  StoreUnreachableError);
}

TEST_CASE("A later version after a lost answer is not reported as a conflict") {
  using Loss = LossyStore::Loss;
  LossyStore store;
  store.losses = {Loss::kNone, Loss::kAnswer};
  store.after = [&](const StoreCall& call) {
    if (call.op == StoreOp::kCompareAndSwap) {
      store.after = nullptr;
      store.store.Put(kManifestKey, EncodeManifest(MakeManifest(2)));
    }
  };
  const auto result = ManifestPublisher(kManifestKey, store.MakeCallback())
                          .Publish(EncodeManifest(MakeManifest(1)), 0);
  CHECK(result.outcome == PublishOutcome::kUnknown);
  CHECK(result.found_version == 2);
}

TEST_CASE("Publishing the same manifest again changes nothing") {
  LossyStore store;
  ManifestPublisher publisher(kManifestKey, store.MakeCallback());
  publisher.Publish(EncodeManifest(MakeManifest(1)), 0);
  CHECK(publisher.Publish(EncodeManifest(MakeManifest(1)), 0).outcome ==
        PublishOutcome::kUnchanged);
  CHECK(publisher.Publish(EncodeManifest(MakeManifest(3)), 2).outcome ==
        PublishOutcome::kConflict);
  auto other = MakeManifest(1);
  other.databases[0].slots = 3;
  CHECK(publisher.Publish(EncodeManifest(other), std::nullopt).outcome ==
        PublishOutcome::kConflict);
}

TEST_CASE(
    "Status tells current, outdated, differing and unreachable instances "
    "apart") {
  const auto manifest = MakeManifest(2);
  std::vector<InstanceEntry> entries(4);
  for (std::size_t n = 0; n < entries.size(); ++n) {
    entries[n].name = std::to_string(n);
  }
  const QueryInstance ask =
      [&](const InstanceEntry& it) -> std::optional<InstanceStatus> {
    InstanceStatus out;
    out.manifest_version = it.name == "1" ? 1 : 2;
    out.manifest_hash = it.name == "2" ? "other" : HashManifest(manifest);
    return it.name == "3" ? std::nullopt : std::optional(out);
  };
  const auto status =
      ReadFleetManifestStatus(EncodeManifest(manifest), entries, ask);
  CHECK_FALSE(status.IsCurrent());
  CHECK(status.instances[0].manifest_state == InstanceManifestState::kCurrent);
  CHECK(status.instances[1].manifest_state == InstanceManifestState::kBehind);
  CHECK(status.instances[2].manifest_state ==
        InstanceManifestState::kOtherContent);
  CHECK(status.instances[3].manifest_state ==
        InstanceManifestState::kUnreachable);
  CHECK(ToJson(status)["instances"].size() == 4);
}

}  // namespace
}  // namespace kingcuplock

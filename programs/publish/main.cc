/// kingcuplock-publish: checks, compares, publishes and shows the manifest.
///
/// Exit codes: 0 done, 1 any other error, 2 the manifest has faults, 3 the
/// store holds another version, 4 unknown whether the manifest was published, 5
/// an instance does not use the published manifest or does not answer.
///
/// Example:
///   kingcuplock-publish publish --store 127.0.0.1:7300 --deployment hamsukhan
///     --manifest manifest.json --expect-version 0

#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/schema/codec.h"
#include "kingcuplock/schema/messages.h"
#include "programs/client/sync_client.h"
#include "programs/publish/fleet_status.h"
#include "programs/publish/manifest_diff.h"
#include "programs/publish/publisher.h"

namespace kingcuplock {
namespace {

/// Timeout for connecting to the store, and for its answer.
constexpr int kStoreTimeoutMs = 2000;
/// Timeout for connecting to an instance, and for its answer.
constexpr int kInstanceTimeoutMs = 1000;
constexpr int kManifestFaultsExit = 2;
constexpr int kConflictExit = 3;
constexpr int kUnknownExit = 4;
constexpr int kBehindExit = 5;

/// Values of the command-line options.
struct Options {
  std::string store = "127.0.0.1:7300";
  std::string deployment;
  std::string manifest;
  std::vector<std::string> instances;
  std::optional<std::int64_t> expect_version;
  bool json = false;
};

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream in(path);
  if (!in) {
    throw ClientError("cannot read " + path +
                      "; give the path of a readable file");
  }
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

auto CallStoreOnce(const Options& options, const StoreCall& call)
    -> std::optional<StoreAnswer> {
  const auto [host, port] = ParseHostPort(options.store);
  try {
    SyncClient client(host, port, kStoreTimeoutMs);
    return client.SendAndReceive(call, kStoreTimeoutMs).get<StoreAnswer>();
  } catch (const ClientError&) {
    return std::nullopt;
  }
}

auto MakePublisher(const Options& options) -> ManifestPublisher {
  return ManifestPublisher("kingcuplock/" + options.deployment + "/manifest",
                           [options](const StoreCall& call) {
                             return CallStoreOnce(options, call);
                           });
}

void PrintJson(const nlohmann::json& json) {
  fmt::print("{}\n", json.dump());
}

auto FaultsToJson(const std::vector<ManifestFault>& faults) -> nlohmann::json {
  auto list = nlohmann::json::array();
  for (const auto& it : faults) {
    list.push_back({{"pointer", it.pointer}, {"remedy", it.remedy}});
  }
  return list;
}

auto PrintFaults(const Options& options,
                 const std::vector<ManifestFault>& faults) -> int {
  if (options.json) {
    PrintJson({{"outcome", faults.empty() ? "fits" : "faults"},
               {"faults", FaultsToJson(faults)}});
  } else {
    for (const auto& it : faults) {
      fmt::print("{}: {}\n", it.pointer.empty() ? "/" : it.pointer, it.remedy);
    }
  }
  return faults.empty() ? 0 : kManifestFaultsExit;
}

auto CheckFile(const Options& options) -> int {
  return PrintFaults(options, CheckManifest(ReadFile(options.manifest)));
}

auto ShowDiff(const Options& options) -> int {
  const auto next = ParseManifest(ReadFile(options.manifest));
  const auto item = MakePublisher(options).ReadItem();
  const auto published =
      item.value.empty() ? Manifest{} : ParseManifest(item.value);
  const auto changes = DiffManifests(published, next);
  const auto faults = CheckManifestChange(published, next);
  if (options.json) {
    PrintJson({{"from_version", published.version},
               {"to_version", next.version},
               {"changes", ToJson(changes)},
               {"faults", FaultsToJson(faults)}});
    return faults.empty() ? 0 : kManifestFaultsExit;
  }
  fmt::print("version {} to {}\n", published.version, next.version);
  for (const auto& it : changes) {
    fmt::print("{}: {} -> {}: {}\n", it.field_path, it.before.dump(),
               it.after.dump(), it.effect);
  }
  return PrintFaults(options, faults);
}

auto ExitCodeFor(PublishOutcome outcome) -> int {
  switch (outcome) {
    case PublishOutcome::kPublished:
    case PublishOutcome::kUnchanged:
      return 0;
    case PublishOutcome::kConflict:
      return kConflictExit;
    case PublishOutcome::kUnknown:
      return kUnknownExit;
  }
  return 1;
}

auto RemedyFor(const PublishResult& result) -> std::string {
  if (result.outcome == PublishOutcome::kConflict) {
    return "rebuild the manifest from the version found and publish again";
  }
  if (result.outcome == PublishOutcome::kUnknown) {
    return "run \"show\" when the store answers; publishing the same file "
           "again is safe";
  }
  return "";
}

auto PublishFile(const Options& options) -> int {
  const auto text = ReadFile(options.manifest);
  const auto manifest = ParseManifest(text);
  if (manifest.deployment != options.deployment) {
    throw ManifestError(
        {{"/deployment", "is not " + options.deployment +
                             "; give the manifest of that deployment"}});
  }
  const auto result =
      MakePublisher(options).Publish(text, options.expect_version);
  PrintJson({{"outcome", ToString(result.outcome)},
             {"version", manifest.version},
             {"found_version", result.found_version},
             {"read_back", result.read_back},
             {"remedy", RemedyFor(result)}});
  return ExitCodeFor(result.outcome);
}

auto ShowManifest(const Options& options) -> int {
  fmt::print("{}\n", MakePublisher(options).ReadItem().value);
  return 0;
}

auto ListInstances(const Options& options) -> std::vector<InstanceEntry> {
  std::vector<InstanceEntry> out;
  for (const auto& it : options.instances) {
    const auto [host, port] = ParseHostPort(it);
    out.push_back({it, host, port, "", false});
  }
  if (!out.empty()) {
    return out;
  }
  const auto item =
      ManifestPublisher("platform/instances", [&](const StoreCall& call) {
        return CallStoreOnce(options, call);
      }).ReadItem();
  if (item.value.empty()) {
    throw ClientError(
        "the platform lists no instances; name them with --instance HOST:PORT");
  }
  return DecodeFrame(item.value, FrameFormat::kJson)
      .get<InstanceList>()
      .instances;
}

auto QueryStatus(const InstanceEntry& it) -> std::optional<InstanceStatus> {
  try {
    SyncClient client(it.host, static_cast<std::uint16_t>(it.port),
                      kInstanceTimeoutMs);
    return client.SendAndReceive(StatusQuery{"status"}, kInstanceTimeoutMs)
        .get<InstanceStatus>();
  } catch (const ClientError&) {
    return std::nullopt;
  }
}

auto ShowStatus(const Options& options) -> int {
  const auto status =
      ReadFleetManifestStatus(MakePublisher(options).ReadItem().value,
                              ListInstances(options), QueryStatus);
  if (options.json) {
    PrintJson(ToJson(status));
  } else {
    fmt::print("published {} {}\n", status.published_version,
               status.published_hash);
    for (const auto& it : status.instances) {
      fmt::print("{} {}:{} version {} {}{}\n", it.instance.name,
                 it.instance.host, it.instance.port, it.version,
                 ToString(it.manifest_state), it.leaving ? " leaving" : "");
    }
  }
  return status.IsCurrent() ? 0 : kBehindExit;
}

auto Run(const CLI::App& app, const Options& options) -> int {
  if (app.got_subcommand("check")) {
    return CheckFile(options);
  }
  if (app.got_subcommand("diff")) {
    return ShowDiff(options);
  }
  if (app.got_subcommand("publish")) {
    return PublishFile(options);
  }
  return app.got_subcommand("status") ? ShowStatus(options)
                                      : ShowManifest(options);
}

void AddOptions(CLI::App& app, Options& options) {
  auto* check =
      app.add_subcommand("check", "Report all faults of a manifest file");
  auto* diff = app.add_subcommand(
      "diff", "Show what publishing a manifest file would change");
  auto* publish = app.add_subcommand("publish", "Publish a manifest file");
  auto* show = app.add_subcommand("show", "Show the manifest in the store");
  auto* status = app.add_subcommand(
      "status", "Show the manifest version that each instance uses");
  for (auto* it : {check, diff, publish}) {
    it->add_option("--manifest", options.manifest, "Manifest file")->required();
  }
  for (auto* it : {diff, publish, show, status}) {
    it->add_option("--store", options.store, "HOST:PORT of the store");
    it->add_option("--deployment", options.deployment, "Deployment")
        ->required();
  }
  for (auto* it : {check, diff, publish, show, status}) {
    it->add_flag("--json", options.json, "Print JSON");
  }
  publish->add_option("--expect-version", options.expect_version,
                      "Version that must be in the store, 0 for none");
  status->add_option("--instance", options.instances,
                     "HOST:PORT to ask instead of the platform's list, "
                     "repeatable");
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"Checks, compares, publishes and shows the manifest"};
  app.set_version_flag("--version", "kingcuplock-publish 0.1.0");
  app.require_subcommand(1);
  kingcuplock::Options options;
  kingcuplock::AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  try {
    return kingcuplock::Run(app, options);
  } catch (const kingcuplock::ManifestError& ex) {
    return kingcuplock::PrintFaults(options, ex.faults());
  } catch (const std::exception& ex) {
    fmt::print(stderr, "kingcuplock-publish: {}\n", ex.what());
    return 1;
  }
}

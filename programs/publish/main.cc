/// kingcuplock-publish: checks, shows and publishes the manifest.
///
/// Exit codes: 0 done, 2 the manifest has faults, 3 another version is in
/// force, 1 any other error.
///
/// Example:
///   kingcuplock-publish publish --store 127.0.0.1:7300 --deployment hamsukhan
///     --manifest manifest.json --expect-version 0

#include <fstream>
#include <sstream>
#include <string>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/schema/messages.h"
#include "programs/client/sync_client.h"

namespace kingcuplock {
namespace {

/// Longest wait in ms for the store.
constexpr int kStoreTimeoutMs = 5000;
constexpr int kFaultsExit = 2;
constexpr int kConflictExit = 3;

/// What the command line holds.
struct Options {
  std::string store = "127.0.0.1:7300";
  std::string deployment;
  std::string manifest;
  std::int64_t expect_version = -1;
};

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream in(path);
  if (!in) {
    throw ClientError("cannot read " + path + "; give a readable file");
  }
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

auto AskStore(const Options& options, const StoreCall& call) -> StoreAnswer {
  const auto [host, port] = ParseHostPort(options.store);
  SyncClient client(host, port, kStoreTimeoutMs);
  return client.Ask(call, kStoreTimeoutMs).get<StoreAnswer>();
}

auto ManifestKey(const Options& options) -> std::string {
  return "kingcuplock/" + options.deployment + "/manifest";
}

auto ReadCurrent(const Options& options) -> StoreItem {
  StoreCall call;
  call.op = StoreOp::kGet;
  call.key = ManifestKey(options);
  const auto answer = AskStore(options, call);
  return answer.items.empty() ? StoreItem{} : answer.items.front();
}

auto Check(const Options& options) -> int {
  const auto faults = CheckManifest(ReadFile(options.manifest));
  for (const auto& it : faults) {
    fmt::print("{}: {}\n", it.pointer, it.remedy);
  }
  return faults.empty() ? 0 : kFaultsExit;
}

auto Conflict(std::int64_t found, std::int64_t expected) -> int {
  fmt::print(stderr,
             "version {} is in force, not {}; rebuild the manifest on top of "
             "it and publish again\n",
             found, expected);
  return kConflictExit;
}

auto Publish(const Options& options) -> int {
  const auto text = ReadFile(options.manifest);
  const auto manifest = ParseManifest(text);
  const auto current = ReadCurrent(options);
  const auto in_force =
      current.value.empty() ? 0 : ParseManifest(current.value).version;
  if (options.expect_version >= 0 && in_force != options.expect_version) {
    return Conflict(in_force, options.expect_version);
  }
  if (manifest.version <= in_force) {
    return Conflict(in_force, manifest.version - 1);
  }
  StoreCall call;
  call.op = StoreOp::kCompareAndSwap;
  call.key = ManifestKey(options);
  call.value = text;
  call.expected_version = current.version;
  if (AskStore(options, call).status != StoreStatus::kDone) {
    return Conflict(ParseManifest(ReadCurrent(options).value).version,
                    in_force);
  }
  fmt::print("{{\"published\":{}}}\n", manifest.version);
  return 0;
}

auto Show(const Options& options) -> int {
  fmt::print("{}\n", ReadCurrent(options).value);
  return 0;
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"Operators' tool for the manifest"};
  app.set_version_flag("--version", "kingcuplock-publish 0.1.0");
  app.require_subcommand(1);
  kingcuplock::Options options;
  auto* check = app.add_subcommand("check", "Check a manifest");
  auto* publish = app.add_subcommand("publish", "Publish a manifest");
  auto* show = app.add_subcommand("show", "Show the manifest in the store");
  for (auto* it : {check, publish}) {
    it->add_option("--manifest", options.manifest, "Manifest file")->required();
  }
  for (auto* it : {publish, show}) {
    it->add_option("--store", options.store, "Store, HOST:PORT");
    it->add_option("--deployment", options.deployment, "Deployment")
        ->required();
  }
  publish->add_option("--expect-version", options.expect_version,
                      "Version that must be in force");
  CLI11_PARSE(app, argc, argv);
  try {
    if (check->parsed()) {
      return kingcuplock::Check(options);
    }
    return publish->parsed() ? kingcuplock::Publish(options)
                             : kingcuplock::Show(options);
  } catch (const kingcuplock::ManifestError& ex) {
    fmt::print(stderr, "kingcuplock-publish: {}\n", ex.what());
    return kingcuplock::kFaultsExit;
  } catch (const std::exception& ex) {
    fmt::print(stderr, "kingcuplock-publish: {}\n", ex.what());
    return 1;
  }
}

/// kingcuplock-call: one request, a status query or a stand-in's command from
/// the shell. Prints the answer as JSON.
///
/// Exit codes: 0 ok, 3 failed, 4 not_run, 5 unknown, 1 any other error.
///
/// Example:
///   kingcuplock-call request --to 127.0.0.1:7400 --database bookings
///     --kind book --id 17 --put pair/17=ann

#include <chrono>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "kingcuplock/schema/messages.h"
#include "programs/client/sync_client.h"

namespace kingcuplock {
namespace {

/// Longest time in ms to connect.
constexpr int kConnectTimeoutMs = 2000;
/// Time in ms beyond the patience for which the tool waits.
constexpr int kExtraWaitMs = 1000;

/// What the command line holds.
struct Options {
  std::string to = "127.0.0.1:7400";
  CallerRequest request;
  std::vector<std::string> gets;
  std::vector<std::string> puts;
  std::vector<std::string> inserts;
  std::vector<std::string> appends;
  ControlCommand control;
  std::string action;
};

auto NowMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void AddWrites(CallerRequest& request,
               Verb verb,
               const std::vector<std::string>& pairs) {
  for (const auto& it : pairs) {
    const auto at = it.find('=');
    if (at == std::string::npos) {
      throw ClientError("\"" + it + "\" has no '='; write KEY=VALUE");
    }
    request.statements.push_back({verb, it.substr(0, at), it.substr(at + 1)});
  }
}

auto ExitCode(Status status) -> int {
  constexpr int kFirstCode = 2;
  return status == Status::kOk ? 0 : kFirstCode + static_cast<int>(status);
}

auto SendRequest(Options& options) -> int {
  auto& request = options.request;
  request.issued_ms = NowMs();
  for (const auto& it : options.gets) {
    request.statements.push_back({Verb::kGet, it, ""});
  }
  AddWrites(request, Verb::kPut, options.puts);
  AddWrites(request, Verb::kInsert, options.inserts);
  AddWrites(request, Verb::kAppend, options.appends);
  const auto [host, port] = ParseHostPort(options.to);
  SyncClient client(host, port, kConnectTimeoutMs);
  const auto reply = client.SendAndReceive(
      request, static_cast<int>(request.patience_ms) + kExtraWaitMs);
  fmt::print("{}\n", reply.dump());
  return ExitCode(reply.get<CallerAnswer>().status);
}

auto SendStatusQuery(const Options& options) -> int {
  const auto [host, port] = ParseHostPort(options.to);
  SyncClient client(host, port, kConnectTimeoutMs);
  fmt::print(
      "{}\n",
      client.SendAndReceive(StatusQuery{"status"}, kConnectTimeoutMs).dump());
  return 0;
}

auto SendControl(Options& options) -> int {
  options.control.id = 1;
  options.control.action = nlohmann::json(options.action).get<ControlAction>();
  const auto [host, port] = ParseHostPort(options.to);
  SyncClient client(host, port, kConnectTimeoutMs);
  fmt::print("{}\n",
             client.SendAndReceive(options.control, kConnectTimeoutMs).dump());
  return 0;
}

void AddRequestOptions(CLI::App& command, Options& options) {
  auto& request = options.request;
  command.add_option("--database", request.database, "Database")->required();
  command.add_option("--kind", request.kind, "Request kind")->required();
  command.add_option("--id", request.id, "Request id")->required();
  command.add_option("--patience-ms", request.patience_ms, "Patience in ms");
  command.add_option("--token", request.token, "Session token");
  command.add_option("--get", options.gets, "Row to read, repeatable");
  command.add_option("--put", options.puts, "KEY=VALUE to write, repeatable");
  command.add_option("--insert", options.inserts,
                     "KEY=VALUE to insert, repeatable");
  command.add_option("--append", options.appends,
                     "KEY=VALUE to append, repeatable");
}

auto Run(CLI::App& app, Options& options) -> int {
  if (app.got_subcommand("request")) {
    return SendRequest(options);
  }
  if (app.got_subcommand("status")) {
    return SendStatusQuery(options);
  }
  return SendControl(options);
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"A caller from the shell"};
  app.set_version_flag("--version", "kingcuplock-call 0.1.0");
  app.require_subcommand(1);
  kingcuplock::Options options;
  auto* request = app.add_subcommand("request", "Send one request");
  auto* status = app.add_subcommand("status", "Show an instance's status");
  auto* control = app.add_subcommand("control", "Command a stand-in");
  for (auto* it : {request, status, control}) {
    it->add_option("--to", options.to, "HOST:PORT");
  }
  kingcuplock::AddRequestOptions(*request, options);
  control->add_option("action", options.action, "Action")->required();
  control->add_option("--member", options.control.member, "Member");
  control->add_option("--ms", options.control.ms, "Duration in ms");
  control->add_option("--count", options.control.count, "Count");
  control->add_option("--key", options.control.key, "Key");
  control->add_option("--value", options.control.value, "Value");
  CLI11_PARSE(app, argc, argv);
  try {
    return kingcuplock::Run(app, options);
  } catch (const std::exception& ex) {
    fmt::print(stderr, "kingcuplock-call: {}\n", ex.what());
    return 1;
  }
}

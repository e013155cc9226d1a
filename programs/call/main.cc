/// kingcuplock-call: sends one request, a status query or a command to a
/// stand-in, and prints the answer as JSON.
///
/// Exit codes: 0 ok, 1 error; of a request also 3 failed, 4 not_run, 5 unknown.
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

/// Timeout for connecting, and for the answer to a status query or command.
constexpr int kConnectTimeoutMs = 2000;
/// Time to wait for an answer after the request's patience has expired.
constexpr int kAnswerMarginMs = 1000;

/// Values of the command-line options.
struct Options {
  std::string address = "127.0.0.1:7400";
  CallerRequest request;
  std::vector<std::string> get_keys;
  std::vector<std::string> put_pairs;
  std::vector<std::string> insert_pairs;
  std::vector<std::string> append_pairs;
  ControlCommand control;
  std::string action;
};

auto UnixTimeMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void AddWriteStatements(CallerRequest& request,
                        Verb verb,
                        const std::vector<std::string>& pairs) {
  for (const auto& it : pairs) {
    const auto separator = it.find('=');
    if (separator == std::string::npos) {
      throw ClientError("\"" + it + "\" contains no '='; write KEY=VALUE");
    }
    request.statements.push_back(
        {verb, it.substr(0, separator), it.substr(separator + 1)});
  }
}

auto ExitCodeFor(Status status) -> int {
  constexpr int kFirstCode = 2;
  return status == Status::kOk ? 0 : kFirstCode + static_cast<int>(status);
}

auto SendRequest(Options& options) -> int {
  auto& request = options.request;
  request.issued_ms = UnixTimeMs();
  for (const auto& it : options.get_keys) {
    request.statements.push_back({Verb::kGet, it, ""});
  }
  AddWriteStatements(request, Verb::kPut, options.put_pairs);
  AddWriteStatements(request, Verb::kInsert, options.insert_pairs);
  AddWriteStatements(request, Verb::kAppend, options.append_pairs);
  const auto [host, port] = ParseHostPort(options.address);
  SyncClient client(host, port, kConnectTimeoutMs);
  const auto reply = client.SendAndReceive(
      request, static_cast<int>(request.patience_ms) + kAnswerMarginMs);
  fmt::print("{}\n", reply.dump());
  return ExitCodeFor(reply.get<CallerAnswer>().status);
}

auto SendStatusQuery(const Options& options) -> int {
  const auto [host, port] = ParseHostPort(options.address);
  SyncClient client(host, port, kConnectTimeoutMs);
  fmt::print(
      "{}\n",
      client.SendAndReceive(StatusQuery{"status"}, kConnectTimeoutMs).dump());
  return 0;
}

auto SendControl(Options& options) -> int {
  options.control.id = 1;
  options.control.action = nlohmann::json(options.action).get<ControlAction>();
  const auto [host, port] = ParseHostPort(options.address);
  SyncClient client(host, port, kConnectTimeoutMs);
  fmt::print("{}\n",
             client.SendAndReceive(options.control, kConnectTimeoutMs).dump());
  return 0;
}

void AddRequestOptions(CLI::App& command, Options& options) {
  auto& request = options.request;
  command.add_option("--database", request.database, "Database")->required();
  command.add_option("--kind", request.kind, "Request kind")->required();
  command.add_option("--id", request.id, "Request id, unique per request")
      ->required();
  command.add_option("--patience-ms", request.patience_ms,
                     "Time in ms to wait for the answer");
  command.add_option("--token", request.token, "Session token");
  command.add_option("--get", options.get_keys,
                     "Key of a row to read, repeatable");
  command.add_option("--put", options.put_pairs,
                     "KEY=VALUE to write, repeatable");
  command.add_option("--insert", options.insert_pairs,
                     "KEY=VALUE to insert, repeatable");
  command.add_option("--append", options.append_pairs,
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
  CLI::App app{"Sends one request, status query or stand-in command"};
  app.set_version_flag("--version", "kingcuplock-call 0.1.0");
  app.require_subcommand(1);
  kingcuplock::Options options;
  auto* request = app.add_subcommand("request", "Send one request");
  auto* status = app.add_subcommand("status", "Show an instance's status");
  auto* control = app.add_subcommand("control", "Send a command to a stand-in");
  for (auto* it : {request, status, control}) {
    it->add_option("--to", options.address, "Address, HOST:PORT");
  }
  kingcuplock::AddRequestOptions(*request, options);
  control->add_option("action", options.action, "Action")->required();
  control->add_option("--member", options.control.member,
                      "Member, if the action has one");
  control->add_option("--ms", options.control.ms,
                      "Duration in ms, if the action has one");
  control->add_option("--count", options.control.count,
                      "Count, if the action has one");
  control->add_option("--key", options.control.key,
                      "Key, if the action has one");
  control->add_option("--value", options.control.value,
                      "Value, if the action has one");
  CLI11_PARSE(app, argc, argv);
  try {
    return kingcuplock::Run(app, options);
  } catch (const std::exception& ex) {
    fmt::print(stderr, "kingcuplock-call: {}\n", ex.what());
    return 1;
  }
}

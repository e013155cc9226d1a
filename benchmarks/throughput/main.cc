/// Closed-loop client: measures statements per second and latency with a fixed
/// number of requests in flight over many connections, through a proxy or
/// directly against a member. Prints JSON; with --idle, also a line "open" once
/// all connections are open.
///
/// Example:
///   throughput --to 127.0.0.1:25001 --connections 64 --seconds 5
///   throughput --to 127.0.0.1:25011 --direct --connections 64 --seconds 5

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "kingcuplock/schema/messages.h"
#include "programs/client/sync_client.h"

namespace kingcuplock {
namespace {

using Clock = std::chrono::steady_clock;

/// Longest time for a connection to open.
constexpr int kConnectTimeoutMs = 20'000;
/// Connections are opened in batches, at this interval.
constexpr std::size_t kConnectionsPerBatch = 64;
constexpr int kBatchIntervalMs = 20;

/// Options of the command line.
struct ThroughputOptions {
  std::string to = "127.0.0.1:7401";
  std::string database = "bench";
  std::string kind = "fresh";
  std::size_t connections = 1;
  /// Most requests in flight over all connections.
  std::size_t in_flight = 64;
  double seconds = 5;
  /// Speaks to a member instead of a proxy.
  bool direct = false;
  /// Opens connections and sends nothing.
  bool idle = false;
};

/// Keeps a number of requests in flight and measures the latency of answers.
class ThroughputClient {
 public:
  explicit ThroughputClient(ThroughputOptions options)
      : options_(std::move(options)),
        address_(ParseHostPort(options_.to)),
        hub_({[this](ConnectionId it, std::uint16_t) { OnOpened(it); },
              [this](ConnectionId it, std::string, bool) { OnAnswer(it); },
              [this](ConnectionId) { ++closed_; }}) {}

  /// Opens the connections, measures and prints the result.
  void Run() {
    OpenNextBatch();
    hub_.Run();
    std::sort(latencies_us_.begin(), latencies_us_.end());
    const auto n = latencies_us_.size();
    const auto at = [&](double share) {
      return n == 0 ? 0.0
                    : latencies_us_[std::min(
                          static_cast<std::size_t>(share * double(n)), n - 1)];
    };
    fmt::print(
        "{{\"connections\": {}, \"opened\": {}, \"closed\": {}, "
        "\"statements_per_s\": {:.0f}, \"p50_us\": {:.0f}, \"p99_us\": "
        "{:.0f}}}\n",
        options_.connections, opened_, closed_, double(n) / options_.seconds,
        at(0.5), at(0.99));
  }

 private:
  void OpenNextBatch() {
    for (std::size_t n = 0;
         n < kConnectionsPerBatch && started_ < options_.connections; ++n) {
      hub_.Connect(++started_, address_.host, address_.port, kConnectTimeoutMs);
    }
    if (started_ < options_.connections) {
      hub_.RunAfter(kBatchIntervalMs, [this] { OpenNextBatch(); });
    }
  }

  void OnOpened(ConnectionId connection) {
    ++opened_;
    connections_.push_back(connection);
    if (opened_ < options_.connections) {
      return;
    }
    if (options_.idle) {
      fmt::print("open\n");
      std::fflush(stdout);
    }
    const auto first = std::min(options_.in_flight, connections_.size());
    for (std::size_t n = 0; n < first && !options_.idle; ++n) {
      SendNext();
    }
    hub_.RunAfter(static_cast<int>(options_.seconds * 1000),
                  [this] { hub_.Stop(); });
  }

  /// Uses the connections in turn, each for one request at a time.
  void SendNext() {
    const auto connection = connections_[next_index_++ % connections_.size()];
    send_times_[connection] = Clock::now();
    hub_.Send(connection, EncodeRequest(), false);
  }

  auto EncodeRequest() -> std::string {
    if (options_.direct) {
      MemberRequest request;
      request.id = ++last_id_;
      request.op = MemberOp::kRead;
      request.statements = {{Verb::kGet, "row", ""}};
      return Encode(request);
    }
    CallerRequest request;
    request.id = fmt::format("b{}", ++last_id_);
    request.database = options_.database;
    request.kind = options_.kind;
    request.statements = {{Verb::kGet, "row", ""}};
    return Encode(request);
  }

  void OnAnswer(ConnectionId connection) {
    const std::chrono::duration<double, std::micro> took =
        Clock::now() - send_times_[connection];
    latencies_us_.push_back(took.count());
    SendNext();
  }

  ThroughputOptions options_;
  HostPort address_;
  WebSocketHub hub_;
  std::size_t started_ = 0;
  std::size_t opened_ = 0;
  std::size_t closed_ = 0;
  std::int64_t last_id_ = 0;
  std::size_t next_index_ = 0;
  std::vector<ConnectionId> connections_;
  std::map<ConnectionId, Clock::time_point> send_times_;
  std::vector<double> latencies_us_;
};

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"Closed-loop throughput: a fixed number of requests in flight"};
  kingcuplock::ThroughputOptions options;
  app.add_option("--to", options.to,
                 "HOST:PORT of a proxy, or of a member with --direct");
  app.add_option("--database", options.database, "Database");
  app.add_option("--kind", options.kind, "Request kind");
  app.add_option("--connections", options.connections, "Number of connections")
      ->check(CLI::Range(1, 20'000));
  app.add_option("--in-flight", options.in_flight, "Most requests in flight")
      ->check(CLI::Range(1, 20'000));
  app.add_option("--seconds", options.seconds, "Length of the measurement in s")
      ->check(CLI::Range(0.1, 60.0));
  app.add_flag("--direct", options.direct, "Speak to a member directly");
  app.add_flag("--idle", options.idle, "Open connections and send nothing");
  CLI11_PARSE(app, argc, argv);
  try {
    kingcuplock::ThroughputClient(options).Run();
  } catch (const std::exception& ex) {
    fmt::print(stderr, "throughput: {}\n", ex.what());
    return 1;
  }
}

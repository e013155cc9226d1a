/// kingcuplock-standin-store: a stand-in for the platform's key-value service,
/// which keeps its data in memory and takes commands that cause faults.
///
/// Example:
///   kingcuplock-standin-store --port 7300

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "kingcuplock/schema/codec.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/transport/web_socket_hub.h"
#include "standin/store/key_value_store.h"

namespace kingcuplock {
namespace {

/// Interval of the checks for expired leases.
constexpr int kExpireIntervalMs = 20;

auto NowMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// Serves the store's protocol and the control commands. Not thread safe.
class StoreServer {
 public:
  StoreServer()
      : hub_({[](ConnectionId, std::uint16_t) {},
              [this](ConnectionId it, std::string payload, bool is_text) {
                OnFrame(it, payload, is_text);
              },
              [this](ConnectionId it) { watches_.erase(it); }}) {}

  /// Serves until SIGTERM or SIGINT.
  void Run(const std::string& host, std::uint16_t port) {
    hub_.Listen(host, port);
    hub_.SetTerminationHandler([this] { hub_.Stop(); });
    ExpireLoop();
    hub_.Run();
  }

 private:
  void ExpireLoop() {
    store_.ExpireDueLeases(NowMs());
    PushEvents();
    hub_.RunAfter(kExpireIntervalMs, [this] { ExpireLoop(); });
  }

  void OnFrame(ConnectionId source, const std::string& payload, bool is_text) {
    const auto format = is_text ? FrameFormat::kJson : FrameFormat::kCbor;
    try {
      auto message = ReadStoreMessage(DecodeFrame(payload, format));
      if (const auto* call = std::get_if<StoreCall>(&message)) {
        OnCall(source, *call, format);
      } else {
        OnControl(source, std::get<ControlCommand>(message), format);
      }
    } catch (const SchemaError& ex) {
      fmt::print(stderr, "standin-store: {}\n", ex.what());
      hub_.Close(source);
    }
  }

  void OnCall(ConnectionId source, const StoreCall& call, FrameFormat format) {
    ++received_calls_;
    if (down_) {
      return;
    }
    if (call_delay_ms_ == 0) {
      HandleCall(source, call, format);
      return;
    }
    hub_.RunAfter(call_delay_ms_,
                  [=, this] { HandleCall(source, call, format); });
  }

  void HandleCall(ConnectionId source,
                  const StoreCall& call,
                  FrameFormat format) {
    if (down_) {
      return;
    }
    if (call.op == StoreOp::kWatch) {
      watches_[source].insert(call.key);
    }
    const auto answer = store_.Handle(call, NowMs());
    if (answers_to_lose_ > 0 && call.op != StoreOp::kWatch) {
      --answers_to_lose_;
    } else {
      hub_.Send(source, Encode(answer, format), format == FrameFormat::kJson);
    }
    PushEvents();
  }

  void PushEvents() {
    const auto events = store_.TakeEvents();
    if (down_) {
      return;
    }
    for (const auto& event : events) {
      for (const auto& [connection, prefixes] : watches_) {
        for (const auto& prefix : prefixes) {
          if (event.item.key.starts_with(prefix)) {
            hub_.Send(connection, Encode(event), false);
          }
        }
      }
    }
  }

  void OnControl(ConnectionId source,
                 const ControlCommand& command,
                 FrameFormat format) {
    ControlAnswer answer;
    answer.id = command.id;
    answer.message = ApplyCommand(command, answer);
    hub_.Send(source, Encode(answer, format), format == FrameFormat::kJson);
  }

  auto ApplyCommand(const ControlCommand& command, ControlAnswer& answer)
      -> std::string {
    switch (command.action) {
      case ControlAction::kDown:
        down_ = true;
        return "down";
      case ControlAction::kUp:
        down_ = false;
        return "up";
      case ControlAction::kSlow:
        call_delay_ms_ = static_cast<int>(command.ms);
        return "slow";
      case ControlAction::kLoseAnswers:
        answers_to_lose_ = command.count;
        return "losing answers";
      case ControlAction::kExpireLeases:
        store_.ExpireAllLeases();
        PushEvents();
        return "leases expired";
      case ControlAction::kPut:
        hub_.RunAfter(static_cast<int>(command.ms), [this, command] {
          store_.Put(command.key, command.value);
          PushEvents();
        });
        return "put";
      case ControlAction::kDump:
        answer.items = store_.Range(command.key);
        return "dump";
      case ControlAction::kStats:
        answer.items.push_back({"calls", std::to_string(received_calls_), 0});
        return "stats";
      default:
        return "this stand-in does not know the action";
    }
  }

  WebSocketHub hub_;
  KeyValueStore store_;
  std::map<ConnectionId, std::set<std::string>> watches_;
  bool down_ = false;
  int call_delay_ms_ = 0;
  std::int64_t answers_to_lose_ = 0;
  std::int64_t received_calls_ = 0;
};

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"Stand-in for the platform's key-value service"};
  std::string host = "127.0.0.1";
  std::uint16_t port = 7300;
  app.add_option("--host", host, "IP address to listen on");
  app.add_option("--port", port, "TCP port to listen on");
  CLI11_PARSE(app, argc, argv);
  try {
    kingcuplock::StoreServer server;
    server.Run(host, port);
  } catch (const std::exception& ex) {
    fmt::print(stderr, "kingcuplock-standin-store: {}\n", ex.what());
    return 1;
  }
  return 0;
}

#pragma once

/// A client for tools: one WebSocket connection, one frame at a time, answers
/// awaited.
///
/// Example:
///   SyncClient client("127.0.0.1", 7400, 1000);
///   auto answer = client.SendAndReceive(request, 5000).get<CallerAnswer>();

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "kingcuplock/schema/codec.h"
#include "kingcuplock/transport/web_socket_hub.h"

namespace kingcuplock {

/// The other side can't be reached or did not answer in time.
class ClientError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Not thread safe.
class SyncClient {
 public:
  /// Connects. Throws ClientError after `timeout_ms`.
  SyncClient(const std::string& host, std::uint16_t port, int timeout_ms);
  ~SyncClient();
  SyncClient(const SyncClient&) = delete;
  auto operator=(const SyncClient&) -> SyncClient& = delete;

  /// Sends a message and returns the next frame. Throws ClientError.
  template <typename Message>
  auto SendAndReceive(const Message& message, int timeout_ms)
      -> nlohmann::json {
    return AskFrame(Encode(message), timeout_ms);
  }

 private:
  auto AskFrame(const std::string& frame, int timeout_ms) -> nlohmann::json;

  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false;
  bool closed_ = false;
  std::deque<std::string> frames_;
  WebSocketHub hub_;
  std::thread thread_;
};

/// An address as given on a command line.
struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};

/// Parses "HOST:PORT". Throws ClientError.
auto ParseHostPort(const std::string& text) -> HostPort;

}  // namespace kingcuplock

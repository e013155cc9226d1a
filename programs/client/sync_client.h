#pragma once

/// A blocking client for command-line tools: one WebSocket connection with one
/// outstanding message at a time.
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

/// The server can't be reached, closed the connection or did not answer in
/// time, or an argument is invalid.
class ClientError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One connection to a server. Not thread safe.
class SyncClient {
 public:
  /// Connects. Throws ClientError if the connection can't be opened within
  /// `timeout_ms`.
  SyncClient(const std::string& host, std::uint16_t port, int timeout_ms);
  ~SyncClient();
  SyncClient(const SyncClient&) = delete;
  auto operator=(const SyncClient&) -> SyncClient& = delete;

  /// Sends a message and returns the next frame that is received. Throws
  /// ClientError if there is none within `timeout_ms` or the connection is
  /// closed.
  template <typename Message>
  auto SendAndReceive(const Message& message, int timeout_ms)
      -> nlohmann::json {
    return SendFrameAndReceive(Encode(message), timeout_ms);
  }

 private:
  auto SendFrameAndReceive(const std::string& frame, int timeout_ms)
      -> nlohmann::json;

  std::mutex mutex_;
  std::condition_variable state_changed_;
  bool connected_ = false;
  bool closed_ = false;
  std::deque<std::string> received_frames_;
  WebSocketHub hub_;
  std::thread thread_;
};

/// Host and port as given on a command line.
struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};

/// Parses "HOST:PORT" with a port other than 0. Throws ClientError.
auto ParseHostPort(const std::string& text) -> HostPort;

}  // namespace kingcuplock

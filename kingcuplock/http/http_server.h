#pragma once

/// Answers small HTTP requests, each from one function.
///
/// Example:
///   HttpServer server(hub, [](const HttpMessage& it) { return reply; });
///   hub.Listen(host, port);

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "kingcuplock/base/connection_id.h"
#include "kingcuplock/http/http_codec.h"
#include "kingcuplock/stream/stream_hub.h"

namespace kingcuplock {

/// What a server answers.
struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Not thread safe.
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpMessage&)>;

  HttpServer(StreamHub& hub, Handler handler)
      : hub_(hub), handler_(std::move(handler)) {}

  /// Takes over an accepted connection.
  auto AddConnection(ConnectionId id) -> void {
    readers_.emplace(id, HttpReader(HttpRole::kServer));
  }

  /// Handle an event; return false if the connection is not this server's.
  auto OnReceived(ConnectionId id, std::string_view bytes) -> bool {
    const auto it = readers_.find(id);
    if (it == readers_.end()) {
      return false;
    }
    if (!it->second.Feed(bytes)) {
      readers_.erase(it);
      hub_.Close(id);
      return true;
    }
    while (const auto request = it->second.Take()) {
      const auto reply = handler_(*request);
      hub_.Send(
          id, FormatHttpResponse(reply.status, reply.content_type, reply.body));
      if (!request->keep_alive) {
        hub_.CloseAfterSending(id);
      }
    }
    return true;
  }
  auto OnClosed(ConnectionId id) -> bool { return readers_.erase(id) > 0; }

 private:
  StreamHub& hub_;
  Handler handler_;
  std::unordered_map<ConnectionId, HttpReader> readers_;
};

}  // namespace kingcuplock

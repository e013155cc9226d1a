#pragma once

/// HTTP server on the connections of a StreamHub. One function answers all
/// requests.
///
/// Example:
///   HttpServer server(hub, [](const HttpMessage& request) {
///     return HttpReply{.body = "{}"};
///   });
///   server.AddConnection(id);      // in the hub's `opened`
///   server.OnReceived(id, bytes);  // in the hub's `received`

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "kingcuplock/base/connection_id.h"
#include "kingcuplock/http/http_codec.h"
#include "kingcuplock/stream/stream_hub.h"

namespace kingcuplock {

/// Response to one request.
struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Not thread safe.
class HttpServer {
 public:
  /// Returns the response to a request.
  using Handler = std::function<HttpReply(const HttpMessage&)>;

  HttpServer(StreamHub& hub, Handler handler)
      : hub_(hub), handler_(std::move(handler)) {}

  /// Adds an inbound connection, on which requests are to be answered.
  auto AddConnection(ConnectionId id) -> void {
    readers_.emplace(id, HttpReader(HttpRole::kServer));
  }

  /// Event handlers. They return false, and do nothing, if the connection is
  /// not this server's.
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

#pragma once

/// TCP connections, inbound and outbound, on the thread that runs an Asio
/// context. Bytes sent in one turn of the loop leave in one write.
///
/// Example:
///   StreamHub hub(io, {.opened = ..., .received = ..., .closed = ...});
///   hub.Listen("10.0.0.1", 8080);
///   hub.Connect(hub.NextId(), host, port, Milliseconds(300));

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "kingcuplock/base/connection_id.h"
#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// Why a connection ended or could not be opened.
enum class StreamCloseReason {
  /// The other side closed it in order.
  kClosedByPeer,
  /// The other side reset it, or it failed otherwise.
  kReset,
  /// Nobody listens at the address.
  kRefused,
  /// The address did not answer in time.
  kTimedOut,
  /// Closed by this side because the other one does not read.
  kSendBufferFull
};

/// Returns the name of `end`, for logs.
auto ToString(StreamCloseReason end) -> std::string_view;

/// What a hub reports, on the thread that runs the context.
struct StreamCallbacks {
  /// A connection is open; `port` is the local port for inbound ones, else 0.
  std::function<void(ConnectionId, std::uint16_t port)> opened;
  /// Bytes arrived; the view is valid during the call only.
  std::function<void(ConnectionId, std::string_view)> received;
  /// Last report on a connection; not called after Close().
  std::function<void(ConnectionId, StreamCloseReason)> closed;
};

/// Not thread safe. Everything is O(1) beyond the bytes copied.
class StreamHub {
 public:
  StreamHub(asio::io_context& io, StreamCallbacks callbacks);
  ~StreamHub();
  StreamHub(const StreamHub&) = delete;
  auto operator=(const StreamHub&) -> StreamHub& = delete;

  /// Accepts connections. Throws std::system_error if the address can't be
  /// bound.
  auto Listen(const std::string& host, std::uint16_t port) -> void;

  /// Closes the listening socket on `port`; its connections stay.
  auto StopAccepting(std::uint16_t port) -> void;

  /// Returns an id for an outbound connection.
  auto NextId() -> ConnectionId { return ++last_outbound_; }

  /// Opens a connection under an id from NextId(); ends in `opened` or, after
  /// `timeout` at the latest, in `closed`.
  auto Connect(ConnectionId id,
               const std::string& host,
               std::uint16_t port,
               Duration timeout) -> void;

  /// Sends bytes. Does nothing if the connection has ended.
  auto Send(ConnectionId id, std::string_view bytes) -> void;

  /// Closes a connection at once without a report; unsent bytes are lost.
  auto Close(ConnectionId id) -> void;

  /// Closes a connection once what was sent before has left.
  auto CloseAfterSending(ConnectionId id) -> void;

  /// Returns the number of open connections.
  auto CountConnections() const -> std::size_t { return streams_.size(); }

 private:
  struct Stream;
  using StreamPtr = std::shared_ptr<Stream>;

  auto Accept(std::uint16_t port) -> void;
  auto Begin(const StreamPtr& stream) -> void;
  auto Read(const StreamPtr& stream) -> void;
  auto ScheduleFlush(const StreamPtr& stream) -> void;
  auto Write(const StreamPtr& stream) -> void;
  auto End(const StreamPtr& stream, StreamCloseReason end) -> void;
  auto Find(ConnectionId id) const -> StreamPtr;

  asio::io_context& io_;
  StreamCallbacks callbacks_;
  std::map<std::uint16_t, std::unique_ptr<asio::ip::tcp::acceptor>> acceptors_;
  std::unordered_map<ConnectionId, StreamPtr> streams_;
  ConnectionId last_outbound_ = 0;
  ConnectionId last_inbound_ = 0;
};

}  // namespace kingcuplock

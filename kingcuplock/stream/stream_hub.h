#pragma once

/// TCP connections, inbound and outbound, on the thread that runs an Asio
/// context. Bytes sent in one iteration of the event loop leave in one write.
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
  /// The remote side closed it in the regular way.
  kClosedByPeer,
  /// The remote side reset it, or it failed for a reason not listed here.
  kReset,
  /// The remote address is not valid, or nobody listens there.
  kRefused,
  /// The remote side did not answer in time.
  kTimedOut,
  /// This side closed it, because the remote side does not read and too many
  /// bytes wait to be sent.
  kSendBufferFull
};

/// Returns the name of `reason`, for logs.
auto ToString(StreamCloseReason reason) -> std::string_view;

/// Callbacks of a hub, called on the thread that runs the context.
struct StreamCallbacks {
  /// A connection is open. `port` is the local port of an inbound connection
  /// and 0 for an outbound one.
  std::function<void(ConnectionId, std::uint16_t port)> opened;
  /// Bytes arrived. The view is valid during the call only.
  std::function<void(ConnectionId, std::string_view)> received;
  /// A connection ended or could not be opened. It is the last callback for
  /// that connection, and is not called after Close().
  std::function<void(ConnectionId, StreamCloseReason)> closed;
};

/// Not thread safe. Every operation takes O(1) time plus the time to copy the
/// bytes.
class StreamHub {
 public:
  StreamHub(asio::io_context& io, StreamCallbacks callbacks);
  ~StreamHub();
  StreamHub(const StreamHub&) = delete;
  auto operator=(const StreamHub&) -> StreamHub& = delete;

  /// Accepts connections on the address; port 0 chooses a free port. Throws
  /// std::system_error if `host` is not an IP number or can't be bound.
  auto Listen(const std::string& host, std::uint16_t port) -> void;

  /// Closes the listening socket on `port`. Connections that it accepted stay
  /// open.
  auto StopAccepting(std::uint16_t port) -> void;

  /// Returns a new id for an outbound connection.
  auto NextId() -> ConnectionId { return ++last_outbound_; }

  /// Opens a connection under an id from NextId(). Either `opened` is called,
  /// or `closed`, after `timeout` at the latest.
  auto Connect(ConnectionId id,
               const std::string& host,
               std::uint16_t port,
               Duration timeout) -> void;

  /// Sends bytes, once the connection is open. Does nothing if it has ended.
  auto Send(ConnectionId id, std::string_view bytes) -> void;

  /// Closes a connection at once, without calling `closed`. Unsent bytes are
  /// lost.
  auto Close(ConnectionId id) -> void;

  /// Closes a connection, without calling `closed`, once the bytes sent before
  /// have been passed to the operating system.
  auto CloseAfterSending(ConnectionId id) -> void;

  /// Returns the number of connections, open or being opened.
  auto CountConnections() const -> std::size_t { return streams_.size(); }

 private:
  struct Stream;
  using StreamPtr = std::shared_ptr<Stream>;

  auto AcceptNext(std::uint16_t port) -> void;
  auto OnConnected(const StreamPtr& stream) -> void;
  auto ReadNext(const StreamPtr& stream) -> void;
  auto ScheduleFlush(const StreamPtr& stream) -> void;
  auto WriteUnsent(const StreamPtr& stream) -> void;
  auto CloseAndReport(const StreamPtr& stream, StreamCloseReason reason)
      -> void;
  auto FindStream(ConnectionId id) const -> StreamPtr;

  asio::io_context& io_;
  StreamCallbacks callbacks_;
  std::map<std::uint16_t, std::unique_ptr<asio::ip::tcp::acceptor>> acceptors_;
  std::unordered_map<ConnectionId, StreamPtr> streams_;
  ConnectionId last_outbound_ = 0;
  ConnectionId last_inbound_ = 0;
};

}  // namespace kingcuplock

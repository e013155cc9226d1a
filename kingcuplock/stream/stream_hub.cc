#include "kingcuplock/stream/stream_hub.h"

#include <netinet/tcp.h>

#include <array>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <asio/socket_base.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace kingcuplock {
namespace {

using Tcp = asio::ip::tcp;

/// Size in bytes of the read buffer of one connection; most messages are
/// smaller.
constexpr std::size_t kReadBufferBytes = 2048;
/// Number of unsent bytes above which a connection is closed because the remote
/// side does not read: four messages of the largest size.
constexpr std::size_t kMaxUnsentBytes = 4U << 20U;
/// Number of connections that the kernel queues until they are accepted.
constexpr int kListenBacklog = 1024;
/// Delay before connections are accepted again after a failure, for example
/// when the process has run out of file descriptors.
constexpr Milliseconds kAcceptRetryDelay{50};
/// Time in ms that sent bytes may stay unacknowledged before the connection
/// ends: a few round trips and one retransmission.
constexpr int kMaxUnacknowledgedMs = 2000;
/// Keep-alive: idle time in s before the first probe, interval in s between
/// probes, and number of unanswered probes that ends a connection.
constexpr int kKeepAliveIdleSeconds = 3;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveMaxProbes = 2;

auto SetIntOption(Tcp::socket& socket, int level, int name, int value) -> void {
  // An error is ignored: a socket without the option still works, but takes
  // longer to notice a broken network path.
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

auto SetSocketOptions(Tcp::socket& socket) -> void {
  asio::error_code ec;
  socket.set_option(Tcp::no_delay(true), ec);
  socket.set_option(asio::socket_base::keep_alive(true), ec);
  SetIntOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetIntOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetIntOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveMaxProbes);
  SetIntOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kMaxUnacknowledgedMs);
}

auto CloseReasonOf(const asio::error_code& ec) -> StreamCloseReason {
  if (ec == asio::error::eof) {
    return StreamCloseReason::kClosedByPeer;
  }
  if (ec == asio::error::connection_refused) {
    return StreamCloseReason::kRefused;
  }
  return ec == asio::error::timed_out ? StreamCloseReason::kTimedOut
                                      : StreamCloseReason::kReset;
}

}  // namespace

auto ToString(StreamCloseReason reason) -> std::string_view {
  switch (reason) {
    case StreamCloseReason::kClosedByPeer:
      return "finished";
    case StreamCloseReason::kReset:
      return "reset";
    case StreamCloseReason::kRefused:
      return "refused";
    case StreamCloseReason::kTimedOut:
      return "silent";
    case StreamCloseReason::kSendBufferFull:
      return "overflow";
  }
  return "reset";
}

struct StreamHub::Stream {
  Stream(ConnectionId id, Tcp::socket socket)
      : id(id), socket(std::move(socket)) {}

  ConnectionId id;
  Tcp::socket socket;
  std::unique_ptr<asio::steady_timer> connect_timer;
  std::array<char, kReadBufferBytes> in{};
  /// Bytes passed to the socket by the write in progress.
  std::string writing;
  /// Bytes that wait for the next write.
  std::string unsent;
  bool open = false;
  bool flush_scheduled = false;
  bool close_when_sent = false;
  bool ended = false;
};

StreamHub::StreamHub(asio::io_context& io, StreamCallbacks callbacks)
    : io_(io), callbacks_(std::move(callbacks)) {}

StreamHub::~StreamHub() = default;

auto StreamHub::Listen(const std::string& host, std::uint16_t port) -> void {
  const Tcp::endpoint endpoint(asio::ip::make_address(host), port);
  auto acceptor = std::make_unique<Tcp::acceptor>(io_);
  acceptor->open(endpoint.protocol());
  acceptor->set_option(asio::socket_base::reuse_address(true));
  acceptor->bind(endpoint);
  acceptor->listen(kListenBacklog);
  const auto bound = acceptor->local_endpoint().port();
  acceptors_[bound] = std::move(acceptor);
  AcceptNext(bound);
}

auto StreamHub::StopAccepting(std::uint16_t port) -> void {
  acceptors_.erase(port);
}

auto StreamHub::AcceptNext(std::uint16_t port) -> void {
  const auto it = acceptors_.find(port);
  if (it == acceptors_.end()) {
    return;
  }
  it->second->async_accept([this, port](const asio::error_code& ec,
                                        Tcp::socket socket) {
    if (ec == asio::error::operation_aborted) {
      return;
    }
    if (ec) {
      auto timer = std::make_shared<asio::steady_timer>(io_, kAcceptRetryDelay);
      timer->async_wait(
          [this, port, timer](const asio::error_code&) { AcceptNext(port); });
      return;
    }
    const auto id = ++last_inbound_ | kInboundBit;
    auto stream = std::make_shared<Stream>(id, std::move(socket));
    streams_[id] = stream;
    callbacks_.opened(id, port);
    OnConnected(stream);
    AcceptNext(port);
  });
}

auto StreamHub::Connect(ConnectionId id,
                        const std::string& host,
                        std::uint16_t port,
                        Duration timeout) -> void {
  auto stream = std::make_shared<Stream>(id, Tcp::socket(io_));
  streams_[id] = stream;
  asio::error_code bad_address;
  const auto address = asio::ip::make_address(host, bad_address);
  if (bad_address) {
    asio::post(io_, [this, stream] {
      CloseAndReport(stream, StreamCloseReason::kRefused);
    });
    return;
  }
  stream->connect_timer = std::make_unique<asio::steady_timer>(io_, timeout);
  stream->connect_timer->async_wait([this, stream](const asio::error_code& ec) {
    if (!ec && !stream->open) {
      CloseAndReport(stream, StreamCloseReason::kTimedOut);
    }
  });
  stream->socket.async_connect(Tcp::endpoint(address, port),
                               [this, stream](const asio::error_code& ec) {
                                 if (stream->ended) {
                                   return;
                                 }
                                 stream->connect_timer.reset();
                                 if (ec) {
                                   CloseAndReport(stream, CloseReasonOf(ec));
                                   return;
                                 }
                                 OnConnected(stream);
                                 callbacks_.opened(stream->id, 0);
                               });
}

auto StreamHub::OnConnected(const StreamPtr& stream) -> void {
  SetSocketOptions(stream->socket);
  stream->open = true;
  ReadNext(stream);
  if (!stream->unsent.empty()) {
    ScheduleFlush(stream);
  }
}

auto StreamHub::ReadNext(const StreamPtr& stream) -> void {
  if (stream->ended) {
    return;
  }
  stream->socket.async_read_some(
      asio::buffer(stream->in),
      [this, stream](const asio::error_code& ec, std::size_t n) {
        if (stream->ended) {
          return;
        }
        if (ec) {
          CloseAndReport(stream, CloseReasonOf(ec));
          return;
        }
        callbacks_.received(stream->id, std::string_view(stream->in.data(), n));
        ReadNext(stream);
      });
}

auto StreamHub::Send(ConnectionId id, std::string_view bytes) -> void {
  const auto stream = FindStream(id);
  if (!stream) {
    return;
  }
  stream->unsent.append(bytes);
  if (stream->unsent.size() > kMaxUnsentBytes) {
    asio::post(io_, [this, stream] {
      CloseAndReport(stream, StreamCloseReason::kSendBufferFull);
    });
    return;
  }
  if (stream->open) {
    ScheduleFlush(stream);
  }
}

auto StreamHub::ScheduleFlush(const StreamPtr& stream) -> void {
  if (stream->flush_scheduled || !stream->writing.empty()) {
    return;
  }
  stream->flush_scheduled = true;
  asio::post(io_, [this, stream] {
    stream->flush_scheduled = false;
    WriteUnsent(stream);
  });
}

auto StreamHub::WriteUnsent(const StreamPtr& stream) -> void {
  if (stream->ended || !stream->writing.empty()) {
    return;
  }
  if (stream->unsent.empty()) {
    if (stream->close_when_sent) {
      Close(stream->id);
    }
    return;
  }
  std::swap(stream->writing, stream->unsent);
  asio::async_write(stream->socket, asio::buffer(stream->writing),
                    [this, stream](const asio::error_code& ec, std::size_t) {
                      stream->writing.clear();
                      if (stream->ended) {
                        return;
                      }
                      if (ec) {
                        CloseAndReport(stream, CloseReasonOf(ec));
                        return;
                      }
                      WriteUnsent(stream);
                    });
}

auto StreamHub::Close(ConnectionId id) -> void {
  const auto stream = FindStream(id);
  if (!stream) {
    return;
  }
  stream->ended = true;
  stream->connect_timer.reset();
  asio::error_code ec;
  stream->socket.close(ec);
  streams_.erase(id);
}

auto StreamHub::CloseAfterSending(ConnectionId id) -> void {
  if (const auto stream = FindStream(id)) {
    stream->close_when_sent = true;
    ScheduleFlush(stream);
  }
}

auto StreamHub::CloseAndReport(const StreamPtr& stream,
                               StreamCloseReason reason) -> void {
  if (stream->ended) {
    return;
  }
  Close(stream->id);
  callbacks_.closed(stream->id, reason);
}

auto StreamHub::FindStream(ConnectionId id) const -> StreamPtr {
  const auto it = streams_.find(id);
  return it == streams_.end() ? nullptr : it->second;
}

}  // namespace kingcuplock

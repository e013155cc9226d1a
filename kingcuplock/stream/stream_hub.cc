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

/// Read buffer of one connection in bytes; most messages are smaller.
constexpr std::size_t kReadBufferBytes = 2048;
/// Unsent bytes after which a connection that does not read is closed: four
/// messages of the largest size.
constexpr std::size_t kMaxUnsentBytes = 4U << 20U;
/// Connections that the kernel queues before they are accepted.
constexpr int kListenBacklog = 1024;
/// Pause in ms before accepting again after descriptors ran out.
constexpr Milliseconds kAcceptPause{50};
/// Time in ms for which sent bytes may stay unacknowledged: a few round trips
/// and one retransmission.
constexpr int kUnacknowledgedMs = 2000;
/// Idle time in s before the first keep-alive probe, pause in s between
/// probes, and unanswered probes that end a connection.
constexpr int kKeepAliveIdleSeconds = 3;
constexpr int kKeepAlivePauseSeconds = 1;
constexpr int kKeepAliveProbes = 2;

auto SetNumber(Tcp::socket& socket, int level, int name, int value) -> void {
  // A socket without the option still works; it notices a dark link later.
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

auto Tune(Tcp::socket& socket) -> void {
  asio::error_code ec;
  socket.set_option(Tcp::no_delay(true), ec);
  socket.set_option(asio::socket_base::keep_alive(true), ec);
  SetNumber(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetNumber(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAlivePauseSeconds);
  SetNumber(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetNumber(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

auto EndOf(const asio::error_code& ec) -> StreamCloseReason {
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

auto ToString(StreamCloseReason end) -> std::string_view {
  switch (end) {
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
  /// Bytes handed to the socket, and bytes that wait for the next write.
  std::string writing;
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
  Accept(bound);
}

auto StreamHub::StopAccepting(std::uint16_t port) -> void {
  acceptors_.erase(port);
}

auto StreamHub::Accept(std::uint16_t port) -> void {
  const auto it = acceptors_.find(port);
  if (it == acceptors_.end()) {
    return;
  }
  it->second->async_accept(
      [this, port](const asio::error_code& ec, Tcp::socket socket) {
        if (ec == asio::error::operation_aborted) {
          return;
        }
        if (ec) {
          auto timer = std::make_shared<asio::steady_timer>(io_, kAcceptPause);
          timer->async_wait(
              [this, port, timer](const asio::error_code&) { Accept(port); });
          return;
        }
        const auto id = ++last_inbound_ | kInboundBit;
        auto stream = std::make_shared<Stream>(id, std::move(socket));
        streams_[id] = stream;
        callbacks_.opened(id, port);
        Begin(stream);
        Accept(port);
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
    asio::post(io_,
               [this, stream] { End(stream, StreamCloseReason::kRefused); });
    return;
  }
  stream->connect_timer = std::make_unique<asio::steady_timer>(io_, timeout);
  stream->connect_timer->async_wait([this, stream](const asio::error_code& ec) {
    if (!ec && !stream->open) {
      End(stream, StreamCloseReason::kTimedOut);
    }
  });
  stream->socket.async_connect(Tcp::endpoint(address, port),
                               [this, stream](const asio::error_code& ec) {
                                 if (stream->ended) {
                                   return;
                                 }
                                 stream->connect_timer.reset();
                                 if (ec) {
                                   End(stream, EndOf(ec));
                                   return;
                                 }
                                 Begin(stream);
                                 callbacks_.opened(stream->id, 0);
                               });
}

auto StreamHub::Begin(const StreamPtr& stream) -> void {
  Tune(stream->socket);
  stream->open = true;
  Read(stream);
  if (!stream->unsent.empty()) {
    ScheduleFlush(stream);
  }
}

auto StreamHub::Read(const StreamPtr& stream) -> void {
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
          End(stream, EndOf(ec));
          return;
        }
        callbacks_.received(stream->id, std::string_view(stream->in.data(), n));
        Read(stream);
      });
}

auto StreamHub::Send(ConnectionId id, std::string_view bytes) -> void {
  const auto stream = Find(id);
  if (!stream) {
    return;
  }
  stream->unsent.append(bytes);
  if (stream->unsent.size() > kMaxUnsentBytes) {
    asio::post(io_, [this, stream] {
      End(stream, StreamCloseReason::kSendBufferFull);
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
    Write(stream);
  });
}

auto StreamHub::Write(const StreamPtr& stream) -> void {
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
                        End(stream, EndOf(ec));
                        return;
                      }
                      Write(stream);
                    });
}

auto StreamHub::Close(ConnectionId id) -> void {
  const auto stream = Find(id);
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
  if (const auto stream = Find(id)) {
    stream->close_when_sent = true;
    ScheduleFlush(stream);
  }
}

auto StreamHub::End(const StreamPtr& stream, StreamCloseReason end) -> void {
  if (stream->ended) {
    return;
  }
  Close(stream->id);
  callbacks_.closed(stream->id, end);
}

auto StreamHub::Find(ConnectionId id) const -> StreamPtr {
  const auto it = streams_.find(id);
  return it == streams_.end() ? nullptr : it->second;
}

}  // namespace kingcuplock

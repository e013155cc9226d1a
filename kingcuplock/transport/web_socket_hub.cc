#include "kingcuplock/transport/web_socket_hub.h"

#include <map>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <asio.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace kingcuplock {
namespace {

/// Size in bytes of the read buffer of one connection; most frames are smaller.
constexpr std::size_t kReadBufferBytes = 2048;
/// Largest size in bytes of a message that a connection accepts.
constexpr std::size_t kMaxMessageBytes = 4U << 20U;
/// Number of connections that the kernel queues until they are accepted.
constexpr int kListenBacklog = 1024;

struct ServerConfig : websocketpp::config::asio {
  static const std::size_t connection_read_buffer_size = kReadBufferBytes;
  static const std::size_t max_message_size = kMaxMessageBytes;
};

struct ClientConfig : websocketpp::config::asio_client {
  static const std::size_t connection_read_buffer_size = kReadBufferBytes;
  static const std::size_t max_message_size = kMaxMessageBytes;
};

using Server = websocketpp::server<ServerConfig>;
using Client = websocketpp::client<ClientConfig>;
using Handle = websocketpp::connection_hdl;

template <typename Connection>
void DisableNagle(const Connection& connection) {
  asio::error_code ec;
  connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ec);
}

/// Closes the socket without a closing handshake, because a remote side that
/// has become silent would not answer one.
template <typename Connection>
void CloseSocket(const Connection& connection) {
  asio::error_code ec;
  connection->get_raw_socket().shutdown(asio::ip::tcp::socket::shutdown_both,
                                        ec);
  connection->get_raw_socket().close(ec);
}

}  // namespace

class WebSocketHub::Impl {
 public:
  explicit Impl(WebSocketHubCallbacks callbacks)
      : callbacks_(std::move(callbacks)), signals_(io_) {
    client_.clear_access_channels(websocketpp::log::alevel::all);
    client_.clear_error_channels(websocketpp::log::elevel::all);
    client_.init_asio(&io_);
    client_.set_tcp_post_init_handler([this](const Handle& handle) {
      DisableNagle(client_.get_con_from_hdl(handle));
    });
  }

  void Listen(const std::string& host, std::uint16_t port) {
    auto server = std::make_unique<Server>();
    server->clear_access_channels(websocketpp::log::alevel::all);
    server->clear_error_channels(websocketpp::log::elevel::all);
    server->init_asio(&io_);
    server->set_reuse_addr(true);
    server->set_listen_backlog(kListenBacklog);
    SetServerHandlers(*server, port);
    websocketpp::lib::error_code ec;
    server->listen(asio::ip::tcp::endpoint(asio::ip::make_address(host), port),
                   ec);
    if (ec) {
      throw std::runtime_error("cannot listen on " + host + ":" +
                               std::to_string(port) + " (" + ec.message() +
                               "); free the port or change the settings");
    }
    server->start_accept();
    servers_[port] = std::move(server);
  }

  void StopListening(std::uint16_t port) {
    StopAccepting(port);
    std::vector<ConnectionId> accepted_on_port;
    for (const auto& [id, local] : inbound_ports_) {
      if (local == port) {
        accepted_on_port.push_back(id);
      }
    }
    for (const auto it : accepted_on_port) {
      Close(it);
    }
  }

  void StopAccepting(std::uint16_t port) {
    const auto it = servers_.find(port);
    if (it == servers_.end()) {
      return;
    }
    websocketpp::lib::error_code ec;
    it->second->stop_listening(ec);
    stopped_servers_.push_back(std::move(it->second));
    servers_.erase(it);
  }

  void Connect(ConnectionId connection,
               const std::string& host,
               std::uint16_t port,
               int timeout_ms) {
    // Anything but an address would be looked up by name.
    asio::error_code bad_address;
    asio::ip::make_address(host, bad_address);
    websocketpp::lib::error_code ec;
    auto it = client_.get_connection(
        "ws://" + host + ":" + std::to_string(port) + "/", ec);
    if (bad_address || ec) {
      asio::post(io_, [this, connection] { callbacks_.closed(connection); });
      return;
    }
    it->set_open_handshake_timeout(timeout_ms);
    it->set_open_handler([this, connection](const Handle& handle) {
      callbacks_.opened(connection, 0);
      (void)handle;
    });
    const auto ended = [this, connection](const Handle& handle) {
      (void)handle;
      if (outbound_.erase(connection) > 0) {
        callbacks_.closed(connection);
      }
    };
    it->set_fail_handler(ended);
    it->set_close_handler(ended);
    it->set_message_handler(
        [this, connection](const Handle& handle, const auto& message) {
          (void)handle;
          ReportMessage(connection, message);
        });
    outbound_[connection] = it;
    client_.connect(it);
  }

  void Send(ConnectionId connection, std::string_view payload, bool is_text) {
    const auto opcode = is_text ? websocketpp::frame::opcode::text
                                : websocketpp::frame::opcode::binary;
    WithConnection(connection, [&](const auto& it) {
      it->send(payload.data(), payload.size(), opcode);
    });
  }

  void Close(ConnectionId connection) {
    WithConnection(connection, [](const auto& it) { CloseSocket(it); });
    const auto known = outbound_.erase(connection) + inbound_.erase(connection);
    inbound_ports_.erase(connection);
    if (known > 0) {
      asio::post(io_, [this, connection] { callbacks_.closed(connection); });
    }
  }

  void SendGoingAway() {
    for (const auto& [id, it] : inbound_) {
      websocketpp::lib::error_code ec;
      it->close(websocketpp::close::status::going_away, "leaving", ec);
    }
  }

  void SetReading(ConnectionId connection, bool on) {
    WithConnection(connection, [on](const auto& it) {
      on ? it->resume_reading() : it->pause_reading();
    });
  }

  void Post(std::function<void()> work) { asio::post(io_, std::move(work)); }

  void RunAfter(int delay_ms, std::function<void()> work) {
    auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::milliseconds(delay_ms));
    timer->async_wait(
        [timer, work = std::move(work)](const asio::error_code& ec) {
          if (!ec) {
            work();
          }
        });
  }

  void SetTerminationHandler(std::function<void()> handler) {
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.async_wait(
        [handler = std::move(handler)](const asio::error_code& ec, int number) {
          (void)number;
          if (!ec) {
            handler();
          }
        });
  }

  void Run() {
    const auto guard = asio::make_work_guard(io_);
    io_.run();
  }

  void Stop() { io_.stop(); }

 private:
  using ServerConnection = Server::connection_ptr;
  using ClientConnection = Client::connection_ptr;

  void SetServerHandlers(Server& server, std::uint16_t port) {
    auto* raw = &server;
    server.set_tcp_post_init_handler([raw](const Handle& handle) {
      DisableNagle(raw->get_con_from_hdl(handle));
    });
    server.set_open_handler([this, raw, port](const Handle& handle) {
      auto it = raw->get_con_from_hdl(handle);
      const auto id = ++last_inbound_ | kInboundBit;
      inbound_[id] = it;
      inbound_ports_[id] = port;
      it->set_message_handler(
          [this, id](const Handle& source, const auto& message) {
            (void)source;
            ReportMessage(id, message);
          });
      it->set_close_handler([this, id](const Handle& source) {
        (void)source;
        inbound_ports_.erase(id);
        if (inbound_.erase(id) > 0) {
          callbacks_.closed(id);
        }
      });
      callbacks_.opened(id, port);
    });
  }

  template <typename Message>
  void ReportMessage(ConnectionId connection, const Message& message) {
    const auto is_text =
        message->get_opcode() == websocketpp::frame::opcode::text;
    callbacks_.frame(connection, std::move(message->get_raw_payload()),
                     is_text);
  }

  template <typename Action>
  void WithConnection(ConnectionId connection, Action action) {
    if ((connection & kInboundBit) != 0) {
      const auto it = inbound_.find(connection);
      if (it != inbound_.end()) {
        action(it->second);
      }
      return;
    }
    const auto it = outbound_.find(connection);
    if (it != outbound_.end()) {
      action(it->second);
    }
  }

  WebSocketHubCallbacks callbacks_;
  asio::io_context io_;
  asio::signal_set signals_;
  Client client_;
  std::map<std::uint16_t, std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Server>> stopped_servers_;
  std::unordered_map<ConnectionId, ClientConnection> outbound_;
  std::unordered_map<ConnectionId, ServerConnection> inbound_;
  std::unordered_map<ConnectionId, std::uint16_t> inbound_ports_;
  ConnectionId last_inbound_ = 0;
};

WebSocketHub::WebSocketHub(WebSocketHubCallbacks callbacks)
    : impl_(std::make_unique<Impl>(std::move(callbacks))) {}

WebSocketHub::~WebSocketHub() = default;

void WebSocketHub::Listen(const std::string& host, std::uint16_t port) {
  impl_->Listen(host, port);
}

void WebSocketHub::StopListening(std::uint16_t port) {
  impl_->StopListening(port);
}

void WebSocketHub::StopAccepting(std::uint16_t port) {
  impl_->StopAccepting(port);
}

void WebSocketHub::Connect(ConnectionId connection,
                           const std::string& host,
                           std::uint16_t port,
                           int timeout_ms) {
  impl_->Connect(connection, host, port, timeout_ms);
}

void WebSocketHub::Send(ConnectionId connection,
                        std::string_view payload,
                        bool is_text) {
  impl_->Send(connection, payload, is_text);
}

void WebSocketHub::Close(ConnectionId connection) {
  impl_->Close(connection);
}

void WebSocketHub::SendGoingAway() {
  impl_->SendGoingAway();
}

void WebSocketHub::SetReading(ConnectionId connection, bool on) {
  impl_->SetReading(connection, on);
}

void WebSocketHub::Post(std::function<void()> work) {
  impl_->Post(std::move(work));
}

void WebSocketHub::RunAfter(int delay_ms, std::function<void()> work) {
  impl_->RunAfter(delay_ms, std::move(work));
}

void WebSocketHub::SetTerminationHandler(std::function<void()> handler) {
  impl_->SetTerminationHandler(std::move(handler));
}

void WebSocketHub::Run() {
  impl_->Run();
}

void WebSocketHub::Stop() {
  impl_->Stop();
}

}  // namespace kingcuplock

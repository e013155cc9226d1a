#include "programs/client/sync_client.h"

#include <charconv>
#include <utility>

namespace kingcuplock {
namespace {

constexpr ConnectionId kOnlyConnection = 1;

}  // namespace

SyncClient::SyncClient(const std::string& host,
                       std::uint16_t port,
                       int timeout_ms)
    : hub_({[this](ConnectionId, std::uint16_t) {
              const std::lock_guard lock(mutex_);
              connected_ = true;
              state_changed_.notify_all();
            },
            [this](ConnectionId, std::string payload, bool) {
              const std::lock_guard lock(mutex_);
              received_frames_.push_back(std::move(payload));
              state_changed_.notify_all();
            },
            [this](ConnectionId) {
              const std::lock_guard lock(mutex_);
              closed_ = true;
              state_changed_.notify_all();
            }}) {
  hub_.Connect(kOnlyConnection, host, port, timeout_ms);
  thread_ = std::thread([this] { hub_.Run(); });
  std::unique_lock lock(mutex_);
  state_changed_.wait_for(lock, std::chrono::milliseconds(timeout_ms),
                          [this] { return connected_ || closed_; });
  if (connected_) {
    return;
  }
  lock.unlock();
  hub_.Stop();
  thread_.join();
  throw ClientError("cannot connect to " + host + ":" + std::to_string(port) +
                    "; check the address and that the process is running");
}

SyncClient::~SyncClient() {
  if (thread_.joinable()) {
    hub_.Stop();
    thread_.join();
  }
}

auto SyncClient::SendFrameAndReceive(const std::string& frame, int timeout_ms)
    -> nlohmann::json {
  hub_.Post([this, frame] { hub_.Send(kOnlyConnection, frame, false); });
  std::unique_lock lock(mutex_);
  state_changed_.wait_for(lock, std::chrono::milliseconds(timeout_ms), [this] {
    return !received_frames_.empty() || closed_;
  });
  if (received_frames_.empty()) {
    throw ClientError(
        closed_ ? "the server closed the connection; connect again"
                : "no answer within the timeout; send the message again");
  }
  const auto payload = std::move(received_frames_.front());
  received_frames_.pop_front();
  return DecodeFrame(payload, FrameFormat::kCbor);
}

auto ParseHostPort(const std::string& text) -> HostPort {
  const auto colon = text.rfind(':');
  HostPort out;
  if (colon != std::string::npos) {
    const auto* end = text.data() + text.size();
    const auto [stop, ec] =
        std::from_chars(text.data() + colon + 1, end, out.port);
    if (ec == std::errc() && stop == end && out.port != 0) {
      out.host = text.substr(0, colon);
      return out;
    }
  }
  throw ClientError("\"" + text + "\" is not an address; write HOST:PORT");
}

}  // namespace kingcuplock

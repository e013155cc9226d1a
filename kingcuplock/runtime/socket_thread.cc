#include "kingcuplock/runtime/socket_thread.h"

#include <utility>

#include "kingcuplock/owner/answers.h"
#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

/// Number of events or commands that a ring can hold.
constexpr std::size_t kRingCapacity = 8192;
/// Delay in ms before events that did not fit into the ring are tried again.
constexpr int kOverflowRetryMs = 1;
/// Time in ms that a stop leaves for closing handshakes and unsent messages.
constexpr int kClosingHandshakeMs = 100;
/// Delay in ms after which a caller that was refused because the ring was full
/// may retry.
constexpr std::int64_t kRingFullRetryMs = 200;

auto FormatOf(bool is_text) -> FrameFormat {
  return is_text ? FrameFormat::kJson : FrameFormat::kCbor;
}

/// Returns the request id of a decoded frame that is not a valid message, or an
/// empty string if it has none.
auto RequestIdOf(const nlohmann::json& frame) -> std::string {
  if (!frame.is_object() || !frame.contains("id") || !frame["id"].is_string()) {
    return {};
  }
  return frame["id"].get<std::string>();
}

}  // namespace

SocketThread::SocketThread(std::function<void()> wake_decisions)
    : wake_decisions_(std::move(wake_decisions)),
      events_(kRingCapacity),
      commands_(kRingCapacity),
      hub_({[this](ConnectionId it, std::uint16_t) {
              ReportEvent(ConnectionOpened{it});
            },
            [this](ConnectionId it, std::string payload, bool is_text) {
              OnFrame(it, payload, is_text);
            },
            [this](ConnectionId it) {
              outbound_kinds_.erase(it);
              uses_text_frames_.erase(it);
              ReportEvent(ConnectionClosed{it});
            }}) {}

SocketThread::~SocketThread() {
  Stop();
}

void SocketThread::Listen(const std::string& host, std::uint16_t port) {
  port_ = port;
  hub_.Listen(host, port);
}

void SocketThread::ReportTerminationSignals() {
  hub_.SetTerminationHandler([this] { ReportEvent(StopRequested{}); });
}

void SocketThread::Start() {
  thread_ = std::thread([this] { hub_.Run(); });
}

void SocketThread::StopAccepting() {
  hub_.Post([this] { hub_.StopAccepting(port_); });
}

void SocketThread::Stop() {
  if (!thread_.joinable()) {
    return;
  }
  hub_.Post([this] {
    PerformQueuedCommands();
    hub_.SendGoingAway();
    hub_.RunAfter(kClosingHandshakeMs, [this] { hub_.Stop(); });
  });
  thread_.join();
}

auto SocketThread::TryQueueCommand(SocketCommand& command) -> bool {
  return commands_.TryPush(command);
}

void SocketThread::WakeForCommands() {
  if (!flush_pending_.exchange(true)) {
    hub_.Post([this] { PerformQueuedCommands(); });
  }
}

void SocketThread::ReportEvent(NodeEvent event) {
  if (overflow_.empty() && events_.TryPush(event)) {
    wake_decisions_();
    return;
  }
  overflow_.push_back(std::move(event));
  if (overflow_.size() == 1) {
    hub_.RunAfter(kOverflowRetryMs, [this] { RetryOverflow(); });
  }
}

void SocketThread::RetryOverflow() {
  while (!overflow_.empty() && events_.TryPush(overflow_.front())) {
    overflow_.pop_front();
  }
  wake_decisions_();
  if (!overflow_.empty()) {
    hub_.RunAfter(kOverflowRetryMs, [this] { RetryOverflow(); });
  }
}

void SocketThread::OnFrame(ConnectionId source,
                           const std::string& payload,
                           bool is_text) {
  if ((source & kInboundBit) != 0) {
    OnInbound(source, payload, is_text);
    return;
  }
  const auto kind = outbound_kinds_.find(source);
  if (kind == outbound_kinds_.end()) {
    return;
  }
  try {
    const auto json = DecodeFrame(payload, FormatOf(is_text));
    MessageArrived event;
    event.connection = source;
    switch (kind->second) {
      case ConnectionKind::kPeer:
        event.message = ReadPeerMessage(json);
        break;
      case ConnectionKind::kMember:
        event.message = json.get<MemberAnswer>();
        break;
      case ConnectionKind::kStore:
        event.message = ReadStoreReply(json);
        break;
    }
    ReportEvent(std::move(event));
  } catch (const SchemaError&) {
    // The request that this frame answers is not known. Closing the connection
    // makes its user treat all outstanding answers as lost.
    hub_.Close(source);
  }
}

void SocketThread::OnInbound(ConnectionId source,
                             const std::string& payload,
                             bool is_text) {
  uses_text_frames_[source] = is_text;
  try {
    auto message = ReadInboundMessage(DecodeFrame(payload, FormatOf(is_text)));
    const auto* request = std::get_if<CallerRequest>(&message);
    if (request != nullptr && (leaving_ || !overflow_.empty())) {
      RefuseRequest(source, *request, is_text);
      return;
    }
    MessageArrived event;
    event.connection = source;
    event.message = std::move(message);
    ReportEvent(std::move(event));
  } catch (const SchemaError& ex) {
    RejectFrame(source, payload, is_text, ex.what());
  }
}

void SocketThread::RefuseRequest(ConnectionId source,
                                 const CallerRequest& request,
                                 bool is_text) {
  ++refused_requests_;
  const auto error = leaving_ ? ErrorKind::kLeaving : ErrorKind::kOverloaded;
  const auto retry_ms = leaving_ ? 0 : kRingFullRetryMs;
  // A request that was sent before with the same id may have run.
  auto answer = request.repeated
                    ? BuildUnknownOutcomeAnswer(request.id, error, retry_ms)
                    : BuildNotRunAnswer(request.id, error, retry_ms);
  answer.leaving = leaving_;
  answer.token = request.token;
  hub_.Send(source, Encode(answer, FormatOf(is_text)), is_text);
}

void SocketThread::RejectFrame(ConnectionId source,
                               const std::string& payload,
                               bool is_text,
                               const std::string& reason) {
  std::string id;
  try {
    id = RequestIdOf(DecodeFrame(payload, FormatOf(is_text)));
  } catch (const SchemaError&) {
    id.clear();
  }
  auto answer = BuildNotRunAnswer(id, ErrorKind::kBadFrame, 0);
  answer.message += ": " + reason;
  hub_.Send(source, Encode(answer, FormatOf(is_text)), is_text);
}

void SocketThread::PerformQueuedCommands() {
  flush_pending_.store(false);
  SocketCommand command;
  while (commands_.TryPop(command)) {
    PerformCommand(command);
  }
  wake_decisions_();
}

void SocketThread::PerformCommand(const SocketCommand& command) {
  if (const auto* open = std::get_if<OpenConnection>(&command)) {
    outbound_kinds_[open->connection] = open->kind;
    hub_.Connect(open->connection, open->host,
                 static_cast<std::uint16_t>(open->port), open->timeout_ms);
  } else if (const auto* close = std::get_if<CloseConnection>(&command)) {
    hub_.Close(close->connection);
  } else if (const auto* send = std::get_if<SendMessage>(&command)) {
    const auto it = uses_text_frames_.find(send->connection);
    const auto is_text = it != uses_text_frames_.end() && it->second;
    const auto frame = std::visit(
        [is_text](const auto& message) {
          return Encode(message, FormatOf(is_text));
        },
        send->message);
    hub_.Send(send->connection, frame, is_text);
  }
}

}  // namespace kingcuplock

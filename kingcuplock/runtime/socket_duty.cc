#include "kingcuplock/runtime/socket_duty.h"

#include <utility>

#include "kingcuplock/owner/answers.h"
#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

/// Events and commands that a ring holds.
constexpr std::size_t kRingSize = 8192;
/// Pause in ms before events that found the ring full are tried again.
constexpr int kOverflowPauseMs = 1;
/// Time in ms for closing handshakes and what is left to send.
constexpr int kClosingMs = 100;
/// Time in ms after which a caller refused at a full ring may come back.
constexpr std::int64_t kRingRetryMs = 200;

auto Format(bool is_text) -> FrameFormat {
  return is_text ? FrameFormat::kJson : FrameFormat::kCbor;
}

/// Returns the id of a frame that could not be read otherwise, if it has one.
auto IdOf(const nlohmann::json& frame) -> std::string {
  if (!frame.is_object() || !frame.contains("id") || !frame["id"].is_string()) {
    return {};
  }
  return frame["id"].get<std::string>();
}

}  // namespace

SocketThread::SocketThread(std::function<void()> wake_decisions)
    : wake_decisions_(std::move(wake_decisions)),
      events_(kRingSize),
      commands_(kRingSize),
      hub_({[this](ConnectionId it, std::uint16_t) {
              Report(ConnectionOpened{it});
            },
            [this](ConnectionId it, std::string payload, bool is_text) {
              OnFrame(it, payload, is_text);
            },
            [this](ConnectionId it) {
              kinds_.erase(it);
              text_.erase(it);
              Report(ConnectionClosed{it});
            }}) {}

SocketThread::~SocketThread() {
  Stop();
}

void SocketThread::Listen(const std::string& host, std::uint16_t port) {
  port_ = port;
  hub_.Listen(host, port);
}

void SocketThread::ReportTerminationSignals() {
  hub_.SetTerminationHandler([this] { Report(StopRequested{}); });
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
    RunCommands();
    hub_.SendGoingAway();
    hub_.RunAfter(kClosingMs, [this] { hub_.Stop(); });
  });
  thread_.join();
}

auto SocketThread::TryQueueCommand(SocketCommand& command) -> bool {
  return commands_.TryPush(command);
}

void SocketThread::WakeForCommands() {
  if (!flush_pending_.exchange(true)) {
    hub_.Post([this] { RunCommands(); });
  }
}

void SocketThread::Report(NodeEvent event) {
  if (overflow_.empty() && events_.TryPush(event)) {
    wake_decisions_();
    return;
  }
  overflow_.push_back(std::move(event));
  if (overflow_.size() == 1) {
    hub_.RunAfter(kOverflowPauseMs, [this] { RetryOverflow(); });
  }
}

void SocketThread::RetryOverflow() {
  while (!overflow_.empty() && events_.TryPush(overflow_.front())) {
    overflow_.pop_front();
  }
  wake_decisions_();
  if (!overflow_.empty()) {
    hub_.RunAfter(kOverflowPauseMs, [this] { RetryOverflow(); });
  }
}

void SocketThread::OnFrame(ConnectionId source,
                           const std::string& payload,
                           bool is_text) {
  if ((source & kInboundBit) != 0) {
    OnInbound(source, payload, is_text);
    return;
  }
  const auto kind = kinds_.find(source);
  if (kind == kinds_.end()) {
    return;
  }
  try {
    const auto json = DecodeFrame(payload, Format(is_text));
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
    Report(std::move(event));
  } catch (const SchemaError&) {
    // What it answered can't be known; closing reports it as lost.
    hub_.Close(source);
  }
}

void SocketThread::OnInbound(ConnectionId source,
                             const std::string& payload,
                             bool is_text) {
  text_[source] = is_text;
  try {
    auto message = ReadInboundMessage(DecodeFrame(payload, Format(is_text)));
    const auto* request = std::get_if<CallerRequest>(&message);
    if (request != nullptr && (leaving_ || !overflow_.empty())) {
      RefuseRequest(source, *request, is_text);
      return;
    }
    MessageArrived event;
    event.connection = source;
    event.message = std::move(message);
    Report(std::move(event));
  } catch (const SchemaError& ex) {
    RejectFrame(source, payload, is_text, ex.what());
  }
}

void SocketThread::RefuseRequest(ConnectionId source,
                                 const CallerRequest& request,
                                 bool is_text) {
  ++refused_;
  const auto error = leaving_ ? ErrorKind::kLeaving : ErrorKind::kOverloaded;
  const auto retry_ms = leaving_ ? 0 : kRingRetryMs;
  // An earlier sending of the same id may have run.
  auto answer = request.repeated
                    ? BuildUnknownOutcomeAnswer(request.id, error, retry_ms)
                    : BuildNotRunAnswer(request.id, error, retry_ms);
  answer.leaving = leaving_;
  answer.token = request.token;
  hub_.Send(source, Encode(answer, Format(is_text)), is_text);
}

void SocketThread::RejectFrame(ConnectionId source,
                               const std::string& payload,
                               bool is_text,
                               const std::string& reason) {
  std::string id;
  try {
    id = IdOf(DecodeFrame(payload, Format(is_text)));
  } catch (const SchemaError&) {
    id.clear();
  }
  auto answer = BuildNotRunAnswer(id, ErrorKind::kBadFrame, 0);
  answer.message += ": " + reason;
  hub_.Send(source, Encode(answer, Format(is_text)), is_text);
}

void SocketThread::RunCommands() {
  flush_pending_.store(false);
  SocketCommand command;
  while (commands_.TryPop(command)) {
    Perform(command);
  }
  wake_decisions_();
}

void SocketThread::Perform(const SocketCommand& command) {
  if (const auto* open = std::get_if<OpenConnection>(&command)) {
    kinds_[open->connection] = open->kind;
    hub_.Connect(open->connection, open->host,
                 static_cast<std::uint16_t>(open->port), open->timeout_ms);
  } else if (const auto* close = std::get_if<CloseConnection>(&command)) {
    hub_.Close(close->connection);
  } else if (const auto* send = std::get_if<SendMessage>(&command)) {
    const auto it = text_.find(send->connection);
    const auto is_text = it != text_.end() && it->second;
    const auto frame = std::visit(
        [is_text](const auto& message) {
          return Encode(message, Format(is_text));
        },
        send->message);
    hub_.Send(send->connection, frame, is_text);
  }
}

}  // namespace kingcuplock

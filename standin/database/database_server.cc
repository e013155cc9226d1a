#include "standin/database/database_server.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace kingcuplock {
namespace {

/// Interval at which replication runs without a new commit.
constexpr int kReplicateIntervalMs = 1;

auto NowUs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

auto MemberNames(const DatabaseServerOptions& options)
    -> std::vector<std::string> {
  std::vector<std::string> names;
  for (auto n = 1; n <= options.members; ++n) {
    names.push_back(options.name + "-" + std::to_string(n));
  }
  return names;
}

/// Returns whether the operation occupies a statement slot.
auto NeedsSlot(MemberOp op) -> bool {
  switch (op) {
    case MemberOp::kRead:
    case MemberOp::kExecute:
    case MemberOp::kLookup:
    case MemberOp::kStatement:
    case MemberOp::kCommit:
    case MemberOp::kPrune:
      return true;
    default:
      return false;
  }
}

}  // namespace

DatabaseServer::DatabaseServer(const DatabaseServerOptions& options)
    : options_(options),
      group_(MemberNames(options)),
      random_(options.seed),
      hub_({[this](ConnectionId it, std::uint16_t port) { OnOpened(it, port); },
            [this](ConnectionId it, std::string payload, bool is_text) {
              OnFrame(it, payload, is_text);
            },
            [this](ConnectionId it) { OnClosed(it); }}) {}

void DatabaseServer::Run() {
  hub_.Listen(options_.host, options_.port);
  auto port = options_.port;
  for (const auto& it : MemberNames(options_)) {
    ++port;
    frontends_[it].port = port;
    members_by_port_[port] = it;
    hub_.Listen(options_.host, port);
  }
  hub_.SetTerminationHandler([this] { hub_.Stop(); });
  ReplicateLoop();
  hub_.Run();
}

void DatabaseServer::ReplicateLoop() {
  group_.Replicate(NowUs());
  AnswerPositionWaiters();
  hub_.RunAfter(kReplicateIntervalMs, [this] { ReplicateLoop(); });
}

void DatabaseServer::OnOpened(ConnectionId source, std::uint16_t port) {
  const auto it = members_by_port_.find(port);
  if (it == members_by_port_.end()) {
    return;
  }
  auto& frontend = frontends_[it->second];
  if (frontend.open_connections >= options_.connections) {
    ++frontend.refused_connections;
    hub_.Close(source);
    return;
  }
  ++frontend.open_connections;
  frontend.peak_open_connections =
      std::max(frontend.peak_open_connections, frontend.open_connections);
  Connection connection;
  connection.member = it->second;
  connection.ready_us = NowUs() + std::int64_t{options_.opening_ms} * 1000;
  connections_.emplace(source, std::move(connection));
}

void DatabaseServer::OnClosed(ConnectionId source) {
  const auto it = connections_.find(source);
  if (it != connections_.end()) {
    --frontends_[it->second.member].open_connections;
    connections_.erase(it);
  }
}

void DatabaseServer::OnFrame(ConnectionId source,
                             const std::string& payload,
                             bool is_text) {
  const auto format = is_text ? FrameFormat::kJson : FrameFormat::kCbor;
  try {
    auto message = ReadMemberMessage(DecodeFrame(payload, format));
    if (const auto* command = std::get_if<ControlCommand>(&message)) {
      OnControl(source, *command, format);
    } else {
      DispatchWhenOpened(source, std::get<MemberRequest>(message));
    }
  } catch (const SchemaError& ex) {
    fmt::print(stderr, "standin-database: {}\n", ex.what());
    hub_.Close(source);
  }
}

void DatabaseServer::DispatchWhenOpened(ConnectionId source,
                                        const MemberRequest& request) {
  const auto it = connections_.find(source);
  if (it == connections_.end() || it->second.silent) {
    return;
  }
  const auto wait_us = it->second.ready_us - NowUs();
  if (wait_us > 0) {
    hub_.RunAfter(
        static_cast<int>(wait_us / 1000) + 1,
        [this, source, request] { DispatchWhenOpened(source, request); });
    return;
  }
  DispatchRequest(source, request);
}

void DatabaseServer::DispatchRequest(ConnectionId source,
                                     const MemberRequest& request) {
  const auto it = connections_.find(source);
  if (it == connections_.end() || it->second.silent) {
    return;
  }
  const auto name = it->second.member;
  if (group_.member(name).paused) {
    frontends_[name].deferred.push_back(
        [this, source, request] { DispatchRequest(source, request); });
    return;
  }
  if (!NeedsSlot(request.op)) {
    RunRequest(source, request);
    return;
  }
  RunInSlot(name, [this, source, request] { RunRequest(source, request); });
}

void DatabaseServer::RunInSlot(const std::string& member,
                               std::function<void()> work) {
  auto& frontend = frontends_[member];
  if (frontend.running >= options_.slots) {
    frontend.slot_queue.push_back(std::move(work));
    return;
  }
  ++frontend.running;
  frontend.peak_running = std::max(frontend.peak_running, frontend.running);
  const auto finish = [this, member, work = std::move(work)] {
    if (group_.member(member).paused) {
      frontends_[member].deferred.push_back([this, member, work] {
        work();
        FinishSlot(member);
      });
      return;
    }
    work();
    FinishSlot(member);
  };
  if (options_.service_ms == 0) {
    finish();
  } else {
    hub_.RunAfter(options_.service_ms, finish);
  }
}

void DatabaseServer::FinishSlot(const std::string& member) {
  auto& frontend = frontends_[member];
  --frontend.running;
  if (!frontend.slot_queue.empty()) {
    auto next = std::move(frontend.slot_queue.front());
    frontend.slot_queue.pop_front();
    RunInSlot(member, std::move(next));
  }
}

void DatabaseServer::RunRequest(ConnectionId source,
                                const MemberRequest& request) {
  const auto it = connections_.find(source);
  if (it == connections_.end()) {
    return;
  }
  auto& connection = it->second;
  if (request.op == MemberOp::kAwaitPosition) {
    frontends_[connection.member].position_waiters.push_back(
        {source, request, NowUs() + request.wait_ms * 1000});
    AnswerPositionWaiters();
    return;
  }
  const auto answer = connection.transaction.Handle(group_, connection.member,
                                                    request, NowUs());
  SendAnswer(source, answer);
  group_.Replicate(NowUs());
  AnswerPositionWaiters();
}

void DatabaseServer::SendAnswer(ConnectionId source,
                                const MemberAnswer& answer) {
  const auto it = connections_.find(source);
  if (it == connections_.end()) {
    return;
  }
  const auto& frontend = frontends_[it->second.member];
  if (frontend.delay_ms == 0) {
    SendAnswerNow(source, answer);
    return;
  }
  auto delay = frontend.delay_ms;
  if (frontend.reorder) {
    delay = std::uniform_int_distribution<int>(0, frontend.delay_ms)(random_);
  }
  hub_.RunAfter(delay,
                [this, source, answer] { SendAnswerNow(source, answer); });
}

void DatabaseServer::SendAnswerNow(ConnectionId source,
                                   const MemberAnswer& answer) {
  const auto it = connections_.find(source);
  if (it != connections_.end() && !it->second.silent) {
    hub_.Send(source, Encode(answer), false);
  }
}

void DatabaseServer::AnswerPositionWaiters() {
  const auto now = NowUs();
  for (auto& [name, frontend] : frontends_) {
    auto& member = group_.member(name);
    if (!member.alive || member.paused) {
      continue;
    }
    for (auto n = frontend.position_waiters.size(); n > 0; --n) {
      auto waiting = std::move(frontend.position_waiters.front());
      frontend.position_waiters.pop_front();
      const auto reached = static_cast<std::int64_t>(member.log.size()) >=
                           waiting.request.position;
      if (reached || now >= waiting.deadline_us) {
        SendAnswer(waiting.connection,
                   group_.Handle(name, waiting.request, now));
      } else {
        frontend.position_waiters.push_back(std::move(waiting));
      }
    }
  }
}

void DatabaseServer::OnControl(ConnectionId source,
                               const ControlCommand& command,
                               FrameFormat format) {
  ControlAnswer answer;
  answer.id = command.id;
  for (const auto& [name, frontend] : frontends_) {
    if (command.member.empty() || command.member == name) {
      answer.message = ApplyCommand(name, command, answer);
    }
  }
  if (answer.message.empty()) {
    answer.message = "no such member; use NAME-1, NAME-2 and so on";
  }
  hub_.Send(source, Encode(answer, format), format == FrameFormat::kJson);
}

auto DatabaseServer::ApplyCommand(const std::string& name,
                                  const ControlCommand& command,
                                  ControlAnswer& answer) -> std::string {
  if (const auto done = ApplyMemberCommand(name, command)) {
    return *done;
  }
  auto& frontend = frontends_[name];
  switch (command.action) {
    case ControlAction::kSilence:
      for (auto& [id, connection] : connections_) {
        connection.silent |= connection.member == name;
      }
      return "connections silenced";
    case ControlAction::kDelayAnswers:
    case ControlAction::kReorderAnswers:
      frontend.delay_ms = static_cast<int>(command.ms);
      frontend.reorder = command.action == ControlAction::kReorderAnswers;
      return "delay set";
    case ControlAction::kDump:
      AddRows(name, answer);
      return "dump";
    case ControlAction::kStats:
      AddStats(name, answer);
      return "stats";
    default:
      return "this stand-in does not know the action";
  }
}

auto DatabaseServer::ApplyMemberCommand(const std::string& name,
                                        const ControlCommand& command)
    -> std::optional<std::string> {
  auto& member = group_.member(name);
  auto& frontend = frontends_[name];
  switch (command.action) {
    case ControlAction::kKill:
      member.alive = false;
      hub_.StopListening(frontend.port);
      frontend.slot_queue.clear();
      frontend.position_waiters.clear();
      return "killed";
    case ControlAction::kRevive:
      if (!std::exchange(member.alive, true)) {
        hub_.Listen(options_.host, frontend.port);
      }
      return "revived";
    case ControlAction::kPause:
      member.paused = true;
      return "paused";
    case ControlAction::kResume:
      member.paused = false;
      for (const auto& work : std::exchange(frontend.deferred, {})) {
        work();
      }
      return "resumed";
    case ControlAction::kIsolate:
      member.isolated = true;
      return "isolated";
    case ControlAction::kJoin:
      member.isolated = false;
      return "joined";
    case ControlAction::kLag:
      member.lag_us = command.ms * 1000;
      return "lag set";
    default:
      return std::nullopt;
  }
}

void DatabaseServer::AddStats(const std::string& name, ControlAnswer& answer) {
  const auto& member = group_.member(name);
  const auto& frontend = frontends_[name];
  const auto add = [&](std::string_view item, const std::string& value) {
    answer.items.push_back({fmt::format("{}/{}", name, item), value, 0});
  };
  add("open", std::to_string(frontend.open_connections));
  add("most_open", std::to_string(frontend.peak_open_connections));
  add("refused", std::to_string(frontend.refused_connections));
  add("most_running", std::to_string(frontend.peak_running));
  add("term", std::to_string(member.term));
  add("role", std::string(ToString(member.role)));
  add("position", std::to_string(member.log.size()));
}

void DatabaseServer::AddRows(const std::string& name, ControlAnswer& answer) {
  const auto& member = group_.member(name);
  for (const auto& [key, value] : member.rows) {
    answer.items.push_back({key, value, 0});
  }
}

}  // namespace kingcuplock

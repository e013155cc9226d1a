#include "standin/database/database_server.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace kingcuplock {
namespace {

/// Interval in ms at which replication moves on without a commit.
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

/// Whether the operation occupies a statement slot.
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
    fronts_[it].port = port;
    members_by_port_[port] = it;
    hub_.Listen(options_.host, port);
  }
  hub_.SetTerminationHandler([this] { hub_.Stop(); });
  ReplicateLoop();
  hub_.Run();
}

void DatabaseServer::ReplicateLoop() {
  group_.Replicate(NowUs());
  AnswerWaiting();
  hub_.RunAfter(kReplicateIntervalMs, [this] { ReplicateLoop(); });
}

void DatabaseServer::OnOpened(ConnectionId source, std::uint16_t port) {
  const auto it = members_by_port_.find(port);
  if (it == members_by_port_.end()) {
    return;
  }
  auto& front = fronts_[it->second];
  if (front.open >= options_.connections) {
    ++front.refused;
    hub_.Close(source);
    return;
  }
  ++front.open;
  front.most_open = std::max(front.most_open, front.open);
  Connection connection;
  connection.member = it->second;
  connection.ready_us = NowUs() + std::int64_t{options_.opening_ms} * 1000;
  connections_.emplace(source, std::move(connection));
}

void DatabaseServer::OnClosed(ConnectionId source) {
  const auto it = connections_.find(source);
  if (it != connections_.end()) {
    --fronts_[it->second.member].open;
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
      Accept(source, std::get<MemberRequest>(message));
    }
  } catch (const SchemaError& ex) {
    fmt::print(stderr, "standin-database: {}\n", ex.what());
    hub_.Close(source);
  }
}

void DatabaseServer::Accept(ConnectionId source, const MemberRequest& request) {
  const auto it = connections_.find(source);
  if (it == connections_.end() || it->second.silent) {
    return;
  }
  const auto wait_us = it->second.ready_us - NowUs();
  if (wait_us > 0) {
    hub_.RunAfter(static_cast<int>(wait_us / 1000) + 1,
                  [this, source, request] { Accept(source, request); });
    return;
  }
  Dispatch(source, request);
}

void DatabaseServer::Dispatch(ConnectionId source,
                              const MemberRequest& request) {
  const auto it = connections_.find(source);
  if (it == connections_.end() || it->second.silent) {
    return;
  }
  const auto name = it->second.member;
  if (group_.member(name).paused) {
    fronts_[name].held.push_back(
        [this, source, request] { Dispatch(source, request); });
    return;
  }
  if (!NeedsSlot(request.op)) {
    Serve(source, request);
    return;
  }
  RunInSlot(name, [this, source, request] { Serve(source, request); });
}

void DatabaseServer::RunInSlot(const std::string& member,
                               std::function<void()> work) {
  auto& front = fronts_[member];
  if (front.running >= options_.slots) {
    front.queue.push_back(std::move(work));
    return;
  }
  ++front.running;
  front.most_running = std::max(front.most_running, front.running);
  const auto finish = [this, member, work = std::move(work)] {
    if (group_.member(member).paused) {
      fronts_[member].held.push_back([this, member, work] {
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
  auto& front = fronts_[member];
  --front.running;
  if (!front.queue.empty()) {
    auto next = std::move(front.queue.front());
    front.queue.pop_front();
    RunInSlot(member, std::move(next));
  }
}

void DatabaseServer::Serve(ConnectionId source, const MemberRequest& request) {
  const auto it = connections_.find(source);
  if (it == connections_.end()) {
    return;
  }
  auto& connection = it->second;
  if (request.op == MemberOp::kAwaitPosition) {
    fronts_[connection.member].waiting.push_back(
        {source, request, NowUs() + request.wait_ms * 1000});
    AnswerWaiting();
    return;
  }
  const auto answer = connection.transaction.Handle(group_, connection.member,
                                                    request, NowUs());
  Reply(source, answer);
  group_.Replicate(NowUs());
  AnswerWaiting();
}

void DatabaseServer::Reply(ConnectionId source, const MemberAnswer& answer) {
  const auto it = connections_.find(source);
  if (it == connections_.end()) {
    return;
  }
  const auto& front = fronts_[it->second.member];
  if (front.delay_ms == 0) {
    SendNow(source, answer);
    return;
  }
  auto delay = front.delay_ms;
  if (front.reorder) {
    delay = std::uniform_int_distribution<int>(0, front.delay_ms)(random_);
  }
  hub_.RunAfter(delay, [this, source, answer] { SendNow(source, answer); });
}

void DatabaseServer::SendNow(ConnectionId source, const MemberAnswer& answer) {
  const auto it = connections_.find(source);
  if (it != connections_.end() && !it->second.silent) {
    hub_.Send(source, Encode(answer), false);
  }
}

void DatabaseServer::AnswerWaiting() {
  const auto now = NowUs();
  for (auto& [name, front] : fronts_) {
    auto& member = group_.member(name);
    if (!member.alive || member.paused) {
      continue;
    }
    for (auto n = front.waiting.size(); n > 0; --n) {
      auto waiting = std::move(front.waiting.front());
      front.waiting.pop_front();
      const auto reached = static_cast<std::int64_t>(member.log.size()) >=
                           waiting.request.position;
      if (reached || now >= waiting.deadline_us) {
        Reply(waiting.connection, group_.Handle(name, waiting.request, now));
      } else {
        front.waiting.push_back(std::move(waiting));
      }
    }
  }
}

void DatabaseServer::OnControl(ConnectionId source,
                               const ControlCommand& command,
                               FrameFormat format) {
  ControlAnswer answer;
  answer.id = command.id;
  for (const auto& [name, front] : fronts_) {
    if (command.member.empty() || command.member == name) {
      answer.message = Apply(name, command, answer);
    }
  }
  if (answer.message.empty()) {
    answer.message = "no such member; use NAME-1, NAME-2 and so on";
  }
  hub_.Send(source, Encode(answer, format), format == FrameFormat::kJson);
}

auto DatabaseServer::Apply(const std::string& name,
                           const ControlCommand& command,
                           ControlAnswer& answer) -> std::string {
  if (const auto done = ApplyToMember(name, command)) {
    return *done;
  }
  auto& front = fronts_[name];
  switch (command.action) {
    case ControlAction::kSilence:
      for (auto& [id, connection] : connections_) {
        connection.silent |= connection.member == name;
      }
      return "connections silenced";
    case ControlAction::kDelayAnswers:
    case ControlAction::kReorderAnswers:
      front.delay_ms = static_cast<int>(command.ms);
      front.reorder = command.action == ControlAction::kReorderAnswers;
      return "delay set";
    case ControlAction::kDump:
      Dump(name, answer);
      return "dump";
    case ControlAction::kStats:
      AddStats(name, answer);
      return "stats";
    default:
      return "this stand-in does not know the action";
  }
}

auto DatabaseServer::ApplyToMember(const std::string& name,
                                   const ControlCommand& command)
    -> std::optional<std::string> {
  auto& member = group_.member(name);
  auto& front = fronts_[name];
  switch (command.action) {
    case ControlAction::kKill:
      member.alive = false;
      hub_.StopListening(front.port);
      front.queue.clear();
      front.waiting.clear();
      return "killed";
    case ControlAction::kRevive:
      if (!std::exchange(member.alive, true)) {
        hub_.Listen(options_.host, front.port);
      }
      return "revived";
    case ControlAction::kPause:
      member.paused = true;
      return "paused";
    case ControlAction::kResume:
      member.paused = false;
      for (const auto& work : std::exchange(front.held, {})) {
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
  const auto& front = fronts_[name];
  const auto add = [&](std::string_view item, const std::string& value) {
    answer.items.push_back({fmt::format("{}/{}", name, item), value, 0});
  };
  add("open", std::to_string(front.open));
  add("most_open", std::to_string(front.most_open));
  add("refused", std::to_string(front.refused));
  add("most_running", std::to_string(front.most_running));
  add("term", std::to_string(member.term));
  add("role", std::string(ToString(member.role)));
  add("position", std::to_string(member.log.size()));
}

void DatabaseServer::Dump(const std::string& name, ControlAnswer& answer) {
  const auto& member = group_.member(name);
  for (const auto& [key, value] : member.rows) {
    answer.items.push_back({key, value, 0});
  }
}

}  // namespace kingcuplock

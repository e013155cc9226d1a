#include "benchmarks/control_cost/control_bench.h"

#include <malloc.h>

#include <ctime>
#include <tuple>
#include <utility>

#include <fmt/format.h>

#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

/// One-way delay of every message, in microseconds.
constexpr Duration kMessageDelay{300};
/// Interval at which replicas apply the log.
constexpr Milliseconds kReplicationInterval{5};
constexpr Milliseconds kHeartbeatInterval{200};
/// Virtual time before the measurement, and of the measurement.
constexpr Milliseconds kSettleDuration{90'000};
constexpr Milliseconds kMeasuredDuration{10'000};
constexpr std::int64_t kFirstPort = 10'000;
/// Store lease under which the peer owns its databases.
constexpr std::int64_t kPeerLeaseId = 1'000'000;
constexpr std::string_view kStorePrefix = "kingcuplock/bench/";

/// Returns the processor time of this thread. Unlike wall time, it does not
/// grow with the load of other processes.
auto ThreadCpuUs() -> double {
  timespec it{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
  return double(it.tv_sec) * 1e6 + double(it.tv_nsec) / 1e3;
}

auto MakeManifest(std::size_t databases) -> Manifest {
  Manifest out;
  out.version = 1;
  out.deployment = "bench";
  auto port = kFirstPort;
  for (std::size_t n = 0; n < databases; ++n) {
    DatabaseConfig database;
    database.name = fmt::format("database-{:04}", n);
    for (auto m = 1; m <= 3; ++m) {
      database.members.push_back({fmt::format("{}-{}", database.name, m),
                                  "127.0.0.1", ++port, "dc-1"});
    }
    database.slots = 2;
    database.connections = 16;
    database.kinds = {
        {.name = "book", .access = Access::kWrite},
        {.name = "confirm", .access = Access::kRead},
        {.name = "list", .access = Access::kRead, .max_age_ms = 5000}};
    out.databases.push_back(std::move(database));
  }
  return out;
}

auto MakeSettings(std::size_t peers) -> ProxySettings {
  ProxySettings out;
  out.instance = "proxy-0";
  out.deployment = "bench";
  out.listen = {"127.0.0.1", 1};
  out.store = {"127.0.0.1", 2};
  for (std::size_t n = 1; n <= peers; ++n) {
    out.peers.push_back({fmt::format("proxy-{}", n), "127.0.0.1",
                         static_cast<std::int64_t>(100 + n)});
  }
  return out;
}

}  // namespace

ControlBench::ControlBench(const ControlBenchOptions& options)
    : options_(options), manifest_(MakeManifest(options.manifest_databases)) {
  for (const auto& database : manifest_.databases) {
    std::vector<std::string> names;
    for (const auto& it : database.members) {
      names.push_back(it.name);
      members_by_port_[it.port] = it.name;
    }
    groups_.emplace(database.name, DatabaseGroup(names));
  }
  PublishManifestAndOwners();
  RunMeasured([&] {
    node_ = std::make_unique<Node>(MakeSettings(options.peers), "proxy-0@1",
                                   timers_, outbox_);
    node_->Start();
  });
  PerformActions();
}

void ControlBench::PublishManifestAndOwners() {
  const std::string prefix(kStorePrefix);
  store_.Put(prefix + "manifest", nlohmann::json(manifest_).dump());
  store_.Put(prefix + "lease/" + std::to_string(kPeerLeaseId), "proxy-1");
  for (auto n = options_.owned_databases; n < manifest_.databases.size(); ++n) {
    const auto& database = manifest_.databases[n];
    OwnerRecord record;
    record.epoch = 1;
    record.owner = "proxy-1";
    record.lease = kPeerLeaseId;
    record.term = 1;
    record.primary = database.members.front().name;
    record.phase = Phase::kServing;
    store_.Put(prefix + "owner/" + database.name,
               nlohmann::json(record).dump());
  }
  store_.TakeEvents();
}

void ControlBench::RunAfterDelay(std::function<void()> work) {
  events_.push({now_ + kMessageDelay, ++last_event_order_, std::move(work)});
}

void ControlBench::RunMeasured(const std::function<void()>& work) {
  const auto heap_bytes = static_cast<std::int64_t>(mallinfo2().uordblks);
  const auto began = ThreadCpuUs();
  work();
  cpu_us_ += ThreadCpuUs() - began;
  heap_ += static_cast<std::int64_t>(mallinfo2().uordblks) - heap_bytes;
}

void ControlBench::DeliverFrame(ConnectionId connection,
                                const std::string& frame) {
  const auto outbound = outbound_.find(connection);
  const auto inbound = (connection & kInboundBit) != 0;
  if (!inbound && outbound == outbound_.end()) {
    return;
  }
  ++messages_;
  bytes_ += static_cast<double>(frame.size());
  RunMeasured([&] {
    const auto json = DecodeFrame(frame, FrameFormat::kCbor);
    MessageArrived event;
    event.connection = connection;
    if (inbound) {
      event.message = ReadInboundMessage(json);
    } else if (outbound->second.kind == ConnectionKind::kStore) {
      event.message = ReadStoreReply(json);
    } else if (outbound->second.kind == ConnectionKind::kMember) {
      event.message = json.get<MemberAnswer>();
    } else {
      event.message = ReadPeerMessage(json);
    }
    node_->Handle(event);
  });
  PerformActions();
}

void ControlBench::PerformActions() {
  for (;;) {
    std::vector<std::pair<SendMessage, std::string>> sends;
    std::vector<Action> others;
    RunMeasured([&] {
      for (auto& it : outbox_.Take()) {
        if (auto* send = std::get_if<SendMessage>(&it)) {
          auto frame = std::visit([](const auto& m) { return Encode(m); },
                                  send->message);
          sends.emplace_back(std::move(*send), std::move(frame));
        } else {
          others.push_back(std::move(it));
        }
      }
    });
    if (sends.empty() && others.empty()) {
      return;
    }
    for (const auto& it : others) {
      PerformAction(it);
    }
    for (const auto& [send, frame] : sends) {
      ++messages_;
      bytes_ += static_cast<double>(frame.size());
      SendToStandin(send, frame);
    }
    const auto heap_before_free =
        static_cast<std::int64_t>(mallinfo2().uordblks);
    decltype(sends)().swap(sends);
    decltype(others)().swap(others);
    // The caller of Outbox::Take() frees the actions, so the heap that this
    // frees counts as freed by the node.
    heap_ += static_cast<std::int64_t>(mallinfo2().uordblks) - heap_before_free;
  }
}

void ControlBench::PerformAction(const Action& action) {
  if (const auto* open = std::get_if<OpenConnection>(&action)) {
    auto target = open->kind == ConnectionKind::kMember
                      ? members_by_port_.at(open->port)
                      : fmt::format("proxy-{}", open->port - 100);
    outbound_[open->connection] = {open->kind, std::move(target)};
    if (open->kind == ConnectionKind::kStore) {
      store_connection_ = open->connection;
    }
    RunAfterDelay([this, it = open->connection] {
      RunMeasured([&] { node_->Handle(ConnectionOpened{it}); });
      PerformActions();
    });
  } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
    outbound_.erase(close->connection);
    RunAfterDelay([this, it = close->connection] {
      RunMeasured([&] { node_->Handle(ConnectionClosed{it}); });
      PerformActions();
    });
  }
}

void ControlBench::SendToStandin(const SendMessage& send, const std::string&) {
  const auto id = send.connection;
  if (const auto* call = std::get_if<StoreCall>(&send.message)) {
    ++store_calls_;
    if (call->op == StoreOp::kWatch) {
      watches_.push_back(call->key);
    }
    const auto answer =
        store_.Handle(*call, now_.time_since_epoch().count() / 1000);
    RunAfterDelay(
        [this, id, frame = Encode(answer)] { DeliverFrame(id, frame); });
    SendStoreEvents();
  } else if (const auto* request = std::get_if<MemberRequest>(&send.message)) {
    const auto outbound = outbound_.find(id);
    if (outbound == outbound_.end()) {
      return;
    }
    const auto& name = outbound->second.target;
    auto& group = groups_.at(name.substr(0, name.rfind('-')));
    const auto now_us = now_.time_since_epoch().count();
    if (request->op == MemberOp::kAwaitPosition) {
      position_waits_.push_back(
          {id, name, *request, now_us + request->wait_ms * 1000});
      return;
    }
    const auto answer = group.Handle(name, *request, now_us);
    group.Replicate(now_us);
    RunAfterDelay(
        [this, id, frame = Encode(answer)] { DeliverFrame(id, frame); });
  } else if (std::holds_alternative<Heartbeat>(send.message) &&
             outbound_.contains(id)) {
    Heartbeat answer;
    answer.instance = outbound_[id].target;
    answer.manifest_version = 1;
    RunAfterDelay(
        [this, id, frame = Encode(answer)] { DeliverFrame(id, frame); });
  }
}

void ControlBench::SendStoreEvents() {
  for (const auto& event : store_.TakeEvents()) {
    for (const auto& it : watches_) {
      if (event.item.key.starts_with(it)) {
        RunAfterDelay([this, frame = Encode(event)] {
          DeliverFrame(store_connection_, frame);
        });
      }
    }
  }
}

void ControlBench::AnswerPositionWaits() {
  const auto now_us = now_.time_since_epoch().count();
  for (auto& it : std::exchange(position_waits_, {})) {
    auto& group = groups_.at(it.member.substr(0, it.member.rfind('-')));
    const auto position =
        static_cast<std::int64_t>(group.member(it.member).log.size());
    if (position < it.request.position && now_us < it.until_us) {
      position_waits_.push_back(std::move(it));
      continue;
    }
    const auto answer = group.Handle(it.member, it.request, now_us);
    RunAfterDelay([this, id = it.connection, frame = Encode(answer)] {
      DeliverFrame(id, frame);
    });
  }
}

void ControlBench::DeliverPeerHeartbeats() {
  // Every peer has its own connection to the node, so as many heartbeats come
  // in as go out.
  for (std::size_t n = 1; n <= options_.peers; ++n) {
    Heartbeat heartbeat;
    heartbeat.instance = fmt::format("proxy-{}", n);
    heartbeat.manifest_version = 1;
    DeliverFrame(kInboundBit | n, Encode(heartbeat));
  }
}

void ControlBench::RunUntil(Time until) {
  auto next_heartbeat = now_;
  auto next_replication = now_;
  while (now_ < until) {
    auto next = std::min({until, next_heartbeat, next_replication});
    if (!events_.empty()) {
      next = std::min(next, events_.top().due);
    }
    if (const auto due = timers_.NextDue()) {
      next = std::min(next, std::max(*due, now_));
    }
    now_ = next;
    RunMeasured([&] { timers_.AdvanceTo(now_); });
    PerformActions();
    while (!events_.empty() && events_.top().due <= now_) {
      const auto work = events_.top().work;
      events_.pop();
      work();
    }
    if (now_ >= next_heartbeat) {
      DeliverPeerHeartbeats();
      next_heartbeat += kHeartbeatInterval;
    }
    if (now_ >= next_replication) {
      for (auto& [name, group] : groups_) {
        group.Replicate(now_.time_since_epoch().count());
      }
      AnswerPositionWaits();
      next_replication += kReplicationInterval;
    }
  }
}

auto ControlBench::Measure() -> ControlCost {
  RunUntil(now_ + kSettleDuration);
  cpu_us_ = messages_ = bytes_ = store_calls_ = 0;
  const auto heap_bytes = heap_;
  RunUntil(now_ + kMeasuredDuration);
  const auto seconds = std::chrono::duration<double>(kMeasuredDuration).count();
  ControlCost out;
  out.cpu_us_per_s = cpu_us_ / seconds;
  out.messages_per_s = messages_ / seconds;
  out.bytes_per_s = bytes_ / seconds;
  out.store_calls_per_s = store_calls_ / seconds;
  out.heap_bytes = heap_;
  out.heap_growth_bytes_per_s = double(heap_ - heap_bytes) / seconds;
  outbox_.Take();
  node_->Handle(
      MessageArrived{kInboundBit | 1U, InboundMessage(StatusQuery{"s"})});
  for (const auto& it : outbox_.Take()) {
    if (const auto* send = std::get_if<SendMessage>(&it)) {
      if (const auto* status = std::get_if<InstanceStatus>(&send->message)) {
        for (const auto& database : status->databases) {
          out.databases_owned += database.owner == "proxy-0" ? 1U : 0U;
        }
      }
    }
  }
  return out;
}

}  // namespace kingcuplock

#include "benchmarks/control_cost/control_bench.h"

#include <malloc.h>

#include <ctime>
#include <tuple>
#include <utility>

#include <fmt/format.h>

#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

/// One-way delay of every message in microseconds.
constexpr Duration kDelay{300};
/// Interval at which replicas move on.
constexpr Milliseconds kReplicateInterval{5};
constexpr Milliseconds kHeartbeatInterval{200};
/// Virtual time to settle in, and to measure.
constexpr Milliseconds kSettle{90'000};
constexpr Milliseconds kMeasured{10'000};
constexpr std::int64_t kFirstPort = 10'000;
/// Lease under which the peer holds its databases.
constexpr std::int64_t kPeerLease = 1'000'000;
constexpr std::string_view kPrefix = "kingcuplock/bench/";

/// Returns the processor time of this thread, which other processes on the
/// machine do not add to.
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

ControlBench::ControlBench(const ControlSizes& sizes)
    : sizes_(sizes), manifest_(MakeManifest(sizes.manifest)) {
  for (const auto& database : manifest_.databases) {
    std::vector<std::string> names;
    for (const auto& it : database.members) {
      names.push_back(it.name);
      members_by_port_[it.port] = it.name;
    }
    groups_.emplace(database.name, DatabaseGroup(names));
  }
  Publish();
  Charged([&] {
    node_ = std::make_unique<Node>(MakeSettings(sizes.peers), "proxy-0@1",
                                   timers_, outbox_);
    node_->Start();
  });
  Drain();
}

void ControlBench::Publish() {
  const std::string prefix(kPrefix);
  store_.Put(prefix + "manifest", nlohmann::json(manifest_).dump());
  store_.Put(prefix + "lease/" + std::to_string(kPeerLease), "proxy-1");
  for (auto n = sizes_.owned; n < manifest_.databases.size(); ++n) {
    const auto& database = manifest_.databases[n];
    OwnerRecord record;
    record.epoch = 1;
    record.owner = "proxy-1";
    record.lease = kPeerLease;
    record.term = 1;
    record.primary = database.members.front().name;
    record.phase = Phase::kServing;
    store_.Put(prefix + "owner/" + database.name,
               nlohmann::json(record).dump());
  }
  store_.TakeEvents();
}

void ControlBench::At(std::function<void()> work) {
  events_.push({now_ + kDelay, ++last_order_, std::move(work)});
}

void ControlBench::Charged(const std::function<void()>& work) {
  const auto heap = static_cast<std::int64_t>(mallinfo2().uordblks);
  const auto began = ThreadCpuUs();
  work();
  cpu_us_ += ThreadCpuUs() - began;
  heap_ += static_cast<std::int64_t>(mallinfo2().uordblks) - heap;
}

void ControlBench::Deliver(ConnectionId connection, const std::string& frame) {
  const auto link = links_.find(connection);
  const auto inbound = (connection & kInboundBit) != 0;
  if (!inbound && link == links_.end()) {
    return;
  }
  ++messages_;
  bytes_ += static_cast<double>(frame.size());
  Charged([&] {
    const auto json = DecodeFrame(frame, FrameFormat::kCbor);
    MessageArrived event;
    event.connection = connection;
    if (inbound) {
      event.message = ReadInboundMessage(json);
    } else if (link->second.kind == ConnectionKind::kStore) {
      event.message = ReadStoreReply(json);
    } else if (link->second.kind == ConnectionKind::kMember) {
      event.message = json.get<MemberAnswer>();
    } else {
      event.message = ReadPeerMessage(json);
    }
    node_->Handle(event);
  });
  Drain();
}

void ControlBench::Drain() {
  for (;;) {
    std::vector<std::pair<SendMessage, std::string>> sends;
    std::vector<Action> others;
    Charged([&] {
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
      Perform(it);
    }
    for (const auto& [send, frame] : sends) {
      ++messages_;
      bytes_ += static_cast<double>(frame.size());
      Send(send, frame);
    }
    const auto kept = static_cast<std::int64_t>(mallinfo2().uordblks);
    decltype(sends)().swap(sends);
    decltype(others)().swap(others);
    // What was handed out is the shell's to free.
    heap_ += static_cast<std::int64_t>(mallinfo2().uordblks) - kept;
  }
}

void ControlBench::Perform(const Action& action) {
  if (const auto* open = std::get_if<OpenConnection>(&action)) {
    auto target = open->kind == ConnectionKind::kMember
                      ? members_by_port_.at(open->port)
                      : fmt::format("proxy-{}", open->port - 100);
    links_[open->connection] = {open->kind, std::move(target)};
    if (open->kind == ConnectionKind::kStore) {
      store_link_ = open->connection;
    }
    At([this, it = open->connection] {
      Charged([&] { node_->Handle(ConnectionOpened{it}); });
      Drain();
    });
  } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
    links_.erase(close->connection);
    At([this, it = close->connection] {
      Charged([&] { node_->Handle(ConnectionClosed{it}); });
      Drain();
    });
  }
}

void ControlBench::Send(const SendMessage& send, const std::string&) {
  const auto id = send.connection;
  if (const auto* call = std::get_if<StoreCall>(&send.message)) {
    ++store_calls_;
    if (call->op == StoreOp::kWatch) {
      watches_.push_back(call->key);
    }
    const auto answer =
        store_.Handle(*call, now_.time_since_epoch().count() / 1000);
    At([this, id, frame = Encode(answer)] { Deliver(id, frame); });
    PushStoreEvents();
  } else if (const auto* request = std::get_if<MemberRequest>(&send.message)) {
    const auto link = links_.find(id);
    if (link == links_.end()) {
      return;
    }
    const auto& name = link->second.target;
    auto& group = groups_.at(name.substr(0, name.rfind('-')));
    const auto us = now_.time_since_epoch().count();
    if (request->op == MemberOp::kAwaitPosition) {
      waiting_.push_back({id, name, *request, us + request->wait_ms * 1000});
      return;
    }
    const auto answer = group.Handle(name, *request, us);
    group.Replicate(us);
    At([this, id, frame = Encode(answer)] { Deliver(id, frame); });
  } else if (std::holds_alternative<Heartbeat>(send.message) &&
             links_.contains(id)) {
    Heartbeat answer;
    answer.instance = links_[id].target;
    answer.manifest_version = 1;
    At([this, id, frame = Encode(answer)] { Deliver(id, frame); });
  }
}

void ControlBench::PushStoreEvents() {
  for (const auto& event : store_.TakeEvents()) {
    for (const auto& it : watches_) {
      if (event.item.key.starts_with(it)) {
        At([this, frame = Encode(event)] { Deliver(store_link_, frame); });
      }
    }
  }
}

void ControlBench::AnswerWaiting() {
  const auto us = now_.time_since_epoch().count();
  for (auto& it : std::exchange(waiting_, {})) {
    auto& group = groups_.at(it.member.substr(0, it.member.rfind('-')));
    const auto position =
        static_cast<std::int64_t>(group.member(it.member).log.size());
    if (position < it.request.position && us < it.until_us) {
      waiting_.push_back(std::move(it));
      continue;
    }
    const auto answer = group.Handle(it.member, it.request, us);
    At([this, id = it.connection, frame = Encode(answer)] {
      Deliver(id, frame);
    });
  }
}

void ControlBench::HeartbeatsIn() {
  // Peers keep links of their own, so as many heartbeats come in as go out.
  for (std::size_t n = 1; n <= sizes_.peers; ++n) {
    Heartbeat beat;
    beat.instance = fmt::format("proxy-{}", n);
    beat.manifest_version = 1;
    Deliver(kInboundBit | n, Encode(beat));
  }
}

void ControlBench::RunUntil(Time until) {
  auto next_beat = now_;
  auto next_replicate = now_;
  while (now_ < until) {
    auto next = std::min({until, next_beat, next_replicate});
    if (!events_.empty()) {
      next = std::min(next, events_.top().due);
    }
    if (const auto due = timers_.NextDue()) {
      next = std::min(next, std::max(*due, now_));
    }
    now_ = next;
    Charged([&] { timers_.AdvanceTo(now_); });
    Drain();
    while (!events_.empty() && events_.top().due <= now_) {
      const auto work = events_.top().work;
      events_.pop();
      work();
    }
    if (now_ >= next_beat) {
      HeartbeatsIn();
      next_beat += kHeartbeatInterval;
    }
    if (now_ >= next_replicate) {
      for (auto& [name, group] : groups_) {
        group.Replicate(now_.time_since_epoch().count());
      }
      AnswerWaiting();
      next_replicate += kReplicateInterval;
    }
  }
}

auto ControlBench::Measure() -> ControlCost {
  RunUntil(now_ + kSettle);
  cpu_us_ = messages_ = bytes_ = store_calls_ = 0;
  const auto heap = heap_;
  RunUntil(now_ + kMeasured);
  const auto seconds = std::chrono::duration<double>(kMeasured).count();
  ControlCost out;
  out.cpu_us = cpu_us_ / seconds;
  out.messages = messages_ / seconds;
  out.bytes = bytes_ / seconds;
  out.store_calls = store_calls_ / seconds;
  out.heap = heap_;
  out.heap_growth = double(heap_ - heap) / seconds;
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

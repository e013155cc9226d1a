#include "kingcuplock/owner/database_owner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "kingcuplock/owner/answers.h"

namespace kingcuplock {
namespace {

/// Connections of a member that are left for control links and probes of this
/// owner and its successor.
constexpr std::int64_t kReservedConnections = 3;
/// Time in ms after which a caller may come back when the primary is away.
constexpr std::int64_t kPrimaryRetryMs = 500;
/// Shortest time in ms after which a caller may come back.
constexpr std::int64_t kMinRetryMs = 20;

auto RetryAfterMs(Duration wait) -> std::int64_t {
  return std::max<std::int64_t>(
      std::chrono::duration_cast<Milliseconds>(wait).count(), kMinRetryMs);
}

}  // namespace

DatabaseOwner::DatabaseOwner(DatabaseConfig config,
                             OwnerRecord record,
                             TimingSettings timing,
                             TimerService& timers,
                             Outbox& outbox,
                             OwnerPorts ports)
    : config_(std::move(config)),
      timers_(timers),
      leader_(config_,
              record,
              timing,
              timers,
              outbox,
              MakeLeaderPorts(std::move(ports))),
      runner_(
          config_,
          record.epoch,
          leader_,
          pools_,
          timers,
          [this](const RequestPtr& request, CallerAnswer answer) {
            Finish(request, std::move(answer));
          },
          [this] { OnFencedOut(0); }),
      reader_(
          config_,
          leader_,
          pools_,
          timers,
          [this](const RequestPtr& request, CallerAnswer answer) {
            Finish(request, std::move(answer));
          },
          [this](const RequestPtr& request) {
            runner_.Enqueue(request);
            runner_.Pump();
          }) {
  for (const auto& it : config_.members) {
    AddPool(it, outbox);
  }
}

DatabaseOwner::~DatabaseOwner() {
  for (const auto& it : open_) {
    timers_.Cancel(it->deadline_timer);
  }
}

auto DatabaseOwner::MakeLeaderPorts(OwnerPorts ports) -> LeaderPorts {
  LeaderPorts out;
  out.lease_is_valid = std::move(ports.lease_is_valid);
  out.write_record = std::move(ports.write_record);
  out.failed_over = std::move(ports.failed_over);
  out.opened = [this] {
    pools_.at(leader_.primary())->Warm();
    runner_.Pump();
  };
  out.closed = [this](const std::string& primary) {
    runner_.GiveUpPrimary(primary);
  };
  out.sampled = [this] {
    runner_.AcknowledgeReady();
    reader_.OnSampled();
  };
  fenced_out_ = std::move(ports.fenced_out);
  out.fenced_out = [this](std::int64_t epoch) { OnFencedOut(epoch); };
  return out;
}

void DatabaseOwner::AddPool(const MemberConfig& member, Outbox& outbox) {
  const PoolLimits limits{
      std::max<std::int64_t>(config_.connections - kReservedConnections, 1),
      config_.slots};
  auto pool = std::make_unique<ConnectionPool>(member, limits, timers_, outbox);
  pool->OnFree([this, name = member.name] { OnFree(name); });
  pools_[member.name] = std::move(pool);
}

void DatabaseOwner::OnFree(const std::string& member) {
  if (member == leader_.primary()) {
    runner_.Pump();
  } else {
    reader_.Pump();
  }
}

void DatabaseOwner::Start() {
  leader_.Start();
  for (auto& [name, pool] : pools_) {
    pool->Warm();
  }
}

void DatabaseOwner::Submit(const RequestPtr& request) {
  const auto& id = request->request.id;
  if (phase() == OwnerPhase::kStopped || draining_) {
    request->reply(Refusal(id, ErrorKind::kNotOwner, 0));
    return;
  }
  const auto patience = request->deadline - timers_.Now();
  const auto wait = runner_.ExpectedWait(request->kind.priority);
  if (wait > patience) {
    request->reply(Refusal(id, ErrorKind::kOverloaded, RetryAfterMs(wait)));
    return;
  }
  open_.insert(request);
  request->deadline_timer =
      timers_.After(patience, [this, request] { Expire(request); });
  if (!reader_.TryServe(request)) {
    runner_.Enqueue(request);
    runner_.Pump();
  }
}

void DatabaseOwner::Finish(const RequestPtr& request, CallerAnswer answer) {
  if (std::exchange(request->answered, true)) {
    return;
  }
  timers_.Cancel(request->deadline_timer);
  open_.erase(request);
  request->reply(std::move(answer));
  CheckDrained();
}

void DatabaseOwner::Expire(const RequestPtr& request) {
  runner_.Forget(request);
  reader_.Forget(request);
  const auto& id = request->request.id;
  const auto is_write = request->kind.access == Access::kWrite;
  if (is_write && (request->in_doubt || request->at_member)) {
    Finish(request, InDoubt(id, ErrorKind::kNotReplicated));
    return;
  }
  const auto reason = leader_.IsServing() ? ErrorKind::kPatienceSpent
                                          : ErrorKind::kPrimaryUnavailable;
  Finish(request, Refusal(id, reason, kPrimaryRetryMs));
}

void DatabaseOwner::Stop() {
  if (phase() == OwnerPhase::kStopped) {
    return;
  }
  leader_.Stop();
  for (auto& [name, pool] : pools_) {
    pool->CloseAll();
  }
  runner_.Clear();
  reader_.Clear();
  for (const auto& it : std::vector<RequestPtr>(open_.begin(), open_.end())) {
    const auto& id = it->request.id;
    const auto may_have_run = it->in_doubt || it->at_member;
    Finish(it, may_have_run ? InDoubt(id, ErrorKind::kFenced)
                            : Refusal(id, ErrorKind::kNotOwner, 0));
  }
}

void DatabaseOwner::OnFencedOut(std::int64_t epoch) {
  if (phase() == OwnerPhase::kStopped) {
    return;
  }
  Stop();
  fenced_out_(epoch);
}

void DatabaseOwner::Drain(std::function<void()> done) {
  draining_ = true;
  on_drained_ = std::move(done);
  CheckDrained();
}

void DatabaseOwner::CheckDrained() {
  if (draining_ && open_.empty() && on_drained_) {
    timers_.After(Duration::zero(),
                  [done = std::exchange(on_drained_, {})] { done(); });
  }
}

auto DatabaseOwner::OnOpened(ConnectionId connection) -> bool {
  return leader_.OnOpened(connection) ||
         std::any_of(pools_.begin(), pools_.end(),
                     [&](auto& it) { return it.second->OnOpened(connection); });
}

auto DatabaseOwner::OnClosed(ConnectionId connection) -> bool {
  return leader_.OnClosed(connection) ||
         std::any_of(pools_.begin(), pools_.end(),
                     [&](auto& it) { return it.second->OnClosed(connection); });
}

auto DatabaseOwner::OnAnswer(ConnectionId connection,
                             const MemberAnswer& answer) -> bool {
  return leader_.OnAnswer(connection, answer) ||
         std::any_of(pools_.begin(), pools_.end(), [&](auto& it) {
           return it.second->OnAnswer(connection, answer);
         });
}

}  // namespace kingcuplock

#include "kingcuplock/owner/replica_reader.h"

#include <utility>

namespace kingcuplock {
namespace {

/// Longest time in ms that one statement may take at a replica.
constexpr Milliseconds kStatementTimeout{1000};
/// Part of the stated age in ms that must be left when a read is sent.
constexpr Milliseconds kAgeSlack{5};

}  // namespace

ReplicaReader::ReplicaReader(const DatabaseConfig& config,
                             GroupLeader& leader,
                             MemberPools& pools,
                             TimerService& timers,
                             FinishCallback finish,
                             std::function<void(const RequestPtr&)> elsewhere)
    : config_(config),
      leader_(leader),
      pools_(pools),
      timers_(timers),
      finish_(std::move(finish)),
      elsewhere_(std::move(elsewhere)) {}

auto ReplicaReader::MayServe(const std::string& member,
                             const OwnerRequest& request) const -> bool {
  const auto place = leader_.PlaceOf(member);
  if (member == leader_.primary() ||
      place < request.token.PlaceIn(config_.name)) {
    return false;
  }
  const auto age = leader_.ages().AgeAt(place, timers_.Now());
  return age && *age + kAgeSlack <= Milliseconds(request.kind.max_age_ms);
}

auto ReplicaReader::TryServe(const RequestPtr& request) -> bool {
  const auto may_be_stale =
      request->kind.access == Access::kRead && request->kind.max_age_ms > 0;
  if (!may_be_stale) {
    return false;
  }
  ConnectionPool* best = nullptr;
  auto some_busy = false;
  for (const auto& [name, pool] : pools_) {
    if (!MayServe(name, *request)) {
      continue;
    }
    if (!pool->HasFree()) {
      some_busy = true;
    } else if (best == nullptr || pool->Running() < best->Running()) {
      best = pool.get();
    }
  }
  if (best != nullptr) {
    Run(best->member().name, request);
    return true;
  }
  if (some_busy) {
    queue_.Push(request->kind.priority, request);
  }
  return some_busy;
}

void ReplicaReader::Run(const std::string& member, const RequestPtr& request) {
  MemberRequest read;
  read.op = MemberOp::kRead;
  read.statements = request->request.statements;
  request->at_member = true;
  pools_.at(member)->Run(std::move(read), kStatementTimeout,
                         [this, request, member](const MemberAnswer* answer) {
                           OnAnswer(request, member, answer);
                         });
}

auto ReplicaReader::Fits(const OwnerRequest& request,
                         const MemberAnswer& answer) const -> bool {
  const LogPlace place{answer.entry_term, answer.position};
  const auto age = leader_.ages().AgeAt(place, timers_.Now());
  return answer.status == MemberStatus::kDone &&
         place >= request.token.PlaceIn(config_.name) && age &&
         *age <= Milliseconds(request.kind.max_age_ms);
}

void ReplicaReader::OnAnswer(const RequestPtr& request,
                             const std::string& member,
                             const MemberAnswer* answer) {
  request->at_member = false;
  request->in_doubt = true;
  if (request->answered) {
    return;
  }
  if (answer != nullptr && Fits(*request, *answer)) {
    finish_(request, BuildAnswer(*request, *answer, member, true));
    return;
  }
  elsewhere_(request);
}

void ReplicaReader::Pump() {
  for (auto n = queue_.Size(); n > 0; --n) {
    const auto next = queue_.Pop();
    if (!next) {
      return;
    }
    const auto waiting = queue_.Size();
    if (!TryServe(*next)) {
      elsewhere_(*next);
    } else if (queue_.Size() > waiting) {
      return;
    }
  }
}

void ReplicaReader::Forget(const RequestPtr& request) {
  queue_.Remove(request);
}

void ReplicaReader::Clear() {
  queue_.Clear();
}

}  // namespace kingcuplock

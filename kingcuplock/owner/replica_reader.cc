#include "kingcuplock/owner/replica_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "kingcuplock/owner/answers.h"

namespace kingcuplock {
namespace {

/// Longest time in ms that one statement may take at a replica.
constexpr Milliseconds kStatementTimeout{1000};
/// Wait in ms for a slot after which the read may go to the primary.
constexpr Milliseconds kMaxSlotWait{250};
/// Longest wait in ms for a replica that is behind the session.
constexpr Milliseconds kMaxCatchUpWait{30};

}  // namespace

ReplicaReader::ReplicaReader(const DatabaseConfig& config,
                             GroupController& leader,
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

ReplicaReader::~ReplicaReader() {
  Clear();
}

// ----------------------------------------------------------------- choice

auto ReplicaReader::NeedOf(const OwnerRequest& request) const
    -> ReadRequirements {
  return {request.token.PlaceIn(config_.name),
          Milliseconds(request.kind.max_age_ms)};
}

auto ReplicaReader::Check() const -> ReadCheck<> {
  return {leader_.age_tracker(), leader_.term_history(), leader_.term()};
}

auto ReplicaReader::ChanceAt(const std::string& member,
                             const OwnerRequest& request) const -> Chance {
  if (member == leader_.primary() || leader_.IsOnLeavingEndpoint(member) ||
      !leader_.Responds(member)) {
    return Chance::kNone;
  }
  const auto need = NeedOf(request);
  const auto place = leader_.PlaceOf(member);
  const auto now = timers_.Now();
  if (Check().MaySendRead(need, place, now)) {
    return pools_.at(member)->HasFree() ? Chance::kNow : Chance::kBusy;
  }
  // No replica will ever reach a forged place.
  const auto is_reachable = need.seen <= leader_.PrimaryPlace();
  return is_reachable &&
                 Check().MayServeAfterCatchUp(need, place, now, kMaxCatchUpWait)
             ? Chance::kSoon
             : Chance::kNone;
}

auto ReplicaReader::BestChance(const OwnerRequest& request,
                               std::string& member) const -> Chance {
  auto best = Chance::kNone;
  member.clear();
  for (const auto& [name, pool] : pools_) {
    const auto chance = ChanceAt(name, request);
    const auto less_loaded = chance == best && !member.empty() &&
                             pool->Running() < pools_.at(member)->Running();
    if (chance > best || less_loaded) {
      best = chance;
      member = name;
    }
  }
  // The primary could not serve it now either.
  return best == Chance::kNone && !leader_.IsServing() ? Chance::kSoon : best;
}

auto ReplicaReader::TryServe(const RequestPtr& request) -> bool {
  const auto may_be_stale =
      request->kind.access == Access::kRead && request->kind.max_age_ms > 0;
  // Stopping reports open reads as lost; none may be sent again.
  if (!may_be_stale || leader_.phase() == OwnerPhase::kStopped) {
    return false;
  }
  std::string member;
  switch (BestChance(*request, member)) {
    case Chance::kNow:
      Run(member, request);
      return true;
    case Chance::kBusy:
      WaitForSlot(request);
      return true;
    case Chance::kSoon:
      WaitForCatchUp(request);
      return true;
    case Chance::kNone:
      break;
  }
  return false;
}

// ------------------------------------------------------ waiting for a slot

auto ReplicaReader::ExpectedSlotWait() const -> Duration {
  std::int64_t slots = 0;
  for (const auto& [name, pool] : pools_) {
    const auto serves = name != leader_.primary() && leader_.Responds(name);
    slots += serves ? config_.slots : 0;
  }
  return service_ * static_cast<std::int64_t>(waiting_.size()) /
         std::max<std::int64_t>(slots, 1);
}

void ReplicaReader::WaitForSlot(const RequestPtr& request) {
  const auto wait = ExpectedSlotWait();
  if (timers_.Now() + wait > request->deadline) {
    const auto wait_ms = std::chrono::duration_cast<Milliseconds>(wait).count();
    finish_(request, BuildNotRunAnswer(request->request.id,
                                       ErrorKind::kOverloaded, wait_ms));
    return;
  }
  auto before = waiting_.end();
  while (before != waiting_.begin() &&
         std::prev(before)->request->kind.priority > request->kind.priority) {
    --before;
  }
  waiting_.insert(before, {request, timers_.Now()});
}

/// Only while the primary keeps a slot free for what must run there.
auto ReplicaReader::MaySpill(const SlotWait& waiting) const -> bool {
  const auto primary = pools_.find(leader_.primary());
  const auto has_room = primary != pools_.end() && leader_.IsServing() &&
                        primary->second->HasFree() &&
                        primary->second->Running() + 2 <= config_.slots;
  return has_room && timers_.Now() - waiting.since >= kMaxSlotWait;
}

void ReplicaReader::SendWaiting() {
  std::string member;
  while (!waiting_.empty()) {
    const auto waiting = waiting_.front();
    const auto chance = BestChance(*waiting.request, member);
    if (chance == Chance::kBusy && !MaySpill(waiting)) {
      return;
    }
    waiting_.pop_front();
    if (chance == Chance::kNow) {
      Run(member, waiting.request);
    } else if (chance == Chance::kSoon) {
      WaitForCatchUp(waiting.request);
    } else {
      elsewhere_(waiting.request);
    }
  }
}

// ----------------------------------------------------- waiting to catch up

void ReplicaReader::WaitForCatchUp(const RequestPtr& request) {
  const Duration longest = leader_.IsServing() ? kMaxCatchUpWait : kMaxSlotWait;
  const auto timer =
      timers_.After(longest, [this, request] { GiveUpCatchUp(request); });
  catching_up_.push_back({request, timer});
}

void ReplicaReader::GiveUpCatchUp(const RequestPtr& request) {
  DropRequest(request);
  if (!request->answered) {
    elsewhere_(request);
  }
}

void ReplicaReader::OnMemberSample() {
  TakeBackSilent();
  TryCatchUps();
  SendWaiting();
}

void ReplicaReader::TryCatchUps() {
  std::vector<RequestPtr> done;
  std::string member;
  for (auto it = catching_up_.begin(); it != catching_up_.end();) {
    if (BestChance(*it->request, member) == Chance::kSoon) {
      ++it;
      continue;
    }
    timers_.Cancel(it->timer);
    done.push_back(it->request);
    it = catching_up_.erase(it);
  }
  for (const auto& request : done) {
    if (!TryServe(request)) {
      elsewhere_(request);
    }
  }
}

void ReplicaReader::DropRequest(const RequestPtr& request) {
  const auto is_it = [&](const auto& entry) {
    return entry.request == request;
  };
  waiting_.remove_if(is_it);
  const auto it = std::find_if(catching_up_.begin(), catching_up_.end(), is_it);
  if (it != catching_up_.end()) {
    timers_.Cancel(it->timer);
    catching_up_.erase(it);
  }
}

void ReplicaReader::Clear() {
  for (const auto& it : catching_up_) {
    timers_.Cancel(it.timer);
  }
  catching_up_.clear();
  waiting_.clear();
}

// ---------------------------------------------------------------- reading

void ReplicaReader::Run(const std::string& member, const RequestPtr& request) {
  MemberRequest read;
  read.op = MemberOp::kRead;
  read.statements = request->request.statements;
  auto attempt =
      std::make_shared<Attempt>(Attempt{request, member, timers_.Now()});
  attempts_.push_back(attempt);
  request->at_member = true;
  pools_.at(member)->Run(std::move(read), kStatementTimeout,
                         [this, attempt](const MemberAnswer* answer) {
                           OnAnswer(attempt, answer);
                         });
}

void ReplicaReader::OnAnswer(const AttemptPtr& attempt,
                             const MemberAnswer* answer) {
  if (attempt->abandoned) {
    return;
  }
  std::erase(attempts_, attempt);
  if (answer != nullptr) {
    constexpr int kWeight = 16;
    service_ += (timers_.Now() - attempt->sent - service_) / kWeight;
  }
  const auto& request = attempt->request;
  request->at_member = false;
  request->in_doubt = true;
  if (request->answered) {
    return;
  }
  const auto fits =
      answer != nullptr && answer->status == MemberStatus::kDone &&
      Check().MayAnswer(NeedOf(*request),
                        {answer->entry_term, answer->position}, timers_.Now());
  if (fits) {
    finish_(request, BuildOkAnswer(*request, *answer, attempt->member, true));
    return;
  }
  const auto lost = answer == nullptr;
  if (!lost || !TryServe(request)) {
    elsewhere_(request);
  }
}

void ReplicaReader::TakeBackSilent() {
  std::vector<AttemptPtr> silent;
  for (const auto& it : attempts_) {
    if (!leader_.Responds(it->member)) {
      silent.push_back(it);
    }
  }
  for (const auto& it : silent) {
    it->abandoned = true;
    std::erase(attempts_, it);
    it->request->at_member = false;
    it->request->in_doubt = true;
    if (!it->request->answered && !TryServe(it->request)) {
      elsewhere_(it->request);
    }
  }
}

}  // namespace kingcuplock

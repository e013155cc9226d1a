#include "kingcuplock/owner/replica_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "kingcuplock/owner/answers.h"

namespace kingcuplock {
namespace {

/// Longest wait in ms for a replica's answer.
constexpr Milliseconds kStatementTimeout{1000};
/// Wait in ms for a replica's slot after which a read may go to the primary.
constexpr Milliseconds kMaxSlotWait{250};
/// Longest wait in ms for a replica to catch up with the session.
constexpr Milliseconds kMaxCatchUpWait{30};

}  // namespace

ReplicaReader::ReplicaReader(const DatabaseConfig& config,
                             GroupController& controller,
                             MemberPools& pools,
                             TimerService& timers,
                             FinishCallback finish,
                             std::function<void(const RequestPtr&)> fall_back)
    : config_(config),
      controller_(controller),
      pools_(pools),
      timers_(timers),
      finish_(std::move(finish)),
      fall_back_(std::move(fall_back)) {}

ReplicaReader::~ReplicaReader() {
  DropAllRequests();
}

// ----------------------------------------------------------------- choice

auto ReplicaReader::ReadRequirementsOf(const OwnerRequest& request) const
    -> ReadRequirements {
  return {request.token.PositionIn(config_.name),
          Milliseconds(request.kind.max_age_ms)};
}

auto ReplicaReader::MakeReadCheck() const -> ReadCheck<> {
  return {controller_.age_tracker(), controller_.term_history(),
          controller_.term()};
}

auto ReplicaReader::AvailabilityAt(const std::string& member,
                                   const OwnerRequest& request) const
    -> Availability {
  if (member == controller_.primary() ||
      controller_.IsOnLeavingEndpoint(member) ||
      !controller_.Responds(member)) {
    return Availability::kNone;
  }
  const auto requirements = ReadRequirementsOf(request);
  const auto place = controller_.PlaceOf(member);
  const auto now = timers_.Now();
  if (MakeReadCheck().MaySendRead(requirements, place, now)) {
    return pools_.at(member)->HasFreeConnection() ? Availability::kNow
                                                  : Availability::kBusy;
  }
  // A forged token may claim a place that no replica will ever reach.
  const auto is_reachable = requirements.seen <= controller_.PrimaryPlace();
  return is_reachable && MakeReadCheck().MayServeAfterCatchUp(
                             requirements, place, now, kMaxCatchUpWait)
             ? Availability::kSoon
             : Availability::kNone;
}

auto ReplicaReader::BestAvailability(const OwnerRequest& request,
                                     std::string& member) const
    -> Availability {
  auto best = Availability::kNone;
  member.clear();
  for (const auto& [name, pool] : pools_) {
    const auto availability = AvailabilityAt(name, request);
    const auto less_loaded = availability == best && !member.empty() &&
                             pool->CountRunningStatements() <
                                 pools_.at(member)->CountRunningStatements();
    if (availability > best || less_loaded) {
      best = availability;
      member = name;
    }
  }
  // Wait for a replica while the primary can't serve the read either.
  return best == Availability::kNone && !controller_.IsServing()
             ? Availability::kSoon
             : best;
}

auto ReplicaReader::TryServe(const RequestPtr& request) -> bool {
  const auto may_be_stale =
      request->kind.access == Access::kRead && request->kind.max_age_ms > 0;
  // When the owner stops, its pools report open reads as lost. None may be sent
  // again.
  if (!may_be_stale || controller_.phase() == OwnerPhase::kStopped) {
    return false;
  }
  std::string member;
  switch (BestAvailability(*request, member)) {
    case Availability::kNow:
      SendRead(member, request);
      return true;
    case Availability::kBusy:
      WaitForSlot(request);
      return true;
    case Availability::kSoon:
      WaitForCatchUp(request);
      return true;
    case Availability::kNone:
      break;
  }
  return false;
}

// ------------------------------------------------------ waiting for a slot

auto ReplicaReader::ExpectedSlotWait() const -> Duration {
  std::int64_t slots = 0;
  for (const auto& [name, pool] : pools_) {
    const auto serves =
        name != controller_.primary() && controller_.Responds(name);
    slots += serves ? config_.slots : 0;
  }
  return service_time_ * static_cast<std::int64_t>(waiting_for_slot_.size()) /
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
  auto before = waiting_for_slot_.end();
  while (before != waiting_for_slot_.begin() &&
         std::prev(before)->request->kind.priority > request->kind.priority) {
    --before;
  }
  waiting_for_slot_.insert(before, {request, timers_.Now()});
}

// Returns whether a read that has waited long for a slot may go to the primary.
// One slot is left free there for requests that only the primary can serve.
auto ReplicaReader::MayUsePrimary(const SlotWait& waiting) const -> bool {
  const auto primary = pools_.find(controller_.primary());
  const auto has_room =
      primary != pools_.end() && controller_.IsServing() &&
      primary->second->HasFreeConnection() &&
      primary->second->CountRunningStatements() + 2 <= config_.slots;
  return has_room && timers_.Now() - waiting.since >= kMaxSlotWait;
}

void ReplicaReader::SendWaiting() {
  std::string member;
  while (!waiting_for_slot_.empty()) {
    const auto waiting = waiting_for_slot_.front();
    const auto availability = BestAvailability(*waiting.request, member);
    if (availability == Availability::kBusy && !MayUsePrimary(waiting)) {
      return;
    }
    waiting_for_slot_.pop_front();
    if (availability == Availability::kNow) {
      SendRead(member, waiting.request);
    } else if (availability == Availability::kSoon) {
      WaitForCatchUp(waiting.request);
    } else {
      fall_back_(waiting.request);
    }
  }
}

// ----------------------------------------------------- waiting to catch up

void ReplicaReader::WaitForCatchUp(const RequestPtr& request) {
  const Duration longest =
      controller_.IsServing() ? kMaxCatchUpWait : kMaxSlotWait;
  const auto timer =
      timers_.After(longest, [this, request] { OnCatchUpTimeout(request); });
  waiting_to_catch_up_.push_back({request, timer});
}

void ReplicaReader::OnCatchUpTimeout(const RequestPtr& request) {
  DropRequest(request);
  if (!request->answered) {
    fall_back_(request);
  }
}

void ReplicaReader::OnMemberSample() {
  RetryUnresponsive();
  RetryCatchUpWaits();
  SendWaiting();
}

void ReplicaReader::RetryCatchUpWaits() {
  std::vector<RequestPtr> done;
  std::string member;
  for (auto it = waiting_to_catch_up_.begin();
       it != waiting_to_catch_up_.end();) {
    if (BestAvailability(*it->request, member) == Availability::kSoon) {
      ++it;
      continue;
    }
    timers_.Cancel(it->timer);
    done.push_back(it->request);
    it = waiting_to_catch_up_.erase(it);
  }
  for (const auto& request : done) {
    if (!TryServe(request)) {
      fall_back_(request);
    }
  }
}

void ReplicaReader::DropRequest(const RequestPtr& request) {
  const auto is_it = [&](const auto& entry) {
    return entry.request == request;
  };
  waiting_for_slot_.remove_if(is_it);
  const auto it = std::find_if(waiting_to_catch_up_.begin(),
                               waiting_to_catch_up_.end(), is_it);
  if (it != waiting_to_catch_up_.end()) {
    timers_.Cancel(it->timer);
    waiting_to_catch_up_.erase(it);
  }
}

void ReplicaReader::DropAllRequests() {
  for (const auto& it : waiting_to_catch_up_) {
    timers_.Cancel(it.timer);
  }
  waiting_to_catch_up_.clear();
  waiting_for_slot_.clear();
}

// ---------------------------------------------------------------- reading

void ReplicaReader::SendRead(const std::string& member,
                             const RequestPtr& request) {
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
    service_time_ += (timers_.Now() - attempt->sent - service_time_) / kWeight;
  }
  const auto& request = attempt->request;
  request->at_member = false;
  request->in_doubt = true;
  if (request->answered) {
    return;
  }
  const auto may_answer =
      answer != nullptr && answer->status == MemberStatus::kDone &&
      MakeReadCheck().MayAnswer(ReadRequirementsOf(*request),
                                {answer->entry_term, answer->position},
                                timers_.Now());
  if (may_answer) {
    finish_(request, BuildOkAnswer(*request, *answer, attempt->member, true));
    return;
  }
  const auto lost = answer == nullptr;
  if (!lost || !TryServe(request)) {
    fall_back_(request);
  }
}

void ReplicaReader::RetryUnresponsive() {
  std::vector<AttemptPtr> silent;
  for (const auto& it : attempts_) {
    if (!controller_.Responds(it->member)) {
      silent.push_back(it);
    }
  }
  for (const auto& it : silent) {
    it->abandoned = true;
    std::erase(attempts_, it);
    it->request->at_member = false;
    it->request->in_doubt = true;
    if (!it->request->answered && !TryServe(it->request)) {
      fall_back_(it->request);
    }
  }
}

}  // namespace kingcuplock

#include "kingcuplock/owner/replica_reader.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcuplock {
namespace {

/// Longest time in ms that one statement may take at a replica.
constexpr Milliseconds kStatementTimeout{1000};
/// Longest wait in ms for a slot before the read goes to the primary.
constexpr Milliseconds kMaxSlotWait{250};
/// Longest wait in ms for a replica that is behind the session.
constexpr Milliseconds kMaxCatchUpWait{30};

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

ReplicaReader::~ReplicaReader() {
  Clear();
}

// ----------------------------------------------------------------- choice

auto ReplicaReader::NeedOf(const OwnerRequest& request) const -> ReadNeed {
  return {request.token.PlaceIn(config_.name),
          Milliseconds(request.kind.max_age_ms)};
}

auto ReplicaReader::Check() const -> ReadCheck<> {
  return {leader_.ages(), leader_.history(), leader_.term()};
}

auto ReplicaReader::ChanceAt(const std::string& member,
                             const OwnerRequest& request) const -> Chance {
  if (member == leader_.primary() || leader_.IsLeaving(member) ||
      !leader_.Responds(member)) {
    return Chance::kNone;
  }
  const auto need = NeedOf(request);
  const auto place = leader_.PlaceOf(member);
  const auto now = timers_.Now();
  if (Check().MayTry(need, place, now)) {
    return pools_.at(member)->HasFree() ? Chance::kNow : Chance::kBusy;
  }
  // No replica will ever reach a forged place.
  const auto is_reachable = need.seen <= leader_.PrimaryPlace();
  return is_reachable && Check().MayTrySoon(need, place, now) ? Chance::kSoon
                                                              : Chance::kNone;
}

auto ReplicaReader::BestChance(const OwnerRequest& request,
                               std::string& member) const -> Chance {
  auto best = Chance::kNone;
  for (const auto& [name, pool] : pools_) {
    const auto chance = ChanceAt(name, request);
    const auto less_loaded = chance == best && !member.empty() &&
                             pool->Running() < pools_.at(member)->Running();
    if (chance > best || less_loaded) {
      best = chance;
      member = name;
    }
  }
  return best;
}

auto ReplicaReader::TryServe(const RequestPtr& request) -> bool {
  const auto may_be_stale =
      request->kind.access == Access::kRead && request->kind.max_age_ms > 0;
  if (!may_be_stale) {
    return false;
  }
  std::string member;
  const auto chance = BestChance(*request, member);
  if (chance == Chance::kNow) {
    Run(member, request);
  } else if (chance != Chance::kNone) {
    Wait(request, chance);
  }
  return chance != Chance::kNone;
}

// ---------------------------------------------------------------- waiting

void ReplicaReader::Wait(const RequestPtr& request, Chance chance) {
  const Duration longest =
      chance == Chance::kBusy ? kMaxSlotWait : kMaxCatchUpWait;
  const auto timer =
      timers_.After(longest, [this, request] { GiveUp(request); });
  const auto before =
      std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& it) {
        return it.request->kind.priority > request->kind.priority;
      });
  waiting_.insert(before, {request, timers_.Now() + longest, timer, chance});
}

void ReplicaReader::GiveUp(const RequestPtr& request) {
  Forget(request);
  if (!request->answered) {
    elsewhere_(request);
  }
}

void ReplicaReader::Pump() {
  LookAgain(Chance::kBusy);
}

void ReplicaReader::OnSampled() {
  TakeBackSilent();
  LookAgain(Chance::kSoon);
}

void ReplicaReader::LookAgain(Chance least) {
  std::vector<RequestPtr> hopeless;
  std::string member;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    member.clear();
    const auto chance =
        it->chance < least ? it->chance : BestChance(*it->request, member);
    if (chance == Chance::kNow || chance == Chance::kNone) {
      const auto request = it->request;
      timers_.Cancel(it->timer);
      it = waiting_.erase(it);
      if (chance == Chance::kNow) {
        Run(member, request);
      } else {
        hopeless.push_back(request);
      }
      continue;
    }
    it->chance = chance;
    const auto slots_are_full =
        least == Chance::kBusy && chance == Chance::kBusy;
    if (slots_are_full) {
      break;
    }
    ++it;
  }
  for (const auto& request : hopeless) {
    elsewhere_(request);
  }
}

void ReplicaReader::Forget(const RequestPtr& request) {
  const auto it =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const auto& entry) { return entry.request == request; });
  if (it != waiting_.end()) {
    timers_.Cancel(it->timer);
    waiting_.erase(it);
  }
}

void ReplicaReader::Clear() {
  for (const auto& it : waiting_) {
    timers_.Cancel(it.timer);
  }
  waiting_.clear();
}

// ---------------------------------------------------------------- reading

void ReplicaReader::Run(const std::string& member, const RequestPtr& request) {
  MemberRequest read;
  read.op = MemberOp::kRead;
  read.statements = request->request.statements;
  auto attempt = std::make_shared<Attempt>(Attempt{request, member});
  attempts_.push_back(attempt);
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
  const auto& request = attempt->request;
  if (request->answered) {
    return;
  }
  const auto fits =
      answer != nullptr && answer->status == MemberStatus::kDone &&
      Check().Fits(NeedOf(*request), {answer->entry_term, answer->position},
                   timers_.Now());
  if (fits) {
    finish_(request, BuildAnswer(*request, *answer, attempt->member, true));
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
    if (!it->request->answered && !TryServe(it->request)) {
      elsewhere_(it->request);
    }
  }
}

}  // namespace kingcuplock

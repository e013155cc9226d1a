#include "kingcuplock/base/timer_service.h"

#include <algorithm>

namespace kingcuplock {

auto TimerService::After(Duration delay, std::function<void()> callback)
    -> TimerId {
  const auto due = now_ + std::max(delay, Duration::zero());
  const auto id = ++last_timer_id_;
  pending_.emplace(Key{due, id}, std::move(callback));
  due_times_.emplace(id, due);
  return id;
}

auto TimerService::Cancel(TimerId timer) -> bool {
  const auto it = due_times_.find(timer);
  if (it == due_times_.end()) {
    return false;
  }
  pending_.erase(Key{it->second, timer});
  due_times_.erase(it);
  return true;
}

void TimerService::AdvanceTo(Time now) {
  now_ = std::max(now_, now);
  if (const auto due = NextDue(); due && now_ - *due >= kStall) {
    last_stall_ = now_;
  }
  while (!pending_.empty() && pending_.begin()->first.first <= now_) {
    auto node = pending_.extract(pending_.begin());
    due_times_.erase(node.key().second);
    node.mapped()();
  }
}

auto TimerService::NextDue() const -> std::optional<Time> {
  if (pending_.empty()) {
    return std::nullopt;
  }
  return pending_.begin()->first.first;
}

}  // namespace kingcuplock

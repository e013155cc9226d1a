#include "standin/store/key_value_store.h"

#include <utility>

namespace kingcuplock {
namespace {

auto MakeAnswer(const StoreCall& call, StoreStatus status) -> StoreAnswer {
  StoreAnswer answer;
  answer.id = call.id;
  answer.status = status;
  return answer;
}

}  // namespace

auto KeyValueStore::Handle(const StoreCall& call, std::int64_t now_ms)
    -> StoreAnswer {
  ExpireDueLeases(now_ms);
  auto answer = Perform(call, now_ms);
  answer.era = era_;
  return answer;
}

auto KeyValueStore::Perform(const StoreCall& call, std::int64_t now_ms)
    -> StoreAnswer {
  switch (call.op) {
    case StoreOp::kGet:
      return Get(call);
    case StoreOp::kRange:
    case StoreOp::kWatch: {
      auto answer = MakeAnswer(call, StoreStatus::kDone);
      answer.items = Range(call.key);
      return answer;
    }
    case StoreOp::kCompareAndSwap:
      return CompareAndSwap(call);
    case StoreOp::kLeaseGrant:
      return GrantLease(call, now_ms);
    case StoreOp::kLeaseRenew:
      return RenewLease(call, now_ms);
    case StoreOp::kLeaseRevoke:
      EndLease(call.lease);
      return MakeAnswer(call, StoreStatus::kDone);
  }
  return MakeAnswer(call, StoreStatus::kAbsent);
}

auto KeyValueStore::Get(const StoreCall& call) const -> StoreAnswer {
  const auto it = values_.find(call.key);
  if (it == values_.end()) {
    return MakeAnswer(call, StoreStatus::kAbsent);
  }
  auto answer = MakeAnswer(call, StoreStatus::kDone);
  answer.items.push_back({call.key, it->second.text, it->second.version});
  return answer;
}

auto KeyValueStore::CompareAndSwap(const StoreCall& call) -> StoreAnswer {
  const auto it = values_.find(call.key);
  const auto version = it == values_.end() ? 0 : it->second.version;
  if (version != call.expected_version) {
    auto answer = MakeAnswer(call, StoreStatus::kConflict);
    answer.items.push_back(
        {call.key, it == values_.end() ? "" : it->second.text, version});
    return answer;
  }
  if (call.lease != 0 && !leases_.contains(call.lease)) {
    return MakeAnswer(call, StoreStatus::kExpired);
  }
  Write(call.key, call.value, call.lease);
  auto answer = MakeAnswer(call, StoreStatus::kDone);
  answer.items.push_back({call.key, call.value, revision_});
  return answer;
}

auto KeyValueStore::GrantLease(const StoreCall& call, std::int64_t now_ms)
    -> StoreAnswer {
  const auto lease = ++last_lease_;
  leases_[lease] = {call.ttl_ms, now_ms + call.ttl_ms};
  auto answer = MakeAnswer(call, StoreStatus::kDone);
  answer.lease = lease;
  return answer;
}

auto KeyValueStore::RenewLease(const StoreCall& call, std::int64_t now_ms)
    -> StoreAnswer {
  const auto it = leases_.find(call.lease);
  if (it == leases_.end()) {
    return MakeAnswer(call, StoreStatus::kExpired);
  }
  it->second.expires_ms = now_ms + it->second.ttl_ms;
  auto answer = MakeAnswer(call, StoreStatus::kDone);
  answer.lease = call.lease;
  return answer;
}

void KeyValueStore::ExpireDueLeases(std::int64_t now_ms) {
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_ms <= now_ms) {
      expired.push_back(id);
    }
  }
  for (const auto it : expired) {
    EndLease(it);
  }
}

void KeyValueStore::ExpireAllLeases() {
  while (!leases_.empty()) {
    EndLease(leases_.begin()->first);
  }
}

void KeyValueStore::Put(const std::string& key, const std::string& value) {
  Write(key, value, 0);
}

auto KeyValueStore::TakeCopy(std::int64_t now_ms) const -> Copy {
  return {values_, leases_, revision_, last_lease_, now_ms};
}

void KeyValueStore::Restore(const Copy& copy, std::int64_t now_ms) {
  values_ = copy.values;
  leases_ = copy.leases;
  for (auto& [id, lease] : leases_) {
    lease.expires_ms += now_ms - copy.taken_ms;
  }
  revision_ = copy.revision;
  last_lease_ = copy.last_lease;
  events_.clear();
  ++era_;
}

auto KeyValueStore::TakeEvents() -> std::vector<StoreEvent> {
  return std::exchange(events_, {});
}

auto KeyValueStore::Range(const std::string& prefix) const
    -> std::vector<StoreItem> {
  std::vector<StoreItem> items;
  for (auto it = values_.lower_bound(prefix);
       it != values_.end() && it->first.starts_with(prefix); ++it) {
    items.push_back({it->first, it->second.text, it->second.version});
  }
  return items;
}

void KeyValueStore::Write(const std::string& key,
                          const std::string& text,
                          std::int64_t lease) {
  values_[key] = {text, ++revision_, lease};
  events_.push_back({{key, text, revision_}, false, era_});
}

void KeyValueStore::EndLease(std::int64_t lease) {
  if (leases_.erase(lease) == 0) {
    return;
  }
  for (auto it = values_.begin(); it != values_.end();) {
    if (it->second.lease != lease) {
      ++it;
      continue;
    }
    events_.push_back({{it->first, "", ++revision_}, true, era_});
    it = values_.erase(it);
  }
}

}  // namespace kingcuplock

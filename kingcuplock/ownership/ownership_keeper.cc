#include "kingcuplock/ownership/ownership_keeper.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "kingcuplock/routing/rendezvous.h"
#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

/// Interval in ms at which vacant databases are looked at.
constexpr int kTickMs = 50;
/// Pause in ms before a write with a lost answer is repeated.
constexpr int kRewriteMs = 20;

auto ParseRecord(const std::string& text) -> std::optional<OwnerRecord> {
  try {
    return DecodeFrame(text, FrameFormat::kJson).get<OwnerRecord>();
  } catch (const SchemaError&) {
    return std::nullopt;
  }
}

auto ParseLease(std::string_view text) -> std::int64_t {
  std::int64_t lease = 0;
  std::from_chars(text.data(), text.data() + text.size(), lease);
  return lease;
}

}  // namespace

OwnershipKeeper::OwnershipKeeper(InstanceNames names,
                                 TimingSettings timing,
                                 TimerService& timers,
                                 StoreClient& store,
                                 Outbox& outbox,
                                 OwnershipCallbacks callbacks)
    : names_(names),
      timing_(timing),
      timers_(timers),
      store_(store),
      outbox_(outbox),
      callbacks_(std::move(callbacks)),
      lease_(std::move(names),
             timing,
             timers,
             store,
             outbox,
             [this](std::int64_t lease) { OnOwnLease(lease); }) {}

void OwnershipKeeper::Start() {
  store_.Watch(names_.key_prefix + "lease/",
               [this](const StoreItem& item, bool deleted) {
                 OnLeaseKey(item, deleted);
               });
  store_.Watch(
      names_.key_prefix + "owner/",
      [this](const StoreItem& item, bool deleted) { OnRecord(item, deleted); });
  lease_.Start();
  Tick();
}

void OwnershipKeeper::SetDatabases(std::span<const std::string> databases) {
  for (auto& [name, entry] : entries_) {
    entry.in_manifest = false;
  }
  for (const auto& it : databases) {
    entries_[it].in_manifest = true;
  }
}

void OwnershipKeeper::SetLiveInstances(std::span<const std::string> instances) {
  live_.assign(instances.begin(), instances.end());
}

void OwnershipKeeper::Tick() {
  for (auto& [name, entry] : entries_) {
    EvaluateEntry(name, entry);
  }
  timers_.After(Milliseconds(kTickMs), [this] { Tick(); });
}

void OwnershipKeeper::Evaluate(const std::string& database) {
  const auto it = entries_.find(database);
  if (it != entries_.end()) {
    EvaluateEntry(database, it->second);
  }
}

void OwnershipKeeper::EvaluateEntry(const std::string& database, Entry& entry) {
  const auto idle = !entry.owned && !entry.writing && entry.in_manifest;
  if (!idle || !acquiring_ || !lease_.IsValid() || !IsVacant(entry)) {
    entry.vacant_since.reset();
    return;
  }
  if (!entry.vacant_since) {
    entry.vacant_since = timers_.Now();
  }
  const auto delay = TakeoverDelay(database, entry);
  if (timers_.Now() - *entry.vacant_since >= delay) {
    entry.writing = true;
    VerifyVacancy(database);
  }
}

auto OwnershipKeeper::IsVacant(const Entry& entry) const -> bool {
  if (!entry.record || entry.record->phase == Phase::kReleased) {
    return true;
  }
  return !leases_.contains(entry.record->lease);
}

auto OwnershipKeeper::TakeoverDelay(const std::string& database,
                                    const Entry& entry) const -> Duration {
  if (entry.record && entry.record->phase != Phase::kReleased &&
      entry.record->owner == names_.instance) {
    return Duration::zero();
  }
  const auto rank = RendezvousRank(database, names_.instance, live_);
  return Milliseconds(timing_.takeover_step_ms) * static_cast<int>(rank);
}

void OwnershipKeeper::VerifyVacancy(const std::string& database) {
  auto& entry = entries_.at(database);
  if (!entry.record || entry.record->phase == Phase::kReleased) {
    TakeOver(database);
    return;
  }
  const auto lease = entry.record->lease;
  StoreCall call;
  call.op = StoreOp::kGet;
  call.key = names_.LeaseKey(lease);
  store_.Call(
      std::move(call), [this, database, lease](const StoreAnswer* answer) {
        auto& entry = entries_.at(database);
        if (answer != nullptr && answer->status == StoreStatus::kAbsent) {
          TakeOver(database);
          return;
        }
        entry.writing = false;
        if (answer != nullptr) {
          leases_.insert(lease);
        }
      });
}

void OwnershipKeeper::TakeOver(const std::string& database) {
  auto& entry = entries_.at(database);
  OwnerRecord next = entry.record.value_or(OwnerRecord{});
  next.epoch += 1;
  next.owner = names_.instance;
  next.lease = lease_.lease();
  if (next.phase == Phase::kReleased) {
    next.phase = Phase::kServing;
  }
  Swap(database, std::move(next), [](bool) {});
}

void OwnershipKeeper::Write(const std::string& database,
                            std::int64_t term,
                            const std::string& primary,
                            Phase phase,
                            const std::vector<TermStart>& term_starts,
                            WriteCallback callback) {
  const auto it = entries_.find(database);
  if (it == entries_.end() || !it->second.owned || it->second.writing) {
    callback(false);
    return;
  }
  auto next = *it->second.record;
  next.term = term;
  next.primary = primary;
  next.phase = phase;
  next.term_starts = term_starts;
  it->second.writing = true;
  Swap(database, std::move(next), std::move(callback));
}

void OwnershipKeeper::Release(const std::string& database,
                              WriteCallback callback) {
  const auto it = entries_.find(database);
  if (it == entries_.end() || !it->second.owned || it->second.writing) {
    callback(false);
    return;
  }
  auto next = *it->second.record;
  // A promotion that is under way is left for the successor to resume.
  if (next.phase == Phase::kServing) {
    next.phase = Phase::kReleased;
  }
  next.owner.clear();
  next.lease = 0;
  it->second.writing = true;
  Swap(database, std::move(next), std::move(callback));
}

void OwnershipKeeper::Swap(const std::string& database,
                           OwnerRecord record,
                           WriteCallback callback) {
  record.attempt = NextAttempt();
  const auto expected = entries_.at(database).version;
  SendSwap(database, record, expected, callback);
}

void OwnershipKeeper::SendSwap(const std::string& database,
                               const OwnerRecord& record,
                               std::int64_t expected,
                               const WriteCallback& callback) {
  StoreCall call;
  call.op = StoreOp::kCompareAndSwap;
  call.key = RecordKey(database);
  call.value = EncodeJson(record, FrameFormat::kJson);
  call.expected_version = expected;
  store_.Call(std::move(call), [=, this](const StoreAnswer* answer) {
    OnSwapped(database, record, expected, callback, answer);
  });
}

void OwnershipKeeper::OnSwapped(const std::string& database,
                                const OwnerRecord& record,
                                std::int64_t expected,
                                const WriteCallback& callback,
                                const StoreAnswer* answer) {
  auto& entry = entries_.at(database);
  if (answer == nullptr) {
    // The same swap again has one definite outcome: it is applied at most
    // once, and a conflict shows whose attempt stands.
    timers_.After(Milliseconds(kRewriteMs), [=, this] {
      SendSwap(database, record, expected, callback);
    });
    return;
  }
  entry.writing = false;
  const auto current = answer->items.empty()
                           ? std::nullopt
                           : ParseRecord(answer->items.front().value);
  if (!answer->items.empty() && answer->items.front().version > entry.version) {
    entry.version = answer->items.front().version;
    entry.record = current;
  }
  const auto written = current && current->attempt == record.attempt;
  if (!written) {
    Lose(database, entry);
    callback(false);
    if (current) {
      callbacks_.changed(database, *current);
    }
    return;
  }
  if (record.owner != names_.instance) {
    Lose(database, entry);
  } else if (!entry.owned && record.lease == lease_.lease()) {
    Adopt(database, entry);
  }
  callback(true);
  callbacks_.changed(database, record);
}

void OwnershipKeeper::Adopt(const std::string& database, Entry& entry) {
  entry.owned = true;
  outbox_.Log(Event::kOwnerAcquired,
              {{"database", database},
               {"epoch", std::to_string(entry.record->epoch)},
               {"term", std::to_string(entry.record->term)}});
  callbacks_.acquired(database, *entry.record);
}

void OwnershipKeeper::Lose(const std::string& database, Entry& entry) {
  if (std::exchange(entry.owned, false)) {
    outbox_.Log(Event::kOwnerLost, {{"database", database}});
    callbacks_.lost(database);
  }
}

void OwnershipKeeper::OnRecord(const StoreItem& item, bool deleted) {
  const auto database =
      item.key.substr(names_.key_prefix.size() + std::string("owner/").size());
  auto& entry = entries_[database];
  if (deleted || item.version <= entry.version) {
    return;
  }
  const auto record = ParseRecord(item.value);
  if (!record) {
    return;
  }
  if (entry.writing) {
    // The answer to the own write, or its conflict, tells the same.
    callbacks_.changed(database, *record);
    return;
  }
  entry.version = item.version;
  entry.record = record;
  const auto own = record->owner == names_.instance &&
                   record->lease == lease_.lease() && lease_.lease() != 0;
  if (!own) {
    Lose(database, entry);
  } else if (!entry.owned) {
    Adopt(database, entry);
  }
  callbacks_.changed(database, *record);
  EvaluateEntry(database, entry);
}

void OwnershipKeeper::OnLeaseKey(const StoreItem& item, bool deleted) {
  const auto lease = ParseLease(std::string_view(item.key).substr(
      names_.key_prefix.size() + std::string("lease/").size()));
  if (!deleted) {
    leases_.insert(lease);
    return;
  }
  leases_.erase(lease);
  for (auto& [name, entry] : entries_) {
    if (entry.record && entry.record->lease == lease) {
      EvaluateEntry(name, entry);
    }
  }
}

void OwnershipKeeper::OnOwnLease(std::int64_t lease) {
  if (lease != 0) {
    leases_.insert(lease);
    return;
  }
  for (auto& [name, entry] : entries_) {
    if (entry.owned) {
      leases_.erase(entry.record->lease);
    }
    Lose(name, entry);
  }
}

auto OwnershipKeeper::RecordOf(std::string_view database) const
    -> const OwnerRecord* {
  const auto it = entries_.find(database);
  return it == entries_.end() || !it->second.record ? nullptr
                                                    : &*it->second.record;
}

auto OwnershipKeeper::Owns(std::string_view database) const -> bool {
  const auto it = entries_.find(database);
  return it != entries_.end() && it->second.owned;
}

auto OwnershipKeeper::IsHeld(std::string_view database) const -> bool {
  const auto it = entries_.find(database);
  return it != entries_.end() && !IsVacant(it->second);
}

auto OwnershipKeeper::RecordKey(const std::string& database) const
    -> std::string {
  return names_.key_prefix + "owner/" + database;
}

auto OwnershipKeeper::NextAttempt() -> std::string {
  return names_.incarnation + "/" + std::to_string(++last_attempt_);
}

}  // namespace kingcuplock

#include "kingcuplock/ownership/ownership_keeper.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "kingcuplock/ownership/era_epochs.h"
#include "kingcuplock/routing/rendezvous.h"

namespace kingcuplock {
namespace {

/// Interval in ms between checks for vacant databases.
constexpr int kVacancyCheckIntervalMs = 50;
// Returns 0 if `text` is no lease.
auto ParseLease(std::string_view text) -> std::int64_t {
  std::int64_t lease = 0;
  const auto* end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data(), end, lease);
  return ec == std::errc() && at == end && lease > 0 ? lease : 0;
}

}  // namespace

OwnershipKeeper::OwnershipKeeper(InstanceNames names,
                                 TimingSettings timing,
                                 OwnerExclusion exclusion,
                                 TimerService& timers,
                                 StoreClient& store,
                                 Outbox& outbox,
                                 OwnershipCallbacks callbacks)
    : names_(names),
      timing_(timing),
      exclusion_(exclusion),
      timers_(timers),
      store_(store),
      outbox_(outbox),
      callbacks_(std::move(callbacks)),
      lease_(std::move(names),
             timing,
             timers,
             store,
             outbox,
             [this](std::int64_t lease) { OnOwnLeaseChanged(lease); }) {}

void OwnershipKeeper::Start() {
  store_.SubscribeToNewEra([this] { OnNewEra(); });
  store_.Watch(names_.key_prefix + "lease/",
               [this](const StoreItem& item, bool deleted) {
                 OnLeaseKeyChanged(item, deleted);
               });
  store_.Watch(names_.key_prefix + "owner/",
               [this](const StoreItem& item, bool deleted) {
                 OnRecordChanged(item, deleted);
               });
  lease_.Start();
  CheckVacantDatabases();
}

void OwnershipKeeper::SetDatabases(std::span<const std::string> databases) {
  for (auto& [name, entry] : entries_) {
    entry.in_manifest = false;
  }
  for (const auto& it : databases) {
    entries_[it].in_manifest = true;
    candidates_.insert(it);
  }
}

void OwnershipKeeper::SetLiveInstances(std::span<const std::string> instances) {
  live_instances_.assign(instances.begin(), instances.end());
}

void OwnershipKeeper::CheckVacantDatabases() {
  const std::vector<std::string> names(candidates_.begin(), candidates_.end());
  for (const auto& it : names) {
    EvaluateTakeover(it);
  }
  timers_.After(Milliseconds(kVacancyCheckIntervalMs),
                [this] { CheckVacantDatabases(); });
}

void OwnershipKeeper::EvaluateTakeover(const std::string& database) {
  const auto it = entries_.find(database);
  if (it != entries_.end()) {
    EvaluateEntry(database, it->second);
  }
}

void OwnershipKeeper::ReevaluateTakeover(const std::string& database) {
  candidates_.insert(database);
  EvaluateTakeover(database);
}

void OwnershipKeeper::EvaluateEntry(const std::string& database, Entry& entry) {
  const auto is_available =
      IsVacant(entry) || IsOrphaned(entry) || IsOfEarlierRun(entry);
  if (entry.owned || !entry.in_manifest || !is_available) {
    candidates_.erase(database);
    entry.vacant_since.reset();
    return;
  }
  if (entry.writing || entry.verifying || !MayTakeOver(entry) ||
      MayHaveUnknownOwner(entry)) {
    entry.vacant_since.reset();
    return;
  }
  if (!entry.vacant_since) {
    entry.vacant_since = timers_.Now();
  }
  const auto delay = TakeoverDelay(database, entry);
  if (timers_.Now() - *entry.vacant_since >= delay) {
    entry.handed_over = false;
    VerifyVacancy(database);
  }
}

// Returns whether the record was written before the store was last restored, so
// that a later owner may be missing.
auto OwnershipKeeper::IsOfEarlierEra(const OwnerRecord& record) const -> bool {
  return record.epoch < FirstEpochOf(store_.era());
}

// Returns whether an owner that the store does not show may still rely on its
// lease: one that renewed it for the last time before a restore of the store,
// or whose record another writer has replaced.
auto OwnershipKeeper::MayHaveUnknownOwner(const Entry& entry) const -> bool {
  if (!entry.record && entry.unreadable_since &&
      timers_.Now() <
          *entry.unreadable_since + Milliseconds(timing_.lease_ttl_ms)) {
    return exclusion_ == OwnerExclusion::kLease;
  }
  const auto never_restored =
      store_.era() == 0 && store_.era_change_count() == 0;
  const auto is_current = entry.record && !IsOfEarlierEra(*entry.record);
  if (exclusion_ == OwnerExclusion::kEpoch || never_restored || is_current ||
      entry.record_before_restore) {
    return false;
  }
  const auto since = store_.era_known_since();
  return !since || timers_.Now() < *since + Milliseconds(timing_.lease_ttl_ms);
}

auto OwnershipKeeper::IsVacant(const Entry& entry) const -> bool {
  if (!entry.record || entry.record->phase == Phase::kReleased ||
      IsOfEarlierEra(*entry.record)) {
    return true;
  }
  return !existing_leases_.contains(entry.record->lease);
}

// Returns whether the record names this instance and its current lease. If the
// instance does not own the database, as after Reacquire(), it may take it over
// at once.
auto OwnershipKeeper::IsOrphaned(const Entry& entry) const -> bool {
  return entry.record && entry.record->owner == names_.instance &&
         entry.record->lease == lease_.lease() && lease_.lease() != 0;
}

// Returns whether an earlier run of this instance owns the database. Instance
// names are unique, so that run has ended even if its lease has not expired.
auto OwnershipKeeper::IsOfEarlierRun(const Entry& entry) const -> bool {
  return entry.record && entry.record->phase != Phase::kReleased &&
         entry.record->owner == names_.instance && lease_.lease() != 0 &&
         entry.record->lease != lease_.lease();
}

auto OwnershipKeeper::IsOwnedUnder(const Entry& entry,
                                   const OwnerRecord& record) const -> bool {
  return record.owner == names_.instance && record.lease == lease_.lease() &&
         lease_.lease() != 0 && record.epoch >= entry.least_epoch &&
         !IsOfEarlierEra(record);
}

auto OwnershipKeeper::MayTakeOver(const Entry& entry) const -> bool {
  return acquiring_ && entry.in_manifest && !entry.owned && lease_.IsValid();
}

auto OwnershipKeeper::TakeoverDelay(const std::string& database,
                                    const Entry& entry) const -> Duration {
  if (entry.handed_over || entry.record_before_restore) {
    return Duration::zero();
  }
  if (entry.record && entry.record->phase != Phase::kReleased &&
      entry.record->owner == names_.instance) {
    return Duration::zero();
  }
  const auto rank = RendezvousRank(database, names_.instance, live_instances_);
  return Milliseconds(timing_.takeover_step_ms) * static_cast<int>(rank);
}

void OwnershipKeeper::VerifyVacancy(const std::string& database) {
  auto& entry = entries_.at(database);
  if (!entry.record || entry.record->phase == Phase::kReleased ||
      IsOfEarlierEra(*entry.record) || IsOrphaned(entry) ||
      IsOfEarlierRun(entry)) {
    TakeOver(database);
    return;
  }
  entry.verifying = true;
  const auto lease = entry.record->lease;
  StoreCall call;
  call.op = StoreOp::kGet;
  call.key = names_.LeaseKey(lease);
  store_.Call(std::move(call),
              [this, database, lease](const StoreAnswer* answer) {
                OnVacancyAnswer(database, lease, answer);
              });
}

void OwnershipKeeper::OnVacancyAnswer(const std::string& database,
                                      std::int64_t lease,
                                      const StoreAnswer* answer) {
  auto& entry = entries_.at(database);
  entry.verifying = false;
  if (answer == nullptr) {
    return;
  }
  if (answer->status != StoreStatus::kAbsent) {
    existing_leases_.insert(lease);
    return;
  }
  const auto same = entry.record && entry.record->lease == lease;
  if (same && !entry.writing && MayTakeOver(entry)) {
    TakeOver(database);
  }
}

void OwnershipKeeper::TakeOver(const std::string& database) {
  auto& entry = entries_.at(database);
  OwnerRecord next = entry.record.value_or(OwnerRecord{});
  entry.continues_ownership = entry.record_before_restore.has_value();
  if (entry.record_before_restore) {
    next = *entry.record_before_restore;
  } else if (IsOfEarlierEra(next)) {
    // Terms, primaries, owners and orders may have changed since.
    const auto epoch = next.epoch;
    next = OwnerRecord{};
    next.epoch = epoch;
    next.orders_unknown = entry.record || store_.era_change_count() > 0;
  }
  if (!entry.record && entry.unreadable_since) {
    // Each epoch of this era took a write of its own, so the version is above
    // the number of them.
    next.epoch =
        FirstEpochOf(store_.era()) + std::min(entry.version, kEpochsPerEra / 2);
    next.orders_unknown = true;
  }
  if (next.phase == Phase::kReleased) {
    next.previous.clear();
  } else if (next.owner != names_.instance) {
    // If the owner was an earlier run of this instance, that run may have ended
    // before its own predecessor did, so `previous` keeps that predecessor.
    next.previous = next.owner;
  }
  next.epoch =
      std::max({next.epoch + 1, entry.least_epoch, FirstEpochOf(store_.era())});
  next.owner = names_.instance;
  next.lease = lease_.lease();
  if (next.phase == Phase::kReleased) {
    next.phase = Phase::kServing;
  }
  SwapRecord(database, std::move(next), [](bool) {});
}

void OwnershipKeeper::Preempt(const std::string& database) {
  const auto it = entries_.find(database);
  if (it != entries_.end() && MayTakeOver(it->second) && !it->second.writing &&
      !it->second.verifying) {
    TakeOver(database);
  }
}

void OwnershipKeeper::StepDown(const std::string& database,
                               std::int64_t epoch) {
  const auto it = entries_.find(database);
  if (it == entries_.end() || !it->second.record ||
      it->second.record->epoch >= epoch) {
    return;
  }
  // This instance must not take the database again with an epoch that is known
  // to be superseded.
  it->second.least_epoch = std::max(it->second.least_epoch, epoch + 1);
  EndOwnership(database, it->second);
}

void OwnershipKeeper::OnNewEra() {
  const auto lease_was_valid = lease_.IsValid();
  existing_leases_.clear();
  for (auto& [name, entry] : entries_) {
    if (entry.record) {
      entry.least_epoch = std::max(entry.least_epoch, entry.record->epoch + 1);
    }
    entry.record_before_restore =
        entry.owned && lease_was_valid ? entry.record : std::nullopt;
    entry.version = 0;
    entry.record.reset();
    entry.unreadable_since.reset();
    entry.deferred.reset();
    entry.vacant_since.reset();
    EndOwnership(name, entry);
    candidates_.insert(name);
  }
  lease_.Restart();
}

void OwnershipKeeper::OnRecordChanged(const StoreItem& item, bool deleted) {
  const auto database =
      item.key.substr(names_.key_prefix.size() + std::string("owner/").size());
  auto& entry = entries_[database];
  if (item.version <= entry.version) {
    return;
  }
  if (deleted) {
    // An unanswered write ends with a conflict.
    if (!entry.writing) {
      if (entry.record) {
        entry.least_epoch =
            std::max(entry.least_epoch, entry.record->epoch + 1);
      }
      SetRecord(entry, 0, std::nullopt);
      EndOwnership(database, entry);
      ReevaluateTakeover(database);
    }
    return;
  }
  const auto record = ParseRecord(item.value);
  if (entry.writing) {
    // An unanswered write ends with a conflict.
    if (record) {
      entry.deferred = item;
      callbacks_.on_record_changed(database, *record);
    }
    return;
  }
  if (!record) {
    OnUnreadableRecord(database, entry, item.version);
    return;
  }
  SetRecord(entry, item.version, record);
  if (!IsOwnedUnder(entry, *record)) {
    EndOwnership(database, entry);
  } else if (!entry.owned) {
    BeginOwnership(database, entry);
  }
  callbacks_.on_record_changed(database, *record);
  ReevaluateTakeover(database);
}

// Another writer has replaced the record. What was known of it stays valid, as
// only the owner changes it, and the owner writes it again.
void OwnershipKeeper::OnUnreadableRecord(const std::string& database,
                                         Entry& entry,
                                         std::int64_t version) {
  outbox_.Log(Event::kOwnerRecordRejected,
              {{"database", database}, {"version", std::to_string(version)}});
  entry.version = version;
  entry.unreadable_since = timers_.Now();
  if (entry.owned) {
    StartWrite(database, {[](OwnerRecord&) {}, [](bool) {}});
    return;
  }
  ReevaluateTakeover(database);
}

void OwnershipKeeper::OnLeaseKeyChanged(const StoreItem& item, bool deleted) {
  const auto lease = ParseLease(std::string_view(item.key).substr(
      names_.key_prefix.size() + std::string("lease/").size()));
  if (lease == 0) {
    return;
  }
  if (!deleted) {
    existing_leases_.insert(lease);
    return;
  }
  existing_leases_.erase(lease);
  for (auto& [name, entry] : entries_) {
    if (entry.record && entry.record->lease == lease) {
      ReevaluateTakeover(name);
    }
  }
}

void OwnershipKeeper::OnOwnLeaseChanged(std::int64_t lease) {
  if (lease != 0) {
    existing_leases_.insert(lease);
    // Records of an earlier run of this instance can be taken over from now on.
    for (const auto& [name, entry] : entries_) {
      candidates_.insert(name);
    }
    return;
  }
  for (auto& [name, entry] : entries_) {
    if (entry.owned) {
      existing_leases_.erase(entry.record->lease);
    }
    EndOwnership(name, entry);
    candidates_.insert(name);
  }
}

auto OwnershipKeeper::RecordOf(std::string_view database) const
    -> const OwnerRecord* {
  const auto it = entries_.find(database);
  return it == entries_.end() || !it->second.record ? nullptr
                                                    : &*it->second.record;
}

void OwnershipKeeper::ReadRecord(
    const std::string& database,
    std::function<void(const OwnerRecord*)> callback) {
  StoreCall call;
  call.op = StoreOp::kGet;
  call.key = RecordKey(database);
  store_.Call(std::move(call), [this, callback = std::move(callback)](
                                   const StoreAnswer* answer) {
    const auto found = answer != nullptr && !answer->items.empty();
    const auto record =
        found ? ParseRecord(answer->items.front().value) : std::nullopt;
    const auto is_current = record && !IsOfEarlierEra(*record);
    // Without a record there has been no owner, unless a restore took it.
    static const OwnerRecord kNoOwnerYet;
    const auto is_new = answer != nullptr && answer->items.empty() &&
                        answer->status == StoreStatus::kAbsent &&
                        store_.era_change_count() == 0;
    callback(is_current ? &*record : is_new ? &kNoOwnerYet : nullptr);
  });
}

auto OwnershipKeeper::Owns(std::string_view database) const -> bool {
  const auto it = entries_.find(database);
  return it != entries_.end() && it->second.owned;
}

auto OwnershipKeeper::ContinuesOwnership(std::string_view database) const
    -> bool {
  const auto it = entries_.find(database);
  return it != entries_.end() && it->second.continues_ownership;
}

auto OwnershipKeeper::IsHeld(std::string_view database) const -> bool {
  const auto it = entries_.find(database);
  return it != entries_.end() && !IsVacant(it->second);
}

auto OwnershipKeeper::RecordKey(const std::string& database) const
    -> std::string {
  return names_.key_prefix + "owner/" + database;
}

auto OwnershipKeeper::NextAttemptId() -> std::string {
  return names_.incarnation + "/" + std::to_string(++last_attempt_number_);
}

}  // namespace kingcuplock

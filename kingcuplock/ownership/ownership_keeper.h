#pragma once

/// Ownership of databases by records in the platform's service. A record is
/// changed by compare-and-swap only and is vacant once its lease is gone.
///
/// Example:
///   OwnershipKeeper ownership(names, timing, timers, store, outbox,
///                             {.acquired = ..., .lost = ...});
///   ownership.SetDatabases(names_in_manifest);
///   ownership.SetLiveInstances(live);
///   ownership.Start();

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/ownership/lease_keeper.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/settings.h"
#include "kingcuplock/store_client/store_client.h"

namespace kingcuplock {

/// What the keeper reports.
struct OwnershipCallbacks {
  /// This instance owns the database now, under the given record.
  std::function<void(const std::string&, const OwnerRecord&)> acquired;
  /// This instance owns the database no longer.
  std::function<void(const std::string&)> lost;
  /// Some record changed, own or not.
  std::function<void(const std::string&, const OwnerRecord&)> changed;
};

/// Not thread safe. Events are O(log n) in databases, a lease change O(n); the
/// regular look is O(v log n) in the vacant ones.
class OwnershipKeeper {
 public:
  /// Gets whether the record was written, by this write or a later one of the
  /// same owner that includes it.
  using WriteCallback = std::function<void(bool written)>;

  OwnershipKeeper(InstanceNames names,
                  TimingSettings timing,
                  TimerService& timers,
                  StoreClient& store,
                  Outbox& outbox,
                  OwnershipCallbacks callbacks);

  /// Begins to watch records and to hold a lease.
  void Start();

  /// Sets the databases of the manifest in force.
  void SetDatabases(std::span<const std::string> databases);

  /// Sets the instances among which databases are shared out.
  void SetLiveInstances(std::span<const std::string> instances);

  /// Replaces the record of an owned database, keeping epoch, owner and lease.
  /// Lost answers are resolved; a lost race ends the ownership. A write that
  /// finds an earlier one unanswered waits for it.
  void WriteRecord(const std::string& database,
                   std::int64_t term,
                   const std::string& primary,
                   Phase phase,
                   const std::vector<TermStart>& term_starts,
                   WriteCallback callback);

  /// Raises the epoch of an owned database that stays here, so that a new
  /// owner object fences the one before.
  void RaiseEpoch(const std::string& database, WriteCallback callback);

  /// Returns whether a write of the record is under way.
  auto IsWritingRecord(std::string_view database) const -> bool;

  /// Takes a database that a peer's planned stop hands over here, as soon as
  /// its record is released, ahead of the order of preference.
  void AcceptHandOver(const std::string& database);

  /// Gives an owned database up so that a successor takes it at once; `term` is
  /// the newest known, 0 for none.
  void Release(const std::string& database,
               WriteCallback callback,
               std::int64_t term = 0);

  /// Ends the present ownership of a database whose fence was found raised to
  /// `seen_epoch` (0 for unknown), and takes it over again past that epoch
  /// unless the record belongs to another instance by then.
  void Reacquire(const std::string& database, std::int64_t seen_epoch);

  /// Takes a database from an owner that is taken for lost though its lease
  /// goes on. Only for owners whose acts are all fenced by the epoch.
  void Preempt(const std::string& database);

  /// Takes no more databases, as before a planned stop.
  void StopAcquiring() { acquiring_ = false; }

  /// Gives the lease back, after all databases were released.
  void RevokeLease() { lease_.Stop(); }

  /// Looks at a database at once, as after a hand-over from a peer.
  void EvaluateTakeover(const std::string& database);

  /// Returns the newest record known, or nullptr.
  auto RecordOf(std::string_view database) const -> const OwnerRecord*;

  /// Returns whether this instance owns the database.
  auto Owns(std::string_view database) const -> bool;

  /// Returns whether the record's holder may still hold its lease.
  auto IsHeld(std::string_view database) const -> bool;

  /// Ends an ownership that a record with `epoch` replaced, ahead of its watch.
  void StepDown(const std::string& database, std::int64_t epoch);

  /// Returns when the own lease may lapse; see LeaseKeeper::ValidUntil().
  auto LeaseValidUntil() const -> Time { return lease_.ValidUntil(); }

  /// Returns whether the own lease is valid; see LeaseKeeper::IsValid().
  auto LeaseIsValid() const -> bool { return lease_.IsValid(); }

 private:
  using Change = std::function<void(OwnerRecord&)>;
  /// Changes that wait for the answer to an earlier write.
  struct QueuedWrite {
    Change change;
    WriteCallback callback;
  };
  struct Entry {
    bool in_manifest = false;
    bool owned = false;
    bool writing = false;
    bool verifying = false;
    bool handed_over = false;
    std::int64_t version = 0;
    /// Lowest epoch under which this instance may own the database.
    std::int64_t least_epoch = 0;
    std::optional<OwnerRecord> record;
    std::optional<Time> vacant_since;
    std::optional<QueuedWrite> queued;
    /// Newest watched item that arrived during an own write.
    std::optional<StoreItem> deferred;
  };

  void OnRecord(const StoreItem& item, bool deleted);
  void OnLeaseKey(const StoreItem& item, bool deleted);
  void OnOwnLease(std::int64_t lease);
  void Tick();
  void Reconsider(const std::string& database);
  void EvaluateEntry(const std::string& database, Entry& entry);
  auto IsVacant(const Entry& entry) const -> bool;
  auto IsOrphaned(const Entry& entry) const -> bool;
  auto IsOfEarlierRun(const Entry& entry) const -> bool;
  auto IsOwn(const Entry& entry, const OwnerRecord& record) const -> bool;
  auto MayTake(const Entry& entry) const -> bool;
  auto TakeoverDelay(const std::string& database, const Entry& entry) const
      -> Duration;
  void VerifyVacancy(const std::string& database);
  void OnVerified(const std::string& database,
                  std::int64_t lease,
                  const StoreAnswer* answer);
  void TakeOver(const std::string& database);
  void ChangeOwned(const std::string& database,
                   Change change,
                   WriteCallback callback);
  void WriteChange(const std::string& database, const QueuedWrite& write);
  void Swap(const std::string& database,
            OwnerRecord record,
            WriteCallback callback);
  void SendSwap(const std::string& database,
                const OwnerRecord& record,
                std::int64_t expected,
                const WriteCallback& callback);
  void OnSwapped(const std::string& database,
                 const OwnerRecord& record,
                 std::int64_t expected,
                 const WriteCallback& callback,
                 const StoreAnswer* answer);
  void ApplySwap(const std::string& database,
                 const OwnerRecord& record,
                 bool written);
  void TakeDeferred(const std::string& database);
  void Adopt(const std::string& database, Entry& entry);
  void Lose(const std::string& database, Entry& entry);
  auto RecordKey(const std::string& database) const -> std::string;
  auto NextAttempt() -> std::string;

  InstanceNames names_;
  TimingSettings timing_;
  TimerService& timers_;
  StoreClient& store_;
  Outbox& outbox_;
  OwnershipCallbacks callbacks_;
  LeaseKeeper lease_;
  std::map<std::string, Entry, std::less<>> entries_;
  /// Databases that may be free to take; the others need no regular look.
  std::set<std::string, std::less<>> candidates_;
  std::set<std::int64_t> leases_;
  std::vector<std::string> live_;
  std::int64_t last_attempt_ = 0;
  bool acquiring_ = true;
};

}  // namespace kingcuplock

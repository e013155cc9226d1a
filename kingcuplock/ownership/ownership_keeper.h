#pragma once

/// Acquires, writes and releases the ownership of databases. Each database has
/// an ownership record in the platform's store. A record is changed only by
/// compare-and-swap, and the database is vacant, free for another owner, once
/// the lease that the record names no longer exists.
///
/// When the store was restored from an older copy, records and leases prove
/// nothing: a later owner may not be shown. Every ownership then ends, and the
/// epochs of the new era are above all earlier ones. An owner that held its
/// lease until it learned of the restore continues at once; others wait until
/// no lease of an earlier era can be valid, unless owners are fenced.
///
/// Example:
///   OwnershipKeeper ownership(names, timing, timers, store, outbox,
///                             {.on_acquired = ..., .on_lost = ...,
///                              .on_record_changed = ...});
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

/// What keeps an owner that was replaced without knowing it from doing harm.
enum class OwnerExclusion {
  /// It stops when its lease may have expired.
  kLease,
  /// Everything that it does is refused because of its lower epoch.
  kEpoch
};

/// Callbacks of an OwnershipKeeper.
struct OwnershipCallbacks {
  /// This instance has become the owner of `database` under `record`.
  std::function<void(const std::string& database, const OwnerRecord& record)>
      on_acquired;
  /// This instance no longer owns `database`.
  std::function<void(const std::string& database)> on_lost;
  /// The record of `database` changed, whichever instance owns it.
  std::function<void(const std::string& database, const OwnerRecord& record)>
      on_record_changed;
};

/// Not thread safe. For n databases, of which v are vacant, an event is
/// O(log n), a change of a lease is O(n) and the periodic check for vacant
/// databases is O(v log n). `timers` and `store` call back into the keeper and
/// must not run after it is gone.
class OwnershipKeeper {
 public:
  /// Called with whether the record was written: by this write, or by a later
  /// write of the same owner that includes its change.
  using WriteCallback = std::function<void(bool written)>;

  OwnershipKeeper(InstanceNames names,
                  TimingSettings timing,
                  OwnerExclusion exclusion,
                  TimerService& timers,
                  StoreClient& store,
                  Outbox& outbox,
                  OwnershipCallbacks callbacks);

  /// Begins to watch the records and leases in the store and to hold a lease.
  void Start();

  /// Sets the databases of the current manifest. Others are not acquired.
  void SetDatabases(std::span<const std::string> databases);

  /// Sets the live instances, among which the databases are distributed. They
  /// determine how long this instance waits before it takes a vacant database.
  void SetLiveInstances(std::span<const std::string> instances);

  /// Writes the given values to the record of an owned database and keeps its
  /// epoch, owner and lease. A write whose answer is lost is repeated until its
  /// outcome is known. If another instance has changed the record meanwhile,
  /// the ownership is lost. While an earlier write is unanswered, this one
  /// waits. Calls back with false at once if this instance does not own the
  /// database.
  void WriteRecord(const std::string& database,
                   std::int64_t term,
                   const std::string& primary,
                   Phase phase,
                   const std::vector<TermStart>& term_starts,
                   WriteCallback callback);

  /// Records that `member` may be ordered to become the primary, before the
  /// order is sent. An empty `member` records that no order of this or an
  /// earlier owner can be carried out any more; `term`, if it is higher than
  /// the record's, is then the newest term. Calls back as WriteRecord().
  void RecordOrder(const std::string& database,
                   const std::string& member,
                   std::int64_t term,
                   WriteCallback callback);

  /// Raises the epoch of a database that this instance owns and keeps, so that
  /// a new owner object fences the previous one.
  void RaiseEpoch(const std::string& database, WriteCallback callback);

  /// Returns whether a write of the record is unanswered.
  auto IsWritingRecord(std::string_view database) const -> bool;

  /// Accepts a database from a peer that hands it over in a planned stop. This
  /// instance takes it as soon as its record is released, without the delay
  /// that its rank among the live instances implies.
  void AcceptHandOver(const std::string& database);

  /// Gives up an owned database so that a successor can take it without waiting
  /// for the lease to expire. `term` is the newest known term, 0 for none; it
  /// is recorded if it is higher than the record's. `open_order` tells whether
  /// an order to promote a member may be open; the record then keeps what it
  /// says of orders. Calls back as WriteRecord().
  void Release(const std::string& database,
               WriteCallback callback,
               std::int64_t term = 0,
               bool open_order = false);

  /// Ends the current ownership of a database whose members turned out to be
  /// fenced by a higher epoch, `seen_epoch` (0 if unknown). Takes the database
  /// over again with an epoch above that one, unless the record belongs to
  /// another instance by then.
  void Reacquire(const std::string& database, std::int64_t seen_epoch);

  /// Takes a database from an owner that is considered lost although its lease
  /// has not expired. Safe only if the members fence everything that owners do
  /// by the epoch.
  void Preempt(const std::string& database);

  /// Stops acquiring databases, in preparation for a planned stop.
  void StopAcquiring() { acquiring_ = false; }

  /// Revokes the lease. Call this after all databases have been released.
  void RevokeLease() { lease_.Stop(); }

  /// Checks now, rather than at the next periodic check, whether this instance
  /// should take the database.
  void EvaluateTakeover(const std::string& database);

  /// Returns the newest record known for the database, or nullptr. The pointer
  /// is valid until the record changes.
  auto RecordOf(std::string_view database) const -> const OwnerRecord*;

  /// Reads the record of a database from the store, as it is at the time of the
  /// call or later. Calls back with nullptr if the store does not answer, or
  /// has no record that can be relied on.
  void ReadRecord(const std::string& database,
                  std::function<void(const OwnerRecord*)> callback);

  /// Returns whether this instance owns the database.
  auto Owns(std::string_view database) const -> bool;

  /// Returns whether this instance's last takeover of the database continued
  /// its own ownership from before a restore of the store, with no other owner
  /// in between.
  auto ContinuesOwnership(std::string_view database) const -> bool;

  /// Returns whether the record has an owner that may still hold its lease, as
  /// far as this instance has seen.
  auto IsHeld(std::string_view database) const -> bool;

  /// Ends an ownership that was superseded by a record with the higher `epoch`,
  /// before the watch reports that record.
  void StepDown(const std::string& database, std::int64_t epoch);

  /// Returns when this instance's lease may expire; see
  /// LeaseKeeper::ValidUntil().
  auto LeaseValidUntil() const -> Time { return lease_.ValidUntil(); }

  /// Returns whether this instance's lease is valid; see
  /// LeaseKeeper::IsValid().
  auto LeaseIsValid() const -> bool { return lease_.IsValid(); }

 private:
  using RecordChange = std::function<void(OwnerRecord&)>;
  /// Changes to write once an earlier write is answered.
  struct QueuedWrite {
    RecordChange change;
    WriteCallback callback;
  };
  /// State of one database.
  struct Entry {
    bool in_manifest = false;
    /// Whether this instance owns the database.
    bool owned = false;
    /// Whether a write of the record is unanswered.
    bool writing = false;
    /// Whether the store is being asked if the owner's lease still exists.
    bool verifying = false;
    /// Whether a peer in a planned stop hands the database over.
    bool handed_over = false;
    /// Version of the record in the store, for the next compare-and-swap.
    std::int64_t version = 0;
    /// Lowest epoch under which this instance may own the database.
    std::int64_t least_epoch = 0;
    std::optional<OwnerRecord> record;
    /// Since when the store holds something else than a record; `record` is the
    /// last one that could be read.
    std::optional<Time> unreadable_since;
    /// Record under which this instance owned the database, with a valid lease,
    /// until it learned that the store was restored. It is newer than anything
    /// that the store holds of an earlier era.
    std::optional<OwnerRecord> record_before_restore;
    /// Whether the last takeover was from `record_before_restore`.
    bool continues_ownership = false;
    /// Since when this instance may take the database.
    std::optional<Time> vacant_since;
    std::optional<QueuedWrite> queued;
    /// Newest record that the watch reported during a write of this instance;
    /// handled when the write is answered.
    std::optional<StoreItem> deferred;
  };

  /// A compare-and-swap of a record.
  struct Swap {
    std::string database;
    OwnerRecord record;
    std::int64_t expected_version = 0;
    /// Of the store client when `expected_version` was read.
    std::int64_t era_change_count = 0;
    WriteCallback callback;
  };

  /// Returns nullopt for a text that is no record.
  static auto ParseRecord(const std::string& text)
      -> std::optional<OwnerRecord>;

  void OnNewEra();
  void OnRecordChanged(const StoreItem& item, bool deleted);
  void OnUnreadableRecord(const std::string& database,
                          Entry& entry,
                          std::int64_t version);
  void OnLeaseKeyChanged(const StoreItem& item, bool deleted);
  void OnOwnLeaseChanged(std::int64_t lease);
  void CheckVacantDatabases();
  void ReevaluateTakeover(const std::string& database);
  void EvaluateEntry(const std::string& database, Entry& entry);
  auto IsOfEarlierEra(const OwnerRecord& record) const -> bool;
  auto MayHaveUnknownOwner(const Entry& entry) const -> bool;
  void SetRecord(Entry& entry,
                 std::int64_t version,
                 std::optional<OwnerRecord> record);
  auto IsVacant(const Entry& entry) const -> bool;
  auto IsOrphaned(const Entry& entry) const -> bool;
  auto IsOfEarlierRun(const Entry& entry) const -> bool;
  auto IsOwnedUnder(const Entry& entry, const OwnerRecord& record) const
      -> bool;
  auto MayTakeOver(const Entry& entry) const -> bool;
  auto TakeoverDelay(const std::string& database, const Entry& entry) const
      -> Duration;
  void VerifyVacancy(const std::string& database);
  void OnVacancyAnswer(const std::string& database,
                       std::int64_t lease,
                       const StoreAnswer* answer);
  void TakeOver(const std::string& database);
  void ChangeOwnedRecord(const std::string& database,
                         RecordChange change,
                         WriteCallback callback);
  void StartWrite(const std::string& database, const QueuedWrite& write);
  void SwapRecord(const std::string& database,
                  OwnerRecord record,
                  WriteCallback callback);
  void SendSwap(const Swap& swap);
  void OnSwapAnswer(const Swap& swap, const StoreAnswer* answer);
  void AbandonSwap(const Swap& swap);
  void ApplySwapOutcome(const std::string& database,
                        const OwnerRecord& record,
                        bool written);
  void HandleDeferredRecord(const std::string& database);
  void BeginOwnership(const std::string& database, Entry& entry);
  void EndOwnership(const std::string& database, Entry& entry);
  auto RecordKey(const std::string& database) const -> std::string;
  auto NextAttemptId() -> std::string;

  InstanceNames names_;
  TimingSettings timing_;
  OwnerExclusion exclusion_;
  TimerService& timers_;
  StoreClient& store_;
  Outbox& outbox_;
  OwnershipCallbacks callbacks_;
  LeaseKeeper lease_;
  std::map<std::string, Entry, std::less<>> entries_;
  /// Databases that may be free to take. The periodic check skips all others.
  std::set<std::string, std::less<>> candidates_;
  /// Leases that exist in the store, as far as this instance has seen.
  std::set<std::int64_t> existing_leases_;
  std::vector<std::string> live_instances_;
  std::int64_t last_attempt_number_ = 0;
  bool acquiring_ = true;
};

}  // namespace kingcuplock

#pragma once

/// Decides who leads one database group: raises the fence of a new owner,
/// suspects and replaces the primary, and demotes a primary that returns.
///
/// Example:
///   GroupController leader(config, record, timing, timers, outbox, ports);
///   leader.Start();
///   if (leader.IsServing()) { Run(leader.primary()); }

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/life_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/failover/member_watch.h"
#include "kingcuplock/failover/promotion.h"
#include "kingcuplock/failover/replication_watch.h"
#include "kingcuplock/outcome/acknowledgement.h"
#include "kingcuplock/routing/age_tracker.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/settings.h"
#include "kingcuplock/session/term_history.h"

namespace kingcuplock {

/// Phase of an owner.
enum class OwnerPhase {
  kDiscovering,
  kFencing,
  kServing,
  kPromoting,
  kStopped
};

/// Returns the name of a phase, for status and logs.
auto ToString(OwnerPhase phase) -> std::string_view;

/// What a leader uses and reports to.
struct GroupControllerCallbacks {
  /// Returns whether the instance's lease is valid.
  std::function<bool()> lease_is_valid;
  /// Writes term, primary, phase and starts of terms to the ownership record.
  std::function<void(std::int64_t term,
                     const std::string& primary,
                     Phase phase,
                     const std::vector<TermStart>& term_starts,
                     std::function<void(bool)>)>
      write_record;
  /// Writes are open.
  std::function<void()> on_writes_opened;
  /// The primary, named here, is given up; nothing of it may be acknowledged.
  std::function<void(const std::string&)> on_primary_abandoned;
  /// A member's sample arrived while the primary is known.
  std::function<void()> on_member_sample;
  /// The fence stands at a newer epoch, given here, or the record went to
  /// another instance; the epoch is 0 where it is not known.
  std::function<void(std::int64_t epoch)> on_fenced_out;
  /// A failover is over.
  std::function<void(const FailoverGap&)> on_failed_over;
};

/// Not thread safe.
class GroupController {
 public:
  GroupController(DatabaseConfig config,
                  OwnerRecord record,
                  TimingSettings timing,
                  TimerService& timers,
                  Outbox& outbox,
                  GroupControllerCallbacks ports);
  ~GroupController();
  GroupController(const GroupController&) = delete;
  auto operator=(const GroupController&) -> GroupController& = delete;

  /// Connects to the members and raises the fence.
  void Start();

  /// Decides nothing more.
  void Stop();

  /// Sets the members on endpoints that are leaving. A primary among them is
  /// replaced as soon as another member holds everything acknowledged.
  void SetLeaving(std::vector<std::string> members);

  /// Returns whether a member is on an endpoint that is leaving.
  auto IsOnLeavingEndpoint(std::string_view member) const -> bool;

  /// Gives the primary up and promotes another member.
  void BeginPromotion();

  /// Notes an answer of the primary on a connection of a pool.
  void NoteHeard();

  /// Notes that a write at `position` of the current term was acknowledged.
  void NoteAcknowledged(std::int64_t position);

  /// Returns whether a write at `position` of the current term, whose commit
  /// was answered at `committed_at`, may be acknowledged now.
  auto Allows(std::int64_t position, Time committed_at) const -> bool;

  /// Returns whether the instance's lease is valid.
  auto LeaseIsValid() const -> bool { return ports_.lease_is_valid(); }

  /// Returns whether statements may be sent to the primary: under a valid
  /// lease, or when a fresh sample shows no later epoch. After a pause of the
  /// process neither counts until the primary was asked again.
  auto MaySendStatements() const -> bool;

  /// Returns whether writes are open.
  auto IsServing() const -> bool { return phase_ == OwnerPhase::kServing; }

  /// Returns the phase.
  auto phase() const -> OwnerPhase { return phase_; }

  /// Returns the newest term known.
  auto term() const -> std::int64_t { return term_; }

  /// Returns the primary, empty while there is none.
  auto primary() const -> const std::string& { return primary_; }

  /// Returns the last log place that a member told.
  auto PlaceOf(const std::string& member) const -> LogPlace;

  /// Returns whether the member answered a sample lately.
  auto Responds(const std::string& member) const -> bool;

  /// Returns the tracker of ages, fed by NotePrimaryPlace().
  auto age_tracker() const -> const AgeTracker& { return ages_; }

  /// Notes that the primary's log ended at `place` or before at `asked`, if it
  /// is sure that it was the primary then.
  void NotePrimaryPlace(Time asked, LogPlace place);

  /// Returns the furthest place that a primary told under this owner.
  auto PrimaryPlace() const -> LogPlace { return primary_place_; }

  /// Returns where terms began, to tell what a failover lost.
  auto term_history() const -> const TermHistory& { return history_; }

  /// Handle an event; return false if the connection is not this leader's.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnAnswer(ConnectionId connection, const MemberAnswer& answer) -> bool;

 private:
  struct Member {
    std::unique_ptr<MemberWatch> watch;
    LogPlace place;
    std::int64_t follows = 0;
    std::optional<Time> heard_at;
    std::optional<Time> last_follow_order;
  };

  void AddMember(const MemberConfig& member);
  void CallMember(const std::string& member,
                  const MemberRequest& request,
                  Duration timeout,
                  MemberCallback callback);
  void OnSample(const std::string& name,
                Time asked,
                const MemberAnswer& answer);
  void OnSuspected(const std::string& name);
  void LeaveLeavingPrimary();
  void Demote(const std::string& name, Member& member);
  void Discover();
  void OnDiscovered(const std::map<std::string, MemberAnswer>& heard);
  void SetPrimary(std::int64_t term, const std::string& primary);
  void Fence();
  void OnFenceRaised(std::int64_t term, const MemberAnswer* answer);
  void TryOpen();
  void OvertakeTerm(std::int64_t term);
  void WatchReplication();
  auto FurthestReplica() const -> std::optional<LogPlace>;
  void OnReplicationStalled(Time since);
  void ReplacePrimary(const std::string& suspected,
                      const std::string& excluded);
  auto MakePromotionPorts() -> PromotionPorts;
  void OnPromoted(std::int64_t term, const std::string& primary, LogPlace end);
  void CommitRecord();
  void ReportGap();

  DatabaseConfig config_;
  OwnerRecord record_;
  TimingSettings timing_;
  TimerService& timers_;
  Outbox& outbox_;
  GroupControllerCallbacks ports_;

  OwnerPhase phase_ = OwnerPhase::kDiscovering;
  std::int64_t term_ = 0;
  std::string primary_;
  Time primary_since_{};
  Time primary_sampled_{};
  std::map<std::string, Member> members_;
  std::optional<Acknowledgement<>> acks_;
  std::optional<LogPlace> acknowledged_;
  std::vector<std::string> leaving_;
  std::optional<Time> last_planned_change_;
  std::optional<LogPlace> fence_;
  Time fence_raised_at_{};
  ReplicationWatch replication_;
  AgeTracker ages_;
  TermHistory history_;
  LogPlace primary_place_;
  std::unique_ptr<Promotion> promotion_;
  std::unique_ptr<Promotion> retired_promotion_;
  std::optional<FailoverGap> gap_;
  LifeGuard guard_;
};

}  // namespace kingcuplock

#pragma once

/// Controls which member of one database group is the primary. Finds the
/// primary, raises the epoch there so that earlier owners are fenced out,
/// replaces a primary that fails or leaves, and demotes a former primary that
/// returns.
///
/// Example:
///   GroupController controller(config, record, timing, timers, outbox,
///                              callbacks);
///   controller.Start();
///   if (controller.IsServing()) { SendTo(controller.primary()); }

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/callback_guard.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/failover/member_monitor.h"
#include "kingcuplock/failover/promotion.h"
#include "kingcuplock/failover/replication_stall_detector.h"
#include "kingcuplock/outcome/write_acknowledgement_tracker.h"
#include "kingcuplock/routing/age_tracker.h"
#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/settings.h"
#include "kingcuplock/session/term_history.h"

namespace kingcuplock {

/// Phase of an owner.
enum class OwnerPhase {
  /// Asks the members which of them is the primary.
  kDiscovering,
  /// Raises the epoch at the primary; writes are not open yet.
  kFencing,
  /// Writes are open.
  kServing,
  /// Promotes a member; there is no primary.
  kPromoting,
  /// Decides and serves nothing more.
  kStopped
};

/// Returns the name of a phase, as status and logs show it.
auto ToString(OwnerPhase phase) -> std::string_view;

/// Callbacks of a GroupController to its owner.
struct GroupControllerCallbacks {
  /// Returns whether the instance's lease is valid.
  std::function<bool()> lease_is_valid;
  /// Writes term, primary, phase and the starts of terms to the ownership
  /// record, then calls back with whether it was written.
  std::function<void(std::int64_t term,
                     const std::string& primary,
                     Phase phase,
                     const std::vector<TermStart>& term_starts,
                     std::function<void(bool)>)>
      write_record;
  /// Called when writes become open.
  std::function<void()> on_writes_opened;
  /// Called with the name of the primary, empty if there was none, when it is
  /// about to be replaced. No request that it ran may be acknowledged from then
  /// on.
  std::function<void(const std::string&)> on_primary_abandoned;
  /// Called after a sample of a member arrived while the primary is known.
  std::function<void()> on_member_sample;
  /// Called when a newer owner has raised the epoch at a member, with that
  /// epoch, or when the ownership record went to another instance, with 0 as
  /// the epoch is not known then.
  std::function<void(std::int64_t epoch)> on_fenced_out;
  /// Called when a failover has ended and writes are open again.
  std::function<void(const FailoverGap&)> on_failed_over;
};

/// Controls the group of one database. Not thread safe.
class GroupController {
 public:
  GroupController(DatabaseConfig config,
                  OwnerRecord record,
                  TimingSettings timing,
                  TimerService& timers,
                  Outbox& outbox,
                  GroupControllerCallbacks callbacks);
  ~GroupController();
  GroupController(const GroupController&) = delete;
  auto operator=(const GroupController&) -> GroupController& = delete;

  /// Connects to the members. Then raises the epoch at the recorded primary.
  /// Discovers the primary instead if the record has no term, and promotes a
  /// member if the record tells of an unfinished promotion or of an unknown
  /// primary.
  void Start();

  /// Takes no further decision and cancels a promotion that runs.
  void Stop();

  /// Sets the members whose endpoint is about to stop. A primary among them is
  /// replaced as soon as another member holds every acknowledged write.
  void SetLeaving(std::vector<std::string> members);

  /// Returns whether the endpoint of `member` is about to stop.
  auto IsOnLeavingEndpoint(std::string_view member) const -> bool;

  /// Abandons the primary, if any, and promotes a member for a new term.
  void BeginPromotion();

  /// Notes that the primary answered on a pool connection, which shows that it
  /// is alive. Precondition: there is a primary.
  void NotePrimaryHeard();

  /// Notes that the write at log position `position` of the current term was
  /// acknowledged.
  void NoteAcknowledged(std::int64_t position);

  /// Returns whether the write at log position `position` of the current term,
  /// whose commit the primary answered at `committed_at`, may be acknowledged
  /// now.
  auto MayAcknowledge(std::int64_t position, Time committed_at) const -> bool;

  /// Returns whether the instance's lease is valid.
  auto LeaseIsValid() const -> bool { return callbacks_.lease_is_valid(); }

  /// Returns whether statements may be sent to the primary: the lease is valid,
  /// or a recent sample of the primary shows no later epoch. After a pause of
  /// the process neither counts until the primary was sampled again.
  auto MaySendStatements() const -> bool;

  /// Returns whether writes are open.
  auto IsServing() const -> bool { return phase_ == OwnerPhase::kServing; }

  /// Returns the current phase.
  auto phase() const -> OwnerPhase { return phase_; }

  /// Returns the newest term known.
  auto term() const -> std::int64_t { return term_; }

  /// Returns the primary, empty while there is none.
  auto primary() const -> const std::string& { return primary_; }

  /// Returns the end of the member's log by its last sample.
  auto PlaceOf(const std::string& member) const -> LogPosition;

  /// Returns whether the member answered a sample within the last `probe_ms` +
  /// `probe_timeout_ms`.
  auto Responds(const std::string& member) const -> bool;

  /// Returns the tracker of data ages, which NotePrimaryPlace() updates.
  auto age_tracker() const -> const AgeTracker& { return age_tracker_; }

  /// Notes that the primary, asked at `asked`, answered that its log ends at
  /// `place`. The age tracker uses it only if the lease or the samples of all
  /// members prove that it was the primary at that time.
  void NotePrimaryPlace(Time asked, LogPosition place);

  /// Returns the furthest log place that a primary has reported to this owner.
  auto PrimaryPlace() const -> LogPosition { return primary_place_; }

  /// Returns where in the log each term began, which tells what data a failover
  /// lost.
  auto term_history() const -> const TermHistory& { return term_history_; }

  /// Handle an event of a control connection to a member. Return false if the
  /// connection is not this object's.
  auto OnOpened(ConnectionId connection) -> bool;
  auto OnClosed(ConnectionId connection) -> bool;
  auto OnAnswer(ConnectionId connection, const MemberAnswer& answer) -> bool;

 private:
  /// A member and its last sample.
  struct Member {
    std::unique_ptr<MemberMonitor> monitor;
    /// End of its log.
    LogPosition place;
    /// Term that it follows, 0 before the first sample.
    std::int64_t follows = 0;
    /// When the last sample arrived.
    std::optional<Time> sampled_at;
    /// When it was last told to follow the primary.
    std::optional<Time> last_told_to_follow;
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
  void ReplaceLeavingPrimary();
  void Demote(const std::string& name, Member& member);
  void Discover();
  void OnDiscovered(const std::map<std::string, MemberAnswer>& answers);
  void SetPrimary(std::int64_t term, const std::string& primary);
  void RaiseEpoch();
  void OnEpochRaised(std::int64_t term, const MemberAnswer* answer);
  void TryOpenWrites();
  void OnLaterTerm(std::int64_t term);
  void WatchReplication();
  auto FurthestReplica() const -> std::optional<LogPosition>;
  void OnReplicationStalled(Time since);
  void ReplacePrimary(const std::string& suspected,
                      const std::string& excluded);
  auto MakePromotionCallbacks() -> PromotionCallbacks;
  void OnPromoted(std::int64_t term,
                  const std::string& primary,
                  LogPosition end);
  void WriteRecord();
  void ReportFailover();

  DatabaseConfig config_;
  OwnerRecord record_;
  TimingSettings timing_;
  TimerService& timers_;
  Outbox& outbox_;
  GroupControllerCallbacks callbacks_;

  OwnerPhase phase_ = OwnerPhase::kDiscovering;
  std::int64_t term_ = 0;
  std::string primary_;
  Time primary_since_{};
  /// When the newest sample that confirms the primary was asked for.
  Time primary_sampled_{};
  std::map<std::string, Member> members_;
  std::optional<WriteAcknowledgementTracker<>> acknowledgement_;
  /// Furthest log place acknowledged; nullopt until writes were open once.
  std::optional<LogPosition> acknowledged_;
  /// Members whose endpoint is about to stop.
  std::vector<std::string> leaving_members_;
  std::optional<Time> last_planned_replacement_;
  /// End of the primary's log when it took this owner's epoch; nullopt before.
  std::optional<LogPosition> fence_place_;
  Time fence_raised_at_{};
  ReplicationStallDetector replication_watch_;
  AgeTracker age_tracker_;
  TermHistory term_history_;
  LogPosition primary_place_;
  std::unique_ptr<Promotion> promotion_;
  /// The promotion before, kept alive until the next one begins.
  std::unique_ptr<Promotion> previous_promotion_;
  /// Durations of the failover that runs.
  std::optional<FailoverGap> failover_gap_;
  CallbackGuard guard_;
};

}  // namespace kingcuplock

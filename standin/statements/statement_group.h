#pragma once

/// State of the stand-in for one group of members that run statements:
/// replicated logs with lag, a primary that changes by promotion with fencing
/// tokens, and a session for each connection. Reads no clock and does no input
/// or output. It records what members ran and committed, so that tests can
/// compare the clients' answers with that.
///
/// Example:
///   StatementGroup group("g0", {"m1", "m2", "m3"}, {});
///   auto connected = group.Connect("m1", "g0", "m1", now);
///   auto answer = group.Handle(connected.session, statement, now);

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/session/log_position.h"
#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// Lags, connection limit and fencing of a group.
struct StatementGroupOptions {
  /// Times from a commit until a replica has received and until it has applied
  /// it.
  Duration receive_lag{Milliseconds(1)};
  Duration apply_lag{Milliseconds(20)};
  /// Time from an accepted promotion order until the member is the primary.
  Duration promotion_time{Milliseconds(1000)};
  /// Term of the first primary.
  std::int64_t first_term = 1;
  /// Connections that a member accepts at once.
  std::int64_t connections = 16;
  /// Whether orders with an older fencing token than the last are refused, and
  /// a promotion ends the role of the previous primary. If false, the previous
  /// primary continues as such until it is demoted, or until it is not isolated
  /// one second or more after the promotion.
  bool fenced = true;
  /// With 1 or more, a commit counts as acknowledged once a replica has
  /// received it.
  std::int64_t synchronous_replicas = 0;
};

/// A read, write, execution or commit that a member ran.
struct StatementRun {
  std::string id;
  std::string member;
  StatementKind kind = StatementKind::kRead;
  Time at{};
  /// Number of commits of the group that the member had applied.
  std::size_t applied = 0;
  /// Session values of the connection.
  std::map<std::string, std::string> values;
  /// Content of the prepared statement that was executed, empty for none.
  std::string shape;
  /// Tenant that the connection was opened for.
  std::string tenant;
};

/// A commit with writes.
struct StatementCommit {
  /// Term and position in the log.
  LogPosition place;
  Time at{};
  /// Ids of its writes.
  std::vector<std::string> writes;
};

/// What has become of a commit that is to be acknowledged.
enum class ReplicationState {
  /// No replica has received it yet.
  kPending,
  /// A replica has received it, or none has to.
  kReplicated,
  /// A promotion has discarded it.
  kDiscarded
};

/// Outcome of a promotion order: accepted, refused because of an older fencing
/// token than the last, or refused because the member is unknown or down.
enum class PromotionOrderOutcome { kAccepted, kStaleFencingToken, kNotRunning };

/// Not thread safe. Times that are passed must not decrease. Functions throw
/// std::out_of_range for an unknown member or session unless they say
/// otherwise.
class StatementGroup {
 public:
  /// The first of `members` is the primary of the first term.
  StatementGroup(std::string name,
                 std::vector<std::string> members,
                 StatementGroupOptions options);

  /// Answer to a connection and its session, 0 if it is refused.
  struct ConnectResult {
    std::int64_t session = 0;
    StatementAnswer answer;
  };

  /// Opens a session at a member, which must be up. Refuses it if the member
  /// isn't `expected` of group `group`, or has too many connections. What the
  /// session runs is recorded with `tenant`.
  auto Connect(const std::string& member,
               std::string_view group,
               std::string_view expected,
               Time now,
               std::string_view tenant = {}) -> ConnectResult;

  /// Runs a statement of a session.
  auto Handle(std::int64_t session, const SessionStatement& statement, Time now)
      -> StatementAnswer;

  /// Ends a session and rolls back its open transaction. Does nothing for an
  /// unknown session.
  auto Close(std::int64_t session) -> void;

  /// Orders the promotion of a member, which follows after `promotion_time`.
  /// Doesn't throw for an unknown member.
  auto RequestPromotion(const std::string& member,
                        std::int64_t fencing_token,
                        Time now) -> PromotionOrderOutcome;

  /// Stops a member. Its sessions end; its log stays.
  auto Crash(const std::string& member) -> void;

  /// Starts a stopped member.
  auto Restart(const std::string& member) -> void;

  /// Lets a member answer statements with the error that `refuse` returns,
  /// unless that is kNone. Such a statement has run only if the error doesn't
  /// say otherwise, see MeansNotRun(). Empty for no refusals.
  auto SetRefusals(const std::string& member,
                   std::function<StatementError(StatementKind)> refuse)
      -> void {
    members_.at(member).refuse = std::move(refuse);
  }

  /// Pauses or resumes replication to a member.
  auto SetReplicationPaused(const std::string& member, bool paused) -> void;

  /// Sets the time from a commit until the member has received it, instead of
  /// that of the group.
  auto SetReceiveLag(const std::string& member, Duration lag) -> void {
    members_.at(member).receive_lag = lag;
  }

  /// Returns whether the commit at `place` may be acknowledged.
  auto StateOfCommit(LogPosition place, Time now) -> ReplicationState;

  /// Isolates a member from the other members, or ends that.
  auto SetIsolated(const std::string& member, bool isolated) -> void;

  auto IsUp(const std::string& member) const -> bool;
  /// Returns the commits of replaced primaries, which are not in the group's
  /// log.
  auto DivergentCommits() const -> const std::vector<StatementCommit>& {
    return divergent_commits_;
  }
  /// Returns the commits that promoted members lacked, in order.
  auto DiscardedCommits() const -> const std::vector<StatementCommit>& {
    return discarded_commits_;
  }
  /// Returns the term for which the member has paused replication by a
  /// statement, 0 for none.
  auto PausedTerm(const std::string& member) const -> std::int64_t {
    return members_.at(member).paused_term;
  }
  /// Returns whether the member acts as a primary, also if it has been
  /// replaced.
  auto ActsAsPrimary(const std::string& member, Time now) -> bool;
  /// Returns the term of the newest primary.
  auto CurrentTerm(Time now) -> std::int64_t;
  /// Returns what members ran, in order.
  auto runs() const -> const std::vector<StatementRun>& { return runs_; }
  /// Returns the commits of the group's log, in order.
  auto commits() const -> const std::vector<StatementCommit>& {
    return commits_;
  }
  auto name() const -> const std::string& { return name_; }
  auto members() const -> const std::vector<std::string>& { return names_; }
  /// Returns the number of promotions that were carried out.
  auto CountPromotions() const -> int { return promotions_; }

 private:
  struct Member {
    bool up = true;
    bool replication_paused = false;
    bool isolated = false;
    std::optional<Duration> receive_lag;
    std::function<StatementError(StatementKind)> refuse;
    /// When another member was promoted while this one continues as a primary;
    /// nullopt if it hasn't been replaced.
    std::optional<Time> replaced_at;
    /// Term in which it is or continues as the primary, or that it follows.
    std::int64_t term = 1;
    /// Its own log while it is replaced: the commits up to then and its later
    /// ones.
    std::vector<StatementCommit> own_log;
    std::int64_t paused_term = 0;
    /// Number of commits received and applied, from the start of the log.
    std::size_t received = 0;
    std::size_t applied = 0;
  };
  struct Session {
    std::string member;
    std::string tenant;
    std::map<std::string, std::string> values;
    /// Prepared statements by name: whether they write, and their content.
    std::map<std::string, std::pair<bool, std::string>> prepared;
    TransactionState state = TransactionState::kIdle;
    bool read_only = false;
    std::int64_t term = 0;
    /// Ids of the writes of the open transaction.
    std::vector<std::string> writes;
  };

  auto AdvanceTo(Time now) -> void;
  auto CompletePromotion(const std::string& member, Time now) -> void;
  auto IsActingPrimary(const std::string& member) const -> bool;
  auto EndReplacedPrimary(Member& member) -> void;
  auto PositionAfter(std::size_t commits) const -> LogPosition;
  auto HasApplied(const Member& member, LogPosition place) const -> bool;
  auto Commit(const std::string& member,
              std::vector<std::string> writes,
              Time now) -> void;
  auto Run(Session& session, const SessionStatement& statement, Time now)
      -> StatementAnswer;
  auto RunAtMember(Session& session,
                   const SessionStatement& statement,
                   Time now) -> StatementAnswer;
  auto Record(const Session& session,
              const SessionStatement& statement,
              const std::string& shape,
              Time now) -> void;
  auto Demote(const std::string& member, std::int64_t term) -> void;
  auto Pause(const std::string& member, std::int64_t term) -> void;
  auto MakeReport(const std::string& member) const -> MemberReport;

  std::string name_;
  std::vector<std::string> names_;
  StatementGroupOptions options_;
  std::map<std::string, Member> members_;
  std::map<std::int64_t, Session> sessions_;
  std::int64_t last_session_ = 0;
  std::vector<StatementCommit> commits_;
  std::vector<StatementCommit> divergent_commits_;
  std::vector<StatementCommit> discarded_commits_;
  std::vector<StatementRun> runs_;
  std::string primary_;
  std::int64_t term_;
  std::int64_t last_fencing_token_ = 0;
  /// Member to promote, and when.
  std::optional<std::pair<std::string, Time>> pending_promotion_;
  int promotions_ = 0;
};

}  // namespace kingcuplock

#pragma once

/// State of the stand-in for one group of members that speak statements: logs
/// with lag, leads that change by fenced promotion, sessions on connections.
/// Reads no clock and does no input or output; every run is recorded, so that
/// a test can hold the clients' answers against it.
///
/// Example:
///   StatementGroup group("g0", {"m1", "m2", "m3"}, {});
///   auto session = group.Connect("m1", "g0", "m1");
///   auto answer = group.Handle(session.id, statement, now);

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/session/log_position.h"
#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// How a group behaves.
struct StatementGroupOptions {
  /// Time until a replica has received, and until it has applied, a commit.
  Duration receive_lag{Milliseconds(1)};
  Duration apply_lag{Milliseconds(20)};
  /// Time from an accepted order until the member leads.
  Duration promotion_time{Milliseconds(1000)};
  /// Connections that a member accepts.
  std::int64_t connections = 16;
  /// Whether orders are checked by their fencing tokens, and a promotion ends
  /// the lead of the primary before it. Otherwise that one goes on until it is
  /// demoted or, a second later, reaches its successor.
  bool fenced = true;
};

/// One read, write or commit that a member ran.
struct StatementRun {
  std::string id;
  std::string member;
  StatementKind kind = StatementKind::kRead;
  Time at{};
  /// Number of commits of the group that the member's log held.
  std::size_t applied = 0;
  /// Session values on the connection.
  std::map<std::string, std::string> values;
  /// Shape of the prepared statement that ran, empty for none.
  std::string shape;
};

/// One commit that wrote.
struct StatementCommit {
  LogPosition place;
  Time at{};
  /// Ids of the writes in it.
  std::vector<std::string> writes;
};

/// Outcome of an order to promote.
enum class PromotionOrderOutcome { kAccepted, kStaleFencingToken, kNotRunning };

/// Not thread safe.
class StatementGroup {
 public:
  StatementGroup(std::string name,
                 std::vector<std::string> members,
                 StatementGroupOptions options);

  /// A refused or accepted connection.
  struct ConnectResult {
    std::int64_t session = 0;
    StatementAnswer answer;
  };

  /// Opens a session at a member that runs.
  auto Connect(const std::string& member,
               std::string_view group,
               std::string_view expected,
               Time now) -> ConnectResult;

  /// Runs one statement of a session.
  auto Handle(std::int64_t session, const SessionStatement& statement, Time now)
      -> StatementAnswer;

  /// Ends a session; an open transaction is rolled back.
  auto Close(std::int64_t session) -> void;

  /// Orders a promotion.
  auto RequestPromotion(const std::string& member, std::int64_t fence, Time now)
      -> PromotionOrderOutcome;

  /// Stops a member: its sessions end, its log stays.
  auto Crash(const std::string& member) -> void;

  /// Starts it again.
  auto Restart(const std::string& member) -> void;

  /// Stops or resumes what a replica receives.
  auto SetReplicationPaused(const std::string& member, bool deaf) -> void;

  /// Cuts a member off from the others.
  auto SetIsolated(const std::string& member, bool apart) -> void;

  auto IsUp(const std::string& member) const -> bool;
  /// Returns how many commits a replaced primary took, by the writes in them.
  auto DivergentCommits() const -> const std::vector<StatementCommit>& {
    return strays_;
  }
  auto PausedTerm(const std::string& member) const -> std::int64_t {
    return members_.at(member).paused_term;
  }
  auto ActsAsPrimary(const std::string& member, Time now) -> bool;
  auto CurrentTerm(Time now) -> std::int64_t;
  auto runs() const -> const std::vector<StatementRun>& { return runs_; }
  auto commits() const -> const std::vector<StatementCommit>& {
    return commits_;
  }
  auto name() const -> const std::string& { return name_; }
  auto members() const -> const std::vector<std::string>& { return names_; }
  /// CountPromotions carried out.
  auto CountPromotions() const -> int { return promotions_; }

 private:
  struct Member {
    bool up = true;
    bool deaf = false;
    bool apart = false;
    /// Since when another member leads though this one goes on.
    std::optional<Time> replaced_at;
    /// CurrentTerm in which it leads, or goes on, or that it follows.
    std::int64_t term = 1;
    /// Commits that it held when it was replaced.
    std::vector<StatementCommit> own;
    std::int64_t paused_term = 0;
    /// Commits received and applied, counted from the log's begin.
    std::size_t received = 0;
    std::size_t applied = 0;
  };
  struct Session {
    std::string member;
    std::map<std::string, std::string> values;
    std::map<std::string, std::pair<bool, std::string>> prepared;
    TransactionState state = TransactionState::kIdle;
    bool read_only = false;
    std::int64_t term = 0;
    std::vector<std::string> writes;
  };

  auto Advance(Time now) -> void;
  auto TakeOver(const std::string& member, Time now) -> void;
  auto Acts(const std::string& member) const -> bool;
  auto EndReplaced(Member& member) -> void;
  auto PlaceOf(std::size_t commits) const -> LogPosition;
  auto Holds(const Member& member, LogPosition place) const -> bool;
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
  auto Status(const std::string& member) const -> MemberReport;

  std::string name_;
  std::vector<std::string> names_;
  StatementGroupOptions options_;
  std::map<std::string, Member> members_;
  std::map<std::int64_t, Session> sessions_;
  std::int64_t last_session_ = 0;
  std::vector<StatementCommit> commits_;
  std::vector<StatementCommit> strays_;
  std::vector<StatementRun> runs_;
  std::string primary_;
  std::int64_t term_ = 1;
  std::int64_t highest_fence_ = 0;
  std::optional<std::pair<std::string, Time>> pending_;
  int promotions_ = 0;
};

}  // namespace kingcuplock

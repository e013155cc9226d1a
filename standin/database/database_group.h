#pragma once

/// State of the stand-in for one database group: members with logs, terms,
/// asynchronous replication, an epoch row and markers of request ids. Reads no
/// clock and does no input or output, so that tests can use it as a fake.
///
/// Example:
///   DatabaseGroup group({"a", "b", "c"});
///   auto answer = group.Handle("a", request, now_us);
///   group.Replicate(now_us);

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// A committed transaction in a member's log.
struct LogEntry {
  /// Term in which it was committed.
  std::int64_t term = 0;
  /// Number that is unique in the group, to compare logs.
  std::int64_t serial = 0;
  /// Time of the commit in microseconds.
  std::int64_t committed_us = 0;
  /// Keys and new values of the rows written; nullopt removes the row.
  std::vector<std::pair<std::string, std::optional<std::string>>> rows;
  /// Request id stored with the transaction, empty for none.
  std::string marker;
  /// Issue time of the request id in Unix ms.
  std::int64_t issued_ms = 0;
  /// Hash of the request's content, stored with the request id.
  std::string content_hash;
  /// Results of the statements, stored with the request id.
  std::vector<StatementResult> results;
  /// New value of the epoch row, 0 if it doesn't change.
  std::int64_t epoch = 0;
  /// Removes markers of requests issued before this Unix time in ms; 0 removes
  /// none.
  std::int64_t prune_before_ms = 0;
};

/// State of a member. It stays when the member is killed and revived, like data
/// on a disk.
struct MemberState {
  /// Record of a request id: the position in the log of the transaction that
  /// has stored it, and what was stored with it.
  struct Marker {
    std::int64_t position = 0;
    std::int64_t issued_ms = 0;
    std::string content_hash;
    std::vector<StatementResult> results;
  };

  std::string name;
  bool alive = true;
  bool paused = false;
  /// Whether replication from and to the member is cut off.
  bool isolated = false;
  MemberRole role = MemberRole::kReplica;
  std::int64_t term = 1;
  /// Name of the primary that it follows; its own if it is the primary.
  std::string primary;
  /// Time in microseconds from a commit until the member receives it.
  std::int64_t lag_us = 0;
  /// Whether it must remove entries that its primary doesn't have before it
  /// receives others.
  bool must_rejoin = false;
  std::vector<LogEntry> log;
  std::map<std::string, std::string> rows;
  /// Markers by request id.
  std::map<std::string, Marker> markers;
  std::int64_t epoch = 0;
  /// Markers of requests issued before this Unix time in ms have been removed.
  std::int64_t pruned_before_ms = 0;
};

/// Not thread safe.
class DatabaseGroup {
 public:
  /// `names` are the members' names; the first is the primary of term 1.
  explicit DatabaseGroup(const std::vector<std::string>& names);

  /// Carries out a request at member `name`. Throws std::out_of_range for an
  /// unknown name. `now_us` is the time in microseconds of a monotonic clock.
  /// The operations begin, statement, commit and rollback are rejected; for
  /// these see TransactionSession.
  auto Handle(std::string_view name,
              const MemberRequest& request,
              std::int64_t now_us) -> MemberAnswer;

  /// Runs the statements of a request at member `name` without committing them,
  /// and returns their results. Throws std::out_of_range for an unknown name.
  auto RunUncommitted(std::string_view name, const MemberRequest& request)
      -> MemberAnswer;

  /// Replicates to each replica the commits that are older than its lag at
  /// `now_us`.
  void Replicate(std::int64_t now_us);

  /// Returns the member. Throws std::out_of_range for an unknown name.
  auto member(std::string_view name) -> MemberState&;

  /// Returns all members.
  auto members() const -> const std::vector<MemberState>& { return members_; }

  /// Returns an answer to request `request_id` with the member's term, position
  /// in the log, role and epoch.
  static auto MakeAnswer(const MemberState& member,
                         std::int64_t request_id,
                         MemberStatus status) -> MemberAnswer;

 private:
  auto Execute(MemberState& member,
               const MemberRequest& request,
               std::int64_t now_us) -> MemberAnswer;
  auto Read(const MemberState& member, const MemberRequest& request) const
      -> MemberAnswer;
  auto RaiseEpoch(MemberState& member,
                  const MemberRequest& request,
                  std::int64_t now_us) -> MemberAnswer;
  auto Prune(MemberState& member,
             const MemberRequest& request,
             std::int64_t now_us) -> MemberAnswer;
  auto Lookup(const MemberState& member, const MemberRequest& request) const
      -> MemberAnswer;
  auto Promote(MemberState& member, const MemberRequest& request)
      -> MemberAnswer;
  auto Follow(MemberState& member, const MemberRequest& request)
      -> MemberAnswer;
  void Commit(MemberState& member, LogEntry entry, std::int64_t now_us);
  void ReplicateTo(MemberState& replica, std::int64_t now_us);
  auto FindMember(std::string_view name) -> MemberState*;

  std::vector<MemberState> members_;
  std::int64_t last_serial_ = 0;
};

}  // namespace kingcuplock

#pragma once

/// State of the stand-in for one database group: members with logs, terms,
/// asynchronous replication, an epoch row and markers of request ids. Reads no
/// clock and does no input or output, so tests use it as their fake.
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

/// One committed transaction in a member's log.
struct LogEntry {
  /// Term in which it was committed.
  std::int64_t term = 0;
  /// Unique in the whole group, to compare logs.
  std::int64_t serial = 0;
  /// Time of the commit in microseconds.
  std::int64_t committed_us = 0;
  /// Rows written; no value removes the row.
  std::vector<std::pair<std::string, std::optional<std::string>>> rows;
  /// Request id written with the transaction, empty for none.
  std::string marker;
  /// Issue time of the request id in Unix ms.
  std::int64_t issued_ms = 0;
  /// Hash of the request's content, kept with the marker.
  std::string content_hash;
  /// Results kept with the marker.
  std::vector<StatementResult> results;
  /// New value of the epoch row, 0 for unchanged.
  std::int64_t epoch = 0;
  /// Markers issued before this Unix time in ms are dropped, 0 for none.
  std::int64_t prune_before_ms = 0;
};

/// What a member keeps, on its disk, through kills and returns.
struct MemberState {
  /// A marker and where it stands in the log.
  struct Marker {
    std::int64_t position = 0;
    std::int64_t issued_ms = 0;
    std::string content_hash;
    std::vector<StatementResult> results;
  };

  std::string name;
  bool alive = true;
  bool paused = false;
  bool isolated = false;
  MemberRole role = MemberRole::kReplica;
  std::int64_t term = 1;
  std::string primary;
  std::int64_t lag_us = 0;
  bool must_rejoin = false;
  std::vector<LogEntry> log;
  std::map<std::string, std::string> rows;
  std::map<std::string, Marker> markers;
  std::int64_t epoch = 0;
  std::int64_t pruned_before_ms = 0;
};

/// Not thread safe.
class DatabaseGroup {
 public:
  /// The first of `names` is the primary of term 1.
  explicit DatabaseGroup(const std::vector<std::string>& names);

  /// Carries out one request at member `name`. begin, statement, commit and
  /// rollback are a TransactionSession's matter and not known here.
  auto Handle(std::string_view name,
              const MemberRequest& request,
              std::int64_t now_us) -> MemberAnswer;

  /// Runs statements at member `name` without committing them, as an open
  /// transaction sees them.
  auto RunUncommitted(std::string_view name, const MemberRequest& request)
      -> MemberAnswer;

  /// Moves replicas on by what their lag allows at `now_us`.
  void Replicate(std::int64_t now_us);

  /// Returns the member; throws std::out_of_range for an unknown name.
  auto member(std::string_view name) -> MemberState&;

  /// Returns all members.
  auto members() const -> const std::vector<MemberState>& { return members_; }

  /// Returns an answer that carries the member's place in the log.
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
  void ReplicateOne(MemberState& replica, std::int64_t now_us);
  auto Find(std::string_view name) -> MemberState*;

  std::vector<MemberState> members_;
  std::int64_t last_serial_ = 0;
};

}  // namespace kingcuplock

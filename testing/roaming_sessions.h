#pragma once

/// Sessions that send each request to a random instance of a NodeFixture, one
/// request at a time per session, and check that no read returns less than the
/// session has read or written before.
///
/// Example:
///   RoamingSessions sessions(fixture, {.sessions = 6, .seed = 1});
///   sessions.RunFor(Milliseconds(3000));
///   CHECK(sessions.violations().empty());

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "testing/node_fixture.h"

namespace kingcuplock {

/// Number, request mix and timing of the sessions.
struct RoamingSessionsOptions {
  std::size_t sessions = 6;
  /// Seed of every random choice.
  std::uint64_t seed = 1;
  /// Number of rows that the sessions share.
  int rows = 2;
  /// Longest time in ms between an answer and the session's next request.
  int max_think_ms = 60;
  /// Time in ms for which a request waits for its answer.
  std::int64_t patience_ms = 1500;
  /// Percentage of requests that write.
  int write_percent = 25;
  /// Percentage of requests that read from the primary; all others are reads
  /// that may be stale.
  int fresh_read_percent = 15;
};

/// Number of answers of each outcome.
struct RoamingSessionsCounts {
  int writes_ok = 0;
  /// Successful reads from the primary.
  int fresh_reads_ok = 0;
  /// Successful reads that may be stale.
  int stale_reads_ok = 0;
  /// Those of `stale_reads_ok` that a replica served.
  int from_replica = 0;
  /// Answers that say that the request didn't run.
  int refused = 0;
  /// Answers that leave open whether the request ran.
  int unknown = 0;
  /// Answers that say that the session's position in the log is lost.
  int position_lost = 0;
};

/// Runs the sessions and checks their answers. Not thread safe.
class RoamingSessions {
 public:
  RoamingSessions(NodeFixture& fixture, const RoamingSessionsOptions& options);

  /// Lets the sessions send requests for `duration`.
  void RunFor(Duration duration);

  /// Runs the fixture until all requests are answered, for `patience_ms` and
  /// 500 ms at most.
  void WaitForOpenRequests();

  /// Sets whether sessions send no new requests to instance `node`.
  void SetInstanceAvoided(std::size_t node, bool avoid);

  /// Returns a line for every answer that breaks the consistency of its
  /// session.
  auto violations() const -> const std::vector<std::string>& {
    return violations_;
  }

  auto answer_counts() const -> const RoamingSessionsCounts& {
    return answer_counts_;
  }

  /// Returns the latencies of all successful reads that may be stale.
  auto stale_latencies() const -> const std::vector<Duration>& {
    return stale_latencies_;
  }

 private:
  struct Session {
    std::string token;
    /// Value of each row as last read, a list separated by commas.
    std::vector<std::string> seen;
    /// Acknowledged values written to each row since the session began.
    std::vector<std::vector<std::string>> written;
    /// Id of the open request, empty for none, and its kind and row.
    std::string open_request_id;
    std::string kind;
    std::size_t row = 0;
    /// Time of the next request.
    Time next_request_at{};
    int requests = 0;
  };

  void SendRequest(std::size_t index);
  void ProcessNewAnswers();
  void OnAnswer(Session& session, const ReceivedAnswer& it);
  void OnRead(Session& session, const ReceivedAnswer& it);
  void OnPositionLost(Session& session, const ReceivedAnswer& it);
  void ReportViolation(const std::string& what, const ReceivedAnswer& it);
  void ResetSession(Session& session);

  NodeFixture& fixture_;
  RoamingSessionsOptions options_;
  std::mt19937_64 random_;
  std::vector<Session> sessions_;
  std::vector<bool> avoided_instances_;
  std::size_t processed_answers_ = 0;
  RoamingSessionsCounts answer_counts_;
  std::vector<std::string> violations_;
  std::vector<Duration> stale_latencies_;
};

/// Returns the age at time `answered` of data that is complete up to
/// `position`: the time since the next entry of `log` was committed, 0 if there
/// is none.
auto ActualDataAge(const std::vector<LogEntry>& log,
                   std::int64_t position,
                   Time answered) -> Duration;

}  // namespace kingcuplock

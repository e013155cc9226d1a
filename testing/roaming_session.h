#pragma once

/// Sessions that roam between the instances of a fixture, one request at a
/// time each, and check that they never see less than they saw or wrote.
///
/// Example:
///   RoamingSessions crowd(fixture, {.sessions = 6, .seed = 1});
///   crowd.RunFor(Milliseconds(3000));
///   CHECK(crowd.violations().empty());

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "testing/node_fixture.h"

namespace kingcuplock {

/// What a crowd is like.
struct RoamingSessionsOptions {
  std::size_t sessions = 6;
  std::uint64_t seed = 1;
  /// Rows that the sessions share.
  int rows = 2;
  /// Longest pause in ms between an answer and the next request.
  int max_think_ms = 60;
  /// Time in ms for which a request waits.
  std::int64_t patience_ms = 1500;
  /// Requests in a hundred that write, and that read from the primary.
  int write_percent = 25;
  int fresh_read_percent = 15;
};

/// What the crowd's answers came to.
struct RoamingSessionsCounts {
  int writes_ok = 0;
  int fresh_reads_ok = 0;
  int stale_reads_ok = 0;
  int from_replica = 0;
  int refused = 0;
  int unknown = 0;
  int position_lost = 0;
};

/// Not thread safe.
class RoamingSessions {
 public:
  RoamingSessions(NodeFixture& fixture, const RoamingSessionsOptions& options);

  /// Lets the sessions work.
  void RunFor(Duration duration);

  /// Waits until no request is open.
  void WaitForOpenRequests();

  /// Makes sessions avoid an instance, or use it again.
  void SetInstanceAvoided(std::size_t node, bool avoid);

  /// Returns a line for every answer that broke a promise.
  auto violations() const -> const std::vector<std::string>& {
    return violations_;
  }

  auto answer_counts() const -> const RoamingSessionsCounts& { return tally_; }

  /// Returns how long all answered reads that may be stale took.
  auto stale_latencies() const -> const std::vector<Duration>& {
    return stale_latencies_;
  }

 private:
  struct Session {
    std::string token;
    /// Values of each row as last seen, comma separated.
    std::vector<std::string> seen;
    /// Values written and acknowledged, per row, since the session began.
    std::vector<std::vector<std::string>> written;
    /// The open request, its kind and row.
    std::string open_id;
    std::string kind;
    std::size_t row = 0;
    Time next{};
    int requests = 0;
  };

  void Ask(std::size_t index);
  void TakeAnswers();
  void OnAnswer(Session& session, const ReceivedAnswer& it);
  void OnRead(Session& session, const ReceivedAnswer& it);
  void OnLost(Session& session, const ReceivedAnswer& it);
  void Report(const std::string& what, const ReceivedAnswer& it);
  void Begin(Session& session);

  NodeFixture& fixture_;
  RoamingSessionsOptions options_;
  std::mt19937_64 random_;
  std::vector<Session> sessions_;
  std::vector<bool> avoided_;
  std::size_t taken_ = 0;
  RoamingSessionsCounts tally_;
  std::vector<std::string> violations_;
  std::vector<Duration> stale_latencies_;
};

/// Returns how old, at `answered`, data up to `position` was: the time since
/// the first later entry of `log` was committed.
auto ActualDataAge(const std::vector<LogEntry>& log,
                   std::int64_t position,
                   Time answered) -> Duration;

}  // namespace kingcuplock

#pragma once

/// Sends open-loop load to running proxies, switches faults on by schedule and
/// records the history.
///
/// Example:
///   LoadRunner runner(setup);
///   auto history = runner.Run();

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "kingcuplock/schema/manifest.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/transport/web_socket_hub.h"
#include "programs/client/sync_client.h"
#include "programs/load/fault_schedule.h"
#include "programs/load/history.h"
#include "programs/load/load_result.h"

namespace kingcuplock {

/// All that a run needs.
struct LoadRunOptions {
  Manifest manifest;
  LoadProfile profile;
  std::vector<HostPort> proxies;
  /// Store stand-in, for its faults.
  HostPort store;
  std::vector<ScheduledFault> faults;
  /// Weight per request kind; kinds without one have `default_kind_weight`.
  std::map<std::string, double> kind_weights;
  double default_kind_weight = 1;
  /// Connections to each proxy, shared by the sessions.
  std::size_t connections_per_proxy = 4;
  /// Requests sent at most.
  std::int64_t max_requests = 100'000;
  bool show_progress = true;
};

/// Not thread safe.
class LoadRunner {
 public:
  explicit LoadRunner(LoadRunOptions setup);

  /// Runs until the duration and the last answers are over, then reads all
  /// rows. Throws ClientError if no proxy can be reached.
  auto Run() -> History;

  /// Returns the faults that were switched on.
  auto faults() const -> const std::vector<AppliedFault>& { return notes_; }

  /// Returns the arrivals that found every session busy.
  auto not_sent() const -> std::int64_t { return not_sent_; }

 private:
  struct Session {
    std::string token;
    std::size_t proxy = 0;
    std::size_t lane = 0;
    bool busy = false;
  };
  struct Link {
    std::size_t proxy = 0;
    bool open = false;
  };
  struct Pending {
    std::size_t operation = 0;
    CallerRequest request;
    ConnectionId connection = 0;
    /// Which attempt this is; timers of earlier ones are void.
    int attempt = 0;
    bool in_doubt = false;
    std::int64_t deadline_us = 0;
  };
  struct Choice {
    std::string database;
    KindConfig kind;
  };

  void Prepare();
  void Connect(ConnectionId connection);
  void Tick();
  void Arrive(std::int64_t due_us);
  auto FreeSession() -> std::optional<std::size_t>;
  auto RowFor(const Choice& choice, std::size_t session) -> std::string;
  void Attempt(const std::string& id);
  auto LinkFor(Session& session) -> std::optional<ConnectionId>;
  void OnClosed(ConnectionId connection);
  void OnFrame(ConnectionId connection, const std::string& payload);
  void OnAnswer(const CallerAnswer& answer);
  void AttemptLost(const std::string& id);
  void RetryLater(const std::string& id);
  void Finish(const std::string& id, OperationOutcome outcome);
  void StartFaults();
  void SwitchOn(std::size_t fault);
  void Progress();
  void ReadRows();
  auto ReadRowsOf(const std::string& database,
                  std::span<const std::string> keys) -> bool;
  auto NowUs() const -> std::int64_t;

  LoadRunOptions setup_;
  std::mt19937_64 random_;
  std::string tag_;
  std::chrono::steady_clock::time_point start_;
  WebSocketHub hub_;
  std::vector<Choice> choices_;
  std::discrete_distribution<std::size_t> mix_;
  std::vector<Session> sessions_;
  std::map<ConnectionId, Link> links_;
  std::map<std::string, Pending> pending_;
  std::map<std::string, std::int64_t> room_writes_;
  std::map<std::string, std::string> primaries_;
  std::vector<AppliedFault> notes_;
  History history_;
  std::int64_t next_due_us_ = 0;
  std::int64_t not_sent_ = 0;
  std::int64_t last_progress_us_ = 0;
};

}  // namespace kingcuplock

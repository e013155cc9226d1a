#pragma once

/// Sends open-loop load to running proxies, injects faults by schedule and
/// records the history.
///
/// Example:
///   LoadRunner runner(options);
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

/// Options of a load run.
struct LoadRunOptions {
  Manifest manifest;
  LoadProfile profile;
  std::vector<HostPort> proxies;
  /// Address of the store's stand-in, which receives the store's faults.
  HostPort store;
  std::vector<ScheduledFault> faults;
  /// Relative weight by request kind; kinds without one have
  /// `default_kind_weight`.
  std::map<std::string, double> kind_weights;
  double default_kind_weight = 1;
  /// Connections to each proxy, shared by the sessions.
  std::size_t connections_per_proxy = 4;
  /// Maximum number of requests sent.
  std::int64_t max_requests = 100'000;
  /// Whether to print the progress to stderr once a second.
  bool show_progress = true;
};

/// Runs one load. Not thread safe.
class LoadRunner {
 public:
  explicit LoadRunner(LoadRunOptions options);

  /// Sends load for the duration, waits for the outstanding answers, and reads
  /// back all rows that were written. Operations that reach no proxy end as
  /// kNotRun. To be called once.
  auto Run() -> History;

  /// Returns the scheduled faults with the answers received.
  auto faults() const -> const std::vector<AppliedFault>& {
    return applied_faults_;
  }

  /// Returns the number of arrivals that were not sent, because every session
  /// was busy or the maximum of requests was reached.
  auto not_sent() const -> std::int64_t { return not_sent_; }

 private:
  struct Session {
    std::string token;
    /// Index of the proxy, and of the connection among those to the proxy.
    std::size_t proxy = 0;
    std::size_t connection_index = 0;
    bool busy = false;
  };
  struct ProxyConnection {
    /// Index of the proxy.
    std::size_t proxy = 0;
    bool open = false;
  };
  struct PendingRequest {
    /// Index in the history.
    std::size_t operation = 0;
    CallerRequest request;
    ConnectionId connection = 0;
    /// Number of the current attempt, from 1; timers of earlier ones are
    /// ignored.
    int attempt = 0;
    /// Whether an attempt was lost that may have run.
    bool in_doubt = false;
    std::int64_t deadline_us = 0;
  };
  struct KindChoice {
    std::string database;
    KindConfig kind;
  };

  void Initialize();
  void Connect(ConnectionId connection);
  void SendDueRequests();
  void StartRequest(std::int64_t due_us);
  auto FindIdleSession() -> std::optional<std::size_t>;
  auto ChooseRow(const KindChoice& choice, std::size_t session) -> std::string;
  void SendAttempt(const std::string& id);
  auto FindOpenConnection(Session& session) -> std::optional<ConnectionId>;
  void OnClosed(ConnectionId connection);
  void OnFrame(ConnectionId connection, const std::string& payload);
  void OnAnswer(const CallerAnswer& answer);
  void NoteAttemptLost(const std::string& id);
  void ScheduleRetry(const std::string& id);
  void FinishRequest(const std::string& id, OperationOutcome outcome);
  void ScheduleFaults();
  void SendFault(std::size_t fault);
  void PrintProgress();
  void ReadBackRows();
  auto TryReadBackRows(const std::string& database,
                       std::span<const std::string> keys) -> bool;
  auto NowUs() const -> std::int64_t;

  LoadRunOptions options_;
  std::mt19937_64 random_;
  /// Prefix of request ids and row keys that is unique to the run.
  std::string run_id_;
  std::chrono::steady_clock::time_point start_;
  WebSocketHub hub_;
  std::vector<KindChoice> kind_choices_;
  std::discrete_distribution<std::size_t> kind_distribution_;
  std::vector<Session> sessions_;
  std::map<ConnectionId, ProxyConnection> proxy_connections_;
  std::map<std::string, PendingRequest> pending_;
  /// Writes so far by database and row group.
  std::map<std::string, std::int64_t> group_writes_;
  /// Member that served the latest ok write, by database.
  std::map<std::string, std::string> primaries_;
  std::vector<AppliedFault> applied_faults_;
  History history_;
  std::int64_t next_due_us_ = 0;
  std::int64_t not_sent_ = 0;
  std::int64_t last_progress_us_ = 0;
};

}  // namespace kingcuplock

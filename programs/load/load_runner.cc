#include "programs/load/load_runner.h"

#include <algorithm>
#include <set>
#include <thread>
#include <utility>

#include <fmt/format.h>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

/// Interval at which due requests are sent.
constexpr int kTickMs = 1;
/// Timeout for opening a connection.
constexpr int kConnectTimeoutMs = 1000;
/// Delay before a lost connection is opened again.
constexpr int kReconnectDelayMs = 100;
/// Delay before the next attempt of a request.
constexpr int kRetryDelayMs = 100;
/// Maximum number of attempts per request.
constexpr int kMaxAttempts = 6;
/// Time to wait for an answer after the request's patience has expired.
constexpr std::int64_t kAnswerMarginMs = 500;
/// Groups of rows per database; each session reads and writes one group.
constexpr std::size_t kRowGroups = 8;
/// Parts appended to a row before its group continues with the next row.
constexpr std::int64_t kPartsPerRow = 16;
/// Rows per request when the rows are read back after the run.
constexpr std::size_t kRowsPerRead = 20;
/// Maximum number of tries to read rows back, and the delay between them.
constexpr int kMaxReadBackTries = 30;
constexpr std::chrono::milliseconds kReadBackRetryDelay{500};
/// Connection ids from this one on carry control commands, one fault each;
/// lower ones are connections to proxies.
constexpr ConnectionId kFirstControlConnection = 1U << 20U;
constexpr std::int64_t kUsPerMs = 1000;
constexpr std::int64_t kUsPerSecond = 1'000'000;

auto UnixTimeMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto ToOperationOutcome(Status status) -> OperationOutcome {
  switch (status) {
    case Status::kOk:
      return OperationOutcome::kOk;
    case Status::kFailed:
      return OperationOutcome::kFailed;
    case Status::kNotRun:
      return OperationOutcome::kNotRun;
    case Status::kUnknown:
      return OperationOutcome::kUnknown;
  }
  return OperationOutcome::kUnknown;
}

}  // namespace

LoadRunner::LoadRunner(LoadRunOptions options)
    : options_(std::move(options)),
      random_(options_.profile.seed),
      run_id_(fmt::format("load-{:x}", UnixTimeMs())),
      hub_({[this](ConnectionId it, std::uint16_t) {
              if (it < kFirstControlConnection) {
                proxy_connections_[it].open = true;
              } else {
                SendFault(it - kFirstControlConnection);
              }
            },
            [this](ConnectionId it, std::string payload, bool) {
              OnFrame(it, payload);
            },
            [this](ConnectionId it) { OnClosed(it); }}) {}

auto LoadRunner::NowUs() const -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now() - start_)
      .count();
}

void LoadRunner::Initialize() {
  std::vector<double> kind_weights;
  for (const auto& database : options_.manifest.databases) {
    for (const auto& kind : database.kinds) {
      const auto weight = options_.kind_weights.find(kind.name);
      kind_weights.push_back(weight == options_.kind_weights.end()
                                 ? options_.default_kind_weight
                                 : weight->second);
      kind_choices_.push_back({database.name, kind});
      history_.max_age_ms[{database.name, kind.name}] = kind.max_age_ms;
    }
  }
  kind_distribution_ = std::discrete_distribution<std::size_t>(
      kind_weights.begin(), kind_weights.end());
  sessions_.resize(static_cast<std::size_t>(options_.profile.sessions));
  for (std::size_t n = 0; n < sessions_.size(); ++n) {
    sessions_[n].proxy = n % options_.proxies.size();
    sessions_[n].connection_index =
        n / options_.proxies.size() % options_.connections_per_proxy;
  }
  for (std::size_t n = 0;
       n < options_.proxies.size() * options_.connections_per_proxy; ++n) {
    proxy_connections_[n + 1].proxy = n / options_.connections_per_proxy;
  }
}

auto LoadRunner::Run() -> History {
  Initialize();
  start_ = std::chrono::steady_clock::now();
  for (const auto& [connection, state] : proxy_connections_) {
    Connect(connection);
  }
  ScheduleFaults();
  SendDueRequests();
  hub_.Run();
  ReadBackRows();
  return std::move(history_);
}

void LoadRunner::Connect(ConnectionId connection) {
  const auto& address = options_.proxies[proxy_connections_[connection].proxy];
  hub_.Connect(connection, address.host, address.port, kConnectTimeoutMs);
}

void LoadRunner::SendDueRequests() {
  const auto now = NowUs();
  const auto end = options_.profile.duration_ms * kUsPerMs;
  std::exponential_distribution<double> gap(options_.profile.rate_per_s);
  while (next_due_us_ <= now && next_due_us_ < end) {
    StartRequest(next_due_us_);
    next_due_us_ += std::max<std::int64_t>(
        static_cast<std::int64_t>(gap(random_) * kUsPerSecond), 1);
  }
  PrintProgress();
  if (now >= end && pending_.empty()) {
    hub_.Stop();
    return;
  }
  hub_.RunAfter(kTickMs, [this] { SendDueRequests(); });
}

auto LoadRunner::FindIdleSession() -> std::optional<std::size_t> {
  std::uniform_int_distribution<std::size_t> any(0, sessions_.size() - 1);
  const auto first = any(random_);
  for (std::size_t n = 0; n < sessions_.size(); ++n) {
    const auto at = (first + n) % sessions_.size();
    if (!sessions_[at].busy) {
      return at;
    }
  }
  return std::nullopt;
}

auto LoadRunner::ChooseRow(const KindChoice& choice, std::size_t session)
    -> std::string {
  const auto row_group =
      fmt::format("{}/room-{}", run_id_, session % kRowGroups);
  auto& writes = group_writes_[choice.database + row_group];
  auto row = writes / kPartsPerRow;
  if (choice.kind.access == Access::kWrite) {
    ++writes;
  } else if (row > 0 && std::bernoulli_distribution()(random_)) {
    --row;
  }
  return fmt::format("{}/{}", row_group, row);
}

void LoadRunner::StartRequest(std::int64_t due_us) {
  const auto choice = kind_choices_[kind_distribution_(random_)];
  const auto session = FindIdleSession();
  const auto number = history_.operations.size();
  if (!session || static_cast<std::int64_t>(number) >= options_.max_requests) {
    ++not_sent_;
    return;
  }
  const auto is_write = choice.kind.access == Access::kWrite;
  Operation operation;
  operation.session = static_cast<std::int64_t>(*session);
  operation.database = choice.database;
  operation.kind = choice.kind.name;
  operation.key = ChooseRow(choice, *session);
  operation.part = is_write ? fmt::format("p{}", number) : "";
  operation.due_us = due_us;
  operation.sent_us = NowUs();
  auto& state = sessions_[*session];
  state.busy = true;
  std::bernoulli_distribution roams(options_.profile.roam_percent / 100);
  if (roams(random_)) {
    state.proxy = (state.proxy + 1) % options_.proxies.size();
  }
  PendingRequest pending;
  pending.operation = number;
  pending.request.id = fmt::format("{}-{}", run_id_, number);
  pending.request.database = operation.database;
  pending.request.kind = operation.kind;
  pending.request.statements = {
      {is_write ? Verb::kAppend : Verb::kGet, operation.key, operation.part}};
  pending.request.issued_ms = UnixTimeMs();
  pending.deadline_us =
      operation.sent_us + options_.profile.patience_ms * kUsPerMs;
  const auto id = pending.request.id;
  history_.operations.push_back(std::move(operation));
  pending_.emplace(id, std::move(pending));
  SendAttempt(id);
}

auto LoadRunner::FindOpenConnection(Session& session)
    -> std::optional<ConnectionId> {
  for (std::size_t n = 0; n < options_.proxies.size(); ++n) {
    const auto proxy = (session.proxy + n) % options_.proxies.size();
    const auto connection =
        proxy * options_.connections_per_proxy + session.connection_index + 1;
    if (proxy_connections_[connection].open) {
      session.proxy = proxy;
      return connection;
    }
  }
  return std::nullopt;
}

void LoadRunner::SendAttempt(const std::string& id) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) {
    return;
  }
  auto& pending = it->second;
  auto& operation = history_.operations[pending.operation];
  auto& session = sessions_[static_cast<std::size_t>(operation.session)];
  const auto open_connection = FindOpenConnection(session);
  const auto attempt = ++pending.attempt;
  if (!open_connection) {
    // Nothing was sent, so this attempt does not make the outcome unknown.
    pending.connection = 0;
    ScheduleRetry(id);
    return;
  }
  pending.connection = *open_connection;
  operation.attempts = attempt;
  auto& request = pending.request;
  request.token = session.token;
  request.patience_ms = options_.profile.patience_ms;
  hub_.Send(*open_connection, Encode(request), false);
  hub_.RunAfter(
      static_cast<int>(options_.profile.patience_ms + kAnswerMarginMs),
      [this, id, attempt] {
        const auto found = pending_.find(id);
        if (found != pending_.end() && found->second.attempt == attempt) {
          NoteAttemptLost(id);
        }
      });
}

void LoadRunner::NoteAttemptLost(const std::string& id) {
  pending_.at(id).in_doubt = true;
  pending_.at(id).connection = 0;
  ScheduleRetry(id);
}

void LoadRunner::ScheduleRetry(const std::string& id) {
  auto& pending = pending_.at(id);
  const auto overdue = NowUs() >= 2 * options_.profile.patience_ms * kUsPerMs +
                                      pending.deadline_us;
  if (overdue || pending.attempt >= kMaxAttempts) {
    FinishRequest(id, pending.in_doubt ? OperationOutcome::kUnknown
                                       : OperationOutcome::kNotRun);
    return;
  }
  auto& operation = history_.operations[pending.operation];
  auto& session = sessions_[static_cast<std::size_t>(operation.session)];
  session.proxy = (session.proxy + 1) % options_.proxies.size();
  hub_.RunAfter(kRetryDelayMs, [this, id] { SendAttempt(id); });
}

void LoadRunner::OnFrame(ConnectionId connection, const std::string& payload) {
  try {
    const auto json = DecodeFrame(payload, FrameFormat::kCbor);
    if (connection >= kFirstControlConnection) {
      applied_faults_[connection - kFirstControlConnection].answer =
          json.get<ControlAnswer>().message;
      hub_.Close(connection);
      return;
    }
    OnAnswer(json.get<CallerAnswer>());
  } catch (const SchemaError& ex) {
    fmt::print(stderr, "cannot decode an answer: {}\n", ex.what());
  }
}

void LoadRunner::OnAnswer(const CallerAnswer& answer) {
  const auto it = pending_.find(answer.id);
  if (it == pending_.end()) {
    return;
  }
  auto& pending = it->second;
  auto& operation = history_.operations[pending.operation];
  if (answer.status == Status::kUnknown) {
    NoteAttemptLost(answer.id);
    return;
  }
  if (answer.status == Status::kNotRun && pending.in_doubt) {
    // The answer is about this attempt only; an earlier one may have run.
    ScheduleRetry(answer.id);
    return;
  }
  sessions_[static_cast<std::size_t>(operation.session)].token = answer.token;
  operation.from_replica = answer.from_replica;
  if (answer.status == Status::kOk) {
    if (operation.is_write()) {
      primaries_[operation.database] = answer.served_by;
    } else if (!answer.results.empty()) {
      operation.value = answer.results.front().value;
    }
  }
  FinishRequest(answer.id, ToOperationOutcome(answer.status));
}

void LoadRunner::FinishRequest(const std::string& id,
                               OperationOutcome outcome) {
  const auto node = pending_.extract(id);
  auto& operation = history_.operations[node.mapped().operation];
  operation.outcome = outcome;
  operation.answered_us = NowUs();
  sessions_[static_cast<std::size_t>(operation.session)].busy = false;
}

void LoadRunner::OnClosed(ConnectionId connection) {
  if (connection >= kFirstControlConnection) {
    return;
  }
  proxy_connections_[connection].open = false;
  std::vector<std::string> lost;
  for (const auto& [id, pending] : pending_) {
    if (pending.connection == connection) {
      lost.push_back(id);
    }
  }
  for (const auto& it : lost) {
    NoteAttemptLost(it);
  }
  hub_.RunAfter(kReconnectDelayMs, [this, connection] { Connect(connection); });
}

void LoadRunner::ScheduleFaults() {
  for (std::size_t n = 0; n < options_.faults.size(); ++n) {
    const auto& fault = options_.faults[n];
    auto address = options_.store;
    if (const auto* database =
            FindDatabase(options_.manifest, fault.database)) {
      // A stand-in accepts commands on the port below that of its first member.
      const auto& member = database->members.front();
      address = {member.host, static_cast<std::uint16_t>(member.port - 1)};
    }
    applied_faults_.push_back(
        {fault.at_ms,
         fmt::format("{} {} {}",
                     fault.database.empty() ? "store" : fault.database,
                     ToString(fault.command.action), fault.command.member),
         ""});
    hub_.RunAfter(static_cast<int>(fault.at_ms), [this, n, address] {
      hub_.Connect(kFirstControlConnection + n, address.host, address.port,
                   kConnectTimeoutMs);
    });
  }
}

void LoadRunner::SendFault(std::size_t fault) {
  const auto& database = options_.faults[fault].database;
  auto command = options_.faults[fault].command;
  command.id = static_cast<std::int64_t>(fault) + 1;
  if (command.member == kCurrentPrimary) {
    command.member = primaries_[database];
  }
  applied_faults_[fault].at_ms = NowUs() / kUsPerMs;
  hub_.Send(kFirstControlConnection + fault, Encode(command), false);
}

void LoadRunner::PrintProgress() {
  const auto now = NowUs();
  if (!options_.show_progress || now - last_progress_us_ < kUsPerSecond) {
    return;
  }
  last_progress_us_ = now;
  const auto sent = history_.operations.size();
  fmt::print(stderr, "{:>4} s: {} sent, {} answered, {} waiting\n",
             now / kUsPerSecond, sent, sent - pending_.size(), pending_.size());
}

void LoadRunner::ReadBackRows() {
  std::map<std::string, std::set<std::string>> keys_by_database;
  for (const auto& it : history_.operations) {
    if (it.is_write()) {
      keys_by_database[it.database].insert(it.key);
    }
  }
  for (const auto& [database, database_keys] : keys_by_database) {
    const std::vector<std::string> list(database_keys.begin(),
                                        database_keys.end());
    for (std::size_t n = 0; n < list.size(); n += kRowsPerRead) {
      const auto count = std::min(kRowsPerRead, list.size() - n);
      const std::span<const std::string> part(list.data() + n, count);
      for (auto t = 0;
           t < kMaxReadBackTries && !TryReadBackRows(database, part); ++t) {
        std::this_thread::sleep_for(kReadBackRetryDelay);
      }
    }
  }
}

auto LoadRunner::TryReadBackRows(const std::string& database,
                                 std::span<const std::string> keys) -> bool {
  const auto choice = std::find_if(
      kind_choices_.begin(), kind_choices_.end(), [&](const KindChoice& it) {
        return it.database == database && it.kind.access == Access::kWrite;
      });
  CallerRequest request;
  request.id = fmt::format("{}-rows-{}", run_id_, random_());
  request.database = database;
  request.kind = choice->kind.name;
  request.issued_ms = UnixTimeMs();
  for (const auto& it : keys) {
    request.statements.push_back({Verb::kGet, it, ""});
  }
  const auto proxy = random_() % options_.proxies.size();
  try {
    const auto& address = options_.proxies[proxy];
    SyncClient client(address.host, address.port, kConnectTimeoutMs);
    const auto answer =
        client.SendAndReceive(request, static_cast<int>(request.patience_ms))
            .get<CallerAnswer>();
    if (answer.status != Status::kOk || answer.results.size() != keys.size()) {
      return false;
    }
    for (std::size_t n = 0; n < keys.size(); ++n) {
      history_.rows[{database, keys[n]}] = answer.results[n].value;
    }
    return true;
  } catch (const std::runtime_error&) {
    return false;
  }
}

}  // namespace kingcuplock

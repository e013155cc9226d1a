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

/// Interval in ms at which due arrivals are sent.
constexpr int kTickMs = 1;
/// Longest time in ms to connect.
constexpr int kConnectTimeoutMs = 1000;
/// Pause in ms before a lost connection is opened again.
constexpr int kReconnectMs = 100;
/// Pause in ms before a request in doubt is asked again.
constexpr int kRetryMs = 100;
/// Attempts of one request at most.
constexpr int kMaxAttempts = 6;
/// Time in ms beyond the patience for which an answer is awaited.
constexpr std::int64_t kExtraWaitMs = 500;
/// Rooms that the sessions write to, per database.
constexpr std::size_t kRooms = 8;
/// Parts that a row gets before the room goes on to the next row.
constexpr std::int64_t kPartsPerRow = 16;
/// Rows read by one request at the end.
constexpr std::size_t kRowsPerRead = 20;
/// Tries to read rows at the end, and the pause between them.
constexpr int kFinalTries = 30;
constexpr std::chrono::milliseconds kFinalPause{500};
/// Connections of the control commands start here.
constexpr ConnectionId kFirstControl = 1U << 20U;
constexpr std::int64_t kUsPerMs = 1000;
constexpr std::int64_t kUsPerSecond = 1'000'000;

auto UnixMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto OutcomeOf(Status status) -> OperationOutcome {
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

LoadRunner::LoadRunner(LoadRunOptions setup)
    : setup_(std::move(setup)),
      random_(setup_.profile.seed),
      tag_(fmt::format("load-{:x}", UnixMs())),
      hub_({[this](ConnectionId it, std::uint16_t) {
              if (it < kFirstControl) {
                links_[it].open = true;
              } else {
                SwitchOn(it - kFirstControl);
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

void LoadRunner::Prepare() {
  std::vector<double> kind_weights;
  for (const auto& database : setup_.manifest.databases) {
    for (const auto& kind : database.kinds) {
      const auto weight = setup_.kind_weights.find(kind.name);
      kind_weights.push_back(weight == setup_.kind_weights.end()
                                 ? setup_.default_kind_weight
                                 : weight->second);
      choices_.push_back({database.name, kind});
      history_.max_age_ms[{database.name, kind.name}] = kind.max_age_ms;
    }
  }
  mix_ = std::discrete_distribution<std::size_t>(kind_weights.begin(),
                                                 kind_weights.end());
  sessions_.resize(static_cast<std::size_t>(setup_.profile.sessions));
  for (std::size_t n = 0; n < sessions_.size(); ++n) {
    sessions_[n].proxy = n % setup_.proxies.size();
    sessions_[n].lane =
        n / setup_.proxies.size() % setup_.connections_per_proxy;
  }
  for (std::size_t n = 0;
       n < setup_.proxies.size() * setup_.connections_per_proxy; ++n) {
    links_[n + 1].proxy = n / setup_.connections_per_proxy;
  }
}

auto LoadRunner::Run() -> History {
  Prepare();
  start_ = std::chrono::steady_clock::now();
  for (const auto& [connection, link] : links_) {
    Connect(connection);
  }
  StartFaults();
  Tick();
  hub_.Run();
  ReadRows();
  return std::move(history_);
}

void LoadRunner::Connect(ConnectionId connection) {
  const auto& address = setup_.proxies[links_[connection].proxy];
  hub_.Connect(connection, address.host, address.port, kConnectTimeoutMs);
}

void LoadRunner::Tick() {
  const auto now = NowUs();
  const auto end = setup_.profile.duration_ms * kUsPerMs;
  std::exponential_distribution<double> gap(setup_.profile.rate_per_s);
  while (next_due_us_ <= now && next_due_us_ < end) {
    Arrive(next_due_us_);
    next_due_us_ += std::max<std::int64_t>(
        static_cast<std::int64_t>(gap(random_) * kUsPerSecond), 1);
  }
  Progress();
  if (now >= end && pending_.empty()) {
    hub_.Stop();
    return;
  }
  hub_.RunAfter(kTickMs, [this] { Tick(); });
}

auto LoadRunner::FreeSession() -> std::optional<std::size_t> {
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

auto LoadRunner::RowFor(const Choice& choice, std::size_t session)
    -> std::string {
  const auto room = fmt::format("{}/room-{}", tag_, session % kRooms);
  auto& writes = room_writes_[choice.database + room];
  auto row = writes / kPartsPerRow;
  if (choice.kind.access == Access::kWrite) {
    ++writes;
  } else if (row > 0 && std::bernoulli_distribution()(random_)) {
    --row;
  }
  return fmt::format("{}/{}", room, row);
}

void LoadRunner::Arrive(std::int64_t due_us) {
  const auto choice = choices_[mix_(random_)];
  const auto session = FreeSession();
  const auto number = history_.operations.size();
  if (!session || static_cast<std::int64_t>(number) >= setup_.max_requests) {
    ++not_sent_;
    return;
  }
  const auto is_write = choice.kind.access == Access::kWrite;
  Operation operation;
  operation.session = static_cast<std::int64_t>(*session);
  operation.database = choice.database;
  operation.kind = choice.kind.name;
  operation.key = RowFor(choice, *session);
  operation.part = is_write ? fmt::format("p{}", number) : "";
  operation.due_us = due_us;
  operation.sent_us = NowUs();
  auto& state = sessions_[*session];
  state.busy = true;
  std::bernoulli_distribution roams(setup_.profile.roam_percent / 100);
  if (roams(random_)) {
    state.proxy = (state.proxy + 1) % setup_.proxies.size();
  }
  Pending pending;
  pending.operation = number;
  pending.request.id = fmt::format("{}-{}", tag_, number);
  pending.request.database = operation.database;
  pending.request.kind = operation.kind;
  pending.request.statements = {
      {is_write ? Verb::kAppend : Verb::kGet, operation.key, operation.part}};
  pending.request.issued_ms = UnixMs();
  pending.deadline_us =
      operation.sent_us + setup_.profile.patience_ms * kUsPerMs;
  const auto id = pending.request.id;
  history_.operations.push_back(std::move(operation));
  pending_.emplace(id, std::move(pending));
  Attempt(id);
}

auto LoadRunner::LinkFor(Session& session) -> std::optional<ConnectionId> {
  for (std::size_t n = 0; n < setup_.proxies.size(); ++n) {
    const auto proxy = (session.proxy + n) % setup_.proxies.size();
    const auto connection =
        proxy * setup_.connections_per_proxy + session.lane + 1;
    if (links_[connection].open) {
      session.proxy = proxy;
      return connection;
    }
  }
  return std::nullopt;
}

void LoadRunner::Attempt(const std::string& id) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) {
    return;
  }
  auto& pending = it->second;
  auto& operation = history_.operations[pending.operation];
  auto& session = sessions_[static_cast<std::size_t>(operation.session)];
  const auto link = LinkFor(session);
  const auto attempt = ++pending.attempt;
  if (!link) {
    // Nothing was sent, so the attempt does not put the request in doubt.
    pending.connection = 0;
    RetryLater(id);
    return;
  }
  pending.connection = *link;
  operation.attempts = attempt;
  auto& request = pending.request;
  request.token = session.token;
  request.patience_ms = setup_.profile.patience_ms;
  hub_.Send(*link, Encode(request), false);
  hub_.RunAfter(
      static_cast<int>(setup_.profile.patience_ms + kExtraWaitMs),
      [this, id, attempt] {
        const auto found = pending_.find(id);
        if (found != pending_.end() && found->second.attempt == attempt) {
          AttemptLost(id);
        }
      });
}

void LoadRunner::AttemptLost(const std::string& id) {
  pending_.at(id).in_doubt = true;
  pending_.at(id).connection = 0;
  RetryLater(id);
}

void LoadRunner::RetryLater(const std::string& id) {
  auto& pending = pending_.at(id);
  const auto overdue = NowUs() >= 2 * setup_.profile.patience_ms * kUsPerMs +
                                      pending.deadline_us;
  if (overdue || pending.attempt >= kMaxAttempts) {
    Finish(id, pending.in_doubt ? OperationOutcome::kUnknown
                                : OperationOutcome::kNotRun);
    return;
  }
  auto& operation = history_.operations[pending.operation];
  auto& session = sessions_[static_cast<std::size_t>(operation.session)];
  session.proxy = (session.proxy + 1) % setup_.proxies.size();
  hub_.RunAfter(kRetryMs, [this, id] { Attempt(id); });
}

void LoadRunner::OnFrame(ConnectionId connection, const std::string& payload) {
  try {
    const auto json = DecodeFrame(payload, FrameFormat::kCbor);
    if (connection >= kFirstControl) {
      notes_[connection - kFirstControl].answer =
          json.get<ControlAnswer>().message;
      hub_.Close(connection);
      return;
    }
    OnAnswer(json.get<CallerAnswer>());
  } catch (const SchemaError& ex) {
    fmt::print(stderr, "a frame was not an answer: {}\n", ex.what());
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
    AttemptLost(answer.id);
    return;
  }
  if (answer.status == Status::kNotRun && pending.in_doubt) {
    // Says that this attempt did not run, not that an earlier one did not.
    RetryLater(answer.id);
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
  Finish(answer.id, OutcomeOf(answer.status));
}

void LoadRunner::Finish(const std::string& id, OperationOutcome outcome) {
  const auto node = pending_.extract(id);
  auto& operation = history_.operations[node.mapped().operation];
  operation.outcome = outcome;
  operation.answered_us = NowUs();
  sessions_[static_cast<std::size_t>(operation.session)].busy = false;
}

void LoadRunner::OnClosed(ConnectionId connection) {
  if (connection >= kFirstControl) {
    return;
  }
  links_[connection].open = false;
  std::vector<std::string> lost;
  for (const auto& [id, pending] : pending_) {
    if (pending.connection == connection) {
      lost.push_back(id);
    }
  }
  for (const auto& it : lost) {
    AttemptLost(it);
  }
  hub_.RunAfter(kReconnectMs, [this, connection] { Connect(connection); });
}

void LoadRunner::StartFaults() {
  for (std::size_t n = 0; n < setup_.faults.size(); ++n) {
    const auto& fault = setup_.faults[n];
    auto address = setup_.store;
    if (const auto* database = FindDatabase(setup_.manifest, fault.database)) {
      // The stand-in takes commands on the port before its first member's.
      const auto& member = database->members.front();
      address = {member.host, static_cast<std::uint16_t>(member.port - 1)};
    }
    notes_.push_back(
        {fault.at_ms,
         fmt::format("{} {} {}",
                     fault.database.empty() ? "store" : fault.database,
                     ToString(fault.command.action), fault.command.member),
         ""});
    hub_.RunAfter(static_cast<int>(fault.at_ms), [this, n, address] {
      hub_.Connect(kFirstControl + n, address.host, address.port,
                   kConnectTimeoutMs);
    });
  }
}

void LoadRunner::SwitchOn(std::size_t fault) {
  const auto& database = setup_.faults[fault].database;
  auto command = setup_.faults[fault].command;
  command.id = static_cast<std::int64_t>(fault) + 1;
  if (command.member == kCurrentPrimary) {
    command.member = primaries_[database];
  }
  notes_[fault].at_ms = NowUs() / kUsPerMs;
  hub_.Send(kFirstControl + fault, Encode(command), false);
}

void LoadRunner::Progress() {
  const auto now = NowUs();
  if (!setup_.show_progress || now - last_progress_us_ < kUsPerSecond) {
    return;
  }
  last_progress_us_ = now;
  const auto sent = history_.operations.size();
  fmt::print(stderr, "{:>4} s: {} sent, {} answered, {} waiting\n",
             now / kUsPerSecond, sent, sent - pending_.size(), pending_.size());
}

void LoadRunner::ReadRows() {
  std::map<std::string, std::set<std::string>> keys;
  for (const auto& it : history_.operations) {
    if (it.is_write()) {
      keys[it.database].insert(it.key);
    }
  }
  for (const auto& [database, all] : keys) {
    const std::vector<std::string> list(all.begin(), all.end());
    for (std::size_t n = 0; n < list.size(); n += kRowsPerRead) {
      const auto count = std::min(kRowsPerRead, list.size() - n);
      const std::span<const std::string> part(list.data() + n, count);
      for (auto t = 0; t < kFinalTries && !ReadRowsOf(database, part); ++t) {
        std::this_thread::sleep_for(kFinalPause);
      }
    }
  }
}

auto LoadRunner::ReadRowsOf(const std::string& database,
                            std::span<const std::string> keys) -> bool {
  const auto choice =
      std::find_if(choices_.begin(), choices_.end(), [&](const Choice& it) {
        return it.database == database && it.kind.access == Access::kWrite;
      });
  CallerRequest request;
  request.id = fmt::format("{}-rows-{}", tag_, random_());
  request.database = database;
  request.kind = choice->kind.name;
  request.issued_ms = UnixMs();
  for (const auto& it : keys) {
    request.statements.push_back({Verb::kGet, it, ""});
  }
  const auto proxy = random_() % setup_.proxies.size();
  try {
    const auto& address = setup_.proxies[proxy];
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

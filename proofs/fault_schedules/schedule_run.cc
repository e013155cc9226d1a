#include "proofs/fault_schedules/schedule_run.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "proofs/fault_schedules/history_checker.h"

namespace kingcuplock {
namespace {

constexpr std::size_t kNodes = 3;
constexpr std::size_t kSessions = 4;
constexpr std::int64_t kConnections = 16;
constexpr std::int64_t kSlots = 2;
/// Time in which failures begin.
constexpr Milliseconds kFaultSpan{3000};
/// Time in which sessions send requests.
constexpr Milliseconds kLoadSpan{8000};
/// Time after which a healed group must serve writes.
constexpr Milliseconds kHealTime{10'000};
constexpr Milliseconds kStaleAge{5000};
constexpr std::int64_t kMinPatienceMs = 200;
constexpr std::int64_t kMaxPatienceMs = 3000;
constexpr std::int64_t kMaxThinkMs = 60;
constexpr int kMaxAttempts = 4;
/// Time in ms beyond its patience after which a caller gives an answer up.
constexpr Milliseconds kGiveUp{500};

/// A session that sends one request after the other.
class Session {
 public:
  Session(std::size_t number, NodeFixture& fixture, HistoryChecker& checker)
      : number_(number), fixture_(fixture), checker_(checker) {}

  /// Sends the next request if none is open and the pause is over.
  void Tick(Time now) {
    if (open_ && now > sent_ + Milliseconds(request_.patience_ms) + kGiveUp) {
      // The instance died with the connection.
      open_ = false;
      write_.outcome = WriteOutcome::kOpen;
    }
    if (open_ || now < next_) {
      return;
    }
    if (!pending_write_) {
      Begin();
    }
    Send(now);
  }

  /// Takes an answer to one of this session's requests.
  void OnAnswer(const ReceivedAnswer& answer) {
    open_ = false;
    next_ = answer.answered + Milliseconds(Pick(0, kMaxThinkMs));
    if (pending_write_) {
      OnWriteAnswer(answer);
    } else {
      OnReadAnswer(answer);
    }
  }

  /// Notes the write that is still open at the end.
  void Close() {
    if (!pending_write_) {
      return;
    }
    if (open_) {
      write_.outcome = WriteOutcome::kOpen;
    }
    NoteWrite();
  }

  /// Returns whether an answer is to the request that is open.
  auto Awaits(const ReceivedAnswer& answer) const -> bool {
    return open_ && answer.number == number_of_send_;
  }

 private:
  auto Pick(std::int64_t low, std::int64_t high) -> std::int64_t {
    return std::uniform_int_distribution<std::int64_t>(low,
                                                       high)(fixture_.random());
  }

  void Begin() {
    const auto id = fmt::format("s{}-{}", number_, ++count_);
    const auto choice = Pick(0, 9);
    constexpr std::int64_t kWritesOfTen = 5;
    constexpr std::int64_t kWritesAndStaleOfTen = 8;
    if (choice < kWritesOfTen) {
      request_ = fixture_.MakeAppendRequest(id, "row", id);
      pending_write_ = true;
      write_ = {id, number_, WriteOutcome::kNotRun, {}};
      attempts_ = 0;
    } else {
      request_ = fixture_.MakeReadRequest(
          id, choice < kWritesAndStaleOfTen ? "stale" : "fresh", "row");
    }
  }

  void Send(Time now) {
    request_.token = token_;
    request_.patience_ms = Pick(kMinPatienceMs, kMaxPatienceMs);
    seen_at_send_ = seen_;
    open_ = true;
    sent_ = now;
    ++attempts_;
    const auto node = static_cast<std::size_t>(Pick(0, kNodes - 1));
    number_of_send_ = fixture_.Send(node, request_);
  }

  void OnWriteAnswer(const ReceivedAnswer& it) {
    switch (it.answer.status) {
      case Status::kOk:
        write_.outcome = WriteOutcome::kAcknowledged;
        write_.acknowledged = it.answered;
        seen_.insert(write_.part);
        token_ = it.answer.token;
        NoteWrite();
        return;
      case Status::kNotRun:
        break;
      default:
        write_.outcome = WriteOutcome::kOpen;
        break;
    }
    // The same id again, or given up.
    if (attempts_ >= kMaxAttempts || Pick(0, 3) == 0) {
      NoteWrite();
    }
  }

  void NoteWrite() {
    pending_write_ = false;
    checker_.NoteWrite(write_);
  }

  void OnReadAnswer(const ReceivedAnswer& it) {
    if (it.answer.error == ErrorKind::kPositionLost) {
      token_.clear();
      seen_.clear();
      return;
    }
    if (it.answer.status != Status::kOk) {
      return;
    }
    const auto stale = it.request.kind == "stale";
    const auto parts = SplitParts(it.answer.results.at(0).value);
    checker_.NoteRead({number_, it.answered,
                       stale ? Duration(kStaleAge) : Duration::zero(),
                       seen_at_send_, parts});
    seen_.insert(parts.begin(), parts.end());
    token_ = it.answer.token;
  }

  std::size_t number_;
  std::uint64_t number_of_send_ = 0;
  NodeFixture& fixture_;
  HistoryChecker& checker_;
  CallerRequest request_;
  WriteRecord write_;
  std::set<std::string> seen_;
  std::set<std::string> seen_at_send_;
  std::string token_;
  bool open_ = false;
  bool pending_write_ = false;
  int attempts_ = 0;
  int count_ = 0;
  Time sent_{};
  Time next_{};
};

/// Everything of one run.
class Run {
 public:
  explicit Run(std::uint64_t seed)
      : fixture_({.seed = seed,
                  .nodes = kNodes,
                  .databases = 1,
                  .slots = kSlots,
                  .connections = kConnections}),
        injector_(fixture_) {
    result_.seed = seed;
    for (std::size_t n = 0; n < kSessions; ++n) {
      sessions_.push_back(std::make_unique<Session>(n, fixture_, checker_));
    }
  }

  auto Execute() -> RunResult {
    fixture_.RunUntilServing();
    start_ = fixture_.Now();
    result_.schedule = MakeSchedule(fixture_.random(), kFaultSpan);
    while (fixture_.Now() < start_ + kLoadSpan) {
      ApplyFaults();
      Load();
    }
    Heal();
    Finish();
    return std::move(result_);
  }

 private:
  void ApplyFaults() {
    const auto now = fixture_.Now() - start_;
    for (std::size_t n = 0; n < result_.schedule.size(); ++n) {
      const auto& fault = result_.schedule[n];
      if (now >= fault.begin && !undo_.contains(n)) {
        undo_[n] = injector_.Begin(fault);
      }
      if (now >= fault.begin + fault.length && undo_.contains(n)) {
        std::exchange(undo_[n], [] {})();
      }
    }
  }

  void Load() {
    for (auto& it : sessions_) {
      it->Tick(fixture_.Now());
    }
    fixture_.RunFor(Milliseconds(5));
    TakeAnswers();
  }

  void TakeAnswers() {
    const auto& answers = fixture_.answers();
    for (; taken_ < answers.size(); ++taken_) {
      const auto& it = answers[taken_];
      ++result_.answers[std::string(ToString(it.answer.status))];
      if (!answered_.insert(it.number).second) {
        result_.violations.push_back(it.answer.id + " was answered twice");
        continue;
      }
      for (auto& session : sessions_) {
        if (session->Awaits(it)) {
          session->OnAnswer(it);
        }
      }
    }
  }

  void StartStopped() {
    for (std::size_t n = 0; n < fixture_.nodes(); ++n) {
      if (!fixture_.IsAlive(n)) {
        fixture_.StartNode(n);
      }
    }
  }

  auto SomeLeaving() -> bool {
    for (std::size_t n = 0; n < fixture_.nodes(); ++n) {
      if (fixture_.IsAlive(n) && fixture_.StatusOf(n).leaving) {
        return true;
      }
    }
    return false;
  }

  void Heal() {
    for (auto& [n, undo] : undo_) {
      undo();
    }
    StartStopped();
    fixture_.RunFor(Milliseconds(kMaxPatienceMs + 100));
    // A planned stop that began before ends with a start, too.
    StartStopped();
    while (SomeLeaving()) {
      fixture_.RunFor(Milliseconds(100));
      StartStopped();
    }
    TakeAnswers();
    auto last = fixture_.MakeAppendRequest("last", "row", "last");
    last.patience_ms = kHealTime.count();
    const auto node = sessions_.size() % fixture_.nodes();
    for (auto n = 0; n < kMaxAttempts; ++n) {
      if (fixture_.SendAndWait(node, last).status == Status::kOk) {
        return;
      }
      fixture_.RunFor(Milliseconds(500));
    }
    result_.violations.emplace_back("no write is served after healing");
  }

  void Finish() {
    for (auto& it : sessions_) {
      it->Close();
    }
    const auto& rows = fixture_.Primary("db0").rows;
    const auto row = rows.find("row");
    for (auto& it :
         checker_.Check(SplitParts(row == rows.end() ? "" : row->second))) {
      const auto& known = result_.violations;
      if (std::find(known.begin(), known.end(), it) == known.end()) {
        result_.violations.push_back(std::move(it));
      }
    }
    result_.most_connections = fixture_.PeakOpenConnections();
    result_.most_statements = fixture_.PeakRunningStatements();
    if (result_.most_connections > kConnections) {
      result_.violations.push_back(fmt::format("{} connections at one member",
                                               result_.most_connections));
    }
    if (result_.most_statements > kSlots) {
      result_.violations.push_back(fmt::format(
          "{} statements at once at one member", result_.most_statements));
    }
  }

  NodeFixture fixture_;
  FaultInjector injector_;
  HistoryChecker checker_;
  RunResult result_;
  std::vector<std::unique_ptr<Session>> sessions_;
  std::map<std::size_t, std::function<void()>> undo_;
  std::set<std::uint64_t> answered_;
  std::size_t taken_ = 0;
  Time start_{};
};

}  // namespace

auto RunSchedule(std::uint64_t seed) -> RunResult {
  return Run(seed).Execute();
}

auto Describe(const RunResult& result) -> std::string {
  auto out = fmt::format("seed {}:", result.seed);
  for (const auto& it : result.schedule) {
    out += fmt::format(" {}@{}ms+{}ms/{}", ToString(it.kind),
                       it.begin.count() / 1000, it.length.count() / 1000,
                       it.choice);
  }
  for (const auto& it : result.violations) {
    out += "\n  " + it;
  }
  return out;
}

}  // namespace kingcuplock

#include "proofs/fault_schedules/schedule_run.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "proofs/fault_schedules/history_checker.h"

namespace kingcuplock {
namespace {

constexpr std::size_t kNodeCount = 3;
constexpr std::size_t kSessionCount = 4;
constexpr std::int64_t kConnectionsPerMember = 16;
constexpr std::int64_t kSlotsPerMember = 2;
/// Time in ms during which failures begin.
constexpr Milliseconds kFaultPhaseDuration{3000};
/// Time in ms during which sessions send requests.
constexpr Milliseconds kLoadPhaseDuration{8000};
/// Patience in ms of each attempt at the write that must succeed once all
/// failures have ended.
constexpr Milliseconds kHealedWritePatience{10'000};
constexpr Milliseconds kStaleReadMaxAge{5000};
constexpr std::int64_t kMinPatienceMs = 200;
constexpr std::int64_t kMaxPatienceMs = 3000;
constexpr std::int64_t kMaxPauseMs = 60;
constexpr int kMaxRequestAttempts = 4;
/// Time in ms after the end of its patience at which a caller stops waiting for
/// the answer.
constexpr Milliseconds kAnswerGracePeriod{500};

/// A session that sends one request at a time, each to a random instance.
class SimulatedSession {
 public:
  SimulatedSession(std::size_t index,
                   NodeFixture& fixture,
                   HistoryChecker& checker)
      : index_(index), fixture_(fixture), checker_(checker) {}

  /// Sends the next request if none is open and the pause since the last
  /// answer is over.
  void SendWhenIdle(Time now) {
    if (request_open_ && now > sent_at_ + Milliseconds(request_.patience_ms) +
                                   kAnswerGracePeriod) {
      // No answer comes: the instance was killed with the connection.
      request_open_ = false;
      write_.outcome = WriteOutcome::kUnknown;
    }
    if (request_open_ || now < next_send_at_) {
      return;
    }
    if (!write_pending_) {
      PrepareRequest();
    }
    Send(now);
  }

  /// Handles the answer to the open request.
  void OnAnswer(const ReceivedAnswer& answer) {
    request_open_ = false;
    next_send_at_ =
        answer.answered + Milliseconds(RandomInRange(0, kMaxPauseMs));
    if (write_pending_) {
      OnWriteAnswer(answer);
    } else {
      OnReadAnswer(answer);
    }
  }

  /// Records the write that is not settled at the end of the run, if any.
  void RecordPendingWrite() {
    if (!write_pending_) {
      return;
    }
    if (request_open_) {
      write_.outcome = WriteOutcome::kUnknown;
    }
    NoteWrite();
  }

  /// Returns whether `answer` belongs to the open request.
  auto AwaitsAnswer(const ReceivedAnswer& answer) const -> bool {
    return request_open_ && answer.number == open_request_number_;
  }

 private:
  auto RandomInRange(std::int64_t low, std::int64_t high) -> std::int64_t {
    return std::uniform_int_distribution<std::int64_t>(low,
                                                       high)(fixture_.random());
  }

  void PrepareRequest() {
    const auto id = fmt::format("s{}-{}", index_, ++request_count_);
    const auto choice = RandomInRange(0, 9);
    constexpr std::int64_t kWritesPerTen = 5;
    constexpr std::int64_t kWritesAndStaleReadsPerTen = 8;
    if (choice < kWritesPerTen) {
      request_ = fixture_.MakeAppendRequest(id, "row", id);
      write_pending_ = true;
      write_ = {id, index_, WriteOutcome::kNotRun, {}};
      attempts_ = 0;
    } else {
      request_ = fixture_.MakeReadRequest(
          id, choice < kWritesAndStaleReadsPerTen ? "stale" : "fresh", "row");
    }
  }

  void Send(Time now) {
    request_.token = token_;
    request_.patience_ms = RandomInRange(kMinPatienceMs, kMaxPatienceMs);
    seen_parts_at_send_ = seen_parts_;
    request_open_ = true;
    sent_at_ = now;
    ++attempts_;
    const auto node =
        static_cast<std::size_t>(RandomInRange(0, kNodeCount - 1));
    open_request_number_ = fixture_.Send(node, request_);
  }

  void OnWriteAnswer(const ReceivedAnswer& it) {
    switch (it.answer.status) {
      case Status::kOk:
        write_.outcome = WriteOutcome::kAcknowledged;
        write_.acknowledged_at = it.answered;
        seen_parts_.insert(write_.part);
        token_ = it.answer.token;
        NoteWrite();
        return;
      case Status::kNotRun:
        break;
      default:
        write_.outcome = WriteOutcome::kUnknown;
        break;
    }
    // Otherwise the next request repeats the write under the same id.
    if (attempts_ >= kMaxRequestAttempts || RandomInRange(0, 3) == 0) {
      NoteWrite();
    }
  }

  void NoteWrite() {
    write_pending_ = false;
    checker_.NoteWrite(write_);
  }

  void OnReadAnswer(const ReceivedAnswer& it) {
    if (it.answer.error == ErrorKind::kPositionLost) {
      token_.clear();
      seen_parts_.clear();
      return;
    }
    if (it.answer.status != Status::kOk) {
      return;
    }
    const auto stale = it.request.kind == "stale";
    const auto parts = SplitParts(it.answer.results.at(0).value);
    checker_.NoteRead({index_, it.answered,
                       stale ? Duration(kStaleReadMaxAge) : Duration::zero(),
                       seen_parts_at_send_, parts});
    seen_parts_.insert(parts.begin(), parts.end());
    token_ = it.answer.token;
  }

  std::size_t index_;
  std::uint64_t open_request_number_ = 0;
  NodeFixture& fixture_;
  HistoryChecker& checker_;
  CallerRequest request_;
  WriteRecord write_;
  std::set<std::string> seen_parts_;
  std::set<std::string> seen_parts_at_send_;
  std::string token_;
  bool request_open_ = false;
  bool write_pending_ = false;
  int attempts_ = 0;
  int request_count_ = 0;
  Time sent_at_{};
  Time next_send_at_{};
};

/// Fixture, sessions and checks of one run.
class ScheduleRun {
 public:
  ScheduleRun(std::uint64_t seed, StoreData store_data)
      : fixture_({.seed = seed,
                  .nodes = kNodeCount,
                  .databases = 1,
                  .slots = kSlotsPerMember,
                  .connections = kConnectionsPerMember}),
        injector_(fixture_),
        store_data_(store_data) {
    result_.seed = seed;
    for (std::size_t n = 0; n < kSessionCount; ++n) {
      sessions_.push_back(
          std::make_unique<SimulatedSession>(n, fixture_, checker_));
    }
  }

  auto Execute() -> ScheduleRunResult {
    fixture_.RunUntilServing();
    start_time_ = fixture_.Now();
    result_.schedule =
        MakeFaultSchedule(fixture_.random(), kFaultPhaseDuration, store_data_);
    while (fixture_.Now() < start_time_ + kLoadPhaseDuration) {
      ApplyFaults();
      RunLoadStep();
    }
    EndFaultsAndCheckService();
    CollectResult();
    return std::move(result_);
  }

 private:
  void ApplyFaults() {
    const auto now = fixture_.Now() - start_time_;
    for (std::size_t n = 0; n < result_.schedule.size(); ++n) {
      const auto& fault = result_.schedule[n];
      if (now >= fault.begin && !undo_by_fault_.contains(n)) {
        undo_by_fault_[n] = injector_.BeginFault(fault);
      }
      if (now >= fault.begin + fault.duration && undo_by_fault_.contains(n)) {
        std::exchange(undo_by_fault_[n], [] {})();
      }
    }
  }

  void RunLoadStep() {
    for (auto& it : sessions_) {
      it->SendWhenIdle(fixture_.Now());
    }
    fixture_.RunFor(Milliseconds(5));
    ProcessNewAnswers();
  }

  void ProcessNewAnswers() {
    const auto& answers = fixture_.answers();
    for (; processed_answers_ < answers.size(); ++processed_answers_) {
      const auto& it = answers[processed_answers_];
      ++result_.answers[std::string(ToString(it.answer.status))];
      if (!answered_requests_.insert(it.number).second) {
        result_.violations.push_back(it.answer.id + " was answered twice");
        continue;
      }
      for (auto& session : sessions_) {
        if (session->AwaitsAnswer(it)) {
          session->OnAnswer(it);
        }
      }
    }
  }

  void StartDeadNodes() {
    for (std::size_t n = 0; n < fixture_.nodes(); ++n) {
      if (!fixture_.IsAlive(n)) {
        fixture_.StartNode(n);
      }
    }
  }

  auto AnyNodeLeaving() -> bool {
    for (std::size_t n = 0; n < fixture_.nodes(); ++n) {
      if (fixture_.IsAlive(n) && fixture_.StatusOf(n).leaving) {
        return true;
      }
    }
    return false;
  }

  void EndFaultsAndCheckService() {
    for (auto& [n, undo] : undo_by_fault_) {
      undo();
    }
    StartDeadNodes();
    fixture_.RunFor(Milliseconds(kMaxPatienceMs + 100));
    // Nodes whose planned stop began before this point are started again, too.
    StartDeadNodes();
    while (AnyNodeLeaving()) {
      fixture_.RunFor(Milliseconds(100));
      StartDeadNodes();
    }
    ProcessNewAnswers();
    auto last_write = fixture_.MakeAppendRequest("last", "row", "last");
    last_write.patience_ms = kHealedWritePatience.count();
    const auto node = sessions_.size() % fixture_.nodes();
    for (auto n = 0; n < kMaxRequestAttempts; ++n) {
      if (fixture_.SendAndWait(node, last_write).status == Status::kOk) {
        return;
      }
      fixture_.RunFor(Milliseconds(500));
    }
    result_.violations.emplace_back(
        "no write succeeds after all failures have ended");
  }

  void CollectResult() {
    for (auto& it : sessions_) {
      it->RecordPendingWrite();
    }
    const auto& rows = fixture_.Primary("db0").rows;
    const auto row = rows.find("row");
    for (auto& it : checker_.FindViolations(
             SplitParts(row == rows.end() ? "" : row->second))) {
      const auto& known_violations = result_.violations;
      if (std::find(known_violations.begin(), known_violations.end(), it) ==
          known_violations.end()) {
        result_.violations.push_back(std::move(it));
      }
    }
    result_.peak_connections = fixture_.PeakOpenConnections();
    result_.peak_statements = fixture_.PeakRunningStatements();
    if (result_.peak_connections > kConnectionsPerMember) {
      result_.violations.push_back(fmt::format(
          "{} connections open at one member", result_.peak_connections));
    }
    if (result_.peak_statements > kSlotsPerMember) {
      result_.violations.push_back(
          fmt::format("{} statements running at once at one member",
                      result_.peak_statements));
    }
  }

  NodeFixture fixture_;
  FaultInjector injector_;
  StoreData store_data_;
  HistoryChecker checker_;
  ScheduleRunResult result_;
  std::vector<std::unique_ptr<SimulatedSession>> sessions_;
  std::map<std::size_t, std::function<void()>> undo_by_fault_;
  std::set<std::uint64_t> answered_requests_;
  std::size_t processed_answers_ = 0;
  Time start_time_{};
};

}  // namespace

auto RunFaultSchedule(std::uint64_t seed, StoreData store_data)
    -> ScheduleRunResult {
  return ScheduleRun(seed, store_data).Execute();
}

auto Describe(const ScheduleRunResult& result) -> std::string {
  auto text = fmt::format("seed {}:", result.seed);
  for (const auto& it : result.schedule) {
    text += fmt::format(" {}@{}ms+{}ms/{}", ToString(it.kind),
                        it.begin.count() / 1000, it.duration.count() / 1000,
                        it.choice);
  }
  for (const auto& it : result.violations) {
    text += "\n  " + it;
  }
  return text;
}

}  // namespace kingcuplock

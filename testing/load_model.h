#pragma once

/// Model of the load that callers put on one member through several instances,
/// on virtual time and without a network. The member has slots and a queue of
/// its own; the instances use the product's queue and limit; a refused caller
/// tries again after the requested delay. It serves to compare admission
/// policies before one is implemented.
///
/// Example:
///   LoadModel<FixedLimit> model(OnePrimaryCarriesReads(), 7,
///                               [] { return FixedLimit(6); });
///   const auto result = model.Run();
///   CHECK(result.routes.at("urgent").InTargetShare() > 0.98);

#include <algorithm>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "kingcuplock/admission/admission_queue.h"
#include "kingcuplock/admission/retry_after.h"
#include "kingcuplock/base/timer_service.h"

namespace kingcuplock {

/// A kind of request that callers send.
struct LoadRoute {
  std::string name;
  /// 0 is the most urgent.
  std::int64_t priority = 1;
  /// Fraction of all requests, relative to the shares of the other routes.
  double share = 1;
  /// Mean time in a slot of the member; the times are log-normally distributed.
  Duration work{};
  /// Latency target, measured from the caller's first attempt.
  Duration target{};
  /// Time from the first attempt after which the caller gives up.
  Duration deadline{};
};

/// A load and the deployment that serves it.
struct LoadScenario {
  /// Name of the load pattern.
  std::string pattern;
  std::size_t instances = 5;
  /// Statements that the member runs at once.
  std::int64_t slots = 5;
  /// Connections that the member accepts from all instances together.
  std::int64_t connections = 34;
  /// Most statements that wait at the member while its slots are in use; it
  /// answers "busy" to more.
  std::size_t member_queue_limit = 40;
  std::vector<LoadRoute> routes;
  /// Offered work, as a multiple of the capacity of the slots.
  double load = 1.3;
  /// Relative shares of the instances in the arrivals; equal shares if empty.
  std::vector<double> weights;
  /// Interval in which `burst_load` replaces `load`.
  Time burst_from{};
  Time burst_to{};
  double burst_load = 0;
  /// Instance that gets no requests before `returns_at`, -1 for none; its
  /// callers use the others until then.
  std::int64_t absent_instance = -1;
  Time returns_at{};
  /// Standard deviation of the logarithm of the times in a slot.
  double work_spread = 0.7;
  /// One-way delay between an instance and the member.
  Duration delay{Milliseconds(1)};
  /// Most attempts of a caller.
  int attempts = 3;
  /// Duration of the run.
  Duration length{Milliseconds(20'000)};
  /// Requests that arrive earlier are not counted: an adaptive limit has no
  /// observations yet.
  Duration warm_up{Milliseconds(3000)};
};

/// Outcomes of the requests of one route, of one instance or of all.
struct LoadOutcome {
  /// Requests, however many attempts each took.
  std::int64_t offered = 0;
  /// Requests answered within the target, and those answered after it.
  std::int64_t in_target = 0;
  std::int64_t late = 0;
  /// Refused attempts.
  std::int64_t refusals = 0;
  /// Callers that reached their deadline without an answer.
  std::int64_t gave_up = 0;
  /// Longest time from an attempt's arrival to its refusal, and the sum of
  /// these times.
  Duration longest_refusal_time{};
  Duration total_refusal_time{};
  /// Longest time that an answered request waited at the instance.
  Duration longest_wait{};

  /// Returns the fraction of requests that were answered within the target, 1
  /// if there are none.
  auto InTargetShare() const -> double {
    return offered == 0
               ? 1
               : static_cast<double>(in_target) / static_cast<double>(offered);
  }
};

/// Result of a run.
struct LoadResult {
  LoadOutcome all;
  std::map<std::string, LoadOutcome> routes;
  std::vector<LoadOutcome> instances;
  /// Latencies of all statements at the member, from sending to the answer.
  std::vector<Duration> member_latencies;
  /// Fraction of the slots' time in which they are in use.
  double slot_utilization = 0;
  /// Fraction of the slots' time spent on answers for which no caller waits any
  /// more or that missed the target.
  double wasted_slot_share = 0;
  /// Statements that the member refused because its queue was full.
  std::int64_t busy_answers = 0;

  /// Returns the median of `member_latencies`, 0 if there are none. Reorders
  /// them.
  auto MedianMemberLatency() -> Duration {
    if (member_latencies.empty()) {
      return {};
    }
    const auto middle =
        member_latencies.begin() +
        static_cast<std::ptrdiff_t>(member_latencies.size() / 2);
    std::nth_element(member_latencies.begin(), middle, member_latencies.end());
    return *middle;
  }
};

/// A limit that doesn't change, to compare the adaptive one with. With the
/// number of an instance's connections it models an instance that has no other
/// limit.
class FixedLimit {
 public:
  explicit FixedLimit(std::int64_t limit) : limit_(limit) {}
  auto MayStart(Time /*now*/, bool /*urgent*/) const -> bool {
    return in_flight_ < limit_;
  }
  static auto PauseEndsAt(Time /*now*/) -> std::optional<Time> {
    return std::nullopt;
  }
  auto NoteStatementSent() -> void { ++in_flight_; }
  auto NoteWaiting() -> void {}
  auto NoteAnswer(Time /*now*/, Duration /*took*/) -> void { --in_flight_; }
  auto NoteBusy(Time /*now*/, Duration /*took*/) -> void { --in_flight_; }

 private:
  std::int64_t limit_;
  std::int64_t in_flight_ = 0;
};

/// Runs a scenario in which each instance sends to the member through a queue
/// and a `Limit` of its own. The same scenario and seed give the same run.
/// `Limit` has the functions of FixedLimit. Not thread safe.
template <typename Limit>
class LoadModel {
 public:
  /// `make_limit` creates the limit of each instance.
  LoadModel(const LoadScenario& scenario,
            std::uint64_t seed,
            std::function<Limit()> make_limit)
      : scenario_(scenario), random_(seed), make_limit_(std::move(make_limit)) {
    for (std::size_t n = 0; n < scenario_.instances; ++n) {
      instances_.push_back(
          std::make_unique<Instance>(make_limit_(), scenario_.slots, seed + n));
    }
    result_.instances.resize(scenario_.instances);
  }

  /// Runs the scenario to its end. May be called once.
  auto Run() -> LoadResult {
    ScheduleArrival();
    const auto end = Time{} + scenario_.length;
    while (const auto due = timers_.NextDue()) {
      if (*due > end) {
        break;
      }
      timers_.AdvanceTo(*due);
    }
    const auto seconds =
        std::chrono::duration<double>(scenario_.length).count();
    result_.slot_utilization =
        used_slot_seconds_ / seconds / static_cast<double>(scenario_.slots);
    result_.wasted_slot_share =
        wasted_slot_seconds_ / seconds / static_cast<double>(scenario_.slots);
    return std::move(result_);
  }

 private:
  struct Request {
    std::size_t route = 0;
    std::size_t instance = 0;
    std::uint64_t caller = 0;
    Time first_arrived{};
    Time arrived{};
    Time sent{};
    int attempts = 0;
    bool done = false;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Instance {
    Instance(Limit limit, std::int64_t slots, std::uint64_t seed)
        : queue(256, slots), limit(std::move(limit)), retry_after(seed) {}
    AdmissionQueue<RequestPtr> queue;
    Limit limit;
    RetryAfter retry_after;
    TimerId pause_timer = 0;
  };

  auto Route(const Request& it) const -> const LoadRoute& {
    return scenario_.routes[it.route];
  }
  // Returns whether the request arrived after the warm-up and reaches its
  // deadline within the run.
  auto IsCounted(const Request& it) const -> bool {
    return it.first_arrived >= Time{} + scenario_.warm_up &&
           it.first_arrived + Route(it).deadline <= Time{} + scenario_.length;
  }
  // Calls `note` for each outcome that includes the request: that of all, of
  // its route and of its instance.
  template <typename Note>
  auto UpdateOutcomes(const Request& it, Note note) -> void {
    if (IsCounted(it)) {
      note(result_.all);
      note(result_.routes[Route(it).name]);
      note(result_.instances[it.instance]);
    }
  }

  auto CurrentLoad() const -> double {
    const auto now = timers_.Now();
    return now >= scenario_.burst_from && now < scenario_.burst_to
               ? scenario_.burst_load
               : scenario_.load;
  }

  auto ScheduleArrival() -> void {
    auto work = 0.0;
    auto shares = 0.0;
    for (const auto& it : scenario_.routes) {
      work += it.share * std::chrono::duration<double>(it.work).count();
      shares += it.share;
    }
    const auto rate =
        CurrentLoad() * static_cast<double>(scenario_.slots) * shares / work;
    const auto gap = std::exponential_distribution<double>(rate)(random_);
    timers_.After(
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(gap)),
        [this] {
          auto request = std::make_shared<Request>();
          std::vector<double> weights;
          for (const auto& it : scenario_.routes) {
            weights.push_back(it.share);
          }
          request->route = std::discrete_distribution<std::size_t>(
              weights.begin(), weights.end())(random_);
          request->caller = ++last_caller_;
          request->first_arrived = timers_.Now();
          request->instance = PickInstance();
          UpdateOutcomes(*request, [](LoadOutcome& it) { ++it.offered; });
          timers_.After(Route(*request).deadline, [this, request] {
            if (!std::exchange(request->done, true)) {
              UpdateOutcomes(*request, [](LoadOutcome& it) { ++it.gave_up; });
              instances_[request->instance]->queue.Remove(request);
            }
          });
          Enqueue(request);
          ScheduleArrival();
        });
  }

  auto PickInstance() -> std::size_t {
    auto weights = scenario_.weights;
    weights.resize(scenario_.instances, scenario_.weights.empty() ? 1 : 0);
    if (scenario_.absent_instance >= 0 &&
        timers_.Now() < scenario_.returns_at) {
      weights[static_cast<std::size_t>(scenario_.absent_instance)] = 0;
    }
    return std::discrete_distribution<std::size_t>(weights.begin(),
                                                   weights.end())(random_);
  }

  auto Enqueue(const RequestPtr& request) -> void {
    ++request->attempts;
    request->arrived = timers_.Now();
    auto& instance = *instances_[request->instance];
    const auto& route = Route(*request);
    const auto refused = instance.queue.Push(
        {route.priority, request->caller, request->arrived + route.target,
         request, route.name},
        timers_.Now());
    for (const auto& it : refused) {
      Refuse(it.item);
    }
    StartQueuedRequests(request->instance);
  }

  auto Refuse(const RequestPtr& request) -> void {
    if (request->done) {
      return;
    }
    const auto held = timers_.Now() - request->arrived;
    UpdateOutcomes(*request, [&](LoadOutcome& it) {
      ++it.refusals;
      it.longest_refusal_time =
          std::max<Duration>(it.longest_refusal_time, held);
      it.total_refusal_time += held;
    });
    if (request->attempts >= scenario_.attempts) {
      request->done = true;
      return;
    }
    auto& instance = *instances_[request->instance];
    const auto wait = instance.retry_after.PickDelayMs(
        instance.queue.ExpectedLatency(Route(*request).priority));
    timers_.After(Milliseconds(wait), [this, request] {
      if (!request->done) {
        request->instance = PickInstance();
        Enqueue(request);
      }
    });
  }

  auto StartQueuedRequests(std::size_t n) -> void {
    auto& instance = *instances_[n];
    std::vector<QueuedItem<RequestPtr>> late;
    const auto may_start = [&](const QueuedItem<RequestPtr>& it) {
      return instance.limit.MayStart(
          timers_.Now(), instance.queue.IsAboveLowestPriority(it.priority));
    };
    while (auto next = instance.queue.PopIf(timers_.Now(), late, may_start)) {
      if (next->item->done) {
        continue;
      }
      instance.limit.NoteStatementSent();
      Send(next->item);
    }
    for (const auto& it : late) {
      Refuse(it.item);
    }
    if (instance.queue.Size() == 0) {
      return;
    }
    instance.limit.NoteWaiting();
    if (const auto next = instance.limit.PauseEndsAt(timers_.Now());
        next && instance.pause_timer == 0) {
      instance.pause_timer = timers_.After(*next - timers_.Now(), [this, n] {
        instances_[n]->pause_timer = 0;
        StartQueuedRequests(n);
      });
    }
  }

  auto Send(const RequestPtr& request) -> void {
    request->sent = timers_.Now();
    timers_.After(scenario_.delay, [this, request, n = request->instance] {
      if (running_at_member_ >= scenario_.slots &&
          waiting_at_member_.size() >= scenario_.member_queue_limit) {
        ++result_.busy_answers;
        timers_.After(scenario_.delay, [this, request, n] {
          instances_[n]->limit.NoteBusy(timers_.Now(),
                                        timers_.Now() - request->sent);
          Refuse(request);
          StartQueuedRequests(n);
        });
        return;
      }
      waiting_at_member_.push_back({request, n});
      StartNextAtMember();
    });
  }

  auto StartNextAtMember() -> void {
    if (running_at_member_ >= scenario_.slots || waiting_at_member_.empty()) {
      return;
    }
    const auto [request, n] = waiting_at_member_.front();
    waiting_at_member_.pop_front();
    ++running_at_member_;
    const auto mean =
        std::chrono::duration<double>(Route(*request).work).count();
    const auto spread = scenario_.work_spread;
    const auto work = std::lognormal_distribution<double>(
        std::log(mean) - spread * spread / 2, spread)(random_);
    timers_.After(std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(work)),
                  [this, request = request, n = n, work] {
                    --running_at_member_;
                    used_slot_seconds_ += work;
                    timers_.After(scenario_.delay, [this, request, n, work] {
                      OnAnswer(request, n, work);
                    });
                    StartNextAtMember();
                  });
  }

  auto OnAnswer(const RequestPtr& request, std::size_t n, double work) -> void {
    auto& instance = *instances_[n];
    const auto now = timers_.Now();
    const auto took = now - request->sent;
    instance.limit.NoteAnswer(now, took);
    instance.queue.NoteServiceTime(took);
    result_.member_latencies.push_back(took);
    const auto in_target = !request->done && now <= request->first_arrived +
                                                        Route(*request).target;
    wasted_slot_seconds_ += in_target ? 0 : work;
    if (!std::exchange(request->done, true)) {
      UpdateOutcomes(*request, [&](LoadOutcome& it) {
        (in_target ? it.in_target : it.late) += 1;
        it.longest_wait = std::max<Duration>(it.longest_wait,
                                             request->sent - request->arrived);
      });
    }
    StartQueuedRequests(n);
  }

  LoadScenario scenario_;
  TimerService timers_;
  std::mt19937_64 random_;
  std::function<Limit()> make_limit_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::deque<std::pair<RequestPtr, std::size_t>> waiting_at_member_;
  std::int64_t running_at_member_ = 0;
  std::uint64_t last_caller_ = 0;
  double used_slot_seconds_ = 0;
  double wasted_slot_seconds_ = 0;
  LoadResult result_;
};

}  // namespace kingcuplock

#pragma once

/// Model of the load that callers put on one group through several instances,
/// on virtual time and without a network: members with slots and a queue of
/// their own, instances with the product's queue and limits, callers that come
/// back when told. A policy is tried here before it is built in.
///
/// Example:
///   auto scenario = OnePrimaryCarriesReads();
///   auto result = RunLoad<ConcurrencyLimit>(scenario, 7);
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

/// One kind of request that callers send.
struct LoadRoute {
  std::string name;
  /// 0 is the most urgent.
  std::int64_t priority = 1;
  /// Part of the requests.
  double share = 1;
  /// Mean time at a member's slot; single times are log-normal around it.
  Duration work{};
  /// Latency target, counted from the caller's first attempt.
  Duration target{};
  /// Time after which the caller gives up.
  Duration deadline{};
};

/// A load and the deployment that it meets.
struct LoadScenario {
  /// The pattern, as a name.
  std::string pattern;
  std::size_t instances = 5;
  std::int64_t slots = 5;
  /// Connections that the member takes from all instances.
  std::int64_t connections = 34;
  /// Statements that wait at the member beyond its slots, at most.
  std::size_t member_queue_limit = 40;
  std::vector<LoadRoute> routes;
  /// Offered work, as a multiple of what the slots can do.
  double load = 1.3;
  /// Weights of the instances in the arrivals; even if empty.
  std::vector<double> weights;
  /// Times during which `burst_load` replaces `load`.
  Time burst_from{};
  Time burst_to{};
  double burst_load = 0;
  /// Instance that takes no requests up to `returns_at`, -1 for none; its
  /// callers use the others meanwhile.
  std::int64_t absent_instance = -1;
  Time returns_at{};
  /// Spread of the times at a slot: standard deviation of their logarithm.
  double work_spread = 0.7;
  /// Way between an instance and the member.
  Duration delay{Milliseconds(1)};
  /// Attempts of one caller.
  int attempts = 3;
  Duration length{Milliseconds(20'000)};
  /// Arrivals before it do not count: what learns has no observation yet.
  Duration warm_up{Milliseconds(3000)};
};

/// What became of one route's requests, or of those of one instance.
struct LoadOutcome {
  std::int64_t offered = 0;
  std::int64_t in_target = 0;
  std::int64_t late = 0;
  std::int64_t refusals = 0;
  /// Callers that gave up without an answer.
  std::int64_t gave_up = 0;
  /// Time from arrival to refusal, at most and in all.
  Duration longest_refusal_time{};
  Duration total_refusal_time{};
  Duration longest_wait{};

  auto InTargetShare() const -> double {
    return offered == 0
               ? 1
               : static_cast<double>(in_target) / static_cast<double>(offered);
  }
};

/// What one run gave.
struct LoadResult {
  LoadOutcome all;
  std::map<std::string, LoadOutcome> routes;
  std::vector<LoadOutcome> instances;
  /// Times at the member, from the send to the answer.
  std::vector<Duration> member_latencies;
  /// Part of the slots' time in use.
  double slot_utilization = 0;
  /// Part of the slots' time spent on answers that nobody waited for, or that
  /// missed the target.
  double wasted_slot_share = 0;
  std::int64_t busy_answers = 0;

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

/// A limit that does not change, as a rival of the one that learns. With an
/// instance's connections it is what an instance does that counts nothing else.
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

/// Runs a scenario in which each instance has one queue and one `Limit` before
/// the member. The same scenario and seed give the same run.
template <typename Limit>
class LoadModel {
 public:
  /// `make_limit` returns the limit of one instance.
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
        busy_seconds_ / seconds / static_cast<double>(scenario_.slots);
    result_.wasted_slot_share =
        wasted_seconds_ / seconds / static_cast<double>(scenario_.slots);
    return std::move(result_);
  }

 private:
  struct Request {
    std::size_t route = 0;
    std::size_t instance = 0;
    std::uint64_t caller = 0;
    Time first{};
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
    TimerId pump_timer = 0;
  };

  auto Route(const Request& it) const -> const LoadRoute& {
    return scenario_.routes[it.route];
  }
  auto Counts(const Request& it) const -> bool {
    return it.first >= Time{} + scenario_.warm_up &&
           it.first + Route(it).deadline <= Time{} + scenario_.length;
  }
  // Notes something of a request for all, its route and its instance.
  template <typename Note>
  auto Tally(const Request& it, Note note) -> void {
    if (Counts(it)) {
      note(result_.all);
      note(result_.routes[Route(it).name]);
      note(result_.instances[it.instance]);
    }
  }

  auto Load() const -> double {
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
        Load() * static_cast<double>(scenario_.slots) * shares / work;
    const auto gap = std::exponential_distribution<double>(rate)(random_);
    timers_.After(std::chrono::duration_cast<Duration>(
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
                    request->first = timers_.Now();
                    request->instance = PickInstance();
                    Tally(*request, [](LoadOutcome& it) { ++it.offered; });
                    timers_.After(Route(*request).deadline, [this, request] {
                      if (!std::exchange(request->done, true)) {
                        Tally(*request, [](LoadOutcome& it) { ++it.gave_up; });
                        instances_[request->instance]->queue.Remove(request);
                      }
                    });
                    Arrive(request);
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

  auto Arrive(const RequestPtr& request) -> void {
    ++request->attempts;
    request->arrived = timers_.Now();
    auto& instance = *instances_[request->instance];
    const auto& route = Route(*request);
    const auto shed = instance.queue.Push(
        {route.priority, request->caller, request->arrived + route.target,
         request, route.name},
        timers_.Now());
    for (const auto& it : shed) {
      Refuse(it.item);
    }
    Pump(request->instance);
  }

  auto Refuse(const RequestPtr& request) -> void {
    if (request->done) {
      return;
    }
    const auto held = timers_.Now() - request->arrived;
    Tally(*request, [&](LoadOutcome& it) {
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
        Arrive(request);
      }
    });
  }

  auto Pump(std::size_t n) -> void {
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
        next && instance.pump_timer == 0) {
      instance.pump_timer = timers_.After(*next - timers_.Now(), [this, n] {
        instances_[n]->pump_timer = 0;
        Pump(n);
      });
    }
  }

  auto Send(const RequestPtr& request) -> void {
    request->sent = timers_.Now();
    timers_.After(scenario_.delay, [this, request, n = request->instance] {
      if (running_ >= scenario_.slots &&
          waiting_.size() >= scenario_.member_queue_limit) {
        ++result_.busy_answers;
        timers_.After(scenario_.delay, [this, request, n] {
          instances_[n]->limit.NoteBusy(timers_.Now(),
                                        timers_.Now() - request->sent);
          Refuse(request);
          Pump(n);
        });
        return;
      }
      waiting_.push_back({request, n});
      RunNext();
    });
  }

  auto RunNext() -> void {
    if (running_ >= scenario_.slots || waiting_.empty()) {
      return;
    }
    const auto [request, n] = waiting_.front();
    waiting_.pop_front();
    ++running_;
    const auto mean =
        std::chrono::duration<double>(Route(*request).work).count();
    const auto spread = scenario_.work_spread;
    const auto work = std::lognormal_distribution<double>(
        std::log(mean) - spread * spread / 2, spread)(random_);
    timers_.After(std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(work)),
                  [this, request = request, n = n, work] {
                    --running_;
                    busy_seconds_ += work;
                    timers_.After(scenario_.delay, [this, request, n, work] {
                      OnAnswer(request, n, work);
                    });
                    RunNext();
                  });
  }

  auto OnAnswer(const RequestPtr& request, std::size_t n, double work) -> void {
    auto& instance = *instances_[n];
    const auto now = timers_.Now();
    const auto took = now - request->sent;
    instance.limit.NoteAnswer(now, took);
    instance.queue.NoteServiceTime(took);
    result_.member_latencies.push_back(took);
    const auto in_target =
        !request->done && now <= request->first + Route(*request).target;
    wasted_seconds_ += in_target ? 0 : work;
    if (!std::exchange(request->done, true)) {
      Tally(*request, [&](LoadOutcome& it) {
        (in_target ? it.in_target : it.late) += 1;
        it.longest_wait = std::max<Duration>(it.longest_wait,
                                             request->sent - request->arrived);
      });
    }
    Pump(n);
  }

  LoadScenario scenario_;
  TimerService timers_;
  std::mt19937_64 random_;
  std::function<Limit()> make_limit_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::deque<std::pair<RequestPtr, std::size_t>> waiting_;
  std::int64_t running_ = 0;
  std::uint64_t last_caller_ = 0;
  double busy_seconds_ = 0;
  double wasted_seconds_ = 0;
  LoadResult result_;
};

}  // namespace kingcuplock

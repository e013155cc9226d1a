/// Sends bookings and listings at a multiple of the capacity of one primary, on
/// virtual time with real nodes. Prints goodput, latency by kind and how evenly
/// the retry times of refused requests are spread.
///
/// Example:
///   benchmark-admission --multiple 10 --seconds 60

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

/// Options of the command line.
struct BurstOptions {
  /// Offered rate over the measured capacity.
  double capacity_multiple = 10;
  /// Length of the burst in virtual time.
  int seconds = 60;
  std::int64_t service_us = 10'000;
  std::int64_t patience_ms = 2000;
  /// Percentage of bookings among the requests.
  int bookings_percent = 20;
  std::uint64_t seed = 1;
};

/// Requests in flight while the capacity is measured.
constexpr int kOutstandingRequests = 16;
constexpr Duration kSecond = Milliseconds(1000);

auto MakeFixtureOptions(const BurstOptions& options) -> NodeFixtureOptions {
  NodeFixtureOptions out;
  out.seed = options.seed;
  out.nodes = 2;
  out.service_us = options.service_us;
  return out;
}

/// Returns request number `n`: a booking writes a row, a listing reads one.
auto MakeRequest(NodeFixture& fixture, int n, bool booking) -> CallerRequest {
  const auto id = "r" + std::to_string(n);
  const auto row = "row" + std::to_string(n % 100);
  auto request = booking ? fixture.MakeAppendRequest(id, row, "x")
                         : fixture.MakeReadRequest(id, "fresh", row);
  if (booking) {
    request.statements.front().verb = Verb::kPut;
  }
  return request;
}

/// Gives bookings priority over listings, as the manifests in examples/ do.
void SetPriorities(NodeFixture& fixture) {
  constexpr std::int64_t kListingPriority = 6;
  auto manifest = fixture.manifest();
  manifest.version += 1;
  for (auto& it : manifest.databases.front().kinds) {
    it.priority = it.access == Access::kWrite ? 0 : kListingPriority;
  }
  fixture.PublishManifest(manifest);
  fixture.RunFor(kSecond);
}

/// Returns the answers per second while requests always wait for a slot.
auto MeasureCapacity(const BurstOptions& options) -> double {
  NodeFixture fixture(MakeFixtureOptions(options));
  fixture.RunUntilServing();
  SetPriorities(fixture);
  constexpr int kSeconds = 5;
  const auto until = fixture.Now() + kSeconds * kSecond;
  auto sent = 0;
  while (fixture.Now() < until) {
    while (sent - static_cast<int>(fixture.answers().size()) <
           kOutstandingRequests) {
      ++sent;
      fixture.Send(
          0, MakeRequest(fixture, sent, sent % 100 < options.bookings_percent));
    }
    fixture.RunFor(Duration(500));
  }
  return static_cast<double>(fixture.answers().size()) / kSeconds;
}

/// Counts and latencies of the answers to bookings or to listings.
struct KindResult {
  int sent = 0;
  int ok = 0;
  int not_run = 0;
  int other = 0;
  std::vector<std::int64_t> ok_us;
  std::vector<std::int64_t> refused_us;
};

/// Returns a quantile in ms of values in microseconds, 0 for none.
auto Quantile(std::vector<std::int64_t> values, double q) -> double {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  constexpr double kUsPerMs = 1000;
  return static_cast<double>(values[static_cast<std::size_t>(last * q)]) /
         kUsPerMs;
}

void CountAnswer(KindResult& kind, const ReceivedAnswer& it) {
  const auto took = (it.answered - it.asked).count();
  if (it.answer.status == Status::kOk) {
    ++kind.ok;
    kind.ok_us.push_back(took);
  } else if (it.answer.status == Status::kNotRun) {
    ++kind.not_run;
    kind.refused_us.push_back(took);
  } else {
    ++kind.other;
  }
}

void PrintKind(const std::string& name, const KindResult& it) {
  fmt::print(
      "{}: sent {} ok {} ({:.1f}%) not_run {} other {}; ok p50 {:.1f} ms "
      "p99 {:.1f} ms; refused p50 {:.1f} ms p99 {:.1f} ms\n",
      name, it.sent, it.ok, 100.0 * it.ok / std::max(it.sent, 1), it.not_run,
      it.other, Quantile(it.ok_us, 0.5), Quantile(it.ok_us, 0.99),
      Quantile(it.refused_us, 0.5), Quantile(it.refused_us, 0.99));
}

/// Prints how many refused requests are told to retry in the busiest 100 ms,
/// relative to the mean.
void PrintRetryTimes(const std::vector<ReceivedAnswer>& answers) {
  constexpr std::int64_t kBucketMs = 100;
  std::map<std::int64_t, int> buckets;
  auto total = 0;
  for (const auto& it : answers) {
    if (it.answer.status == Status::kNotRun) {
      const auto at = std::chrono::floor<Milliseconds>(it.answered)
                          .time_since_epoch()
                          .count() +
                      it.answer.retry_after_ms;
      ++buckets[at / kBucketMs];
      ++total;
    }
  }
  if (buckets.empty()) {
    return;
  }
  auto most = 0;
  for (const auto& [bucket, n] : buckets) {
    most = std::max(most, n);
  }
  fmt::print(
      "returns: busiest 100 ms {:.2f} times the mean\n",
      static_cast<double>(most) * static_cast<double>(buckets.size()) / total);
}

void RunBurst(const BurstOptions& options) {
  const auto capacity = MeasureCapacity(options);
  NodeFixture fixture(MakeFixtureOptions(options));
  fixture.RunUntilServing();
  SetPriorities(fixture);
  const auto rate = capacity * options.capacity_multiple;
  const auto sends = static_cast<int>(rate * options.seconds);
  const auto began = fixture.Now();
  std::map<bool, KindResult> kinds;
  for (auto n = 0; n < sends; ++n) {
    const auto due =
        began + Duration(static_cast<std::int64_t>(n * 1e6 / rate));
    fixture.RunFor(std::max(due - fixture.Now(), Duration::zero()));
    const auto booking =
        static_cast<int>(fixture.random()() % 100) < options.bookings_percent;
    auto request = MakeRequest(fixture, n, booking);
    request.patience_ms = options.patience_ms;
    ++kinds[booking].sent;
    fixture.Send(static_cast<std::size_t>(n) % 2, request);
  }
  const auto ended = fixture.Now();
  fixture.RunFor(Milliseconds(options.patience_ms) + kSecond);
  auto good = 0;
  for (const auto& it : fixture.answers()) {
    CountAnswer(kinds[it.request.kind == "write"], it);
    good += it.answer.status == Status::kOk && it.answered <= ended ? 1 : 0;
  }
  fmt::print("capacity {:.0f}/s, offered {:.0f}/s for {} s, seed {}\n",
             capacity, rate, options.seconds, options.seed);
  fmt::print("goodput {:.1f}% of capacity\n",
             100.0 * good / (capacity * options.seconds));
  PrintKind("bookings", kinds[true]);
  PrintKind("listings", kinds[false]);
  PrintRetryTimes(fixture.answers());
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"Burst of requests at a multiple of one primary's capacity"};
  kingcuplock::BurstOptions options;
  app.add_option("--multiple", options.capacity_multiple,
                 "Offered rate as a multiple of the capacity");
  app.add_option("--seconds", options.seconds, "Length in s of virtual time");
  app.add_option("--service-us", options.service_us,
                 "Time in us that a member takes for a request");
  app.add_option("--patience-ms", options.patience_ms,
                 "Time in ms for which a request waits");
  app.add_option("--bookings", options.bookings_percent,
                 "Percentage of bookings");
  app.add_option("--seed", options.seed, "Seed");
  CLI11_PARSE(app, argc, argv);
  kingcuplock::RunBurst(options);
  return 0;
}

#include "programs/load/load_result.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "kingcuplock/manifest/manifest_check.h"

namespace kingcuplock {
namespace {

constexpr std::int64_t kUsPerMs = 1000;
constexpr std::int64_t kUsPerSecond = 1'000'000;
constexpr double kMedian = 0.5;
constexpr double kNinetyNinthPercentile = 0.99;
constexpr double kPercent = 100.0;

/// Returns the quantile of sorted values by nearest rank, 0 if there are none.
auto Quantile(const std::vector<std::int64_t>& sorted, double probability)
    -> std::int64_t {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank = std::ceil(probability * static_cast<double>(sorted.size()));
  return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

/// Returns the sorted latencies in microseconds of the operations answered ok.
auto CollectOkLatencies(std::vector<const Operation*> operations)
    -> std::vector<std::int64_t> {
  std::vector<std::int64_t> out;
  for (const auto* it : operations) {
    if (it->outcome == OperationOutcome::kOk) {
      out.push_back(it->answered_us - it->due_us);
    }
  }
  std::sort(out.begin(), out.end());
  return out;
}

void AddToSummary(const Operation& operation,
                  std::int64_t target_ms,
                  KindSummary& out) {
  ++out.sent;
  const auto late =
      operation.answered_us - operation.due_us > target_ms * kUsPerMs;
  switch (operation.outcome) {
    case OperationOutcome::kOk:
      ++out.ok;
      out.within_target += late ? 0 : 1;
      out.from_replica += operation.from_replica ? 1 : 0;
      break;
    case OperationOutcome::kFailed:
      ++out.failed;
      break;
    case OperationOutcome::kNotRun:
      ++out.not_run;
      break;
    case OperationOutcome::kUnknown:
      ++out.unknown;
      break;
  }
}

auto SummariseKinds(const History& history, const Manifest& manifest)
    -> std::vector<KindSummary> {
  std::map<std::string, std::vector<const Operation*>> by_kind;
  for (const auto& it : history.operations) {
    by_kind[it.kind].push_back(&it);
  }
  std::vector<KindSummary> out;
  for (const auto& [kind, operations] : by_kind) {
    KindSummary summary;
    summary.kind = kind;
    for (const auto* it : operations) {
      const auto* database = FindDatabase(manifest, it->database);
      const auto* config =
          database == nullptr ? nullptr : FindKind(*database, kind);
      if (config != nullptr) {
        AddToSummary(*it, config->target_ms, summary);
        summary.replica_allowed |= config->max_age_ms > 0;
      }
    }
    const auto latencies = CollectOkLatencies(operations);
    summary.p50_us = Quantile(latencies, kMedian);
    summary.p99_us = Quantile(latencies, kNinetyNinthPercentile);
    summary.max_us = latencies.empty() ? 0 : latencies.back();
    out.push_back(std::move(summary));
  }
  return out;
}

auto FindLongestWriteGap(const History& history,
                         const std::string& database,
                         std::int64_t duration_ms) -> WriteGap {
  std::vector<std::int64_t> times{0, duration_ms * kUsPerMs};
  for (const auto& it : history.operations) {
    if (it.is_write() && it.outcome == OperationOutcome::kOk &&
        it.database == database) {
      times.push_back(it.answered_us);
    }
  }
  std::sort(times.begin(), times.end());
  WriteGap out;
  out.database = database;
  for (std::size_t n = 1; n < times.size(); ++n) {
    const auto gap = (times[n] - times[n - 1]) / kUsPerMs;
    if (gap > out.longest_ms) {
      out.longest_ms = gap;
      out.began_ms = times[n - 1] / kUsPerMs;
    }
  }
  return out;
}

auto BuildTimeline(const History& history) -> std::vector<SecondSummary> {
  std::map<std::int64_t, std::vector<const Operation*>> by_second;
  for (const auto& it : history.operations) {
    by_second[it.due_us / kUsPerSecond].push_back(&it);
  }
  std::vector<SecondSummary> out;
  for (const auto& [second, operations] : by_second) {
    const auto latencies = CollectOkLatencies(operations);
    SecondSummary summary;
    summary.second = second;
    summary.ok = static_cast<std::int64_t>(latencies.size());
    summary.not_ok = static_cast<std::int64_t>(operations.size()) - summary.ok;
    summary.p50_us = Quantile(latencies, kMedian);
    summary.p99_us = Quantile(latencies, kNinetyNinthPercentile);
    out.push_back(summary);
  }
  return out;
}

auto ComputeReplicaPercent(const std::vector<KindSummary>& kinds) -> double {
  std::int64_t ok = 0;
  std::int64_t replica = 0;
  for (const auto& it : kinds) {
    if (it.replica_allowed) {
      ok += it.ok;
      replica += it.from_replica;
    }
  }
  return ok == 0 ? 0
                 : kPercent * static_cast<double>(replica) /
                       static_cast<double>(ok);
}

}  // namespace

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadProfile,
                                   seed,
                                   rate_per_s,
                                   duration_ms,
                                   sessions,
                                   roam_percent,
                                   patience_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KindSummary,
                                   kind,
                                   sent,
                                   ok,
                                   failed,
                                   not_run,
                                   unknown,
                                   within_target,
                                   from_replica,
                                   replica_allowed,
                                   p50_us,
                                   p99_us,
                                   max_us)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WriteGap, database, longest_ms, began_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SecondSummary,
                                   second,
                                   ok,
                                   not_ok,
                                   p50_us,
                                   p99_us)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AppliedFault, at_ms, text, answer)

void to_json(nlohmann::json& out, const LoadResult& value) {
  out = {{"profile", value.profile},
         {"kinds", value.kinds},
         {"gaps", value.gaps},
         {"timeline", value.timeline},
         {"faults", value.faults},
         {"not_sent", value.not_sent},
         {"replica_percent", value.replica_percent},
         {"violations", value.violations},
         {"violation_texts", value.violation_texts}};
}

void from_json(const nlohmann::json& in, LoadResult& value) {
  in.at("profile").get_to(value.profile);
  in.at("kinds").get_to(value.kinds);
  in.at("gaps").get_to(value.gaps);
  in.at("timeline").get_to(value.timeline);
  in.at("faults").get_to(value.faults);
  in.at("not_sent").get_to(value.not_sent);
  in.at("replica_percent").get_to(value.replica_percent);
  in.at("violations").get_to(value.violations);
  in.at("violation_texts").get_to(value.violation_texts);
}

auto SummariseHistory(const History& history,
                      const Manifest& manifest,
                      const LoadProfile& profile) -> LoadResult {
  LoadResult out;
  out.profile = profile;
  out.kinds = SummariseKinds(history, manifest);
  for (const auto& it : manifest.databases) {
    out.gaps.push_back(
        FindLongestWriteGap(history, it.name, profile.duration_ms));
  }
  out.timeline = BuildTimeline(history);
  out.replica_percent = ComputeReplicaPercent(out.kinds);
  return out;
}

}  // namespace kingcuplock

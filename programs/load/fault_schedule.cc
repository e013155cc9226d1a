#include "programs/load/fault_schedule.h"

#include <algorithm>
#include <charconv>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

auto ResolveTarget(const std::string& target, const Manifest& manifest)
    -> std::string {
  if (target == "store") {
    return {};
  }
  if (target.starts_with('#')) {
    std::size_t n = 0;
    const auto* end = target.data() + target.size();
    const auto [stop, ec] = std::from_chars(target.data() + 1, end, n);
    if (ec == std::errc() && stop == end && n < manifest.databases.size()) {
      return manifest.databases[n].name;
    }
  }
  if (FindDatabase(manifest, target) != nullptr) {
    return target;
  }
  throw FaultScheduleError("unknown target \"" + target +
                           "\"; write store, the name of a database in the "
                           "manifest, or #N for its Nth database, from 0");
}

auto ParseFault(const nlohmann::json& in, const Manifest& manifest)
    -> ScheduledFault {
  ScheduledFault out;
  std::string target;
  internal::RequireObject(in, "fault");
  internal::ReadRequired(in, "at_ms", out.at_ms);
  internal::ReadRequired(in, "target", target);
  internal::ReadRequired(in, "action", out.command.action);
  internal::ReadOptional(in, "member", out.command.member);
  internal::ReadOptional(in, "ms", out.command.ms);
  internal::ReadOptional(in, "count", out.command.count);
  out.database = ResolveTarget(target, manifest);
  if (out.at_ms < 0) {
    throw FaultScheduleError(
        "at_ms is negative; give the time in ms since the start of the run");
  }
  return out;
}

}  // namespace

auto ParseFaultSchedule(std::string_view text, const Manifest& manifest)
    -> std::vector<ScheduledFault> {
  std::vector<ScheduledFault> out;
  try {
    const auto json = DecodeFrame(text, FrameFormat::kJson);
    const auto faults = json.is_object() ? json.find("faults") : json.end();
    if (faults == json.end() || !faults->is_array()) {
      throw FaultScheduleError(
          "the list \"faults\" is missing; write {\"faults\": []}");
    }
    for (const auto& it : *faults) {
      out.push_back(ParseFault(it, manifest));
    }
  } catch (const SchemaError& ex) {
    throw FaultScheduleError(ex.what());
  }
  std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return a.at_ms < b.at_ms;
  });
  return out;
}

}  // namespace kingcuplock

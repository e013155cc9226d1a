#include "kingcuplock/manifest/manifest_check.h"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "kingcuplock/schema/codec.h"
#include "kingcuplock/schema/schema_check.h"

namespace kingcuplock {
namespace {

auto FormatFaults(const std::vector<ManifestFault>& faults) -> std::string {
  std::string out = "the manifest has faults:";
  for (const auto& it : faults) {
    out += fmt::format(" [{}] {};", it.pointer, it.remedy);
  }
  return out;
}

/// Checks the rules between the fields of a manifest that the schema can't
/// express.
class ManifestCrossChecker {
 public:
  /// Returns the faults of all databases checked so far.
  auto TakeFaults() -> std::vector<ManifestFault> { return std::move(faults_); }

  void CheckDatabase(const DatabaseConfig& database, const std::string& at) {
    RequireUnique(databases_, database.name, at + "/name", "database");
    if (database.name.find_first_of("/;") != std::string::npos) {
      AddFault(at + "/name", "contains '/' or ';'; use other characters");
    }
    for (std::size_t n = 0; n < database.members.size(); ++n) {
      const auto pointer = fmt::format("{}/members/{}", at, n);
      const auto& member = database.members[n];
      RequireUnique(members_, member.name, pointer + "/name", "member");
      RequireUnique(addresses_, fmt::format("{}:{}", member.host, member.port),
                    pointer, "address");
    }
    std::set<std::string> kinds;
    for (std::size_t n = 0; n < database.kinds.size(); ++n) {
      CheckKind(database.kinds[n], kinds, fmt::format("{}/kinds/{}", at, n));
    }
    if (database.connections <= database.slots) {
      AddFault(
          at + "/connections",
          "is not greater than slots; allow more connections or fewer slots");
    }
    if (database.acknowledgement == AcknowledgementMode::kReplicated &&
        database.members.size() < 2) {
      AddFault(
          at + "/members",
          "has no replica for acknowledgement \"replicated\"; add one or use "
          "\"primary\"");
    }
  }

 private:
  void CheckKind(const KindConfig& kind,
                 std::set<std::string>& names,
                 const std::string& at) {
    RequireUnique(names, kind.name, at + "/name", "kind");
    if (kind.access == Access::kWrite && kind.max_age_ms != 0) {
      AddFault(at + "/max_age_ms", "is allowed for reads only; remove it");
    }
    if (kind.access == Access::kRead && kind.repeatable) {
      AddFault(at + "/repeatable", "is allowed for writes only; remove it");
    }
  }

  void RequireUnique(std::set<std::string>& seen,
                     const std::string& value,
                     const std::string& pointer,
                     std::string_view what) {
    if (!seen.insert(value).second) {
      AddFault(pointer,
               fmt::format("repeats the {} {}; make it unique", what, value));
    }
  }

  void AddFault(std::string pointer, std::string remedy) {
    faults_.push_back({std::move(pointer), std::move(remedy)});
  }

  std::vector<ManifestFault> faults_;
  std::set<std::string> databases_;
  std::set<std::string> members_;
  std::set<std::string> addresses_;
};

/// Returns the violations of the schema, each with the value expected there.
/// "Failed to validate" only repeats for an outer value that an inner one has a
/// fault, so it is dropped where the inner fault is reported.
auto CheckSchema(std::string_view text) -> std::vector<ManifestFault> {
  const auto faults = ValidateAgainstSchema(kManifestSchema, text);
  std::vector<ManifestFault> out;
  for (const auto& it : faults) {
    const auto is_generic = it.description.starts_with("Failed to validate");
    const auto has_cause =
        is_generic &&
        std::any_of(faults.begin(), faults.end(), [&](auto& other) {
          const auto specific =
              !other.description.starts_with("Failed to validate");
          return specific && other.pointer.starts_with(it.pointer);
        });
    if (has_cause) {
      continue;
    }
    const auto expected = DescribeSchemaAt(kManifestSchema, it.pointer);
    const ManifestFault fault{it.pointer,
                              expected.empty()
                                  ? it.description
                                  : it.description + " Expected: " + expected};
    const auto known = std::any_of(out.begin(), out.end(), [&](auto& other) {
      return other.pointer == fault.pointer && other.remedy == fault.remedy;
    });
    if (!known) {
      out.push_back(fault);
    }
  }
  return out;
}

}  // namespace

ManifestError::ManifestError(std::vector<ManifestFault> faults)
    : std::runtime_error(FormatFaults(faults)), faults_(std::move(faults)) {}

auto CheckManifest(std::string_view text) -> std::vector<ManifestFault> {
  auto faults = CheckSchema(text);
  const auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object() || !document.contains("databases") ||
      !document["databases"].is_array()) {
    return faults;
  }
  // A database that can't be decoded has violations of the schema, which are
  // reported already.
  ManifestCrossChecker check;
  for (std::size_t n = 0; n < document["databases"].size(); ++n) {
    try {
      check.CheckDatabase(document["databases"][n].get<DatabaseConfig>(),
                          fmt::format("/databases/{}", n));
    } catch (const SchemaError&) {
      continue;
    }
  }
  for (auto& it : check.TakeFaults()) {
    faults.push_back(std::move(it));
  }
  return faults;
}

auto CheckManifestChange(const Manifest& active, const Manifest& next)
    -> std::vector<ManifestFault> {
  std::vector<ManifestFault> faults;
  for (std::size_t n = 0; n < next.databases.size(); ++n) {
    const auto& database = next.databases[n];
    const auto* before = FindDatabase(active, database.name);
    if (before == nullptr) {
      continue;
    }
    const auto gone = std::count_if(
        before->members.begin(), before->members.end(), [&](const auto& it) {
          return std::find(database.members.begin(), database.members.end(),
                           it) == database.members.end();
        });
    if (gone > 1) {
      faults.push_back(
          {fmt::format("/databases/{}/members", n),
           fmt::format("removes {} members of {} at once, which could lose "
                       "acknowledged writes; remove one with each version",
                       gone, database.name)});
    }
  }
  return faults;
}

auto ParseManifest(std::string_view text) -> Manifest {
  auto faults = CheckManifest(text);
  if (!faults.empty()) {
    throw ManifestError(std::move(faults));
  }
  return DecodeFrame(text, FrameFormat::kJson).get<Manifest>();
}

auto FindDatabase(const Manifest& manifest, std::string_view name)
    -> const DatabaseConfig* {
  const auto it =
      std::find_if(manifest.databases.begin(), manifest.databases.end(),
                   [name](const auto& entry) { return entry.name == name; });
  return it == manifest.databases.end() ? nullptr : &*it;
}

auto FindKind(const DatabaseConfig& database, std::string_view name)
    -> const KindConfig* {
  const auto it =
      std::find_if(database.kinds.begin(), database.kinds.end(),
                   [name](const auto& entry) { return entry.name == name; });
  return it == database.kinds.end() ? nullptr : &*it;
}

}  // namespace kingcuplock

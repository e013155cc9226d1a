#include "kingcuplock/manifest/manifest_check.h"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "kingcuplock/schema/codec.h"
#include "kingcuplock/schema/schema_check.h"

namespace kingcuplock {
namespace {

auto Summary(const std::vector<ManifestFault>& faults) -> std::string {
  std::string out = "the manifest has faults:";
  for (const auto& it : faults) {
    out += fmt::format(" [{}] {};", it.pointer, it.remedy);
  }
  return out;
}

class CrossCheck {
 public:
  auto Run(const Manifest& manifest) -> std::vector<ManifestFault> {
    for (std::size_t n = 0; n < manifest.databases.size(); ++n) {
      CheckDatabase(manifest.databases[n], fmt::format("/databases/{}", n));
    }
    return std::move(faults_);
  }

 private:
  void CheckDatabase(const DatabaseConfig& database, const std::string& at) {
    Unique(databases_, database.name, at + "/name", "database");
    if (database.name.find_first_of("/;") != std::string::npos) {
      Add(at + "/name", "holds '/' or ';'; use other characters");
    }
    for (std::size_t n = 0; n < database.members.size(); ++n) {
      const auto place = fmt::format("{}/members/{}", at, n);
      const auto& member = database.members[n];
      Unique(members_, member.name, place + "/name", "member");
      Unique(addresses_, fmt::format("{}:{}", member.host, member.port), place,
             "address");
    }
    std::set<std::string> kinds;
    for (std::size_t n = 0; n < database.kinds.size(); ++n) {
      CheckKind(database.kinds[n], kinds, fmt::format("{}/kinds/{}", at, n));
    }
    if (database.connections <= database.slots) {
      Add(at + "/connections",
          "is not larger than slots; allow more connections or fewer slots");
    }
    if (database.acknowledgement == AcknowledgementMode::kReplicated &&
        database.members.size() < 2) {
      Add(at + "/members",
          "has no replica for acknowledgement \"replicated\"; add one or use "
          "\"primary\"");
    }
  }

  void CheckKind(const KindConfig& kind,
                 std::set<std::string>& names,
                 const std::string& at) {
    Unique(names, kind.name, at + "/name", "kind");
    if (kind.access == Access::kWrite && kind.max_age_ms != 0) {
      Add(at + "/max_age_ms", "is for reads only; remove it");
    }
    if (kind.access == Access::kRead && kind.repeatable) {
      Add(at + "/repeatable", "is for writes only; remove it");
    }
  }

  void Unique(std::set<std::string>& seen,
              const std::string& value,
              const std::string& pointer,
              std::string_view what) {
    if (!seen.insert(value).second) {
      Add(pointer,
          fmt::format("repeats the {} {}; make it unique", what, value));
    }
  }

  void Add(std::string pointer, std::string remedy) {
    faults_.push_back({std::move(pointer), std::move(remedy)});
  }

  std::vector<ManifestFault> faults_;
  std::set<std::string> databases_;
  std::set<std::string> members_;
  std::set<std::string> addresses_;
};

}  // namespace

ManifestError::ManifestError(std::vector<ManifestFault> faults)
    : std::runtime_error(Summary(faults)), faults_(std::move(faults)) {}

auto CheckManifest(std::string_view text) -> std::vector<ManifestFault> {
  std::vector<ManifestFault> faults;
  for (auto& it : CheckAgainst(kManifestSchema, text)) {
    faults.push_back({std::move(it.pointer), std::move(it.description)});
  }
  if (!faults.empty()) {
    return faults;
  }
  try {
    return CrossCheck().Run(
        DecodeFrame(text, FrameFormat::kJson).get<Manifest>());
  } catch (const SchemaError& ex) {
    return {{"", ex.what()}};
  }
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

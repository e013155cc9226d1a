#include "programs/publish/manifest_diff.h"

#include <map>
#include <string_view>
#include <utility>

namespace kingcuplock {
namespace {

/// A field of the manifest and the effect of a change of it on callers.
struct FieldEffect {
  std::string_view field;
  std::string_view effect;
};

constexpr FieldEffect kFieldEffects[] = {
    {"slots", "more or fewer statements run at once; the owner restarts"},
    {"connections", "more or fewer connections; the owner restarts"},
    {"acknowledgement", "when a write counts as acknowledged"},
    {"marker_retention_ms", "how old a repeated request id may be"},
    {"loss_allowed_after_ms", "when a failover may lose acknowledged writes"},
    {"access", "whether requests of the kind may write"},
    {"max_age_ms", "how old the data of reads may be, so who serves them"},
    {"repeatable", "whether requests of the kind may run more than once"},
    {"priority", "which requests are served first under load"},
    {"objective_percent", "the service level that is reported"},
    {"target_ms", "the service level that is reported"},
    {"host", "where the member is reached"},
    {"port", "where the member is reached"},
    {"data_centre", "which members are near"},
};

auto EffectOnCallers(std::string_view field) -> std::string {
  for (const auto& it : kFieldEffects) {
    if (it.field == field) {
      return std::string(it.effect);
    }
  }
  return "see the schema of the manifest";
}

/// Collects the differences of two JSON trees. Items of lists are matched by
/// their names.
class ManifestDiffer {
 public:
  void CompareObjects(const std::string& field_path,
                      const nlohmann::json& before,
                      const nlohmann::json& after) {
    auto fields = before;
    fields.update(after);
    for (const auto& [field, value] : fields.items()) {
      if (field == "name") {
        continue;
      }
      const auto old_value = before.value(field, nlohmann::json());
      const auto new_value = after.value(field, nlohmann::json());
      const auto child_path =
          field_path.empty() ? field : field_path + "/" + field;
      if (value.is_array()) {
        CompareLists(child_path, old_value, new_value);
      } else if (old_value != new_value) {
        changes_.push_back(
            {child_path, old_value, new_value, EffectOnCallers(field)});
      }
    }
  }

  void CompareLists(const std::string& field_path,
                    const nlohmann::json& before,
                    const nlohmann::json& after) {
    const auto old_items = IndexByName(before);
    const auto new_items = IndexByName(after);
    for (const auto& [name, item] : old_items) {
      const auto it = new_items.find(name);
      if (it == new_items.end()) {
        changes_.push_back({field_path + "/" + name, item, nlohmann::json(),
                            "requests that need it are rejected"});
      } else {
        CompareObjects(field_path + "/" + name, item, it->second);
      }
    }
    for (const auto& [name, item] : new_items) {
      if (!old_items.contains(name)) {
        changes_.push_back({field_path + "/" + name, nlohmann::json(), item,
                            "becomes available"});
      }
    }
  }

  auto TakeChanges() -> std::vector<ManifestChange> {
    return std::move(changes_);
  }

 private:
  static auto IndexByName(const nlohmann::json& list)
      -> std::map<std::string, nlohmann::json> {
    std::map<std::string, nlohmann::json> out;
    for (const auto& it : list) {
      out[it.at("name").get<std::string>()] = it;
    }
    return out;
  }

  std::vector<ManifestChange> changes_;
};

}  // namespace

auto DiffManifests(const Manifest& before, const Manifest& after)
    -> std::vector<ManifestChange> {
  ManifestDiffer manifest_differ;
  manifest_differ.CompareLists(
      "databases",
      nlohmann::json(before).value("databases", nlohmann::json::array()),
      nlohmann::json(after).value("databases", nlohmann::json::array()));
  return manifest_differ.TakeChanges();
}

auto ToJson(const std::vector<ManifestChange>& changes) -> nlohmann::json {
  auto out = nlohmann::json::array();
  for (const auto& it : changes) {
    out.push_back({{"place", it.field_path},
                   {"before", it.before},
                   {"after", it.after},
                   {"effect", it.effect}});
  }
  return out;
}

}  // namespace kingcuplock

#include "programs/publish/manifest_diff.h"

#include <map>
#include <string_view>
#include <utility>

namespace kingcuplock {
namespace {

/// What callers notice when one field changes.
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

auto EffectOf(std::string_view field) -> std::string {
  for (const auto& it : kFieldEffects) {
    if (it.field == field) {
      return std::string(it.effect);
    }
  }
  return "see the schema";
}

/// Collects the differences of two JSON trees whose lists are keyed by name.
class Differ {
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
      const auto at = field_path.empty() ? field : field_path + "/" + field;
      if (value.is_array()) {
        CompareLists(at, old_value, new_value);
      } else if (old_value != new_value) {
        changes_.push_back({at, old_value, new_value, EffectOf(field)});
      }
    }
  }

  void CompareLists(const std::string& field_path,
                    const nlohmann::json& before,
                    const nlohmann::json& after) {
    const auto old_items = ByName(before);
    const auto new_items = ByName(after);
    for (const auto& [name, item] : old_items) {
      const auto it = new_items.find(name);
      if (it == new_items.end()) {
        changes_.push_back({field_path + "/" + name, item, nlohmann::json(),
                            "requests that need it are refused"});
      } else {
        CompareObjects(field_path + "/" + name, item, it->second);
      }
    }
    for (const auto& [name, item] : new_items) {
      if (!old_items.contains(name)) {
        changes_.push_back({field_path + "/" + name, nlohmann::json(), item,
                            "is there to use"});
      }
    }
  }

  auto Take() -> std::vector<ManifestChange> { return std::move(changes_); }

 private:
  static auto ByName(const nlohmann::json& list)
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
  Differ differ;
  differ.CompareLists(
      "databases",
      nlohmann::json(before).value("databases", nlohmann::json::array()),
      nlohmann::json(after).value("databases", nlohmann::json::array()));
  return differ.Take();
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

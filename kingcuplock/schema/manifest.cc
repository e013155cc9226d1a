#include "kingcuplock/schema/manifest.h"

#include <array>

#include "kingcuplock/schema/json_field.h"

namespace kingcuplock {

namespace {
constexpr std::array<std::string_view, 2> kAccessNames{"read", "write"};
}  // namespace

auto ToString(Access value) -> std::string_view {
  return kAccessNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, Access value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, Access& value) {
  value = static_cast<Access>(internal::EnumIndex(in, kAccessNames));
}

namespace {
constexpr std::array<std::string_view, 2> kAcknowledgementModeNames{
    "replicated", "primary"};
}  // namespace

auto ToString(AcknowledgementMode value) -> std::string_view {
  return kAcknowledgementModeNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, AcknowledgementMode value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, AcknowledgementMode& value) {
  value = static_cast<AcknowledgementMode>(
      internal::EnumIndex(in, kAcknowledgementModeNames));
}

void to_json(nlohmann::json& out, const MemberConfig& value) {
  out = nlohmann::json::object();
  static const MemberConfig kDefaults;
  out["name"] = value.name;
  out["host"] = value.host;
  out["port"] = value.port;
  internal::WriteOptional(out, "data_centre", value.data_centre,
                          kDefaults.data_centre);
}

void from_json(const nlohmann::json& in, MemberConfig& value) {
  internal::RequireObject(in, "MemberConfig");
  internal::ReadRequired(in, "name", value.name);
  internal::ReadRequired(in, "host", value.host);
  internal::ReadRequired(in, "port", value.port,
                         internal::IntegerRange{1, 65535});
  internal::ReadOptional(in, "data_centre", value.data_centre);
}

void to_json(nlohmann::json& out, const KindConfig& value) {
  out = nlohmann::json::object();
  static const KindConfig kDefaults;
  out["name"] = value.name;
  out["access"] = value.access;
  internal::WriteOptional(out, "max_age_ms", value.max_age_ms,
                          kDefaults.max_age_ms);
  internal::WriteOptional(out, "repeatable", value.repeatable,
                          kDefaults.repeatable);
  internal::WriteOptional(out, "priority", value.priority, kDefaults.priority);
  internal::WriteOptional(out, "objective_percent", value.objective_percent,
                          kDefaults.objective_percent);
  internal::WriteOptional(out, "target_ms", value.target_ms,
                          kDefaults.target_ms);
}

void from_json(const nlohmann::json& in, KindConfig& value) {
  internal::RequireObject(in, "KindConfig");
  internal::ReadRequired(in, "name", value.name);
  internal::ReadRequired(in, "access", value.access);
  internal::ReadOptional(in, "max_age_ms", value.max_age_ms,
                         internal::IntegerRange{0, internal::kWholeNumber.max});
  internal::ReadOptional(in, "repeatable", value.repeatable);
  internal::ReadOptional(in, "priority", value.priority,
                         internal::IntegerRange{0, 9});
  internal::ReadOptional(in, "objective_percent", value.objective_percent);
  internal::ReadOptional(in, "target_ms", value.target_ms,
                         internal::IntegerRange{1, internal::kWholeNumber.max});
}

void to_json(nlohmann::json& out, const DatabaseConfig& value) {
  out = nlohmann::json::object();
  static const DatabaseConfig kDefaults;
  out["name"] = value.name;
  out["members"] = value.members;
  out["slots"] = value.slots;
  out["connections"] = value.connections;
  internal::WriteOptional(out, "acknowledgement", value.acknowledgement,
                          kDefaults.acknowledgement);
  internal::WriteOptional(out, "marker_retention_ms", value.marker_retention_ms,
                          kDefaults.marker_retention_ms);
  internal::WriteOptional(out, "loss_allowed_after_ms",
                          value.loss_allowed_after_ms,
                          kDefaults.loss_allowed_after_ms);
  out["kinds"] = value.kinds;
}

void from_json(const nlohmann::json& in, DatabaseConfig& value) {
  internal::RequireObject(in, "DatabaseConfig");
  internal::ReadRequired(in, "name", value.name);
  internal::ReadRequired(in, "members", value.members);
  internal::ReadRequired(in, "slots", value.slots,
                         internal::IntegerRange{1, internal::kWholeNumber.max});
  internal::ReadRequired(in, "connections", value.connections,
                         internal::IntegerRange{4, internal::kWholeNumber.max});
  internal::ReadOptional(in, "acknowledgement", value.acknowledgement);
  internal::ReadOptional(
      in, "marker_retention_ms", value.marker_retention_ms,
      internal::IntegerRange{1000, internal::kWholeNumber.max});
  internal::ReadOptional(in, "loss_allowed_after_ms",
                         value.loss_allowed_after_ms,
                         internal::IntegerRange{0, internal::kWholeNumber.max});
  internal::ReadRequired(in, "kinds", value.kinds);
}

void to_json(nlohmann::json& out, const Manifest& value) {
  out = nlohmann::json::object();
  out["version"] = value.version;
  out["deployment"] = value.deployment;
  out["databases"] = value.databases;
}

void from_json(const nlohmann::json& in, Manifest& value) {
  internal::RequireObject(in, "Manifest");
  internal::ReadRequired(in, "version", value.version,
                         internal::IntegerRange{1, internal::kWholeNumber.max});
  internal::ReadRequired(in, "deployment", value.deployment);
  internal::ReadRequired(in, "databases", value.databases);
}

const std::string_view kManifestSchema =
    R"json({"$schema":"http://json-schema.org/draft-07/schema#","title":"Manifest published by the operators' pipeline","allOf":[{"$ref":"#/$defs/Manifest"}],"$defs":{"Access":{"description":"Whether requests of a kind change data.","enum":["read","write"]},"AcknowledgementMode":{"description":"Where a write must be stored before it is acknowledged.","enum":["replicated","primary"]},"MemberConfig":{"description":"One member of a database group.","type":"object","required":["name","host","port"],"additionalProperties":false,"properties":{"name":{"type":"string","minLength":1,"description":"Member name, unique in the manifest."},"host":{"type":"string","minLength":1,"description":"IP number."},"port":{"type":"integer","minimum":1,"maximum":65535,"description":"TCP port."},"data_centre":{"type":"string","description":"Data centre of the member."}}},"KindConfig":{"description":"One kind of request.","type":"object","required":["name","access"],"additionalProperties":false,"properties":{"name":{"type":"string","minLength":1,"description":"Kind name, unique in its database."},"access":{"$ref":"#/$defs/Access","description":"Whether the kind reads or writes."},"max_age_ms":{"type":"integer","minimum":0,"description":"For reads: largest age in ms of the data; 0 reads from the primary."},"repeatable":{"type":"boolean","description":"Whether the request may run more than once."},"priority":{"type":"integer","minimum":0,"maximum":9,"default":5,"description":"Priority under load; 0 is served first."},"objective_percent":{"type":"number","exclusiveMinimum":0,"exclusiveMaximum":100,"default":99.9,"description":"Service level: percentage of requests to be answered ok within the latency target."},"target_ms":{"type":"integer","minimum":1,"default":1000,"description":"Service level: latency target in ms."}}},"DatabaseConfig":{"description":"One database group.","type":"object","required":["name","members","slots","connections","kinds"],"additionalProperties":false,"properties":{"name":{"type":"string","minLength":1,"description":"Database name, unique in the manifest."},"members":{"type":"array","minItems":1,"items":{"$ref":"#/$defs/MemberConfig"},"description":"Members; the first is the primary of term 1."},"slots":{"type":"integer","minimum":1,"description":"Largest number of statements that one member runs at once."},"connections":{"type":"integer","minimum":4,"description":"Largest number of connections that one member accepts in total."},"acknowledgement":{"$ref":"#/$defs/AcknowledgementMode","description":"When a write is acknowledged."},"marker_retention_ms":{"type":"integer","minimum":1000,"default":86400000,"description":"Time in ms for which request ids are stored to recognize repeated requests."},"loss_allowed_after_ms":{"type":"integer","minimum":0,"description":"Time in ms after which a promotion may proceed even if it may lose acknowledged writes; 0 for never."},"kinds":{"type":"array","minItems":1,"items":{"$ref":"#/$defs/KindConfig"},"description":"Request kinds."}}},"Manifest":{"description":"The whole configuration of a deployment.","type":"object","required":["version","deployment","databases"],"additionalProperties":false,"properties":{"version":{"type":"integer","minimum":1,"description":"Manifest version, raised by one with every publication."},"deployment":{"type":"string","minLength":1,"description":"Deployment name."},"databases":{"type":"array","items":{"$ref":"#/$defs/DatabaseConfig"},"description":"Database groups."}}}}})json";

}  // namespace kingcuplock

#pragma once

/// Manifest published by the operators' pipeline.
/// Generated from schema/manifest.schema.json by tools/generate_types.py; do
/// not edit.
///
/// Example:
///   auto value = nlohmann::json::parse(text).get<Manifest>();

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace kingcuplock {

/// Whether requests of a kind change data.
enum class Access { kRead, kWrite };

/// Returns the name of `value` on the wire.
auto ToString(Access value) -> std::string_view;

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, Access value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, Access& value);

/// Where a write must be stored before it is acknowledged.
enum class AcknowledgementMode { kReplicated, kPrimary };

/// Returns the name of `value` on the wire.
auto ToString(AcknowledgementMode value) -> std::string_view;

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, AcknowledgementMode value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, AcknowledgementMode& value);

/// One member of a database group.
struct MemberConfig {
  /// Member name, unique in the manifest.
  std::string name{};
  /// IP number.
  std::string host{};
  /// TCP port.
  std::int64_t port{};
  /// Data centre of the member.
  std::string data_centre{};

  auto operator==(const MemberConfig&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const MemberConfig& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, MemberConfig& value);

/// One kind of request.
struct KindConfig {
  /// Kind name, unique in its database.
  std::string name{};
  /// Whether the kind reads or writes.
  Access access{};
  /// For reads: largest age in ms of the data; 0 reads from the primary.
  std::int64_t max_age_ms{};
  /// Whether the request may run more than once.
  bool repeatable{};
  /// Priority under load; 0 is served first.
  std::int64_t priority{5};
  /// Service level: percentage of requests to be answered ok within the latency
  /// target.
  double objective_percent{99.9};
  /// Service level: latency target in ms.
  std::int64_t target_ms{1000};

  auto operator==(const KindConfig&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const KindConfig& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, KindConfig& value);

/// One database group.
struct DatabaseConfig {
  /// Database name, unique in the manifest.
  std::string name{};
  /// Members; the first is the primary of term 1.
  std::vector<MemberConfig> members{};
  /// Largest number of statements that one member runs at once.
  std::int64_t slots{};
  /// Largest number of connections that one member accepts in total.
  std::int64_t connections{};
  /// When a write is acknowledged.
  AcknowledgementMode acknowledgement{};
  /// Time in ms for which request ids are stored to recognize repeated
  /// requests.
  std::int64_t marker_retention_ms{86400000};
  /// Time in ms after which a promotion may proceed even if it may lose
  /// acknowledged writes; 0 for never.
  std::int64_t loss_allowed_after_ms{};
  /// Request kinds.
  std::vector<KindConfig> kinds{};

  auto operator==(const DatabaseConfig&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const DatabaseConfig& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, DatabaseConfig& value);

/// The whole configuration of a deployment.
struct Manifest {
  /// Manifest version, raised by one with every publication.
  std::int64_t version{};
  /// Deployment name.
  std::string deployment{};
  /// Database groups.
  std::vector<DatabaseConfig> databases{};

  auto operator==(const Manifest&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const Manifest& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, Manifest& value);

/// Text of schema/manifest.schema.json, as compact JSON.
extern const std::string_view kManifestSchema;

}  // namespace kingcuplock

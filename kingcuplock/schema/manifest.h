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

/// Whether a request kind changes data.
enum class Access { kRead, kWrite };

/// Returns the name of `value` on the wire.
auto ToString(Access value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, Access value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, Access& value);

/// Where a write must be before it is acknowledged.
enum class AcknowledgementMode { kReplicated, kPrimary };

/// Returns the name of `value` on the wire.
auto ToString(AcknowledgementMode value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, AcknowledgementMode value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, AcknowledgementMode& value);

/// One member of a database group.
struct MemberConfig {
  /// Member name, unique in the manifest.
  std::string name{};
  /// IP number.
  std::string host{};
  /// TCP port.
  std::int64_t port{};
  /// Data centre.
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
  /// read or write.
  Access access{};
  /// For reads: age in ms that the data may have; 0 reads the primary.
  std::int64_t max_age_ms{};
  /// Whether the request may run more than once.
  bool repeatable{};
  /// 0 is served first under load.
  std::int64_t priority{5};
  /// Service level: share of requests answered ok within the target, in
  /// percent.
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
  /// Statements that one member runs at once.
  std::int64_t slots{};
  /// Connections that one member accepts in all.
  std::int64_t connections{};
  /// When a write is acknowledged.
  AcknowledgementMode acknowledgement{};
  /// Time in ms for which request ids are remembered.
  std::int64_t marker_retention_ms{86400000};
  /// Time in ms after which a promotion may go on although acknowledged writes
  /// may be lost; 0 for never.
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
  /// Raised by one with every publication.
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

/// The JSON Schema itself.
extern const std::string_view kManifestSchema;

}  // namespace kingcuplock

#pragma once

/// Settings of one kingcuplock-proxy.
/// Generated from schema/settings.schema.json by tools/generate_types.py; do
/// not edit.
///
/// Example:
///   auto value = nlohmann::json::parse(text).get<ProxySettings>();

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace kingcuplock {

/// TCP address by IP number.
struct Address {
  /// IP number.
  std::string host{};
  /// TCP port.
  std::int64_t port{};

  auto operator==(const Address&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const Address& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, Address& value);

/// Address of another instance, used until the platform's list is known.
struct PeerAddress {
  /// Instance name.
  std::string name{};
  /// IP number.
  std::string host{};
  /// TCP port.
  std::int64_t port{};

  auto operator==(const PeerAddress&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const PeerAddress& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, PeerAddress& value);

/// Timings of one instance. All instances of a deployment must use the same
/// values.
struct TimingSettings {
  /// Time to live of the lease in ms.
  std::int64_t lease_ttl_ms{2000};
  /// Interval between renewals in ms.
  std::int64_t lease_renew_ms{500};
  /// Safety margin in ms subtracted from the lease because clocks drift.
  std::int64_t lease_margin_ms{200};
  /// Interval between heartbeats on a peer link in ms.
  std::int64_t heartbeat_ms{200};
  /// Time in ms without a message after which a peer link is closed and opened
  /// again.
  std::int64_t peer_timeout_ms{1000};
  /// Interval between samples of a member in ms.
  std::int64_t probe_ms{50};
  /// Time in ms after which a probe counts as unanswered.
  std::int64_t probe_timeout_ms{150};
  /// Delay in ms before a takeover, per rank in the order in which instances
  /// take over.
  std::int64_t takeover_step_ms{300};
  /// Time in ms after which a store call counts as lost.
  std::int64_t store_timeout_ms{1500};
  /// Longest duration in ms of a planned stop.
  std::int64_t drain_ms{10000};

  auto operator==(const TimingSettings&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const TimingSettings& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, TimingSettings& value);

/// Settings of one kingcuplock-gateway.
struct GatewaySettings {
  /// Own name, unique in the deployment.
  std::string instance{};
  /// Own data centre.
  std::string data_centre{};
  /// Own address for clients.
  Address listen{};
  /// Own address for the readiness probe.
  Address ready{};
  /// Own address for peers.
  Address peer_listen{};
  /// Own address for metrics.
  Address metrics_listen{};
  /// Address of the platform's key-value service.
  Address store{};
  /// Address of the service that carries out promotions.
  Address promotion{};
  /// Time in ms from SIGTERM to SIGKILL.
  std::int64_t stop_ms{6000};
  /// Whether the promotion service checks fencing tokens, and a promotion ends
  /// the role of the previous primary.
  bool promotions_fenced{false};
  /// Time in ms after which a leaving member gets no new work.
  std::int64_t leaving_ms{7000};
  /// Length in ms of the window in which operations beyond a tenant's limit are
  /// counted.
  std::int64_t quota_window_ms{5000};
  /// Share by which a tenant's operations in a window may exceed its limit.
  double quota_overshoot{0.1};
  /// Number of operations by which they may exceed it besides.
  double quota_slack{20};
  /// Time in ms within which a new route table must be in use on every
  /// instance.
  std::int64_t routes_propagation_ms{3000};
  /// Timings of this instance.
  TimingSettings timing{};

  auto operator==(const GatewaySettings&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const GatewaySettings& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, GatewaySettings& value);

/// Settings of one instance.
struct ProxySettings {
  /// Own name, unique in the deployment.
  std::string instance{};
  /// Deployment name; prefix of the keys in the store.
  std::string deployment{};
  /// Own data centre.
  std::string data_centre{};
  /// Own address, for callers and peers.
  Address listen{};
  /// Address of the platform's key-value service.
  Address store{};
  /// Other instances.
  std::vector<PeerAddress> peers{};
  /// Timings of this instance.
  TimingSettings timing{};

  auto operator==(const ProxySettings&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const ProxySettings& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, ProxySettings& value);

/// Text of schema/settings.schema.json, as compact JSON.
extern const std::string_view kSettingsSchema;

}  // namespace kingcuplock

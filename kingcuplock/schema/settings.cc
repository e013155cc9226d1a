#include "kingcuplock/schema/settings.h"

#include <array>

#include "kingcuplock/schema/json_field.h"

namespace kingcuplock {

void to_json(nlohmann::json& out, const Address& value) {
  out = nlohmann::json::object();
  out["host"] = value.host;
  out["port"] = value.port;
}

void from_json(const nlohmann::json& in, Address& value) {
  internal::RequireObject(in, "Address");
  internal::ReadRequired(in, "host", value.host);
  internal::ReadRequired(in, "port", value.port,
                         internal::IntegerRange{1, 65535});
}

void to_json(nlohmann::json& out, const PeerAddress& value) {
  out = nlohmann::json::object();
  out["name"] = value.name;
  out["host"] = value.host;
  out["port"] = value.port;
}

void from_json(const nlohmann::json& in, PeerAddress& value) {
  internal::RequireObject(in, "PeerAddress");
  internal::ReadRequired(in, "name", value.name);
  internal::ReadRequired(in, "host", value.host);
  internal::ReadRequired(in, "port", value.port,
                         internal::IntegerRange{1, 65535});
}

void to_json(nlohmann::json& out, const TimingSettings& value) {
  out = nlohmann::json::object();
  static const TimingSettings kDefaults;
  internal::WriteOptional(out, "lease_ttl_ms", value.lease_ttl_ms,
                          kDefaults.lease_ttl_ms);
  internal::WriteOptional(out, "lease_renew_ms", value.lease_renew_ms,
                          kDefaults.lease_renew_ms);
  internal::WriteOptional(out, "lease_margin_ms", value.lease_margin_ms,
                          kDefaults.lease_margin_ms);
  internal::WriteOptional(out, "heartbeat_ms", value.heartbeat_ms,
                          kDefaults.heartbeat_ms);
  internal::WriteOptional(out, "peer_timeout_ms", value.peer_timeout_ms,
                          kDefaults.peer_timeout_ms);
  internal::WriteOptional(out, "probe_ms", value.probe_ms, kDefaults.probe_ms);
  internal::WriteOptional(out, "probe_timeout_ms", value.probe_timeout_ms,
                          kDefaults.probe_timeout_ms);
  internal::WriteOptional(out, "takeover_step_ms", value.takeover_step_ms,
                          kDefaults.takeover_step_ms);
  internal::WriteOptional(out, "store_timeout_ms", value.store_timeout_ms,
                          kDefaults.store_timeout_ms);
  internal::WriteOptional(out, "drain_ms", value.drain_ms, kDefaults.drain_ms);
}

void from_json(const nlohmann::json& in, TimingSettings& value) {
  internal::RequireObject(in, "TimingSettings");
  internal::ReadOptional(
      in, "lease_ttl_ms", value.lease_ttl_ms,
      internal::IntegerRange{500, internal::kWholeNumber.max});
  internal::ReadOptional(
      in, "lease_renew_ms", value.lease_renew_ms,
      internal::IntegerRange{50, internal::kWholeNumber.max});
  internal::ReadOptional(
      in, "lease_margin_ms", value.lease_margin_ms,
      internal::IntegerRange{10, internal::kWholeNumber.max});
  internal::ReadOptional(
      in, "heartbeat_ms", value.heartbeat_ms,
      internal::IntegerRange{20, internal::kWholeNumber.max});
  internal::ReadOptional(
      in, "peer_timeout_ms", value.peer_timeout_ms,
      internal::IntegerRange{50, internal::kWholeNumber.max});
  internal::ReadOptional(
      in, "probe_ms", value.probe_ms,
      internal::IntegerRange{10, internal::kWholeNumber.max});
  internal::ReadOptional(
      in, "probe_timeout_ms", value.probe_timeout_ms,
      internal::IntegerRange{20, internal::kWholeNumber.max});
  internal::ReadOptional(
      in, "takeover_step_ms", value.takeover_step_ms,
      internal::IntegerRange{10, internal::kWholeNumber.max});
  internal::ReadOptional(
      in, "store_timeout_ms", value.store_timeout_ms,
      internal::IntegerRange{50, internal::kWholeNumber.max});
  internal::ReadOptional(
      in, "drain_ms", value.drain_ms,
      internal::IntegerRange{100, internal::kWholeNumber.max});
}

void to_json(nlohmann::json& out, const GatewaySettings& value) {
  out = nlohmann::json::object();
  static const GatewaySettings kDefaults;
  out["instance"] = value.instance;
  internal::WriteOptional(out, "data_centre", value.data_centre,
                          kDefaults.data_centre);
  out["listen"] = value.listen;
  out["ready"] = value.ready;
  out["peer_listen"] = value.peer_listen;
  out["metrics_listen"] = value.metrics_listen;
  out["store"] = value.store;
  out["promotion"] = value.promotion;
  internal::WriteOptional(out, "stop_ms", value.stop_ms, kDefaults.stop_ms);
  internal::WriteOptional(out, "promotions_fenced", value.promotions_fenced,
                          kDefaults.promotions_fenced);
  internal::WriteOptional(out, "leaving_ms", value.leaving_ms,
                          kDefaults.leaving_ms);
  internal::WriteOptional(out, "quota_window_ms", value.quota_window_ms,
                          kDefaults.quota_window_ms);
  internal::WriteOptional(out, "quota_overshoot", value.quota_overshoot,
                          kDefaults.quota_overshoot);
  internal::WriteOptional(out, "quota_slack", value.quota_slack,
                          kDefaults.quota_slack);
  internal::WriteOptional(out, "routes_propagation_ms",
                          value.routes_propagation_ms,
                          kDefaults.routes_propagation_ms);
  internal::WriteOptional(out, "timing", value.timing, kDefaults.timing);
}

void from_json(const nlohmann::json& in, GatewaySettings& value) {
  internal::RequireObject(in, "GatewaySettings");
  internal::ReadRequired(in, "instance", value.instance);
  internal::ReadOptional(in, "data_centre", value.data_centre);
  internal::ReadRequired(in, "listen", value.listen);
  internal::ReadRequired(in, "ready", value.ready);
  internal::ReadRequired(in, "peer_listen", value.peer_listen);
  internal::ReadRequired(in, "metrics_listen", value.metrics_listen);
  internal::ReadRequired(in, "store", value.store);
  internal::ReadRequired(in, "promotion", value.promotion);
  internal::ReadOptional(
      in, "stop_ms", value.stop_ms,
      internal::IntegerRange{1000, internal::kWholeNumber.max});
  internal::ReadOptional(in, "promotions_fenced", value.promotions_fenced);
  internal::ReadOptional(
      in, "leaving_ms", value.leaving_ms,
      internal::IntegerRange{100, internal::kWholeNumber.max});
  internal::ReadOptional(
      in, "quota_window_ms", value.quota_window_ms,
      internal::IntegerRange{100, internal::kWholeNumber.max});
  internal::ReadOptional(in, "quota_overshoot", value.quota_overshoot);
  internal::ReadOptional(in, "quota_slack", value.quota_slack);
  internal::ReadOptional(
      in, "routes_propagation_ms", value.routes_propagation_ms,
      internal::IntegerRange{100, internal::kWholeNumber.max});
  internal::ReadOptional(in, "timing", value.timing);
}

void to_json(nlohmann::json& out, const ProxySettings& value) {
  out = nlohmann::json::object();
  static const ProxySettings kDefaults;
  out["instance"] = value.instance;
  out["deployment"] = value.deployment;
  internal::WriteOptional(out, "data_centre", value.data_centre,
                          kDefaults.data_centre);
  out["listen"] = value.listen;
  out["store"] = value.store;
  internal::WriteOptional(out, "peers", value.peers, kDefaults.peers);
  internal::WriteOptional(out, "timing", value.timing, kDefaults.timing);
}

void from_json(const nlohmann::json& in, ProxySettings& value) {
  internal::RequireObject(in, "ProxySettings");
  internal::ReadRequired(in, "instance", value.instance);
  internal::ReadRequired(in, "deployment", value.deployment);
  internal::ReadOptional(in, "data_centre", value.data_centre);
  internal::ReadRequired(in, "listen", value.listen);
  internal::ReadRequired(in, "store", value.store);
  internal::ReadOptional(in, "peers", value.peers);
  internal::ReadOptional(in, "timing", value.timing);
}

const std::string_view kSettingsSchema =
    R"json({"$schema":"http://json-schema.org/draft-07/schema#","title":"Settings of one kingcuplock-proxy","allOf":[{"$ref":"#/$defs/ProxySettings"}],"$defs":{"Address":{"description":"TCP address by IP number.","type":"object","required":["host","port"],"additionalProperties":false,"properties":{"host":{"type":"string","minLength":1,"description":"IP number."},"port":{"type":"integer","minimum":1,"maximum":65535,"description":"TCP port."}}},"PeerAddress":{"description":"Address of another instance, used until the platform's list is known.","type":"object","required":["name","host","port"],"additionalProperties":false,"properties":{"name":{"type":"string","minLength":1,"description":"Instance name."},"host":{"type":"string","minLength":1,"description":"IP number."},"port":{"type":"integer","minimum":1,"maximum":65535,"description":"TCP port."}}},"TimingSettings":{"description":"Timings of one instance. All instances of a deployment must use the same values.","type":"object","required":[],"additionalProperties":false,"properties":{"lease_ttl_ms":{"type":"integer","minimum":500,"default":2000,"description":"Time to live of the lease in ms."},"lease_renew_ms":{"type":"integer","minimum":50,"default":500,"description":"Interval between renewals in ms."},"lease_margin_ms":{"type":"integer","minimum":10,"default":200,"description":"Safety margin in ms subtracted from the lease because clocks drift."},"heartbeat_ms":{"type":"integer","minimum":20,"default":200,"description":"Interval between heartbeats on a peer link in ms."},"peer_timeout_ms":{"type":"integer","minimum":50,"default":1000,"description":"Time in ms without a message after which a peer link is closed and opened again."},"probe_ms":{"type":"integer","minimum":10,"default":50,"description":"Interval between samples of a member in ms."},"probe_timeout_ms":{"type":"integer","minimum":20,"default":150,"description":"Time in ms after which a probe counts as unanswered."},"takeover_step_ms":{"type":"integer","minimum":10,"default":300,"description":"Delay in ms before a takeover, per rank in the order in which instances take over."},"store_timeout_ms":{"type":"integer","minimum":50,"default":1500,"description":"Time in ms after which a store call counts as lost."},"drain_ms":{"type":"integer","minimum":100,"default":10000,"description":"Longest duration in ms of a planned stop."}}},"GatewaySettings":{"description":"Settings of one kingcuplock-gateway.","type":"object","required":["instance","listen","ready","peer_listen","metrics_listen","store","promotion"],"additionalProperties":false,"properties":{"instance":{"type":"string","minLength":1,"description":"Own name, unique in the deployment."},"data_centre":{"type":"string","description":"Own data centre."},"listen":{"$ref":"#/$defs/Address","description":"Own address for clients."},"ready":{"$ref":"#/$defs/Address","description":"Own address for the readiness probe."},"peer_listen":{"$ref":"#/$defs/Address","description":"Own address for peers."},"metrics_listen":{"$ref":"#/$defs/Address","description":"Own address for metrics."},"store":{"$ref":"#/$defs/Address","description":"Address of the platform's key-value service."},"promotion":{"$ref":"#/$defs/Address","description":"Address of the service that carries out promotions."},"stop_ms":{"type":"integer","minimum":1000,"default":6000,"description":"Time in ms from SIGTERM to SIGKILL."},"promotions_fenced":{"type":"boolean","default":false,"description":"Whether the promotion service checks fencing tokens, and a promotion ends the role of the previous primary."},"leaving_ms":{"type":"integer","minimum":100,"default":7000,"description":"Time in ms after which a leaving member gets no new work."},"quota_window_ms":{"type":"integer","minimum":100,"default":5000,"description":"Length in ms of the window in which operations beyond a tenant's limit are counted."},"quota_overshoot":{"type":"number","minimum":0,"maximum":10,"default":0.1,"description":"Share by which a tenant's operations in a window may exceed its limit."},"quota_slack":{"type":"number","minimum":0,"default":20,"description":"Number of operations by which they may exceed it besides."},"routes_propagation_ms":{"type":"integer","minimum":100,"default":3000,"description":"Time in ms within which a new route table must be in use on every instance."},"timing":{"$ref":"#/$defs/TimingSettings","description":"Timings of this instance."}}},"ProxySettings":{"description":"Settings of one instance.","type":"object","required":["instance","deployment","listen","store"],"additionalProperties":false,"properties":{"instance":{"type":"string","minLength":1,"description":"Own name, unique in the deployment."},"deployment":{"type":"string","minLength":1,"description":"Deployment name; prefix of the keys in the store."},"data_centre":{"type":"string","description":"Own data centre."},"listen":{"$ref":"#/$defs/Address","description":"Own address, for callers and peers."},"store":{"$ref":"#/$defs/Address","description":"Address of the platform's key-value service."},"peers":{"type":"array","items":{"$ref":"#/$defs/PeerAddress"},"description":"Other instances."},"timing":{"$ref":"#/$defs/TimingSettings","description":"Timings of this instance."}}}}})json";

}  // namespace kingcuplock

#include "kingcuplock/schema/messages.h"

#include <array>

#include "kingcuplock/schema/json_field.h"

namespace kingcuplock {

namespace {
constexpr std::array<std::string_view, 4> kStatusNames{"ok", "failed",
                                                       "not_run", "unknown"};
}  // namespace

auto ToString(Status value) -> std::string_view {
  return kStatusNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, Status value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, Status& value) {
  value = static_cast<Status>(internal::EnumIndex(in, kStatusNames));
}

namespace {
constexpr std::array<std::string_view, 26> kErrorKindNames{
    "none",
    "bad_frame",
    "too_large",
    "unknown_database",
    "unknown_kind",
    "wrong_access",
    "bad_token",
    "overloaded",
    "no_owner",
    "not_owner",
    "patience_spent",
    "primary_unavailable",
    "fenced",
    "lease_lapsed",
    "rejected_by_database",
    "request_id_too_old",
    "connection_lost",
    "not_replicated",
    "transaction_unknown",
    "no_manifest",
    "position_lost",
    "leaving",
    "unauthorized",
    "request_id_reused",
    "issue_time_missing",
    "transactions_full"};
}  // namespace

auto ToString(ErrorKind value) -> std::string_view {
  return kErrorKindNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, ErrorKind value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, ErrorKind& value) {
  value = static_cast<ErrorKind>(internal::EnumIndex(in, kErrorKindNames));
}

namespace {
constexpr std::array<std::string_view, 5> kVerbNames{"get", "put", "insert",
                                                     "append", "remove"};
}  // namespace

auto ToString(Verb value) -> std::string_view {
  return kVerbNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, Verb value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, Verb& value) {
  value = static_cast<Verb>(internal::EnumIndex(in, kVerbNames));
}

namespace {
constexpr std::array<std::string_view, 5> kStepNames{
    "single", "begin", "statement", "commit", "rollback"};
}  // namespace

auto ToString(Step value) -> std::string_view {
  return kStepNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, Step value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, Step& value) {
  value = static_cast<Step>(internal::EnumIndex(in, kStepNames));
}

void to_json(nlohmann::json& out, const Statement& value) {
  out = nlohmann::json::object();
  static const Statement kDefaults;
  out["verb"] = value.verb;
  out["key"] = value.key;
  internal::WriteOptional(out, "value", value.value, kDefaults.value);
}

void from_json(const nlohmann::json& in, Statement& value) {
  internal::RequireObject(in, "Statement");
  internal::ReadRequired(in, "verb", value.verb);
  internal::ReadRequired(in, "key", value.key);
  internal::ReadOptional(in, "value", value.value);
}

void to_json(nlohmann::json& out, const StatementResult& value) {
  out = nlohmann::json::object();
  static const StatementResult kDefaults;
  internal::WriteOptional(out, "found", value.found, kDefaults.found);
  internal::WriteOptional(out, "value", value.value, kDefaults.value);
}

void from_json(const nlohmann::json& in, StatementResult& value) {
  internal::RequireObject(in, "StatementResult");
  internal::ReadOptional(in, "found", value.found);
  internal::ReadOptional(in, "value", value.value);
}

void to_json(nlohmann::json& out, const CallerRequest& value) {
  out = nlohmann::json::object();
  out["type"] = "request";
  static const CallerRequest kDefaults;
  out["id"] = value.id;
  out["database"] = value.database;
  out["kind"] = value.kind;
  internal::WriteOptional(out, "step", value.step, kDefaults.step);
  internal::WriteOptional(out, "transaction", value.transaction,
                          kDefaults.transaction);
  internal::WriteOptional(out, "statements", value.statements,
                          kDefaults.statements);
  internal::WriteOptional(out, "patience_ms", value.patience_ms,
                          kDefaults.patience_ms);
  internal::WriteOptional(out, "issued_ms", value.issued_ms,
                          kDefaults.issued_ms);
  internal::WriteOptional(out, "repeated", value.repeated, kDefaults.repeated);
  internal::WriteOptional(out, "token", value.token, kDefaults.token);
}

void from_json(const nlohmann::json& in, CallerRequest& value) {
  internal::RequireObject(in, "CallerRequest");
  internal::ReadRequired(in, "id", value.id);
  internal::ReadRequired(in, "database", value.database);
  internal::ReadRequired(in, "kind", value.kind);
  internal::ReadOptional(in, "step", value.step);
  internal::ReadOptional(in, "transaction", value.transaction);
  internal::ReadOptional(in, "statements", value.statements);
  internal::ReadOptional(in, "patience_ms", value.patience_ms,
                         internal::kMilliseconds);
  internal::ReadOptional(in, "issued_ms", value.issued_ms,
                         internal::kAnyInteger);
  internal::ReadOptional(in, "repeated", value.repeated);
  internal::ReadOptional(in, "token", value.token);
}

void to_json(nlohmann::json& out, const CallerAnswer& value) {
  out = nlohmann::json::object();
  out["type"] = "answer";
  static const CallerAnswer kDefaults;
  out["id"] = value.id;
  out["status"] = value.status;
  internal::WriteOptional(out, "error", value.error, kDefaults.error);
  internal::WriteOptional(out, "message", value.message, kDefaults.message);
  internal::WriteOptional(out, "retry_after_ms", value.retry_after_ms,
                          kDefaults.retry_after_ms);
  internal::WriteOptional(out, "receipt", value.receipt, kDefaults.receipt);
  internal::WriteOptional(out, "results", value.results, kDefaults.results);
  internal::WriteOptional(out, "token", value.token, kDefaults.token);
  internal::WriteOptional(out, "transaction", value.transaction,
                          kDefaults.transaction);
  internal::WriteOptional(out, "term", value.term, kDefaults.term);
  internal::WriteOptional(out, "position", value.position, kDefaults.position);
  internal::WriteOptional(out, "served_by", value.served_by,
                          kDefaults.served_by);
  internal::WriteOptional(out, "from_replica", value.from_replica,
                          kDefaults.from_replica);
  internal::WriteOptional(out, "leaving", value.leaving, kDefaults.leaving);
}

void from_json(const nlohmann::json& in, CallerAnswer& value) {
  internal::RequireObject(in, "CallerAnswer");
  internal::ReadRequired(in, "id", value.id);
  internal::ReadRequired(in, "status", value.status);
  internal::ReadOptional(in, "error", value.error);
  internal::ReadOptional(in, "message", value.message);
  internal::ReadOptional(in, "retry_after_ms", value.retry_after_ms,
                         internal::kMilliseconds);
  internal::ReadOptional(in, "receipt", value.receipt);
  internal::ReadOptional(in, "results", value.results);
  internal::ReadOptional(in, "token", value.token);
  internal::ReadOptional(in, "transaction", value.transaction);
  internal::ReadOptional(in, "term", value.term, internal::kWholeNumber);
  internal::ReadOptional(in, "position", value.position,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "served_by", value.served_by);
  internal::ReadOptional(in, "from_replica", value.from_replica);
  internal::ReadOptional(in, "leaving", value.leaving);
}

void to_json(nlohmann::json& out, const StatusQuery& value) {
  out = nlohmann::json::object();
  out["type"] = "status_query";
  out["id"] = value.id;
}

void from_json(const nlohmann::json& in, StatusQuery& value) {
  internal::RequireObject(in, "StatusQuery");
  internal::ReadRequired(in, "id", value.id);
}

void to_json(nlohmann::json& out, const DatabaseStatus& value) {
  out = nlohmann::json::object();
  static const DatabaseStatus kDefaults;
  out["database"] = value.database;
  internal::WriteOptional(out, "owner", value.owner, kDefaults.owner);
  internal::WriteOptional(out, "epoch", value.epoch, kDefaults.epoch);
  internal::WriteOptional(out, "term", value.term, kDefaults.term);
  internal::WriteOptional(out, "primary", value.primary, kDefaults.primary);
  internal::WriteOptional(out, "phase", value.phase, kDefaults.phase);
  internal::WriteOptional(out, "queued", value.queued, kDefaults.queued);
}

void from_json(const nlohmann::json& in, DatabaseStatus& value) {
  internal::RequireObject(in, "DatabaseStatus");
  internal::ReadRequired(in, "database", value.database);
  internal::ReadOptional(in, "owner", value.owner);
  internal::ReadOptional(in, "epoch", value.epoch, internal::kAnyInteger);
  internal::ReadOptional(in, "term", value.term, internal::kWholeNumber);
  internal::ReadOptional(in, "primary", value.primary);
  internal::ReadOptional(in, "phase", value.phase);
  internal::ReadOptional(in, "queued", value.queued, internal::kAnyInteger);
}

void to_json(nlohmann::json& out, const ServiceWindow& value) {
  out = nlohmann::json::object();
  static const ServiceWindow kDefaults;
  out["window_ms"] = value.window_ms;
  internal::WriteOptional(out, "good", value.good, kDefaults.good);
  internal::WriteOptional(out, "bad", value.bad, kDefaults.bad);
  internal::WriteOptional(out, "from_replica", value.from_replica,
                          kDefaults.from_replica);
}

void from_json(const nlohmann::json& in, ServiceWindow& value) {
  internal::RequireObject(in, "ServiceWindow");
  internal::ReadRequired(in, "window_ms", value.window_ms,
                         internal::kMilliseconds);
  internal::ReadOptional(in, "good", value.good, internal::kAnyInteger);
  internal::ReadOptional(in, "bad", value.bad, internal::kAnyInteger);
  internal::ReadOptional(in, "from_replica", value.from_replica,
                         internal::kAnyInteger);
}

void to_json(nlohmann::json& out, const RequestCounter& value) {
  out = nlohmann::json::object();
  static const RequestCounter kDefaults;
  out["database"] = value.database;
  out["kind"] = value.kind;
  internal::WriteOptional(out, "ok", value.ok, kDefaults.ok);
  internal::WriteOptional(out, "failed", value.failed, kDefaults.failed);
  internal::WriteOptional(out, "not_run", value.not_run, kDefaults.not_run);
  internal::WriteOptional(out, "unknown", value.unknown, kDefaults.unknown);
  internal::WriteOptional(out, "from_replica", value.from_replica,
                          kDefaults.from_replica);
  internal::WriteOptional(out, "latency_p50_us", value.latency_p50_us,
                          kDefaults.latency_p50_us);
  internal::WriteOptional(out, "latency_p99_us", value.latency_p99_us,
                          kDefaults.latency_p99_us);
  internal::WriteOptional(out, "windows", value.windows, kDefaults.windows);
}

void from_json(const nlohmann::json& in, RequestCounter& value) {
  internal::RequireObject(in, "RequestCounter");
  internal::ReadRequired(in, "database", value.database);
  internal::ReadRequired(in, "kind", value.kind);
  internal::ReadOptional(in, "ok", value.ok, internal::kAnyInteger);
  internal::ReadOptional(in, "failed", value.failed, internal::kAnyInteger);
  internal::ReadOptional(in, "not_run", value.not_run, internal::kAnyInteger);
  internal::ReadOptional(in, "unknown", value.unknown, internal::kAnyInteger);
  internal::ReadOptional(in, "from_replica", value.from_replica,
                         internal::kAnyInteger);
  internal::ReadOptional(in, "latency_p50_us", value.latency_p50_us,
                         internal::kAnyInteger);
  internal::ReadOptional(in, "latency_p99_us", value.latency_p99_us,
                         internal::kAnyInteger);
  internal::ReadOptional(in, "windows", value.windows);
}

void to_json(nlohmann::json& out, const FailoverGap& value) {
  out = nlohmann::json::object();
  static const FailoverGap kDefaults;
  out["database"] = value.database;
  internal::WriteOptional(out, "term", value.term, kDefaults.term);
  internal::WriteOptional(out, "suspect_us", value.suspect_us,
                          kDefaults.suspect_us);
  internal::WriteOptional(out, "record_us", value.record_us,
                          kDefaults.record_us);
  internal::WriteOptional(out, "hear_us", value.hear_us, kDefaults.hear_us);
  internal::WriteOptional(out, "promote_us", value.promote_us,
                          kDefaults.promote_us);
  internal::WriteOptional(out, "open_us", value.open_us, kDefaults.open_us);
  internal::WriteOptional(out, "ended_ms_ago", value.ended_ms_ago,
                          kDefaults.ended_ms_ago);
}

void from_json(const nlohmann::json& in, FailoverGap& value) {
  internal::RequireObject(in, "FailoverGap");
  internal::ReadRequired(in, "database", value.database);
  internal::ReadOptional(in, "term", value.term, internal::kWholeNumber);
  internal::ReadOptional(in, "suspect_us", value.suspect_us,
                         internal::kAnyInteger);
  internal::ReadOptional(in, "record_us", value.record_us,
                         internal::kAnyInteger);
  internal::ReadOptional(in, "hear_us", value.hear_us, internal::kAnyInteger);
  internal::ReadOptional(in, "promote_us", value.promote_us,
                         internal::kAnyInteger);
  internal::ReadOptional(in, "open_us", value.open_us, internal::kAnyInteger);
  internal::ReadOptional(in, "ended_ms_ago", value.ended_ms_ago,
                         internal::kAnyInteger);
}

void to_json(nlohmann::json& out, const InstanceStatus& value) {
  out = nlohmann::json::object();
  out["type"] = "instance_status";
  static const InstanceStatus kDefaults;
  out["id"] = value.id;
  out["instance"] = value.instance;
  internal::WriteOptional(out, "manifest_version", value.manifest_version,
                          kDefaults.manifest_version);
  internal::WriteOptional(out, "manifest_hash", value.manifest_hash,
                          kDefaults.manifest_hash);
  internal::WriteOptional(out, "leaving", value.leaving, kDefaults.leaving);
  internal::WriteOptional(out, "lease_valid", value.lease_valid,
                          kDefaults.lease_valid);
  internal::WriteOptional(out, "databases", value.databases,
                          kDefaults.databases);
  internal::WriteOptional(out, "counters", value.counters, kDefaults.counters);
  internal::WriteOptional(out, "failovers", value.failovers,
                          kDefaults.failovers);
  internal::WriteOptional(out, "uptime_ms", value.uptime_ms,
                          kDefaults.uptime_ms);
}

void from_json(const nlohmann::json& in, InstanceStatus& value) {
  internal::RequireObject(in, "InstanceStatus");
  internal::ReadRequired(in, "id", value.id);
  internal::ReadRequired(in, "instance", value.instance);
  internal::ReadOptional(in, "manifest_version", value.manifest_version,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "manifest_hash", value.manifest_hash);
  internal::ReadOptional(in, "leaving", value.leaving);
  internal::ReadOptional(in, "lease_valid", value.lease_valid);
  internal::ReadOptional(in, "databases", value.databases);
  internal::ReadOptional(in, "counters", value.counters);
  internal::ReadOptional(in, "failovers", value.failovers);
  internal::ReadOptional(in, "uptime_ms", value.uptime_ms,
                         internal::kMilliseconds);
}

void to_json(nlohmann::json& out, const Forward& value) {
  out = nlohmann::json::object();
  out["type"] = "forward";
  static const Forward kDefaults;
  out["id"] = value.id;
  out["request"] = value.request;
  internal::WriteOptional(out, "caller", value.caller, kDefaults.caller);
}

void from_json(const nlohmann::json& in, Forward& value) {
  internal::RequireObject(in, "Forward");
  internal::ReadRequired(in, "id", value.id, internal::kAnyInteger);
  internal::ReadRequired(in, "request", value.request);
  internal::ReadOptional(in, "caller", value.caller, internal::kAnyInteger);
}

void to_json(nlohmann::json& out, const ForwardAnswer& value) {
  out = nlohmann::json::object();
  out["type"] = "forward_answer";
  static const ForwardAnswer kDefaults;
  out["id"] = value.id;
  out["answer"] = value.answer;
  internal::WriteOptional(out, "owner_hint", value.owner_hint,
                          kDefaults.owner_hint);
  internal::WriteOptional(out, "epoch", value.epoch, kDefaults.epoch);
}

void from_json(const nlohmann::json& in, ForwardAnswer& value) {
  internal::RequireObject(in, "ForwardAnswer");
  internal::ReadRequired(in, "id", value.id, internal::kAnyInteger);
  internal::ReadRequired(in, "answer", value.answer);
  internal::ReadOptional(in, "owner_hint", value.owner_hint);
  internal::ReadOptional(in, "epoch", value.epoch, internal::kAnyInteger);
}

namespace {
constexpr std::array<std::string_view, 3> kReadModeNames{"primary", "bounded",
                                                         "session"};
}  // namespace

auto ToString(ReadMode value) -> std::string_view {
  return kReadModeNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, ReadMode value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, ReadMode& value) {
  value = static_cast<ReadMode>(internal::EnumIndex(in, kReadModeNames));
}

void to_json(nlohmann::json& out, const RouteConfig& value) {
  out = nlohmann::json::object();
  static const RouteConfig kDefaults;
  out["database"] = value.database;
  out["group"] = value.group;
  internal::WriteOptional(out, "read_mode", value.read_mode,
                          kDefaults.read_mode);
  internal::WriteOptional(out, "max_age_ms", value.max_age_ms,
                          kDefaults.max_age_ms);
  internal::WriteOptional(out, "timeout_ms", value.timeout_ms,
                          kDefaults.timeout_ms);
  internal::WriteOptional(out, "target_ms", value.target_ms,
                          kDefaults.target_ms);
  internal::WriteOptional(out, "priority", value.priority, kDefaults.priority);
  internal::WriteOptional(out, "keyless", value.keyless, kDefaults.keyless);
}

void from_json(const nlohmann::json& in, RouteConfig& value) {
  internal::RequireObject(in, "RouteConfig");
  internal::ReadRequired(in, "database", value.database);
  internal::ReadRequired(in, "group", value.group);
  internal::ReadOptional(in, "read_mode", value.read_mode);
  internal::ReadOptional(in, "max_age_ms", value.max_age_ms,
                         internal::kMilliseconds);
  internal::ReadOptional(in, "timeout_ms", value.timeout_ms,
                         internal::kMilliseconds);
  internal::ReadOptional(in, "target_ms", value.target_ms,
                         internal::kMilliseconds);
  internal::ReadOptional(in, "priority", value.priority,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "keyless", value.keyless);
}

void to_json(nlohmann::json& out, const TenantConfig& value) {
  out = nlohmann::json::object();
  static const TenantConfig kDefaults;
  out["name"] = value.name;
  internal::WriteOptional(out, "key_digests", value.key_digests,
                          kDefaults.key_digests);
  internal::WriteOptional(out, "limited", value.limited, kDefaults.limited);
  internal::WriteOptional(out, "rate_per_s", value.rate_per_s,
                          kDefaults.rate_per_s);
  internal::WriteOptional(out, "burst", value.burst, kDefaults.burst);
}

void from_json(const nlohmann::json& in, TenantConfig& value) {
  internal::RequireObject(in, "TenantConfig");
  internal::ReadRequired(in, "name", value.name);
  internal::ReadOptional(in, "key_digests", value.key_digests);
  internal::ReadOptional(in, "limited", value.limited);
  internal::ReadOptional(in, "rate_per_s", value.rate_per_s);
  internal::ReadOptional(in, "burst", value.burst);
}

void to_json(nlohmann::json& out, const GroupConfig& value) {
  out = nlohmann::json::object();
  static const GroupConfig kDefaults;
  out["name"] = value.name;
  internal::WriteOptional(out, "connections", value.connections,
                          kDefaults.connections);
  internal::WriteOptional(out, "synchronous_replicas",
                          value.synchronous_replicas,
                          kDefaults.synchronous_replicas);
}

void from_json(const nlohmann::json& in, GroupConfig& value) {
  internal::RequireObject(in, "GroupConfig");
  internal::ReadRequired(in, "name", value.name);
  internal::ReadOptional(in, "connections", value.connections,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "synchronous_replicas", value.synchronous_replicas,
                         internal::kWholeNumber);
}

void to_json(nlohmann::json& out, const RouteTable& value) {
  out = nlohmann::json::object();
  static const RouteTable kDefaults;
  out["version"] = value.version;
  internal::WriteOptional(out, "routes", value.routes, kDefaults.routes);
  internal::WriteOptional(out, "groups", value.groups, kDefaults.groups);
  internal::WriteOptional(out, "transaction_idle_ms", value.transaction_idle_ms,
                          kDefaults.transaction_idle_ms);
  internal::WriteOptional(out, "checks_keys", value.checks_keys,
                          kDefaults.checks_keys);
  internal::WriteOptional(out, "tenants", value.tenants, kDefaults.tenants);
  internal::WriteOptional(out, "rejected_tenants", value.rejected_tenants,
                          kDefaults.rejected_tenants);
}

void from_json(const nlohmann::json& in, RouteTable& value) {
  internal::RequireObject(in, "RouteTable");
  internal::ReadRequired(in, "version", value.version, internal::kWholeNumber);
  internal::ReadOptional(in, "routes", value.routes);
  internal::ReadOptional(in, "groups", value.groups);
  internal::ReadOptional(in, "transaction_idle_ms", value.transaction_idle_ms,
                         internal::kMilliseconds);
  internal::ReadOptional(in, "checks_keys", value.checks_keys);
  internal::ReadOptional(in, "tenants", value.tenants);
  internal::ReadOptional(in, "rejected_tenants", value.rejected_tenants);
}

void to_json(nlohmann::json& out, const EndpointEntry& value) {
  out = nlohmann::json::object();
  static const EndpointEntry kDefaults;
  out["member"] = value.member;
  out["group"] = value.group;
  out["host"] = value.host;
  out["port"] = value.port;
  internal::WriteOptional(out, "data_centre", value.data_centre,
                          kDefaults.data_centre);
  internal::WriteOptional(out, "slots", value.slots, kDefaults.slots);
  internal::WriteOptional(out, "leaving", value.leaving, kDefaults.leaving);
  internal::WriteOptional(out, "leads", value.leads, kDefaults.leads);
  internal::WriteOptional(out, "born_ms", value.born_ms, kDefaults.born_ms);
  internal::WriteOptional(out, "sequence", value.sequence, kDefaults.sequence);
}

void from_json(const nlohmann::json& in, EndpointEntry& value) {
  internal::RequireObject(in, "EndpointEntry");
  internal::ReadRequired(in, "member", value.member);
  internal::ReadRequired(in, "group", value.group);
  internal::ReadRequired(in, "host", value.host);
  internal::ReadRequired(in, "port", value.port,
                         internal::IntegerRange{0, 65535});
  internal::ReadOptional(in, "data_centre", value.data_centre);
  internal::ReadOptional(in, "slots", value.slots, internal::kWholeNumber);
  internal::ReadOptional(in, "leaving", value.leaving);
  internal::ReadOptional(in, "leads", value.leads);
  internal::ReadOptional(in, "born_ms", value.born_ms, internal::kWholeNumber);
  internal::ReadOptional(in, "sequence", value.sequence,
                         internal::kWholeNumber);
}

void to_json(nlohmann::json& out, const RoutesWanted& value) {
  out = nlohmann::json::object();
  out["type"] = "routes_wanted";
  static const RoutesWanted kDefaults;
  out["instance"] = value.instance;
  internal::WriteOptional(out, "version", value.version, kDefaults.version);
}

void from_json(const nlohmann::json& in, RoutesWanted& value) {
  internal::RequireObject(in, "RoutesWanted");
  internal::ReadRequired(in, "instance", value.instance);
  internal::ReadOptional(in, "version", value.version, internal::kWholeNumber);
}

void to_json(nlohmann::json& out, const RoutesOffer& value) {
  out = nlohmann::json::object();
  out["type"] = "routes_offer";
  static const RoutesOffer kDefaults;
  out["table"] = value.table;
  internal::WriteOptional(out, "endpoints", value.endpoints,
                          kDefaults.endpoints);
}

void from_json(const nlohmann::json& in, RoutesOffer& value) {
  internal::RequireObject(in, "RoutesOffer");
  internal::ReadRequired(in, "table", value.table);
  internal::ReadOptional(in, "endpoints", value.endpoints);
}

namespace {
constexpr std::array<std::string_view, 4> kReachNames{"untried", "reached",
                                                      "refused", "silent"};
}  // namespace

auto ToString(Reach value) -> std::string_view {
  return kReachNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, Reach value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, Reach& value) {
  value = static_cast<Reach>(internal::EnumIndex(in, kReachNames));
}

void to_json(nlohmann::json& out, const GroupReport& value) {
  out = nlohmann::json::object();
  static const GroupReport kDefaults;
  out["group"] = value.group;
  out["primary"] = value.primary;
  internal::WriteOptional(out, "term", value.term, kDefaults.term);
  internal::WriteOptional(out, "pending", value.pending, kDefaults.pending);
  internal::WriteOptional(out, "reach", value.reach, kDefaults.reach);
  internal::WriteOptional(out, "heard_ms", value.heard_ms, kDefaults.heard_ms);
}

void from_json(const nlohmann::json& in, GroupReport& value) {
  internal::RequireObject(in, "GroupReport");
  internal::ReadRequired(in, "group", value.group);
  internal::ReadRequired(in, "primary", value.primary);
  internal::ReadOptional(in, "term", value.term, internal::kWholeNumber);
  internal::ReadOptional(in, "pending", value.pending);
  internal::ReadOptional(in, "reach", value.reach);
  internal::ReadOptional(in, "heard_ms", value.heard_ms,
                         internal::kMilliseconds);
}

void to_json(nlohmann::json& out, const GrantWanted& value) {
  out = nlohmann::json::object();
  out["type"] = "grant_wanted";
  out["instance"] = value.instance;
  out["group"] = value.group;
  out["ask"] = value.ask;
}

void from_json(const nlohmann::json& in, GrantWanted& value) {
  internal::RequireObject(in, "GrantWanted");
  internal::ReadRequired(in, "instance", value.instance);
  internal::ReadRequired(in, "group", value.group);
  internal::ReadRequired(in, "ask", value.ask, internal::kAnyInteger);
}

void to_json(nlohmann::json& out, const GrantGiven& value) {
  out = nlohmann::json::object();
  out["type"] = "grant_given";
  static const GrantGiven kDefaults;
  out["group"] = value.group;
  out["ask"] = value.ask;
  internal::WriteOptional(out, "member", value.member, kDefaults.member);
  internal::WriteOptional(out, "term", value.term, kDefaults.term);
  internal::WriteOptional(out, "lasts_ms", value.lasts_ms, kDefaults.lasts_ms);
  internal::WriteOptional(out, "shared", value.shared, kDefaults.shared);
  internal::WriteOptional(out, "floor_term", value.floor_term,
                          kDefaults.floor_term);
  internal::WriteOptional(out, "floor_position", value.floor_position,
                          kDefaults.floor_position);
  internal::WriteOptional(out, "floor_age_ms", value.floor_age_ms,
                          kDefaults.floor_age_ms);
}

void from_json(const nlohmann::json& in, GrantGiven& value) {
  internal::RequireObject(in, "GrantGiven");
  internal::ReadRequired(in, "group", value.group);
  internal::ReadRequired(in, "ask", value.ask, internal::kAnyInteger);
  internal::ReadOptional(in, "member", value.member);
  internal::ReadOptional(in, "term", value.term, internal::kWholeNumber);
  internal::ReadOptional(in, "lasts_ms", value.lasts_ms,
                         internal::kMilliseconds);
  internal::ReadOptional(in, "shared", value.shared);
  internal::ReadOptional(in, "floor_term", value.floor_term,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "floor_position", value.floor_position,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "floor_age_ms", value.floor_age_ms,
                         internal::kMilliseconds);
}

void to_json(nlohmann::json& out, const StepDown& value) {
  out = nlohmann::json::object();
  out["type"] = "step_down";
  out["instance"] = value.instance;
  out["group"] = value.group;
  out["epoch"] = value.epoch;
}

void from_json(const nlohmann::json& in, StepDown& value) {
  internal::RequireObject(in, "StepDown");
  internal::ReadRequired(in, "instance", value.instance);
  internal::ReadRequired(in, "group", value.group);
  internal::ReadRequired(in, "epoch", value.epoch, internal::kAnyInteger);
}

void to_json(nlohmann::json& out, const SteppedDown& value) {
  out = nlohmann::json::object();
  out["type"] = "stepped_down";
  static const SteppedDown kDefaults;
  out["instance"] = value.instance;
  out["group"] = value.group;
  out["epoch"] = value.epoch;
  internal::WriteOptional(out, "term", value.term, kDefaults.term);
}

void from_json(const nlohmann::json& in, SteppedDown& value) {
  internal::RequireObject(in, "SteppedDown");
  internal::ReadRequired(in, "instance", value.instance);
  internal::ReadRequired(in, "group", value.group);
  internal::ReadRequired(in, "epoch", value.epoch, internal::kAnyInteger);
  internal::ReadOptional(in, "term", value.term, internal::kWholeNumber);
}

void to_json(nlohmann::json& out, const QuotaWish& value) {
  out = nlohmann::json::object();
  out["tenant"] = value.tenant;
  out["count"] = value.count;
}

void from_json(const nlohmann::json& in, QuotaWish& value) {
  internal::RequireObject(in, "QuotaWish");
  internal::ReadRequired(in, "tenant", value.tenant);
  internal::ReadRequired(in, "count", value.count,
                         internal::IntegerRange{0, 1000000});
}

void to_json(nlohmann::json& out, const QuotaLoan& value) {
  out = nlohmann::json::object();
  static const QuotaLoan kDefaults;
  out["tenant"] = value.tenant;
  out["count"] = value.count;
  internal::WriteOptional(out, "lasts_ms", value.lasts_ms, kDefaults.lasts_ms);
  internal::WriteOptional(out, "room_ms", value.room_ms, kDefaults.room_ms);
  internal::WriteOptional(out, "retry_ms", value.retry_ms, kDefaults.retry_ms);
  internal::WriteOptional(out, "overloaded", value.overloaded,
                          kDefaults.overloaded);
}

void from_json(const nlohmann::json& in, QuotaLoan& value) {
  internal::RequireObject(in, "QuotaLoan");
  internal::ReadRequired(in, "tenant", value.tenant);
  internal::ReadRequired(in, "count", value.count,
                         internal::IntegerRange{0, 1000000});
  internal::ReadOptional(in, "lasts_ms", value.lasts_ms,
                         internal::kMilliseconds);
  internal::ReadOptional(in, "room_ms", value.room_ms, internal::kMilliseconds);
  internal::ReadOptional(in, "retry_ms", value.retry_ms,
                         internal::kMilliseconds);
  internal::ReadOptional(in, "overloaded", value.overloaded);
}

void to_json(nlohmann::json& out, const QuotaWanted& value) {
  out = nlohmann::json::object();
  out["type"] = "quota_wanted";
  static const QuotaWanted kDefaults;
  out["instance"] = value.instance;
  out["ask"] = value.ask;
  internal::WriteOptional(out, "relay", value.relay, kDefaults.relay);
  internal::WriteOptional(out, "wishes", value.wishes, kDefaults.wishes);
}

void from_json(const nlohmann::json& in, QuotaWanted& value) {
  internal::RequireObject(in, "QuotaWanted");
  internal::ReadRequired(in, "instance", value.instance);
  internal::ReadRequired(in, "ask", value.ask, internal::kAnyInteger);
  internal::ReadOptional(in, "relay", value.relay);
  internal::ReadOptional(in, "wishes", value.wishes);
}

void to_json(nlohmann::json& out, const QuotaGiven& value) {
  out = nlohmann::json::object();
  out["type"] = "quota_given";
  static const QuotaGiven kDefaults;
  out["ask"] = value.ask;
  internal::WriteOptional(out, "loans", value.loans, kDefaults.loans);
}

void from_json(const nlohmann::json& in, QuotaGiven& value) {
  internal::RequireObject(in, "QuotaGiven");
  internal::ReadRequired(in, "ask", value.ask, internal::kAnyInteger);
  internal::ReadOptional(in, "loans", value.loans);
}

void to_json(nlohmann::json& out, const OwnershipHint& value) {
  out = nlohmann::json::object();
  static const OwnershipHint kDefaults;
  out["database"] = value.database;
  out["owner"] = value.owner;
  internal::WriteOptional(out, "epoch", value.epoch, kDefaults.epoch);
}

void from_json(const nlohmann::json& in, OwnershipHint& value) {
  internal::RequireObject(in, "OwnershipHint");
  internal::ReadRequired(in, "database", value.database);
  internal::ReadRequired(in, "owner", value.owner);
  internal::ReadOptional(in, "epoch", value.epoch, internal::kAnyInteger);
}

void to_json(nlohmann::json& out, const Heartbeat& value) {
  out = nlohmann::json::object();
  out["type"] = "heartbeat";
  static const Heartbeat kDefaults;
  out["instance"] = value.instance;
  internal::WriteOptional(out, "manifest_version", value.manifest_version,
                          kDefaults.manifest_version);
  internal::WriteOptional(out, "manifest_hash", value.manifest_hash,
                          kDefaults.manifest_hash);
  internal::WriteOptional(out, "host", value.host, kDefaults.host);
  internal::WriteOptional(out, "port", value.port, kDefaults.port);
  internal::WriteOptional(out, "leaving", value.leaving, kDefaults.leaving);
  internal::WriteOptional(out, "owned", value.owned, kDefaults.owned);
  internal::WriteOptional(out, "routes_version", value.routes_version,
                          kDefaults.routes_version);
  internal::WriteOptional(out, "endpoints_known", value.endpoints_known,
                          kDefaults.endpoints_known);
  internal::WriteOptional(out, "store_reachable", value.store_reachable,
                          kDefaults.store_reachable);
  internal::WriteOptional(out, "store_contact_ms", value.store_contact_ms,
                          kDefaults.store_contact_ms);
  internal::WriteOptional(out, "lends", value.lends, kDefaults.lends);
  internal::WriteOptional(out, "lenders_hash", value.lenders_hash,
                          kDefaults.lenders_hash);
  internal::WriteOptional(out, "groups", value.groups, kDefaults.groups);
}

void from_json(const nlohmann::json& in, Heartbeat& value) {
  internal::RequireObject(in, "Heartbeat");
  internal::ReadRequired(in, "instance", value.instance);
  internal::ReadOptional(in, "manifest_version", value.manifest_version,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "manifest_hash", value.manifest_hash);
  internal::ReadOptional(in, "host", value.host);
  internal::ReadOptional(in, "port", value.port,
                         internal::IntegerRange{0, 65535});
  internal::ReadOptional(in, "leaving", value.leaving);
  internal::ReadOptional(in, "owned", value.owned);
  internal::ReadOptional(in, "routes_version", value.routes_version,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "endpoints_known", value.endpoints_known,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "store_reachable", value.store_reachable);
  internal::ReadOptional(in, "store_contact_ms", value.store_contact_ms,
                         internal::kMilliseconds);
  internal::ReadOptional(in, "lends", value.lends);
  internal::ReadOptional(in, "lenders_hash", value.lenders_hash,
                         internal::kAnyInteger);
  internal::ReadOptional(in, "groups", value.groups);
}

void to_json(nlohmann::json& out, const ManifestWanted& value) {
  out = nlohmann::json::object();
  out["type"] = "manifest_wanted";
  out["instance"] = value.instance;
}

void from_json(const nlohmann::json& in, ManifestWanted& value) {
  internal::RequireObject(in, "ManifestWanted");
  internal::ReadRequired(in, "instance", value.instance);
}

void to_json(nlohmann::json& out, const ManifestOffer& value) {
  out = nlohmann::json::object();
  out["type"] = "manifest_offer";
  out["version"] = value.version;
  out["text"] = value.text;
}

void from_json(const nlohmann::json& in, ManifestOffer& value) {
  internal::RequireObject(in, "ManifestOffer");
  internal::ReadRequired(in, "version", value.version, internal::kWholeNumber);
  internal::ReadRequired(in, "text", value.text);
}

void to_json(nlohmann::json& out, const HandOver& value) {
  out = nlohmann::json::object();
  out["type"] = "hand_over";
  static const HandOver kDefaults;
  out["database"] = value.database;
  internal::WriteOptional(out, "epoch", value.epoch, kDefaults.epoch);
}

void from_json(const nlohmann::json& in, HandOver& value) {
  internal::RequireObject(in, "HandOver");
  internal::ReadRequired(in, "database", value.database);
  internal::ReadOptional(in, "epoch", value.epoch, internal::kAnyInteger);
}

namespace {
constexpr std::array<std::string_view, 13> kMemberOpNames{
    "status",         "read",     "execute", "raise_epoch", "lookup",
    "await_position", "promote",  "follow",  "begin",       "statement",
    "commit",         "rollback", "prune"};
}  // namespace

auto ToString(MemberOp value) -> std::string_view {
  return kMemberOpNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, MemberOp value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, MemberOp& value) {
  value = static_cast<MemberOp>(internal::EnumIndex(in, kMemberOpNames));
}

namespace {
constexpr std::array<std::string_view, 10> kMemberStatusNames{
    "done",   "rejected", "fenced",  "not_primary", "stale_term",
    "behind", "absent",   "no_slot", "expired",     "reused"};
}  // namespace

auto ToString(MemberStatus value) -> std::string_view {
  return kMemberStatusNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, MemberStatus value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, MemberStatus& value) {
  value =
      static_cast<MemberStatus>(internal::EnumIndex(in, kMemberStatusNames));
}

namespace {
constexpr std::array<std::string_view, 2> kMemberRoleNames{"replica",
                                                           "primary"};
}  // namespace

auto ToString(MemberRole value) -> std::string_view {
  return kMemberRoleNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, MemberRole value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, MemberRole& value) {
  value = static_cast<MemberRole>(internal::EnumIndex(in, kMemberRoleNames));
}

void to_json(nlohmann::json& out, const MemberRequest& value) {
  out = nlohmann::json::object();
  out["type"] = "member_request";
  static const MemberRequest kDefaults;
  out["id"] = value.id;
  out["op"] = value.op;
  internal::WriteOptional(out, "epoch", value.epoch, kDefaults.epoch);
  internal::WriteOptional(out, "term", value.term, kDefaults.term);
  internal::WriteOptional(out, "position", value.position, kDefaults.position);
  internal::WriteOptional(out, "entry_term", value.entry_term,
                          kDefaults.entry_term);
  internal::WriteOptional(out, "primary", value.primary, kDefaults.primary);
  internal::WriteOptional(out, "request_id", value.request_id,
                          kDefaults.request_id);
  internal::WriteOptional(out, "issued_ms", value.issued_ms,
                          kDefaults.issued_ms);
  internal::WriteOptional(out, "content_hash", value.content_hash,
                          kDefaults.content_hash);
  internal::WriteOptional(out, "statements", value.statements,
                          kDefaults.statements);
  internal::WriteOptional(out, "wait_ms", value.wait_ms, kDefaults.wait_ms);
}

void from_json(const nlohmann::json& in, MemberRequest& value) {
  internal::RequireObject(in, "MemberRequest");
  internal::ReadRequired(in, "id", value.id, internal::kAnyInteger);
  internal::ReadRequired(in, "op", value.op);
  internal::ReadOptional(in, "epoch", value.epoch, internal::kAnyInteger);
  internal::ReadOptional(in, "term", value.term, internal::kWholeNumber);
  internal::ReadOptional(in, "position", value.position,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "entry_term", value.entry_term,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "primary", value.primary);
  internal::ReadOptional(in, "request_id", value.request_id);
  internal::ReadOptional(in, "issued_ms", value.issued_ms,
                         internal::kAnyInteger);
  internal::ReadOptional(in, "content_hash", value.content_hash);
  internal::ReadOptional(in, "statements", value.statements);
  internal::ReadOptional(in, "wait_ms", value.wait_ms, internal::kMilliseconds);
}

void to_json(nlohmann::json& out, const MemberAnswer& value) {
  out = nlohmann::json::object();
  out["type"] = "member_answer";
  static const MemberAnswer kDefaults;
  out["id"] = value.id;
  out["status"] = value.status;
  internal::WriteOptional(out, "term", value.term, kDefaults.term);
  internal::WriteOptional(out, "entry_term", value.entry_term,
                          kDefaults.entry_term);
  internal::WriteOptional(out, "position", value.position, kDefaults.position);
  internal::WriteOptional(out, "role", value.role, kDefaults.role);
  internal::WriteOptional(out, "epoch", value.epoch, kDefaults.epoch);
  internal::WriteOptional(out, "replayed", value.replayed, kDefaults.replayed);
  internal::WriteOptional(out, "results", value.results, kDefaults.results);
  internal::WriteOptional(out, "message", value.message, kDefaults.message);
}

void from_json(const nlohmann::json& in, MemberAnswer& value) {
  internal::RequireObject(in, "MemberAnswer");
  internal::ReadRequired(in, "id", value.id, internal::kAnyInteger);
  internal::ReadRequired(in, "status", value.status);
  internal::ReadOptional(in, "term", value.term, internal::kWholeNumber);
  internal::ReadOptional(in, "entry_term", value.entry_term,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "position", value.position,
                         internal::kWholeNumber);
  internal::ReadOptional(in, "role", value.role);
  internal::ReadOptional(in, "epoch", value.epoch, internal::kAnyInteger);
  internal::ReadOptional(in, "replayed", value.replayed);
  internal::ReadOptional(in, "results", value.results);
  internal::ReadOptional(in, "message", value.message);
}

namespace {
constexpr std::array<std::string_view, 7> kStoreOpNames{
    "get",          "range", "compare_and_swap", "lease_grant", "lease_renew",
    "lease_revoke", "watch"};
}  // namespace

auto ToString(StoreOp value) -> std::string_view {
  return kStoreOpNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, StoreOp value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, StoreOp& value) {
  value = static_cast<StoreOp>(internal::EnumIndex(in, kStoreOpNames));
}

namespace {
constexpr std::array<std::string_view, 5> kStoreStatusNames{
    "done", "conflict", "absent", "expired", "unavailable"};
}  // namespace

auto ToString(StoreStatus value) -> std::string_view {
  return kStoreStatusNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, StoreStatus value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, StoreStatus& value) {
  value = static_cast<StoreStatus>(internal::EnumIndex(in, kStoreStatusNames));
}

void to_json(nlohmann::json& out, const StoreItem& value) {
  out = nlohmann::json::object();
  static const StoreItem kDefaults;
  out["key"] = value.key;
  internal::WriteOptional(out, "value", value.value, kDefaults.value);
  internal::WriteOptional(out, "version", value.version, kDefaults.version);
}

void from_json(const nlohmann::json& in, StoreItem& value) {
  internal::RequireObject(in, "StoreItem");
  internal::ReadRequired(in, "key", value.key);
  internal::ReadOptional(in, "value", value.value);
  internal::ReadOptional(in, "version", value.version, internal::kWholeNumber);
}

void to_json(nlohmann::json& out, const StoreCall& value) {
  out = nlohmann::json::object();
  out["type"] = "store_call";
  static const StoreCall kDefaults;
  out["id"] = value.id;
  out["op"] = value.op;
  internal::WriteOptional(out, "key", value.key, kDefaults.key);
  internal::WriteOptional(out, "value", value.value, kDefaults.value);
  internal::WriteOptional(out, "expected_version", value.expected_version,
                          kDefaults.expected_version);
  internal::WriteOptional(out, "lease", value.lease, kDefaults.lease);
  internal::WriteOptional(out, "ttl_ms", value.ttl_ms, kDefaults.ttl_ms);
}

void from_json(const nlohmann::json& in, StoreCall& value) {
  internal::RequireObject(in, "StoreCall");
  internal::ReadRequired(in, "id", value.id, internal::kAnyInteger);
  internal::ReadRequired(in, "op", value.op);
  internal::ReadOptional(in, "key", value.key);
  internal::ReadOptional(in, "value", value.value);
  internal::ReadOptional(in, "expected_version", value.expected_version,
                         internal::kAnyInteger);
  internal::ReadOptional(in, "lease", value.lease, internal::kAnyInteger);
  internal::ReadOptional(in, "ttl_ms", value.ttl_ms, internal::kMilliseconds);
}

void to_json(nlohmann::json& out, const StoreAnswer& value) {
  out = nlohmann::json::object();
  out["type"] = "store_answer";
  static const StoreAnswer kDefaults;
  out["id"] = value.id;
  out["status"] = value.status;
  internal::WriteOptional(out, "lease", value.lease, kDefaults.lease);
  internal::WriteOptional(out, "items", value.items, kDefaults.items);
  internal::WriteOptional(out, "era", value.era, kDefaults.era);
}

void from_json(const nlohmann::json& in, StoreAnswer& value) {
  internal::RequireObject(in, "StoreAnswer");
  internal::ReadRequired(in, "id", value.id, internal::kAnyInteger);
  internal::ReadRequired(in, "status", value.status);
  internal::ReadOptional(in, "lease", value.lease, internal::kAnyInteger);
  internal::ReadOptional(in, "items", value.items);
  internal::ReadOptional(in, "era", value.era, internal::kAnyInteger);
}

void to_json(nlohmann::json& out, const StoreEvent& value) {
  out = nlohmann::json::object();
  out["type"] = "store_event";
  static const StoreEvent kDefaults;
  out["item"] = value.item;
  internal::WriteOptional(out, "deleted", value.deleted, kDefaults.deleted);
  internal::WriteOptional(out, "era", value.era, kDefaults.era);
}

void from_json(const nlohmann::json& in, StoreEvent& value) {
  internal::RequireObject(in, "StoreEvent");
  internal::ReadRequired(in, "item", value.item);
  internal::ReadOptional(in, "deleted", value.deleted);
  internal::ReadOptional(in, "era", value.era, internal::kAnyInteger);
}

namespace {
constexpr std::array<std::string_view, 3> kPhaseNames{"released", "serving",
                                                      "promoting"};
}  // namespace

auto ToString(Phase value) -> std::string_view {
  return kPhaseNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, Phase value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, Phase& value) {
  value = static_cast<Phase>(internal::EnumIndex(in, kPhaseNames));
}

void to_json(nlohmann::json& out, const TermStart& value) {
  out = nlohmann::json::object();
  out["term"] = value.term;
  out["position"] = value.position;
}

void from_json(const nlohmann::json& in, TermStart& value) {
  internal::RequireObject(in, "TermStart");
  internal::ReadRequired(in, "term", value.term, internal::kWholeNumber);
  internal::ReadRequired(in, "position", value.position,
                         internal::kWholeNumber);
}

void to_json(nlohmann::json& out, const OwnerRecord& value) {
  out = nlohmann::json::object();
  static const OwnerRecord kDefaults;
  out["epoch"] = value.epoch;
  out["owner"] = value.owner;
  internal::WriteOptional(out, "previous", value.previous, kDefaults.previous);
  internal::WriteOptional(out, "lease", value.lease, kDefaults.lease);
  internal::WriteOptional(out, "term", value.term, kDefaults.term);
  internal::WriteOptional(out, "primary", value.primary, kDefaults.primary);
  internal::WriteOptional(out, "phase", value.phase, kDefaults.phase);
  internal::WriteOptional(out, "ordered", value.ordered, kDefaults.ordered);
  internal::WriteOptional(out, "orders_unknown", value.orders_unknown,
                          kDefaults.orders_unknown);
  internal::WriteOptional(out, "attempt", value.attempt, kDefaults.attempt);
  internal::WriteOptional(out, "term_starts", value.term_starts,
                          kDefaults.term_starts);
}

void from_json(const nlohmann::json& in, OwnerRecord& value) {
  internal::RequireObject(in, "OwnerRecord");
  internal::ReadRequired(in, "epoch", value.epoch,
                         internal::IntegerRange{0, 2199023255551});
  internal::ReadRequired(in, "owner", value.owner);
  internal::ReadOptional(in, "previous", value.previous);
  internal::ReadOptional(in, "lease", value.lease, internal::kAnyInteger);
  internal::ReadOptional(in, "term", value.term, internal::kWholeNumber);
  internal::ReadOptional(in, "primary", value.primary);
  internal::ReadOptional(in, "phase", value.phase);
  internal::ReadOptional(in, "ordered", value.ordered);
  internal::ReadOptional(in, "orders_unknown", value.orders_unknown);
  internal::ReadOptional(in, "attempt", value.attempt);
  internal::ReadOptional(in, "term_starts", value.term_starts);
}

void to_json(nlohmann::json& out, const InstanceEntry& value) {
  out = nlohmann::json::object();
  static const InstanceEntry kDefaults;
  out["name"] = value.name;
  out["host"] = value.host;
  out["port"] = value.port;
  internal::WriteOptional(out, "data_centre", value.data_centre,
                          kDefaults.data_centre);
  internal::WriteOptional(out, "leaving", value.leaving, kDefaults.leaving);
}

void from_json(const nlohmann::json& in, InstanceEntry& value) {
  internal::RequireObject(in, "InstanceEntry");
  internal::ReadRequired(in, "name", value.name);
  internal::ReadRequired(in, "host", value.host);
  internal::ReadRequired(in, "port", value.port,
                         internal::IntegerRange{0, 65535});
  internal::ReadOptional(in, "data_centre", value.data_centre);
  internal::ReadOptional(in, "leaving", value.leaving);
}

void to_json(nlohmann::json& out, const InstanceList& value) {
  out = nlohmann::json::object();
  static const InstanceList kDefaults;
  out["instances"] = value.instances;
  internal::WriteOptional(out, "endpoints", value.endpoints,
                          kDefaults.endpoints);
}

void from_json(const nlohmann::json& in, InstanceList& value) {
  internal::RequireObject(in, "InstanceList");
  internal::ReadRequired(in, "instances", value.instances);
  internal::ReadOptional(in, "endpoints", value.endpoints);
}

namespace {
constexpr std::array<std::string_view, 18> kControlActionNames{
    "kill",         "revive", "pause",   "resume",        "isolate",
    "join",         "lag",    "silence", "delay_answers", "reorder_answers",
    "lose_answers", "down",   "up",      "slow",          "expire_leases",
    "dump",         "put",    "stats"};
}  // namespace

auto ToString(ControlAction value) -> std::string_view {
  return kControlActionNames.at(static_cast<std::size_t>(value));
}

void to_json(nlohmann::json& out, ControlAction value) {
  out = ToString(value);
}

void from_json(const nlohmann::json& in, ControlAction& value) {
  value =
      static_cast<ControlAction>(internal::EnumIndex(in, kControlActionNames));
}

void to_json(nlohmann::json& out, const ControlCommand& value) {
  out = nlohmann::json::object();
  out["type"] = "control";
  static const ControlCommand kDefaults;
  out["id"] = value.id;
  out["action"] = value.action;
  internal::WriteOptional(out, "member", value.member, kDefaults.member);
  internal::WriteOptional(out, "ms", value.ms, kDefaults.ms);
  internal::WriteOptional(out, "count", value.count, kDefaults.count);
  internal::WriteOptional(out, "key", value.key, kDefaults.key);
  internal::WriteOptional(out, "value", value.value, kDefaults.value);
}

void from_json(const nlohmann::json& in, ControlCommand& value) {
  internal::RequireObject(in, "ControlCommand");
  internal::ReadRequired(in, "id", value.id, internal::kAnyInteger);
  internal::ReadRequired(in, "action", value.action);
  internal::ReadOptional(in, "member", value.member);
  internal::ReadOptional(in, "ms", value.ms, internal::kAnyInteger);
  internal::ReadOptional(in, "count", value.count, internal::kAnyInteger);
  internal::ReadOptional(in, "key", value.key);
  internal::ReadOptional(in, "value", value.value);
}

void to_json(nlohmann::json& out, const ControlAnswer& value) {
  out = nlohmann::json::object();
  out["type"] = "control_answer";
  static const ControlAnswer kDefaults;
  out["id"] = value.id;
  internal::WriteOptional(out, "message", value.message, kDefaults.message);
  internal::WriteOptional(out, "items", value.items, kDefaults.items);
}

void from_json(const nlohmann::json& in, ControlAnswer& value) {
  internal::RequireObject(in, "ControlAnswer");
  internal::ReadRequired(in, "id", value.id, internal::kAnyInteger);
  internal::ReadOptional(in, "message", value.message);
  internal::ReadOptional(in, "items", value.items);
}

auto ReadCallerMessage(const nlohmann::json& in) -> CallerMessage {
  const auto type = internal::FrameType(in, "CallerMessage");
  if (type == "request") {
    return in.get<CallerRequest>();
  }
  if (type == "status_query") {
    return in.get<StatusQuery>();
  }
  throw SchemaError("type",
                    "unknown frame type; send one of: request, status_query");
}

auto ReadCallerReply(const nlohmann::json& in) -> CallerReply {
  const auto type = internal::FrameType(in, "CallerReply");
  if (type == "answer") {
    return in.get<CallerAnswer>();
  }
  if (type == "instance_status") {
    return in.get<InstanceStatus>();
  }
  throw SchemaError("type",
                    "unknown frame type; send one of: answer, instance_status");
}

auto ReadPeerMessage(const nlohmann::json& in) -> PeerMessage {
  const auto type = internal::FrameType(in, "PeerMessage");
  if (type == "forward") {
    return in.get<Forward>();
  }
  if (type == "forward_answer") {
    return in.get<ForwardAnswer>();
  }
  if (type == "heartbeat") {
    return in.get<Heartbeat>();
  }
  if (type == "manifest_wanted") {
    return in.get<ManifestWanted>();
  }
  if (type == "manifest_offer") {
    return in.get<ManifestOffer>();
  }
  if (type == "hand_over") {
    return in.get<HandOver>();
  }
  if (type == "routes_wanted") {
    return in.get<RoutesWanted>();
  }
  if (type == "routes_offer") {
    return in.get<RoutesOffer>();
  }
  if (type == "grant_wanted") {
    return in.get<GrantWanted>();
  }
  if (type == "grant_given") {
    return in.get<GrantGiven>();
  }
  if (type == "step_down") {
    return in.get<StepDown>();
  }
  if (type == "stepped_down") {
    return in.get<SteppedDown>();
  }
  if (type == "quota_wanted") {
    return in.get<QuotaWanted>();
  }
  if (type == "quota_given") {
    return in.get<QuotaGiven>();
  }
  throw SchemaError("type",
                    "unknown frame type; send one of: forward, forward_answer, "
                    "heartbeat, manifest_wanted, manifest_offer, hand_over, "
                    "routes_wanted, routes_offer, grant_wanted, grant_given, "
                    "step_down, stepped_down, quota_wanted, quota_given");
}

auto ReadInboundMessage(const nlohmann::json& in) -> InboundMessage {
  const auto type = internal::FrameType(in, "InboundMessage");
  if (type == "request") {
    return in.get<CallerRequest>();
  }
  if (type == "status_query") {
    return in.get<StatusQuery>();
  }
  if (type == "forward") {
    return in.get<Forward>();
  }
  if (type == "heartbeat") {
    return in.get<Heartbeat>();
  }
  if (type == "manifest_wanted") {
    return in.get<ManifestWanted>();
  }
  if (type == "manifest_offer") {
    return in.get<ManifestOffer>();
  }
  if (type == "hand_over") {
    return in.get<HandOver>();
  }
  if (type == "routes_wanted") {
    return in.get<RoutesWanted>();
  }
  if (type == "routes_offer") {
    return in.get<RoutesOffer>();
  }
  if (type == "grant_wanted") {
    return in.get<GrantWanted>();
  }
  if (type == "grant_given") {
    return in.get<GrantGiven>();
  }
  if (type == "step_down") {
    return in.get<StepDown>();
  }
  if (type == "stepped_down") {
    return in.get<SteppedDown>();
  }
  if (type == "quota_wanted") {
    return in.get<QuotaWanted>();
  }
  if (type == "quota_given") {
    return in.get<QuotaGiven>();
  }
  throw SchemaError(
      "type",
      "unknown frame type; send one of: request, status_query, forward, "
      "heartbeat, manifest_wanted, manifest_offer, hand_over, routes_wanted, "
      "routes_offer, grant_wanted, grant_given, step_down, stepped_down, "
      "quota_wanted, quota_given");
}

auto ReadStoreReply(const nlohmann::json& in) -> StoreReply {
  const auto type = internal::FrameType(in, "StoreReply");
  if (type == "store_answer") {
    return in.get<StoreAnswer>();
  }
  if (type == "store_event") {
    return in.get<StoreEvent>();
  }
  throw SchemaError(
      "type", "unknown frame type; send one of: store_answer, store_event");
}

auto ReadStoreMessage(const nlohmann::json& in) -> StoreMessage {
  const auto type = internal::FrameType(in, "StoreMessage");
  if (type == "store_call") {
    return in.get<StoreCall>();
  }
  if (type == "control") {
    return in.get<ControlCommand>();
  }
  throw SchemaError("type",
                    "unknown frame type; send one of: store_call, control");
}

auto ReadMemberMessage(const nlohmann::json& in) -> MemberMessage {
  const auto type = internal::FrameType(in, "MemberMessage");
  if (type == "member_request") {
    return in.get<MemberRequest>();
  }
  if (type == "control") {
    return in.get<ControlCommand>();
  }
  throw SchemaError("type",
                    "unknown frame type; send one of: member_request, control");
}

}  // namespace kingcuplock

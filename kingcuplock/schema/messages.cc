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
  internal::ReadOptional(in, "patience_ms", value.patience_ms);
  internal::ReadOptional(in, "issued_ms", value.issued_ms);
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
}

void from_json(const nlohmann::json& in, CallerAnswer& value) {
  internal::RequireObject(in, "CallerAnswer");
  internal::ReadRequired(in, "id", value.id);
  internal::ReadRequired(in, "status", value.status);
  internal::ReadOptional(in, "error", value.error);
  internal::ReadOptional(in, "message", value.message);
  internal::ReadOptional(in, "retry_after_ms", value.retry_after_ms);
  internal::ReadOptional(in, "receipt", value.receipt);
  internal::ReadOptional(in, "results", value.results);
  internal::ReadOptional(in, "token", value.token);
  internal::ReadOptional(in, "transaction", value.transaction);
  internal::ReadOptional(in, "term", value.term);
  internal::ReadOptional(in, "position", value.position);
  internal::ReadOptional(in, "served_by", value.served_by);
  internal::ReadOptional(in, "from_replica", value.from_replica);
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
  internal::ReadOptional(in, "epoch", value.epoch);
  internal::ReadOptional(in, "term", value.term);
  internal::ReadOptional(in, "primary", value.primary);
  internal::ReadOptional(in, "phase", value.phase);
  internal::ReadOptional(in, "queued", value.queued);
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
  internal::ReadRequired(in, "window_ms", value.window_ms);
  internal::ReadOptional(in, "good", value.good);
  internal::ReadOptional(in, "bad", value.bad);
  internal::ReadOptional(in, "from_replica", value.from_replica);
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
  internal::ReadOptional(in, "ok", value.ok);
  internal::ReadOptional(in, "failed", value.failed);
  internal::ReadOptional(in, "not_run", value.not_run);
  internal::ReadOptional(in, "unknown", value.unknown);
  internal::ReadOptional(in, "from_replica", value.from_replica);
  internal::ReadOptional(in, "latency_p50_us", value.latency_p50_us);
  internal::ReadOptional(in, "latency_p99_us", value.latency_p99_us);
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
  internal::ReadOptional(in, "term", value.term);
  internal::ReadOptional(in, "suspect_us", value.suspect_us);
  internal::ReadOptional(in, "record_us", value.record_us);
  internal::ReadOptional(in, "hear_us", value.hear_us);
  internal::ReadOptional(in, "promote_us", value.promote_us);
  internal::ReadOptional(in, "open_us", value.open_us);
  internal::ReadOptional(in, "ended_ms_ago", value.ended_ms_ago);
}

void to_json(nlohmann::json& out, const InstanceStatus& value) {
  out = nlohmann::json::object();
  out["type"] = "instance_status";
  static const InstanceStatus kDefaults;
  out["id"] = value.id;
  out["instance"] = value.instance;
  internal::WriteOptional(out, "manifest_version", value.manifest_version,
                          kDefaults.manifest_version);
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
  internal::ReadOptional(in, "manifest_version", value.manifest_version);
  internal::ReadOptional(in, "leaving", value.leaving);
  internal::ReadOptional(in, "lease_valid", value.lease_valid);
  internal::ReadOptional(in, "databases", value.databases);
  internal::ReadOptional(in, "counters", value.counters);
  internal::ReadOptional(in, "failovers", value.failovers);
  internal::ReadOptional(in, "uptime_ms", value.uptime_ms);
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
  internal::ReadRequired(in, "id", value.id);
  internal::ReadRequired(in, "request", value.request);
  internal::ReadOptional(in, "caller", value.caller);
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
  internal::ReadRequired(in, "id", value.id);
  internal::ReadRequired(in, "answer", value.answer);
  internal::ReadOptional(in, "owner_hint", value.owner_hint);
  internal::ReadOptional(in, "epoch", value.epoch);
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
  internal::ReadOptional(in, "epoch", value.epoch);
}

void to_json(nlohmann::json& out, const Heartbeat& value) {
  out = nlohmann::json::object();
  out["type"] = "heartbeat";
  static const Heartbeat kDefaults;
  out["instance"] = value.instance;
  internal::WriteOptional(out, "manifest_version", value.manifest_version,
                          kDefaults.manifest_version);
  internal::WriteOptional(out, "leaving", value.leaving, kDefaults.leaving);
  internal::WriteOptional(out, "owned", value.owned, kDefaults.owned);
}

void from_json(const nlohmann::json& in, Heartbeat& value) {
  internal::RequireObject(in, "Heartbeat");
  internal::ReadRequired(in, "instance", value.instance);
  internal::ReadOptional(in, "manifest_version", value.manifest_version);
  internal::ReadOptional(in, "leaving", value.leaving);
  internal::ReadOptional(in, "owned", value.owned);
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
  internal::ReadRequired(in, "version", value.version);
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
  internal::ReadOptional(in, "epoch", value.epoch);
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
  internal::ReadRequired(in, "id", value.id);
  internal::ReadRequired(in, "op", value.op);
  internal::ReadOptional(in, "epoch", value.epoch);
  internal::ReadOptional(in, "term", value.term);
  internal::ReadOptional(in, "position", value.position);
  internal::ReadOptional(in, "entry_term", value.entry_term);
  internal::ReadOptional(in, "primary", value.primary);
  internal::ReadOptional(in, "request_id", value.request_id);
  internal::ReadOptional(in, "issued_ms", value.issued_ms);
  internal::ReadOptional(in, "content_hash", value.content_hash);
  internal::ReadOptional(in, "statements", value.statements);
  internal::ReadOptional(in, "wait_ms", value.wait_ms);
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
  internal::ReadRequired(in, "id", value.id);
  internal::ReadRequired(in, "status", value.status);
  internal::ReadOptional(in, "term", value.term);
  internal::ReadOptional(in, "entry_term", value.entry_term);
  internal::ReadOptional(in, "position", value.position);
  internal::ReadOptional(in, "role", value.role);
  internal::ReadOptional(in, "epoch", value.epoch);
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
constexpr std::array<std::string_view, 4> kStoreStatusNames{
    "done", "conflict", "absent", "expired"};
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
  internal::ReadOptional(in, "version", value.version);
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
  internal::ReadRequired(in, "id", value.id);
  internal::ReadRequired(in, "op", value.op);
  internal::ReadOptional(in, "key", value.key);
  internal::ReadOptional(in, "value", value.value);
  internal::ReadOptional(in, "expected_version", value.expected_version);
  internal::ReadOptional(in, "lease", value.lease);
  internal::ReadOptional(in, "ttl_ms", value.ttl_ms);
}

void to_json(nlohmann::json& out, const StoreAnswer& value) {
  out = nlohmann::json::object();
  out["type"] = "store_answer";
  static const StoreAnswer kDefaults;
  out["id"] = value.id;
  out["status"] = value.status;
  internal::WriteOptional(out, "lease", value.lease, kDefaults.lease);
  internal::WriteOptional(out, "items", value.items, kDefaults.items);
}

void from_json(const nlohmann::json& in, StoreAnswer& value) {
  internal::RequireObject(in, "StoreAnswer");
  internal::ReadRequired(in, "id", value.id);
  internal::ReadRequired(in, "status", value.status);
  internal::ReadOptional(in, "lease", value.lease);
  internal::ReadOptional(in, "items", value.items);
}

void to_json(nlohmann::json& out, const StoreEvent& value) {
  out = nlohmann::json::object();
  out["type"] = "store_event";
  static const StoreEvent kDefaults;
  out["item"] = value.item;
  internal::WriteOptional(out, "deleted", value.deleted, kDefaults.deleted);
}

void from_json(const nlohmann::json& in, StoreEvent& value) {
  internal::RequireObject(in, "StoreEvent");
  internal::ReadRequired(in, "item", value.item);
  internal::ReadOptional(in, "deleted", value.deleted);
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

void to_json(nlohmann::json& out, const OwnerRecord& value) {
  out = nlohmann::json::object();
  static const OwnerRecord kDefaults;
  out["epoch"] = value.epoch;
  out["owner"] = value.owner;
  internal::WriteOptional(out, "lease", value.lease, kDefaults.lease);
  internal::WriteOptional(out, "term", value.term, kDefaults.term);
  internal::WriteOptional(out, "primary", value.primary, kDefaults.primary);
  internal::WriteOptional(out, "phase", value.phase, kDefaults.phase);
  internal::WriteOptional(out, "attempt", value.attempt, kDefaults.attempt);
}

void from_json(const nlohmann::json& in, OwnerRecord& value) {
  internal::RequireObject(in, "OwnerRecord");
  internal::ReadRequired(in, "epoch", value.epoch);
  internal::ReadRequired(in, "owner", value.owner);
  internal::ReadOptional(in, "lease", value.lease);
  internal::ReadOptional(in, "term", value.term);
  internal::ReadOptional(in, "primary", value.primary);
  internal::ReadOptional(in, "phase", value.phase);
  internal::ReadOptional(in, "attempt", value.attempt);
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
  internal::ReadRequired(in, "port", value.port);
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
  internal::ReadRequired(in, "id", value.id);
  internal::ReadRequired(in, "action", value.action);
  internal::ReadOptional(in, "member", value.member);
  internal::ReadOptional(in, "ms", value.ms);
  internal::ReadOptional(in, "count", value.count);
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
  internal::ReadRequired(in, "id", value.id);
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
  throw SchemaError("type",
                    "unknown frame type; send one of: forward, forward_answer, "
                    "heartbeat, manifest_wanted, manifest_offer, hand_over");
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
  throw SchemaError(
      "type",
      "unknown frame type; send one of: request, status_query, forward, "
      "heartbeat, manifest_wanted, manifest_offer, hand_over");
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

const std::string_view kMessagesSchema =
    R"json({"$schema":"http://json-schema.org/draft-07/schema#","title":"Messages between callers, instances, endpoints and the platform's key-value service","$defs":{"Status":{"description":"Outcome of a caller's request.","enum":["ok","failed","not_run","unknown"]},"ErrorKind":{"description":"Typed reason of an answer that is not ok. docs/ERRORS.md gives the remedy of each.","enum":["none","bad_frame","too_large","unknown_database","unknown_kind","wrong_access","bad_token","overloaded","no_owner","not_owner","patience_spent","primary_unavailable","fenced","lease_lapsed","rejected_by_database","request_id_too_old","connection_lost","not_replicated","transaction_unknown","no_manifest","position_lost","leaving","unauthorized","request_id_reused","issue_time_missing","transactions_full"]},"Verb":{"description":"Operation of one statement.","enum":["get","put","insert","append","remove"]},"Step":{"description":"Part of a transaction that a request carries.","enum":["single","begin","statement","commit","rollback"]},"Statement":{"description":"One statement on a keyed row.","type":"object","required":["verb","key"],"properties":{"verb":{"$ref":"#/$defs/Verb","description":"What to do with the row."},"key":{"type":"string","description":"Row key."},"value":{"type":"string","description":"New value; unused by get and remove."}}},"StatementResult":{"description":"Result of one statement.","type":"object","required":[],"properties":{"found":{"type":"boolean","description":"Whether the row existed before the statement."},"value":{"type":"string","description":"Value of the row, for get."}}},"CallerRequest":{"description":"A caller's request. The id makes it idempotent within the manifest's marker retention.","type":"object","required":["id","database","kind"],"x-type":"request","properties":{"id":{"type":"string","description":"Request id chosen by the caller, unique per request."},"database":{"type":"string","description":"Database name from the manifest."},"kind":{"type":"string","description":"Request kind from the manifest."},"step":{"$ref":"#/$defs/Step","description":"single for a whole transaction in one request."},"transaction":{"type":"string","description":"Transaction handle, for the steps of an interactive transaction."},"statements":{"type":"array","items":{"$ref":"#/$defs/Statement"},"description":"Statements, run in order as one transaction."},"patience_ms":{"type":"integer","default":10000,"description":"Time in ms for which the caller still waits."},"issued_ms":{"type":"integer","description":"Unix time in ms at which the caller first sent this id."},"repeated":{"type":"boolean","description":"Whether this id may have been sent before; then not_run is said only where no earlier sending ran either."},"token":{"type":"string","description":"Session token of the last answer; empty for a new session."}}},"CallerAnswer":{"description":"Answer to a caller's request, matched by id.","type":"object","required":["id","status"],"x-type":"answer","properties":{"id":{"type":"string","description":"Id of the request."},"status":{"$ref":"#/$defs/Status","description":"Outcome."},"error":{"$ref":"#/$defs/ErrorKind","description":"Reason, none when ok."},"message":{"type":"string","description":"Text for people, with the remedy."},"retry_after_ms":{"type":"integer","description":"For not_run: time in ms after which a retry makes sense."},"receipt":{"type":"string","description":"For unknown: the id to ask again with."},"results":{"type":"array","items":{"$ref":"#/$defs/StatementResult"},"description":"One result per statement."},"token":{"type":"string","description":"Session token to send with the next request."},"transaction":{"type":"string","description":"Handle of the open transaction."},"term":{"type":"integer","description":"Term of the member that served the request."},"position":{"type":"integer","description":"Log position that the answer reflects."},"served_by":{"type":"string","description":"Member that served the request."},"from_replica":{"type":"boolean","description":"Whether a replica served it."}}},"StatusQuery":{"description":"Asks an instance for its status.","type":"object","required":["id"],"x-type":"status_query","properties":{"id":{"type":"string","description":"Query id chosen by the caller."}}},"DatabaseStatus":{"description":"What an instance knows of one database.","type":"object","required":["database"],"properties":{"database":{"type":"string","description":"Database name."},"owner":{"type":"string","description":"Owner instance, empty when unknown."},"epoch":{"type":"integer","description":"Ownership epoch."},"term":{"type":"integer","description":"Term of the primary."},"primary":{"type":"string","description":"Primary member."},"phase":{"type":"string","description":"Phase of the owner, empty when this instance is not the owner."},"queued":{"type":"integer","description":"Requests waiting in the owner's queue."}}},"ServiceWindow":{"description":"Requests counted against their service level over one window that ends now.","type":"object","required":["window_ms"],"properties":{"window_ms":{"type":"integer","description":"Length of the window in ms."},"good":{"type":"integer","description":"Requests answered ok within the latency target."},"bad":{"type":"integer","description":"All other requests."},"from_replica":{"type":"integer","description":"Requests served by a replica."}}},"RequestCounter":{"description":"Answers counted per database, request kind and status since the instance started. Requests of a kind that the manifest lacks are counted together under empty names.","type":"object","required":["database","kind"],"properties":{"database":{"type":"string","description":"Database name."},"kind":{"type":"string","description":"Request kind."},"ok":{"type":"integer","description":"Answers with status ok."},"failed":{"type":"integer","description":"Answers with status failed."},"not_run":{"type":"integer","description":"Answers with status not_run."},"unknown":{"type":"integer","description":"Answers with status unknown."},"from_replica":{"type":"integer","description":"Answers served by a replica."},"latency_p50_us":{"type":"integer","description":"Median latency in microseconds over the last whole 5 min, or since the start."},"latency_p99_us":{"type":"integer","description":"99th percentile of the latency in microseconds, over the same time."},"windows":{"type":"array","items":{"$ref":"#/$defs/ServiceWindow"},"description":"Counts against the service level over 5 min, 1 h, 6 h and 3 d."}}},"FailoverGap":{"description":"One failover as the owner saw it.","type":"object","required":["database"],"properties":{"database":{"type":"string","description":"Database name."},"term":{"type":"integer","description":"Term that the failover began."},"suspect_us":{"type":"integer","description":"Time in microseconds from the first failed probe to suspicion."},"record_us":{"type":"integer","description":"Time until the record was written."},"hear_us":{"type":"integer","description":"Time until enough members were heard."},"promote_us":{"type":"integer","description":"Time until the candidate was promoted."},"open_us":{"type":"integer","description":"Time until writes were open again."},"ended_ms_ago":{"type":"integer","description":"Time in ms from the end of the failover to the status."}}},"InstanceStatus":{"description":"Status of an instance.","type":"object","required":["id","instance"],"x-type":"instance_status","properties":{"id":{"type":"string","description":"Id of the query."},"instance":{"type":"string","description":"Instance name."},"manifest_version":{"type":"integer","description":"Manifest version in force, 0 for none."},"leaving":{"type":"boolean","description":"Whether a planned stop has begun."},"lease_valid":{"type":"boolean","description":"Whether the instance holds a valid lease."},"databases":{"type":"array","items":{"$ref":"#/$defs/DatabaseStatus"},"description":"Known databases."},"counters":{"type":"array","items":{"$ref":")json"
    R"json(#/$defs/RequestCounter"},"description":"Answers counted at this entry."},"failovers":{"type":"array","items":{"$ref":"#/$defs/FailoverGap"},"description":"Newest failovers that this instance carried out."},"uptime_ms":{"type":"integer","description":"Time in ms since the instance started."}}},"Forward":{"description":"An entry instance's request to the owner.","type":"object","required":["id","request"],"x-type":"forward","properties":{"id":{"type":"integer","description":"Forward id, unique per link."},"request":{"$ref":"#/$defs/CallerRequest","description":"The caller's request with its remaining patience."},"caller":{"type":"integer","description":"The caller's connection at the entry instance, for a fair order between callers."}}},"ForwardAnswer":{"description":"The owner's answer to a Forward.","type":"object","required":["id","answer"],"x-type":"forward_answer","properties":{"id":{"type":"integer","description":"Forward id."},"answer":{"$ref":"#/$defs/CallerAnswer","description":"Answer for the caller."},"owner_hint":{"type":"string","description":"With error not_owner: the owner that the instance knows."},"epoch":{"type":"integer","description":"Epoch of the hint."}}},"OwnershipHint":{"description":"Who owns a database, as far as the sender knows.","type":"object","required":["database","owner"],"properties":{"database":{"type":"string","description":"Database name."},"owner":{"type":"string","description":"Owner instance."},"epoch":{"type":"integer","description":"Ownership epoch."}}},"Heartbeat":{"description":"Periodic message on each peer link.","type":"object","required":["instance"],"x-type":"heartbeat","properties":{"instance":{"type":"string","description":"Sender."},"manifest_version":{"type":"integer","description":"Manifest version in force at the sender."},"leaving":{"type":"boolean","description":"Whether a planned stop has begun."},"owned":{"type":"array","items":{"$ref":"#/$defs/OwnershipHint"},"description":"Databases that the sender owns."}}},"ManifestWanted":{"description":"Asks a peer for its manifest.","type":"object","required":["instance"],"x-type":"manifest_wanted","properties":{"instance":{"type":"string","description":"Sender."}}},"ManifestOffer":{"description":"A manifest passed on between peers.","type":"object","required":["version","text"],"x-type":"manifest_offer","properties":{"version":{"type":"integer","description":"Manifest version."},"text":{"type":"string","description":"Manifest as JSON text."}}},"HandOver":{"description":"Tells the successor that a database was released to it by a planned stop.","type":"object","required":["database"],"x-type":"hand_over","properties":{"database":{"type":"string","description":"Database name."},"epoch":{"type":"integer","description":"Epoch of the released record."}}},"MemberOp":{"description":"Operation asked of a member of a database group.","enum":["status","read","execute","raise_epoch","lookup","await_position","promote","follow","begin","statement","commit","rollback","prune"]},"MemberStatus":{"description":"Outcome at a member.","enum":["done","rejected","fenced","not_primary","stale_term","behind","absent","no_slot","expired","reused"]},"MemberRole":{"description":"Role of a member.","enum":["replica","primary"]},"MemberRequest":{"description":"Request to one member of a database group.","type":"object","required":["id","op"],"x-type":"member_request","properties":{"id":{"type":"integer","description":"Request id, unique per connection."},"op":{"$ref":"#/$defs/MemberOp","description":"Operation."},"epoch":{"type":"integer","description":"Owner's epoch, checked within the transaction."},"term":{"type":"integer","description":"Expected term, or the new term for promote and follow."},"position":{"type":"integer","description":"Position to await, or that the candidate must hold."},"entry_term":{"type":"integer","description":"For promote: term of the last entry that the candidate must hold."},"primary":{"type":"string","description":"For follow: the member to follow."},"request_id":{"type":"string","description":"Marker written with the transaction."},"issued_ms":{"type":"integer","description":"Issue time of the request id, kept with the marker."},"content_hash":{"type":"string","description":"Hash of the request's content, kept with the marker; a different one for the same request id is refused."},"statements":{"type":"array","items":{"$ref":"#/$defs/Statement"},"description":"Statements."},"wait_ms":{"type":"integer","description":"For await_position: longest wait in ms."}}},"MemberAnswer":{"description":"Answer of a member, with its place in the log.","type":"object","required":["id","status"],"x-type":"member_answer","properties":{"id":{"type":"integer","description":"Request id."},"status":{"$ref":"#/$defs/MemberStatus","description":"Outcome."},"term":{"type":"integer","description":"Term that the member follows."},"entry_term":{"type":"integer","description":"Term of its last log entry."},"position":{"type":"integer","description":"Position of its last log entry; for execute, of the transaction."},"role":{"$ref":"#/$defs/MemberRole","description":"Role."},"epoch":{"type":"integer","description":"Value of the epoch row."},"replayed":{"type":"boolean","description":"Whether the marker was found and the stored result returned."},"results":{"type":"array","items":{"$ref":"#/$defs/StatementResult"},"description":"One result per statement."},"message":{"type":"string","description":"Text for people."}}},"StoreOp":{"description":"Operation of the platform's key-value service.","enum":["get","range","compare_and_swap","lease_grant","lease_renew","lease_revoke","watch"]},"StoreStatus":{"description":"Outcome at the key-value service.","enum":["done","conflict","absent","expired"]},"StoreItem":{"description":"A key with its value.","type":"object","required":["key"],"properties":{"key":{"type":"string","description":"Key."},"value":{"type":"string","description":"Value."},"version":{"type":"integer","description":"Version, raised by every write; 0 when absent."}}},"StoreCall":{"description":"Call to the key-value service.","type":"object","required":["id","op"],"x-type":"store_call","properties":{"id":{"type":"integer","description":"Call id, unique per connection."},"op":{"$ref":"#/$defs/StoreOp","description":"Operation."},"key":{"type":"string","description":"Key, or prefix for range and watch."},"value":{"type":"string","description":"New value."},"expected_version":{"type":"integer","description":"For compare_and_swap: current version, 0 for absent."},"lease":{"type":"integer","description":"Lease to renew, revoke or attach to."},"ttl_ms":{"type":"integer","description":"For lease_grant: time to live in ms."}}},"StoreAnswer":{"description":"Answer of the key-value service.","type":"object","required":["id","status"],"x-type":"store_answer","properties":{"id":{"type":"integer","description":"Call id."},"status":{"$ref":"#/$defs/StoreStatus","description":"Outcome."},"lease":{"type":"integer","description":"Granted lease."},"items":{"type":"array","items":{"$ref":"#/$defs/StoreItem"},"description":"Items read, or the current item on a conflict."}}},"StoreEvent":{"description":"Change pushed to a watch.","type":"object","required":["item"],"x-type":"store_event","properties":{"item":{"$ref":"#/$defs/StoreItem","description":"The item after the change."},"deleted":{"type":"boolean","description":"Whether the key was removed."}}},"Phase":{"description":"Phase of an ownership record.","enum":["released","serving","promoting"]},"OwnerRecord":{"description":"Ownership of one database, kept in the key-value service.","type":"object","required":["epoch","owner"],"properties":{"epoch":{"type":"integer","description":"Raised at every change of owner."},"owner":{"type":"string","description":"Owner instance."},"lease":{"type":"integer","description":"Lease that holds the record."},"term":{"type":"integer","description":"Newest term begun."},"primary":{"type":"string","descrip)json"
    R"json(tion":"Primary of that term, empty while promoting."},"phase":{"$ref":"#/$defs/Phase","description":"Phase."},"attempt":{"type":"string","description":"Id of the write that set this record, to resolve lost answers."}}},"InstanceEntry":{"description":"One instance in the platform's list.","type":"object","required":["name","host","port"],"properties":{"name":{"type":"string","description":"Instance or endpoint name."},"host":{"type":"string","description":"IP number."},"port":{"type":"integer","description":"TCP port."},"data_centre":{"type":"string","description":"Data centre."},"leaving":{"type":"boolean","description":"Whether it is about to stop."}}},"InstanceList":{"description":"The platform's lagging list of live and leaving instances and endpoints.","type":"object","required":["instances"],"properties":{"instances":{"type":"array","items":{"$ref":"#/$defs/InstanceEntry"},"description":"Instances of the system."},"endpoints":{"type":"array","items":{"$ref":"#/$defs/InstanceEntry"},"description":"Endpoints."}}},"ControlAction":{"description":"Fault or command for a stand-in.","enum":["kill","revive","pause","resume","isolate","join","lag","silence","delay_answers","reorder_answers","lose_answers","down","up","slow","expire_leases","dump","put","stats"]},"ControlCommand":{"description":"Command to a stand-in.","type":"object","required":["id","action"],"x-type":"control","properties":{"id":{"type":"integer","description":"Command id."},"action":{"$ref":"#/$defs/ControlAction","description":"Action."},"member":{"type":"string","description":"Member concerned; empty for all."},"ms":{"type":"integer","description":"Duration or delay in ms."},"count":{"type":"integer","description":"Number of answers concerned."},"key":{"type":"string","description":"For put: key."},"value":{"type":"string","description":"For put: value."}}},"ControlAnswer":{"description":"Answer of a stand-in to a command.","type":"object","required":["id"],"x-type":"control_answer","properties":{"id":{"type":"integer","description":"Command id."},"message":{"type":"string","description":"What was done."},"items":{"type":"array","items":{"$ref":"#/$defs/StoreItem"},"description":"Rows, for dump."}}},"CallerMessage":{"description":"Frame from a caller.","oneOf":["CallerRequest","StatusQuery"]},"CallerReply":{"description":"Frame to a caller.","oneOf":["CallerAnswer","InstanceStatus"]},"PeerMessage":{"description":"Frame on a peer link.","oneOf":["Forward","ForwardAnswer","Heartbeat","ManifestWanted","ManifestOffer","HandOver"]},"InboundMessage":{"description":"Any frame that an instance accepts on its listening port.","oneOf":["CallerRequest","StatusQuery","Forward","Heartbeat","ManifestWanted","ManifestOffer","HandOver"]},"StoreReply":{"description":"Frame from the key-value service.","oneOf":["StoreAnswer","StoreEvent"]},"StoreMessage":{"description":"Frame to the store stand-in.","oneOf":["StoreCall","ControlCommand"]},"MemberMessage":{"description":"Frame to the database stand-in.","oneOf":["MemberRequest","ControlCommand"]}}})json";

}  // namespace kingcuplock

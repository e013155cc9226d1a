#pragma once

/// Messages between callers, instances, endpoints and the platform's key-value
/// service. Generated from schema/messages.schema.json by
/// tools/generate_types.py; do not edit.
///
/// Example:
///   auto value = nlohmann::json::parse(text).get<CallerRequest>();

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace kingcuplock {

/// Outcome of a caller's request.
enum class Status { kOk, kFailed, kNotRun, kUnknown };

/// Returns the name of `value` on the wire.
auto ToString(Status value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, Status value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, Status& value);

/// Typed reason of an answer that is not ok. docs/ERRORS.md gives the remedy of
/// each.
enum class ErrorKind {
  kNone,
  kBadFrame,
  kTooLarge,
  kUnknownDatabase,
  kUnknownKind,
  kWrongAccess,
  kBadToken,
  kOverloaded,
  kNoOwner,
  kNotOwner,
  kPatienceSpent,
  kPrimaryUnavailable,
  kFenced,
  kLeaseLapsed,
  kRejectedByDatabase,
  kRequestIdTooOld,
  kConnectionLost,
  kNotReplicated,
  kTransactionUnknown,
  kNoManifest,
  kPositionLost,
  kLeaving,
  kUnauthorized,
  kRequestIdReused,
  kIssueTimeMissing,
  kTransactionsFull
};

/// Returns the name of `value` on the wire.
auto ToString(ErrorKind value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, ErrorKind value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, ErrorKind& value);

/// Operation of one statement.
enum class Verb { kGet, kPut, kInsert, kAppend, kRemove };

/// Returns the name of `value` on the wire.
auto ToString(Verb value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, Verb value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, Verb& value);

/// Part of a transaction that a request carries.
enum class Step { kSingle, kBegin, kStatement, kCommit, kRollback };

/// Returns the name of `value` on the wire.
auto ToString(Step value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, Step value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, Step& value);

/// One statement on a keyed row.
struct Statement {
  /// What to do with the row.
  Verb verb{};
  /// Row key.
  std::string key{};
  /// New value; unused by get and remove.
  std::string value{};

  auto operator==(const Statement&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const Statement& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, Statement& value);

/// Result of one statement.
struct StatementResult {
  /// Whether the row existed before the statement.
  bool found{};
  /// Value of the row, for get.
  std::string value{};

  auto operator==(const StatementResult&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const StatementResult& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, StatementResult& value);

/// A caller's request. The id makes it idempotent within the manifest's marker
/// retention.
struct CallerRequest {
  /// Request id chosen by the caller, unique per request.
  std::string id{};
  /// Database name from the manifest.
  std::string database{};
  /// Request kind from the manifest.
  std::string kind{};
  /// single for a whole transaction in one request.
  Step step{};
  /// Transaction handle, for the steps of an interactive transaction.
  std::string transaction{};
  /// Statements, run in order as one transaction.
  std::vector<Statement> statements{};
  /// Time in ms for which the caller still waits.
  std::int64_t patience_ms{10000};
  /// Unix time in ms at which the caller first sent this id.
  std::int64_t issued_ms{};
  /// Whether this id may have been sent before; then not_run is said only where
  /// no earlier sending ran either.
  bool repeated{};
  /// Session token of the last answer; empty for a new session.
  std::string token{};

  auto operator==(const CallerRequest&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const CallerRequest& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, CallerRequest& value);

/// Answer to a caller's request, matched by id.
struct CallerAnswer {
  /// Id of the request.
  std::string id{};
  /// Outcome.
  Status status{};
  /// Reason, none when ok.
  ErrorKind error{};
  /// Text for people, with the remedy.
  std::string message{};
  /// For not_run: time in ms after which a retry makes sense.
  std::int64_t retry_after_ms{};
  /// For unknown: the id to ask again with.
  std::string receipt{};
  /// One result per statement.
  std::vector<StatementResult> results{};
  /// Session token to send with the next request.
  std::string token{};
  /// Handle of the open transaction.
  std::string transaction{};
  /// Term of the member that served the request.
  std::int64_t term{};
  /// Log position that the answer reflects.
  std::int64_t position{};
  /// Member that served the request.
  std::string served_by{};
  /// Whether a replica served it.
  bool from_replica{};
  /// Whether the instance is about to stop; send the next request to another.
  bool leaving{};

  auto operator==(const CallerAnswer&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const CallerAnswer& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, CallerAnswer& value);

/// Asks an instance for its status.
struct StatusQuery {
  /// Query id chosen by the caller.
  std::string id{};

  auto operator==(const StatusQuery&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const StatusQuery& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, StatusQuery& value);

/// What an instance knows of one database.
struct DatabaseStatus {
  /// Database name.
  std::string database{};
  /// Owner instance, empty when unknown.
  std::string owner{};
  /// Ownership epoch.
  std::int64_t epoch{};
  /// Term of the primary.
  std::int64_t term{};
  /// Primary member.
  std::string primary{};
  /// Phase of the owner, empty when this instance is not the owner.
  std::string phase{};
  /// Requests waiting in the owner's queue.
  std::int64_t queued{};

  auto operator==(const DatabaseStatus&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const DatabaseStatus& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, DatabaseStatus& value);

/// Requests counted against their service level over one window that ends now.
struct ServiceWindow {
  /// Length of the window in ms.
  std::int64_t window_ms{};
  /// Requests answered ok within the latency target.
  std::int64_t good{};
  /// All other requests.
  std::int64_t bad{};
  /// Requests served by a replica.
  std::int64_t from_replica{};

  auto operator==(const ServiceWindow&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const ServiceWindow& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, ServiceWindow& value);

/// Answers counted per database, request kind and status since the instance
/// started. Requests of a kind that the manifest lacks are counted together
/// under empty names.
struct RequestCounter {
  /// Database name.
  std::string database{};
  /// Request kind.
  std::string kind{};
  /// Answers with status ok.
  std::int64_t ok{};
  /// Answers with status failed.
  std::int64_t failed{};
  /// Answers with status not_run.
  std::int64_t not_run{};
  /// Answers with status unknown.
  std::int64_t unknown{};
  /// Answers served by a replica.
  std::int64_t from_replica{};
  /// Median latency in microseconds over the last whole 5 min, or since the
  /// start.
  std::int64_t latency_p50_us{};
  /// 99th percentile of the latency in microseconds, over the same time.
  std::int64_t latency_p99_us{};
  /// Counts against the service level over 5 min, 1 h, 6 h and 3 d.
  std::vector<ServiceWindow> windows{};

  auto operator==(const RequestCounter&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const RequestCounter& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, RequestCounter& value);

/// One failover as the owner saw it.
struct FailoverGap {
  /// Database name.
  std::string database{};
  /// Term that the failover began.
  std::int64_t term{};
  /// Time in microseconds from the first failed probe to suspicion.
  std::int64_t suspect_us{};
  /// Time until the record was written.
  std::int64_t record_us{};
  /// Time until enough members were heard.
  std::int64_t hear_us{};
  /// Time until the candidate was promoted.
  std::int64_t promote_us{};
  /// Time until writes were open again.
  std::int64_t open_us{};
  /// Time in ms from the end of the failover to the status.
  std::int64_t ended_ms_ago{};

  auto operator==(const FailoverGap&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const FailoverGap& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, FailoverGap& value);

/// Status of an instance.
struct InstanceStatus {
  /// Id of the query.
  std::string id{};
  /// Instance name.
  std::string instance{};
  /// Manifest version in force, 0 for none.
  std::int64_t manifest_version{};
  /// Hash of the content of that manifest.
  std::string manifest_hash{};
  /// Whether a planned stop has begun.
  bool leaving{};
  /// Whether the instance holds a valid lease.
  bool lease_valid{};
  /// Known databases.
  std::vector<DatabaseStatus> databases{};
  /// Answers counted at this entry.
  std::vector<RequestCounter> counters{};
  /// Newest failovers that this instance carried out.
  std::vector<FailoverGap> failovers{};
  /// Time in ms since the instance started.
  std::int64_t uptime_ms{};

  auto operator==(const InstanceStatus&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const InstanceStatus& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, InstanceStatus& value);

/// An entry instance's request to the owner.
struct Forward {
  /// Forward id, unique per link.
  std::int64_t id{};
  /// The caller's request with its remaining patience.
  CallerRequest request{};
  /// The caller's connection at the entry instance, for a fair order between
  /// callers.
  std::int64_t caller{};

  auto operator==(const Forward&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const Forward& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, Forward& value);

/// The owner's answer to a Forward.
struct ForwardAnswer {
  /// Forward id.
  std::int64_t id{};
  /// Answer for the caller.
  CallerAnswer answer{};
  /// With error not_owner: the owner that the instance knows.
  std::string owner_hint{};
  /// Epoch of the hint.
  std::int64_t epoch{};

  auto operator==(const ForwardAnswer&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const ForwardAnswer& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, ForwardAnswer& value);

/// How fresh the data of a route's reads must be.
enum class ReadMode { kPrimary, kBounded, kSession };

/// Returns the name of `value` on the wire.
auto ToString(ReadMode value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, ReadMode value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, ReadMode& value);

/// A database name that clients may open, and how its statements are served.
struct RouteConfig {
  /// Database name that a client asks for.
  std::string database{};
  /// Group of members that serves it.
  std::string group{};
  /// How fresh reads must be.
  ReadMode read_mode{};
  /// For bounded and session reads: age in ms that the data may have.
  std::int64_t max_age_ms{};
  /// Longest time in ms of one statement.
  std::int64_t timeout_ms{1000};
  /// Latency target in ms of one operation.
  std::int64_t target_ms{200};
  /// 0 is served first under load.
  std::int64_t priority{5};

  auto operator==(const RouteConfig&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const RouteConfig& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, RouteConfig& value);

/// Limits of one group of members.
struct GroupConfig {
  /// Group name.
  std::string name{};
  /// Connections that one member accepts from all instances together.
  std::int64_t connections{8};
  /// Replicas that hold a commit before it is acknowledged.
  std::int64_t synchronous_replicas{};

  auto operator==(const GroupConfig&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const GroupConfig& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, GroupConfig& value);

/// The operators' configuration of the gateway.
struct RouteTable {
  /// Raised by every change.
  std::int64_t version{};
  /// Routes by database name.
  std::vector<RouteConfig> routes{};
  /// Groups that routes name.
  std::vector<GroupConfig> groups{};
  /// Idle time in ms after which a transaction may be rolled back.
  std::int64_t transaction_idle_ms{3000};

  auto operator==(const RouteTable&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const RouteTable& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, RouteTable& value);

/// What one member registered of itself.
struct EndpointEntry {
  /// Member id, unique in the deployment.
  std::string member{};
  /// Group that it belongs to.
  std::string group{};
  /// IP number.
  std::string host{};
  /// TCP port.
  std::int64_t port{};
  /// Data centre.
  std::string data_centre{};
  /// Statements that it runs at once.
  std::int64_t slots{1};
  /// Whether it is about to stop.
  bool leaving{};
  /// Whether it sees itself as the primary.
  bool leads{};
  /// Unix time in ms of its start, 0 if not told.
  std::int64_t born_ms{};

  auto operator==(const EndpointEntry&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const EndpointEntry& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, EndpointEntry& value);

/// Asks a peer for its route table and endpoints.
struct RoutesWanted {
  /// Sender.
  std::string instance{};
  /// Route table version that the sender has, 0 for none; the answer leaves out
  /// a table that is no newer.
  std::int64_t version{};

  auto operator==(const RoutesWanted&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const RoutesWanted& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, RoutesWanted& value);

/// Route table and endpoints passed on between peers.
struct RoutesOffer {
  /// Route table in force at the sender.
  RouteTable table{};
  /// Endpoints known to the sender.
  std::vector<EndpointEntry> endpoints{};

  auto operator==(const RoutesOffer&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const RoutesOffer& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, RoutesOffer& value);

/// What an instance last learnt when it opened connections to a member.
enum class Reach { kUntried, kReached, kRefused, kSilent };

/// Returns the name of `value` on the wire.
auto ToString(Reach value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, Reach value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, Reach& value);

/// What the sender of a heartbeat knows of a group's primary.
struct GroupReport {
  /// Group.
  std::string group{};
  /// Member that leads, or is about to.
  std::string primary{};
  /// Term in which it leads.
  std::int64_t term{};
  /// Whether its promotion was ordered and it has not led yet.
  bool pending{};
  /// Whether the sender reaches it.
  Reach reach{};
  /// Time in ms since the sender last had an answer from it, -1 for never.
  std::int64_t heard_ms{};

  auto operator==(const GroupReport&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const GroupReport& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, GroupReport& value);

/// Asks the holder of a group's promotion duty for a grant to use the primary.
struct GrantWanted {
  /// Sender.
  std::string instance{};
  /// Group.
  std::string group{};
  /// Number of the request, told back in the answer.
  std::int64_t ask{};

  auto operator==(const GrantWanted&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const GrantWanted& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, GrantWanted& value);

/// Tells who leads a group, and for how long nobody else does.
struct GrantGiven {
  /// Group.
  std::string group{};
  /// Number of the request that this answers.
  std::int64_t ask{};
  /// Primary.
  std::string member{};
  /// Term in which it leads.
  std::int64_t term{};
  /// Validity in ms, counted from when the request was sent; 0 if nothing is
  /// granted.
  std::int64_t lasts_ms{};
  /// Whether the sender passes on what it was granted or heard itself.
  bool shared{};
  /// Position of the primary's log at the sender's newest sample: its term, 0
  /// for none.
  std::int64_t floor_term{};
  /// Its number within the log.
  std::int64_t floor_position{};
  /// Time in ms since that sample was asked for.
  std::int64_t floor_age_ms{};

  auto operator==(const GrantGiven&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const GrantGiven& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, GrantGiven& value);

/// Tells the former holder of a group's promotion duty that it was replaced.
struct StepDown {
  /// Sender, the new holder.
  std::string instance{};
  /// Group.
  std::string group{};
  /// Epoch of the new holder.
  std::int64_t epoch{};

  auto operator==(const StepDown&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const StepDown& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, StepDown& value);

/// Tells the new holder of a promotion duty that the sender orders no promotion
/// under a lower epoch.
struct SteppedDown {
  /// Sender, the former holder.
  std::string instance{};
  /// Group.
  std::string group{};
  /// Epoch of the new holder.
  std::int64_t epoch{};
  /// Newest term that the sender knows.
  std::int64_t term{};

  auto operator==(const SteppedDown&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const SteppedDown& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, SteppedDown& value);

/// Who owns a database, as far as the sender knows.
struct OwnershipHint {
  /// Database name.
  std::string database{};
  /// Owner instance.
  std::string owner{};
  /// Ownership epoch.
  std::int64_t epoch{};

  auto operator==(const OwnershipHint&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const OwnershipHint& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, OwnershipHint& value);

/// Periodic message on each peer link.
struct Heartbeat {
  /// Sender.
  std::string instance{};
  /// Manifest version in force at the sender.
  std::int64_t manifest_version{};
  /// Hash of the content of that manifest.
  std::string manifest_hash{};
  /// IP number that the sender listens on.
  std::string host{};
  /// TCP port that the sender listens on.
  std::int64_t port{};
  /// Whether a planned stop has begun.
  bool leaving{};
  /// Databases that the sender owns.
  std::vector<OwnershipHint> owned{};
  /// Route table version in force at the sender.
  std::int64_t routes_version{};
  /// Number of endpoints known to the sender.
  std::int64_t endpoints_known{};
  /// Primaries as the sender knows them.
  std::vector<GroupReport> groups{};

  auto operator==(const Heartbeat&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const Heartbeat& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, Heartbeat& value);

/// Asks a peer for its manifest.
struct ManifestWanted {
  /// Sender.
  std::string instance{};

  auto operator==(const ManifestWanted&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const ManifestWanted& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, ManifestWanted& value);

/// A manifest passed on between peers.
struct ManifestOffer {
  /// Manifest version.
  std::int64_t version{};
  /// Manifest as JSON text.
  std::string text{};

  auto operator==(const ManifestOffer&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const ManifestOffer& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, ManifestOffer& value);

/// Tells the successor that a database was released to it by a planned stop.
struct HandOver {
  /// Database name.
  std::string database{};
  /// Epoch of the released record.
  std::int64_t epoch{};

  auto operator==(const HandOver&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const HandOver& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, HandOver& value);

/// Operation asked of a member of a database group.
enum class MemberOp {
  kStatus,
  kRead,
  kExecute,
  kRaiseEpoch,
  kLookup,
  kAwaitPosition,
  kPromote,
  kFollow,
  kBegin,
  kStatement,
  kCommit,
  kRollback,
  kPrune
};

/// Returns the name of `value` on the wire.
auto ToString(MemberOp value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, MemberOp value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, MemberOp& value);

/// Outcome at a member.
enum class MemberStatus {
  kDone,
  kRejected,
  kFenced,
  kNotPrimary,
  kStaleTerm,
  kBehind,
  kAbsent,
  kNoSlot,
  kExpired,
  kReused
};

/// Returns the name of `value` on the wire.
auto ToString(MemberStatus value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, MemberStatus value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, MemberStatus& value);

/// Role of a member.
enum class MemberRole { kReplica, kPrimary };

/// Returns the name of `value` on the wire.
auto ToString(MemberRole value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, MemberRole value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, MemberRole& value);

/// Request to one member of a database group.
struct MemberRequest {
  /// Request id, unique per connection.
  std::int64_t id{};
  /// Operation.
  MemberOp op{};
  /// Owner's epoch, checked within the transaction.
  std::int64_t epoch{};
  /// Expected term, or the new term for promote and follow.
  std::int64_t term{};
  /// Position to await, or that the candidate must hold.
  std::int64_t position{};
  /// For promote: term of the last entry that the candidate must hold.
  std::int64_t entry_term{};
  /// For follow: the member to follow.
  std::string primary{};
  /// Marker written with the transaction.
  std::string request_id{};
  /// Issue time of the request id, kept with the marker.
  std::int64_t issued_ms{};
  /// Hash of the request's content, kept with the marker; a different one for
  /// the same request id is refused.
  std::string content_hash{};
  /// Statements.
  std::vector<Statement> statements{};
  /// For await_position: longest wait in ms.
  std::int64_t wait_ms{};

  auto operator==(const MemberRequest&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const MemberRequest& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, MemberRequest& value);

/// Answer of a member, with its place in the log.
struct MemberAnswer {
  /// Request id.
  std::int64_t id{};
  /// Outcome.
  MemberStatus status{};
  /// Term that the member follows.
  std::int64_t term{};
  /// Term of its last log entry.
  std::int64_t entry_term{};
  /// Position of its last log entry; for execute, of the transaction.
  std::int64_t position{};
  /// Role.
  MemberRole role{};
  /// Value of the epoch row.
  std::int64_t epoch{};
  /// Whether the marker was found and the stored result returned.
  bool replayed{};
  /// One result per statement.
  std::vector<StatementResult> results{};
  /// Text for people.
  std::string message{};

  auto operator==(const MemberAnswer&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const MemberAnswer& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, MemberAnswer& value);

/// Operation of the platform's key-value service.
enum class StoreOp {
  kGet,
  kRange,
  kCompareAndSwap,
  kLeaseGrant,
  kLeaseRenew,
  kLeaseRevoke,
  kWatch
};

/// Returns the name of `value` on the wire.
auto ToString(StoreOp value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, StoreOp value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, StoreOp& value);

/// Outcome at the key-value service.
enum class StoreStatus { kDone, kConflict, kAbsent, kExpired, kUnavailable };

/// Returns the name of `value` on the wire.
auto ToString(StoreStatus value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, StoreStatus value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, StoreStatus& value);

/// A key with its value.
struct StoreItem {
  /// Key.
  std::string key{};
  /// Value.
  std::string value{};
  /// Version, raised by every write; 0 when absent.
  std::int64_t version{};

  auto operator==(const StoreItem&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const StoreItem& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, StoreItem& value);

/// Call to the key-value service.
struct StoreCall {
  /// Call id, unique per connection.
  std::int64_t id{};
  /// Operation.
  StoreOp op{};
  /// Key, or prefix for range and watch.
  std::string key{};
  /// New value.
  std::string value{};
  /// For compare_and_swap: current version, 0 for absent.
  std::int64_t expected_version{};
  /// Lease to renew, revoke or attach to.
  std::int64_t lease{};
  /// For lease_grant: time to live in ms.
  std::int64_t ttl_ms{};

  auto operator==(const StoreCall&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const StoreCall& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, StoreCall& value);

/// Answer of the key-value service.
struct StoreAnswer {
  /// Call id.
  std::int64_t id{};
  /// Outcome.
  StoreStatus status{};
  /// Granted lease.
  std::int64_t lease{};
  /// Items read, or the current item on a conflict.
  std::vector<StoreItem> items{};

  auto operator==(const StoreAnswer&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const StoreAnswer& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, StoreAnswer& value);

/// Change pushed to a watch.
struct StoreEvent {
  /// The item after the change.
  StoreItem item{};
  /// Whether the key was removed.
  bool deleted{};

  auto operator==(const StoreEvent&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const StoreEvent& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, StoreEvent& value);

/// Phase of an ownership record.
enum class Phase { kReleased, kServing, kPromoting };

/// Returns the name of `value` on the wire.
auto ToString(Phase value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, Phase value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, Phase& value);

/// Where a term of a database group began.
struct TermStart {
  /// Term.
  std::int64_t term{};
  /// Log position of its first entry, or a lower one.
  std::int64_t position{};

  auto operator==(const TermStart&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const TermStart& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, TermStart& value);

/// Ownership of one database, kept in the key-value service.
struct OwnerRecord {
  /// Raised at every change of owner.
  std::int64_t epoch{};
  /// Owner instance.
  std::string owner{};
  /// Owner before it that did not give the record up, empty for none.
  std::string previous{};
  /// Lease that holds the record.
  std::int64_t lease{};
  /// Newest term begun.
  std::int64_t term{};
  /// Primary of that term, empty while promoting.
  std::string primary{};
  /// Phase.
  Phase phase{};
  /// Id of the write that set this record, to resolve lost answers.
  std::string attempt{};
  /// Where the terms that were served began, to tell a session what a failover
  /// lost.
  std::vector<TermStart> term_starts{};

  auto operator==(const OwnerRecord&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const OwnerRecord& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, OwnerRecord& value);

/// One instance in the platform's list.
struct InstanceEntry {
  /// Instance or endpoint name.
  std::string name{};
  /// IP number.
  std::string host{};
  /// TCP port.
  std::int64_t port{};
  /// Data centre.
  std::string data_centre{};
  /// Whether it is about to stop.
  bool leaving{};

  auto operator==(const InstanceEntry&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const InstanceEntry& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, InstanceEntry& value);

/// The platform's lagging list of live and leaving instances and endpoints.
struct InstanceList {
  /// Instances of the system.
  std::vector<InstanceEntry> instances{};
  /// Endpoints.
  std::vector<InstanceEntry> endpoints{};

  auto operator==(const InstanceList&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const InstanceList& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, InstanceList& value);

/// Fault or command for a stand-in.
enum class ControlAction {
  kKill,
  kRevive,
  kPause,
  kResume,
  kIsolate,
  kJoin,
  kLag,
  kSilence,
  kDelayAnswers,
  kReorderAnswers,
  kLoseAnswers,
  kDown,
  kUp,
  kSlow,
  kExpireLeases,
  kDump,
  kPut,
  kStats
};

/// Returns the name of `value` on the wire.
auto ToString(ControlAction value) -> std::string_view;

/// Writes `value` to `out` by name.
void to_json(nlohmann::json& out, ControlAction value);

/// Reads a name into `value`. Throws SchemaError for an unknown one.
void from_json(const nlohmann::json& in, ControlAction& value);

/// Command to a stand-in.
struct ControlCommand {
  /// Command id.
  std::int64_t id{};
  /// Action.
  ControlAction action{};
  /// Member concerned; empty for all.
  std::string member{};
  /// Duration or delay in ms.
  std::int64_t ms{};
  /// Number of answers concerned.
  std::int64_t count{};
  /// For put: key.
  std::string key{};
  /// For put: value.
  std::string value{};

  auto operator==(const ControlCommand&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const ControlCommand& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, ControlCommand& value);

/// Answer of a stand-in to a command.
struct ControlAnswer {
  /// Command id.
  std::int64_t id{};
  /// What was done.
  std::string message{};
  /// Rows, for dump.
  std::vector<StoreItem> items{};

  auto operator==(const ControlAnswer&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const ControlAnswer& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, ControlAnswer& value);

/// Frame from a caller.
using CallerMessage = std::variant<CallerRequest, StatusQuery>;

/// Reads the alternative that `in["type"]` names. Throws SchemaError for any
/// other.
auto ReadCallerMessage(const nlohmann::json& in) -> CallerMessage;

/// Frame to a caller.
using CallerReply = std::variant<CallerAnswer, InstanceStatus>;

/// Reads the alternative that `in["type"]` names. Throws SchemaError for any
/// other.
auto ReadCallerReply(const nlohmann::json& in) -> CallerReply;

/// Frame on a peer link.
using PeerMessage = std::variant<Forward,
                                 ForwardAnswer,
                                 Heartbeat,
                                 ManifestWanted,
                                 ManifestOffer,
                                 HandOver,
                                 RoutesWanted,
                                 RoutesOffer,
                                 GrantWanted,
                                 GrantGiven,
                                 StepDown,
                                 SteppedDown>;

/// Reads the alternative that `in["type"]` names. Throws SchemaError for any
/// other.
auto ReadPeerMessage(const nlohmann::json& in) -> PeerMessage;

/// Any frame that an instance accepts on its listening port.
using InboundMessage = std::variant<CallerRequest,
                                    StatusQuery,
                                    Forward,
                                    Heartbeat,
                                    ManifestWanted,
                                    ManifestOffer,
                                    HandOver,
                                    RoutesWanted,
                                    RoutesOffer,
                                    GrantWanted,
                                    GrantGiven,
                                    StepDown,
                                    SteppedDown>;

/// Reads the alternative that `in["type"]` names. Throws SchemaError for any
/// other.
auto ReadInboundMessage(const nlohmann::json& in) -> InboundMessage;

/// Frame from the key-value service.
using StoreReply = std::variant<StoreAnswer, StoreEvent>;

/// Reads the alternative that `in["type"]` names. Throws SchemaError for any
/// other.
auto ReadStoreReply(const nlohmann::json& in) -> StoreReply;

/// Frame to the store stand-in.
using StoreMessage = std::variant<StoreCall, ControlCommand>;

/// Reads the alternative that `in["type"]` names. Throws SchemaError for any
/// other.
auto ReadStoreMessage(const nlohmann::json& in) -> StoreMessage;

/// Frame to the database stand-in.
using MemberMessage = std::variant<MemberRequest, ControlCommand>;

/// Reads the alternative that `in["type"]` names. Throws SchemaError for any
/// other.
auto ReadMemberMessage(const nlohmann::json& in) -> MemberMessage;

}  // namespace kingcuplock

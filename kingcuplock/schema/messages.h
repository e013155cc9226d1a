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

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, Status value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, Status& value);

/// Reason why an answer is not ok. docs/ERRORS.md gives the remedy for each
/// value.
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

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, ErrorKind value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, ErrorKind& value);

/// Operation of one statement.
enum class Verb { kGet, kPut, kInsert, kAppend, kRemove };

/// Returns the name of `value` on the wire.
auto ToString(Verb value) -> std::string_view;

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, Verb value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, Verb& value);

/// Step of a transaction that a request carries out.
enum class Step { kSingle, kBegin, kStatement, kCommit, kRollback };

/// Returns the name of `value` on the wire.
auto ToString(Step value) -> std::string_view;

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, Step value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, Step& value);

/// One statement on a keyed row.
struct Statement {
  /// Operation on the row.
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
  /// Step of a transaction; single for a whole transaction in one request.
  Step step{};
  /// For the steps of an interactive transaction after begin: its handle.
  std::string transaction{};
  /// Statements, run in order as one transaction.
  std::vector<Statement> statements{};
  /// Time in ms that the caller is willing to wait for the answer.
  std::int64_t patience_ms{10000};
  /// Unix time in ms at which the caller first sent this id.
  std::int64_t issued_ms{};
  /// Whether a request with this id may have been sent before. If so, the
  /// answer is not_run only if no earlier one ran either.
  bool repeated{};
  /// Session token from the previous answer; empty for a new session.
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
  /// Outcome of the request.
  Status status{};
  /// Reason if the status is not ok.
  ErrorKind error{};
  /// Error text for people, with the remedy.
  std::string message{};
  /// For not_run: time in ms after which a retry makes sense.
  std::int64_t retry_after_ms{};
  /// For unknown: the request id to repeat in order to learn the outcome.
  std::string receipt{};
  /// One result per statement.
  std::vector<StatementResult> results{};
  /// Session token to send with the next request.
  std::string token{};
  /// Handle of the open transaction.
  std::string transaction{};
  /// Term of the member that served the request.
  std::int64_t term{};
  /// Log position up to which the answer reflects the data.
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

/// Status of one database, as an instance knows it.
struct DatabaseStatus {
  /// Database name.
  std::string database{};
  /// Owner instance; empty if unknown.
  std::string owner{};
  /// Ownership epoch.
  std::int64_t epoch{};
  /// Term of the primary.
  std::int64_t term{};
  /// Primary member.
  std::string primary{};
  /// Phase of the owner; empty if this instance is not the owner.
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
  /// Median latency in microseconds over the last complete period of 5 min, or
  /// since the start.
  std::int64_t latency_p50_us{};
  /// 99th percentile of the latency in microseconds over the same period.
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

/// Durations of the stages of one failover, measured by the owner.
struct FailoverGap {
  /// Database name.
  std::string database{};
  /// Term that began with the failover.
  std::int64_t term{};
  /// Time in microseconds from the first failed probe to suspicion.
  std::int64_t suspect_us{};
  /// Time in microseconds from the start of the promotion until the ownership
  /// record was written.
  std::int64_t record_us{};
  /// Time in microseconds from then until enough members had reported their
  /// logs.
  std::int64_t hear_us{};
  /// Time in microseconds from then until the candidate was promoted.
  std::int64_t promote_us{};
  /// Time in microseconds from then until writes were served again.
  std::int64_t open_us{};
  /// Time in ms between the end of the failover and this status.
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
  /// Version of the active manifest; 0 for none.
  std::int64_t manifest_version{};
  /// Hash of the content of that manifest.
  std::string manifest_hash{};
  /// Whether a planned stop has begun.
  bool leaving{};
  /// Whether the instance holds a valid lease.
  bool lease_valid{};
  /// Known databases.
  std::vector<DatabaseStatus> databases{};
  /// Answers to the requests that callers sent to this instance.
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

/// A caller's request, forwarded to the owner by the instance that received it.
struct Forward {
  /// Forward id, unique per link.
  std::int64_t id{};
  /// The caller's request, with the time that is left of its patience.
  CallerRequest request{};
  /// Id of the caller's connection at the forwarding instance, used to serve
  /// callers in a fair order.
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
  /// With error not_owner: the owner, as the answering instance knows it.
  std::string owner_hint{};
  /// Epoch of the ownership that owner_hint names.
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

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, ReadMode value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, ReadMode& value);

/// A database name that clients may open, and how its statements are served.
struct RouteConfig {
  /// Database name that a client asks for.
  std::string database{};
  /// Group of members that serves the database.
  std::string group{};
  /// How fresh the data of reads must be.
  ReadMode read_mode{};
  /// For bounded and session reads: largest age in ms of the data.
  std::int64_t max_age_ms{};
  /// Longest duration in ms of one statement.
  std::int64_t timeout_ms{1000};
  /// Latency target in ms of one operation.
  std::int64_t target_ms{200};
  /// Priority under load; 0 is served first.
  std::int64_t priority{5};
  /// Whether clients need no key.
  bool keyless{};

  auto operator==(const RouteConfig&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const RouteConfig& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, RouteConfig& value);

/// A tenant: a set of clients that share keys and a limit.
struct TenantConfig {
  /// Tenant name, which members are told.
  std::string name{};
  /// SHA-256 digests of its keys, in hexadecimal.
  std::vector<std::string> key_digests{};
  /// Whether the number of its operations is limited.
  bool limited{};
  /// If it is limited: operations that it may begin per second, over all
  /// instances.
  double rate_per_s{};
  /// If it is limited: operations that it may begin at once beyond its rate.
  double burst{};

  auto operator==(const TenantConfig&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const TenantConfig& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, TenantConfig& value);

/// Limits of one group of members.
struct GroupConfig {
  /// Group name.
  std::string name{};
  /// Largest number of connections that one member accepts from all instances
  /// together.
  std::int64_t connections{8};
  /// Number of replicas that must store a commit before it is acknowledged.
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
  /// Version of the table, raised by every change.
  std::int64_t version{};
  /// Routes by database name.
  std::vector<RouteConfig> routes{};
  /// Groups that routes name.
  std::vector<GroupConfig> groups{};
  /// Idle time in ms after which a transaction may be rolled back.
  std::int64_t transaction_idle_ms{3000};
  /// Whether clients need the key of a tenant.
  bool checks_keys{};
  /// Tenants; used if keys are checked.
  std::vector<TenantConfig> tenants{};
  /// Why tenants of the operators' configuration were left out.
  std::vector<std::string> rejected_tenants{};

  auto operator==(const RouteTable&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const RouteTable& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, RouteTable& value);

/// Registration of one member, written by the member itself.
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
  /// Largest number of statements that it runs at once.
  std::int64_t slots{1};
  /// Whether it is about to stop.
  bool leaving{};
  /// Whether it considers itself the primary.
  bool leads{};
  /// Unix time in ms at which it started; 0 if not given.
  std::int64_t born_ms{};
  /// Number of the registration since its start, rises with each; 0 if not
  /// given.
  std::int64_t sequence{};

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
  /// Version of the sender's route table; 0 for none. The answer omits a table
  /// that is not newer.
  std::int64_t version{};

  auto operator==(const RoutesWanted&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const RoutesWanted& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, RoutesWanted& value);

/// Answer to RoutesWanted: the route table and endpoints of a peer.
struct RoutesOffer {
  /// Active route table of the sender.
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

/// Result of the newest attempt of an instance to connect to a member.
enum class Reach { kUntried, kReached, kRefused, kSilent };

/// Returns the name of `value` on the wire.
auto ToString(Reach value) -> std::string_view;

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, Reach value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, Reach& value);

/// Primary of a group, as the sender of a heartbeat knows it.
struct GroupReport {
  /// Group.
  std::string group{};
  /// Member that is the primary or is being promoted.
  std::string primary{};
  /// Term in which it is the primary.
  std::int64_t term{};
  /// Whether its promotion was ordered but it has not been seen as primary yet.
  bool pending{};
  /// Whether the sender can connect to it.
  Reach reach{};
  /// Time in ms since the sender last received an answer from it; -1 for never.
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
  /// Number of the request, repeated in the answer.
  std::int64_t ask{};

  auto operator==(const GrantWanted&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const GrantWanted& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, GrantWanted& value);

/// Names the primary of a group and the time for which no other member becomes
/// primary.
struct GrantGiven {
  /// Group.
  std::string group{};
  /// Number of the request that this answers.
  std::int64_t ask{};
  /// Primary.
  std::string member{};
  /// Term in which it is the primary.
  std::int64_t term{};
  /// Validity in ms, counted from the time at which the request was sent; 0 if
  /// nothing is granted.
  std::int64_t lasts_ms{};
  /// Whether the sender is not the holder of the promotion duty but passes on a
  /// grant or evidence that it has itself.
  bool shared{};
  /// Term of the last entry of the primary's log in the sender's newest sample;
  /// 0 for none.
  std::int64_t floor_term{};
  /// Log position of that entry.
  std::int64_t floor_position{};
  /// Time in ms since that sample was requested.
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

/// Operations of a tenant for which an instance asks.
struct QuotaWish {
  /// Tenant.
  std::string tenant{};
  /// Number of operations.
  std::int64_t count{};

  auto operator==(const QuotaWish&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const QuotaWish& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, QuotaWish& value);

/// Operations of a tenant that an instance may begin.
struct QuotaLoan {
  /// Tenant.
  std::string tenant{};
  /// Number of operations; may be less than asked for, or 0.
  std::int64_t count{};
  /// Time in ms within which they must begin, counted from when they were asked
  /// for.
  std::int64_t lasts_ms{};
  /// If not all were lent: time in ms after which more can be asked for.
  std::int64_t room_ms{};
  /// Likewise: time in ms after which there is room for all of them, for the
  /// clients that are refused.
  std::int64_t retry_ms{};
  /// Whether the tenant has been beyond its limit for some time, so that
  /// waiting for room is of no use.
  bool overloaded{};

  auto operator==(const QuotaLoan&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const QuotaLoan& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, QuotaLoan& value);

/// Asks a lender for operations of its tenants.
struct QuotaWanted {
  /// Sender.
  std::string instance{};
  /// Number of the request, repeated in the answer.
  std::int64_t ask{};
  /// Whether the sender does not know the lenders, so that the receiver has to
  /// ask them for it.
  bool relay{};
  /// What is asked for, by tenant.
  std::vector<QuotaWish> wishes{};

  auto operator==(const QuotaWanted&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const QuotaWanted& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, QuotaWanted& value);

/// Answer to QuotaWanted. An answer to a relayed request may come in parts.
struct QuotaGiven {
  /// Number of the request that this answers.
  std::int64_t ask{};
  /// What is lent, by tenant.
  std::vector<QuotaLoan> loans{};

  auto operator==(const QuotaGiven&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const QuotaGiven& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, QuotaGiven& value);

/// Owner of a database, as the sender knows it.
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
  /// Version of the active manifest of the sender.
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
  /// Version of the active route table of the sender.
  std::int64_t routes_version{};
  /// Number of endpoints known to the sender.
  std::int64_t endpoints_known{};
  /// Whether the sender reaches the key-value service.
  bool store_reachable{};
  /// If not: time in ms since it did.
  std::int64_t store_contact_ms{};
  /// Whether the sender lends tenants' operations if it is their lender.
  bool lends{};
  /// Hash of the instances that lend tenants' operations, as the sender knows
  /// them; 0 for none.
  std::int64_t lenders_hash{};
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

/// Answer to ManifestWanted: the manifest of a peer.
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

/// Operation of a request to a member of a database group.
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

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, MemberOp value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, MemberOp& value);

/// Outcome of a request to a member.
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

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, MemberStatus value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, MemberStatus& value);

/// Role of a member.
enum class MemberRole { kReplica, kPrimary };

/// Returns the name of `value` on the wire.
auto ToString(MemberRole value) -> std::string_view;

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, MemberRole value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, MemberRole& value);

/// Request to one member of a database group.
struct MemberRequest {
  /// Request id, unique per connection.
  std::int64_t id{};
  /// Operation.
  MemberOp op{};
  /// Owner's epoch, checked by the member within the transaction.
  std::int64_t epoch{};
  /// Expected term, or the new term for promote and follow.
  std::int64_t term{};
  /// For await_position: log position to wait for. For promote: log position
  /// that the candidate must have.
  std::int64_t position{};
  /// For promote: term of the last log entry that the candidate must have.
  std::int64_t entry_term{};
  /// For follow: the member to follow.
  std::string primary{};
  /// Request id, stored as a marker in the same transaction.
  std::string request_id{};
  /// Time at which the request id was first used, as Unix time in ms; stored
  /// with the marker.
  std::int64_t issued_ms{};
  /// Hash of the request's content, stored with the marker. A request with the
  /// same id and another hash is refused.
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

/// Answer of a member, with the end of its log.
struct MemberAnswer {
  /// Request id.
  std::int64_t id{};
  /// Outcome of the request.
  MemberStatus status{};
  /// Term that the member follows.
  std::int64_t term{};
  /// Term of its last log entry.
  std::int64_t entry_term{};
  /// Log position of its last entry; for execute, of the transaction.
  std::int64_t position{};
  /// Role.
  MemberRole role{};
  /// Epoch stored in the database.
  std::int64_t epoch{};
  /// Whether the request had run before and its stored result is returned.
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

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, StoreOp value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, StoreOp& value);

/// Outcome of a call to the key-value service.
enum class StoreStatus { kDone, kConflict, kAbsent, kExpired, kUnavailable };

/// Returns the name of `value` on the wire.
auto ToString(StoreStatus value) -> std::string_view;

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, StoreStatus value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, StoreStatus& value);

/// A key with its value.
struct StoreItem {
  /// Key.
  std::string key{};
  /// Value.
  std::string value{};
  /// Version, raised by every write; 0 if the key does not exist.
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
  /// For compare_and_swap: version that the key must have; 0 if it must not
  /// exist.
  std::int64_t expected_version{};
  /// Lease to renew or revoke, or to attach the key to.
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
  /// Outcome of the call.
  StoreStatus status{};
  /// Granted lease.
  std::int64_t lease{};
  /// Items read, or the current item on a conflict.
  std::vector<StoreItem> items{};
  /// Rises by one each time the service is restored from an older copy of its
  /// data; 0 before the first time, or if the service does not tell. Versions
  /// and leases of one era say nothing in another.
  std::int64_t era{};

  auto operator==(const StoreAnswer&) const -> bool = default;
};

/// Writes `value` to `out`, leaving out members that have their default.
void to_json(nlohmann::json& out, const StoreAnswer& value);

/// Reads `value`. Throws SchemaError naming the member that is missing or
/// wrong.
void from_json(const nlohmann::json& in, StoreAnswer& value);

/// Change of a watched key.
struct StoreEvent {
  /// The item after the change.
  StoreItem item{};
  /// Whether the key was removed.
  bool deleted{};
  /// As in StoreAnswer.
  std::int64_t era{};

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

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, Phase value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, Phase& value);

/// Log position at which a term of a database group began.
struct TermStart {
  /// Term.
  std::int64_t term{};
  /// Log position of its first entry, or a lower bound of it.
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
  /// Ownership epoch, raised at every change of owner.
  std::int64_t epoch{};
  /// Owner instance.
  std::string owner{};
  /// Previous owner if it did not release the record; else empty.
  std::string previous{};
  /// Lease of the owner that the record is attached to.
  std::int64_t lease{};
  /// Newest term that has begun.
  std::int64_t term{};
  /// Primary of that term; empty during a promotion.
  std::string primary{};
  /// Phase.
  Phase phase{};
  /// Member that an owner ordered, or was about to order, to become the
  /// primary, if that order may still be carried out; else empty.
  std::string ordered{};
  /// Whether an order that no record shows may still be carried out, as after a
  /// restore of the store.
  bool orders_unknown{};
  /// Id of the write of this record. After a lost answer, it shows whether the
  /// write took effect.
  std::string attempt{};
  /// Starts of the terms that were served. They show which writes of a session
  /// a failover has lost.
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

/// The platform's list of live and leaving instances and endpoints. It may be
/// out of date.
struct InstanceList {
  /// Instances of the deployment.
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

/// Fault to inject into a stand-in, or command to it.
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

/// Writes the name of `value` to `out`.
void to_json(nlohmann::json& out, ControlAction value);

/// Reads `value` from its name. Throws SchemaError if the name is unknown.
void from_json(const nlohmann::json& in, ControlAction& value);

/// Command to a stand-in.
struct ControlCommand {
  /// Command id.
  std::int64_t id{};
  /// Action.
  ControlAction action{};
  /// Member to act on; empty for all.
  std::string member{};
  /// Duration or delay in ms.
  std::int64_t ms{};
  /// Number of answers that are affected.
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
  /// Description of what was done.
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

/// Reads the message type that `in["type"]` names. Throws SchemaError if it is
/// none of the alternatives.
auto ReadCallerMessage(const nlohmann::json& in) -> CallerMessage;

/// Frame to a caller.
using CallerReply = std::variant<CallerAnswer, InstanceStatus>;

/// Reads the message type that `in["type"]` names. Throws SchemaError if it is
/// none of the alternatives.
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
                                 SteppedDown,
                                 QuotaWanted,
                                 QuotaGiven>;

/// Reads the message type that `in["type"]` names. Throws SchemaError if it is
/// none of the alternatives.
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
                                    SteppedDown,
                                    QuotaWanted,
                                    QuotaGiven>;

/// Reads the message type that `in["type"]` names. Throws SchemaError if it is
/// none of the alternatives.
auto ReadInboundMessage(const nlohmann::json& in) -> InboundMessage;

/// Frame from the key-value service.
using StoreReply = std::variant<StoreAnswer, StoreEvent>;

/// Reads the message type that `in["type"]` names. Throws SchemaError if it is
/// none of the alternatives.
auto ReadStoreReply(const nlohmann::json& in) -> StoreReply;

/// Frame to the store stand-in.
using StoreMessage = std::variant<StoreCall, ControlCommand>;

/// Reads the message type that `in["type"]` names. Throws SchemaError if it is
/// none of the alternatives.
auto ReadStoreMessage(const nlohmann::json& in) -> StoreMessage;

/// Frame to the database stand-in.
using MemberMessage = std::variant<MemberRequest, ControlCommand>;

/// Reads the message type that `in["type"]` names. Throws SchemaError if it is
/// none of the alternatives.
auto ReadMemberMessage(const nlohmann::json& in) -> MemberMessage;

}  // namespace kingcuplock

// Clients' keys and tenants' limits: which tenant a client belongs to, clients
// whose key is unknown, sessions whose key is removed, and what the exchange of
// operations needs to know.

#include <tuple>
#include <utility>

#include <fmt/format.h>

#include "kingcuplock/gateway/gateway.h"

namespace kingcuplock {
namespace {

/// Time in ms for which an instance stays a lender after its registration
/// ended. After an outage of the store, all registrations may end and begin
/// again.
constexpr Milliseconds kLenderGrace{700};
/// Shortest time in ms between two log lines about a tenant's refusals.
constexpr Milliseconds kRefusalLogInterval{1000};
/// Interval in ms of the check whether peers have to be told at once that this
/// instance lost or reached the store, or has another list of lenders.
constexpr Milliseconds kQuotaNewsInterval{100};

}  // namespace

auto Gateway::ApplyTenants() -> void {
  tenants_.SetTable(routes_.table());
  for (const auto& it : routes_.table().rejected_tenants) {
    shell_.Log(Event::kTenantRejected,
               {{"routes_version", std::to_string(routes_.table().version)},
                {"reason", it}});
  }
  quotas_.SetTenants(tenants_.tenants());
  CheckSessionKeys();
  SchedulePeerUpdate();
  if (!tenants_.tenants().empty()) {
    WatchQuotaNews();
  }
}

auto Gateway::ApplyLenders() -> void {
  std::set<std::string> names;
  for (const auto& [key, entry] : instances_) {
    names.insert(entry.name);
  }
  std::erase_if(instances_removed_, [&](const auto& it) {
    return timers_.Now() - it.second >= kLenderGrace ||
           names.contains(it.first);
  });
  for (const auto& [name, removed] : instances_removed_) {
    names.insert(name);
  }
  if (!instances_removed_.empty()) {
    timers_.After(kLenderGrace, [this] { ApplyLenders(); });
  }
  const auto lenders_before = quotas_.Lenders();
  quotas_.SetInstances(std::vector<std::string>(names.begin(), names.end()));
  if (quotas_.Lenders() != lenders_before) {
    UpdatePeers();
  }
}

// Peers that are told late would ask a former lender, or lend as one.
auto Gateway::WatchQuotaNews() -> void {
  if (std::exchange(watching_quota_news_, true)) {
    return;
  }
  timers_.After(kQuotaNewsInterval, [this] {
    watching_quota_news_ = false;
    const std::tuple news(store_.IsReachable(), quotas_.MayLend(),
                          quotas_.LendersHash());
    if (std::exchange(quota_news_told_, news) != news) {
      SendHeartbeats();
    }
    CheckConfigurationHeard();
    if (!tenants_.tenants().empty()) {
      WatchQuotaNews();
    }
  });
}

// A key that was removed meanwhile still works here.
auto Gateway::CheckConfigurationHeard() -> void {
  if (store_.IsReachable() || peers_.LiveInstances().size() > 1) {
    configuration_unheard_since_.reset();
    configuration_unheard_logged_ = false;
    return;
  }
  if (!configuration_unheard_since_) {
    configuration_unheard_since_ = timers_.Now();
  }
  const auto unheard = timers_.Now() - *configuration_unheard_since_;
  if (unheard >= Milliseconds(settings_.routes_propagation_ms) &&
      !std::exchange(configuration_unheard_logged_, true)) {
    shell_.Log(Event::kConfigurationUnheard,
               {{"routes_version", std::to_string(routes_.table().version)},
                {"bound_ms", std::to_string(settings_.routes_propagation_ms)}});
  }
}

auto Gateway::QuotaPeers() const -> std::vector<QuotaPeer> {
  std::vector<QuotaPeer> out;
  for (const auto& [name, it] : quota_peers_) {
    if (peers_.IsUp(name)) {
      out.push_back(it);
    }
  }
  return out;
}

auto Gateway::Admit(const std::string& tenant, QuotaCallback callback) -> void {
  if (!quotas_.IsLimited(tenant)) {
    callback({.admitted = true});
    return;
  }
  quotas_.Begin(tenant, [this, tenant, callback = std::move(callback)](
                            const QuotaDecision& decision) {
    if (!decision.admitted) {
      NoteQuotaRefusal(tenant);
    }
    callback(decision);
  });
}

auto Gateway::NoteQuotaRefusal(const std::string& tenant) -> void {
  auto& refusals = quota_refusals_[tenant];
  ++refusals.count;
  if (refusals.logged &&
      timers_.Now() - *refusals.logged < kRefusalLogInterval) {
    return;
  }
  refusals.logged = timers_.Now();
  const auto* it = tenants_.FindByName(tenant);
  shell_.Log(
      Event::kQuotaExceeded,
      {{"tenant", tenant},
       {"refused", std::to_string(std::exchange(refusals.count, 0))},
       {"rate_per_s", it == nullptr ? "" : fmt::format("{:g}", it->rate_per_s)},
       {"burst", it == nullptr ? "" : fmt::format("{:g}", it->burst)},
       {"routes_version", std::to_string(routes_.table().version)}});
}

/// Returns the tenant of a client, empty if it needs none; nullopt if its key
/// is unknown.
auto Gateway::Identify(const ClientHello& hello) const
    -> std::optional<std::string> {
  const auto* route = routes_.FindRoute(hello.database);
  if (!tenants_.ChecksKeys() || (route != nullptr && route->keyless)) {
    return std::string();
  }
  const auto* tenant = tenants_.FindByKey(hello.key_digest);
  return tenant == nullptr ? std::nullopt : std::optional(tenant->name);
}

auto Gateway::AwaitKey(ConnectionId client, const ClientHello& hello) -> void {
  switch (unknown_keys_.Add(client, hello, timers_.Now())) {
    case UnknownKeyLookup::Decision::kRefuse: {
      StatementAnswer answer;
      answer.error = StatementError::kUnauthorized;
      answer.text = "no tenant has this key; connect with a valid one";
      RefuseClient(client, hello, std::move(answer));
      return;
    }
    case UnknownKeyLookup::Decision::kWait:
      return;
    case UnknownKeyLookup::Decision::kWaitAndRead:
      ReadRoutesForUnknownKeys();
      return;
  }
}

/// Reads the route table again, from the store or else from a peer, and decides
/// about the clients that wait once it has arrived or their time is over.
auto Gateway::ReadRoutesForUnknownKeys() -> void {
  timers_.After(UnknownKeyLookup::kMaxWait, [this] { DecideUnknownKeys(); });
  if (!store_.IsReachable()) {
    for (const auto& it : peers_.LiveInstances()) {
      if (peers_.Send(it, MakeRoutesRequest())) {
        return;
      }
    }
    return;
  }
  StoreCall call;
  call.op = StoreOp::kGet;
  call.key = kRoutesKey;
  store_.Call(std::move(call), [this](const StoreAnswer* answer) {
    if (answer == nullptr) {
      return;
    }
    for (const auto& it : answer->items) {
      OnRoutesItem(it);
    }
    DecideUnknownKeys();
  });
}

auto Gateway::DecideUnknownKeys() -> void {
  for (auto& [client, hello] : unknown_keys_.TakeAll()) {
    if (auto tenant = Identify(hello)) {
      OpenSession(client, hello, std::move(*tenant));
      continue;
    }
    StatementAnswer answer;
    answer.error = StatementError::kUnauthorized;
    answer.text = "no tenant has this key; connect with a valid one";
    RefuseClient(client, hello, std::move(answer));
  }
}

/// Ends the sessions whose key was removed or moved to another tenant, and
/// opens those of clients that wait for a key that is known now.
auto Gateway::CheckSessionKeys() -> void {
  for (const auto& [client, session] : sessions_) {
    // A session whose database has no route any more needs no key: all that it
    // can still run is its open transaction.
    if (routes_.FindRoute(session->hello().database) != nullptr &&
        Identify(session->hello()) != session->tenant()) {
      session->NoteKeyRemoved();
    }
  }
}

}  // namespace kingcuplock

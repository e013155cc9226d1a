// Clients' keys: which tenant a client belongs to, clients whose key is
// unknown, and sessions whose key is removed.

#include <utility>

#include "kingcuplock/gateway/gateway.h"

namespace kingcuplock {

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

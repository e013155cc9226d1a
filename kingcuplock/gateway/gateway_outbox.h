#pragma once

/// Actions that the gateway asks the sockets to clients and members to perform,
/// and the outbox that collects them. Actions for peers, the store and logs go
/// through Outbox.
///
/// Example:
///   GatewayOutbox out;
///   const auto link = out.Open("10.0.0.7", 8080, Milliseconds(300));
///   out.Add(SendStatement{link, statement});
///   for (auto& it : out.Take()) { Perform(it); }

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "kingcuplock/base/connection_id.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/statement/statement.h"

namespace kingcuplock {

/// Opens a connection to a member.
struct OpenMemberConnection {
  /// Id of the new connection, chosen by the outbox.
  ConnectionId link = 0;
  std::string host;
  std::int64_t port = 0;
  Duration timeout{};
};

/// Sends the first message on a connection to a member.
struct SendMemberHello {
  /// Id of the connection, as in all these actions.
  ConnectionId link = 0;
  std::string group;
  /// Member that is expected at the address; any other one refuses.
  std::string member;
  /// Tenant in whose name the connection is opened; empty for none.
  std::string tenant = {};
};

/// Sends a statement to a member.
struct SendStatement {
  ConnectionId link = 0;
  SessionStatement statement;
  /// Time from which the statement must not be sent any more; the connection is
  /// then closed instead. nullopt for no limit.
  std::optional<Time> not_after = std::nullopt;
};

/// Closes a connection to a member or client. No event of it is reported later.
struct CloseStream {
  ConnectionId connection = 0;
};

/// Answers a client's hello or statement.
struct AnswerClient {
  ConnectionId client = 0;
  StatementAnswer answer;
  /// Whether this answers the hello.
  bool answers_hello = false;
  /// Whether the connection is closed after the answer.
  bool close_after = false;
};

/// Orders the platform to make a member its group's primary.
struct OrderPromotion {
  /// Id that the outcome is reported with.
  std::int64_t id = 0;
  std::string group;
  std::string member;
  /// Instance that holds the promotion duty of the group.
  std::string holder;
  /// Fencing token, unique to this order.
  std::int64_t fencing_token = 0;
  /// Time from which the order must not be sent any more; its outcome is then
  /// kUnavailable. nullopt for no limit.
  std::optional<Time> not_after = std::nullopt;
};

/// Any action on the sockets to clients and members, or on the platform.
using GatewayAction = std::variant<OpenMemberConnection,
                                   SendMemberHello,
                                   SendStatement,
                                   CloseStream,
                                   AnswerClient,
                                   OrderPromotion>;

/// Outcome of an ordered promotion.
enum class PromotionOutcome {
  /// The member is already the primary or will be soon.
  kAccepted,
  /// The fencing token is stale, or the member is not running.
  kRejected,
  /// Nothing was done; the order may be given again later.
  kUnavailable,
  /// No answer arrived; the order may still be carried out.
  kLost
};

/// Returns the name of `outcome`, for logs.
auto ToString(PromotionOutcome outcome) -> std::string_view;

/// Collects actions in order. Not thread safe.
class GatewayOutbox {
 public:
  /// Adds the action that opens a connection to a member. `timeout` limits the
  /// attempt. Returns the id of the connection.
  auto Open(std::string host, std::int64_t port, Duration timeout)
      -> ConnectionId {
    const auto link = ++last_link_;
    actions_.emplace_back(
        OpenMemberConnection{link, std::move(host), port, timeout});
    return link;
  }

  /// Adds any other action.
  auto Add(GatewayAction action) -> void {
    actions_.push_back(std::move(action));
  }

  /// Returns the collected actions and clears the outbox.
  auto Take() -> std::vector<GatewayAction> {
    return std::exchange(actions_, {});
  }

 private:
  std::vector<GatewayAction> actions_;
  ConnectionId last_link_ = 0;
};

}  // namespace kingcuplock

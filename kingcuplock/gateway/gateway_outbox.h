#pragma once

/// What the gateway's decisions ask of the sockets to clients and members, and
/// what these report. Peers, the store and logs go through Outbox.
///
/// Example:
///   GatewayOutbox out;
///   const auto link = out.Open("10.0.0.7", 8080, Milliseconds(300));
///   out.Send(link, statement);
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

/// Open a connection to a member.
struct OpenMemberConnection {
  ConnectionId link = 0;
  std::string host;
  std::int64_t port = 0;
  Duration timeout{};
};

/// First message on a member's connection.
struct SendMemberHello {
  ConnectionId link = 0;
  std::string group;
  /// Member that must answer; another one refuses.
  std::string member;
};

/// Send a statement to a member.
struct SendStatement {
  ConnectionId link = 0;
  SessionStatement statement;
  /// Time from which it must not be sent any more; the connection then ends
  /// instead.
  std::optional<Time> not_after = std::nullopt;
};

/// Close a member's or client's connection; nothing is reported of it later.
struct CloseStream {
  ConnectionId connection = 0;
};

/// Answer a client's hello, or a statement.
struct AnswerClient {
  ConnectionId client = 0;
  StatementAnswer answer;
  /// Whether this answers the hello.
  bool answers_hello = false;
  /// Whether the connection ends after the answer.
  bool close_after = false;
};

/// Order the platform to make a member its group's primary.
struct OrderPromotion {
  std::int64_t id = 0;
  std::string group;
  std::string member;
  std::string holder;
  /// Fencing token; unique to this attempt.
  std::int64_t fencing_token = 0;
  /// Time from which it must not be sent any more; it then counts as not done.
  std::optional<Time> not_after = std::nullopt;
};

/// Anything that the gateway asks of the sockets.
using GatewayAction = std::variant<OpenMemberConnection,
                                   SendMemberHello,
                                   SendStatement,
                                   CloseStream,
                                   AnswerClient,
                                   OrderPromotion>;

/// Outcome of an ordered promotion.
enum class PromotionOutcome {
  /// The member leads in a moment, or leads already.
  kAccepted,
  /// The fencing token is stale, or the member does not run.
  kRejected,
  /// Nothing was done; ask again later.
  kUnavailable,
  /// No answer; it may still be carried out.
  kLost
};

/// Returns the name of `outcome`, for logs.
auto ToString(PromotionOutcome outcome) -> std::string_view;

/// Collects actions in order. Not thread safe.
class GatewayOutbox {
 public:
  /// Asks for a connection to a member and returns its id.
  auto Open(std::string host, std::int64_t port, Duration timeout)
      -> ConnectionId {
    const auto link = ++last_link_;
    actions_.emplace_back(
        OpenMemberConnection{link, std::move(host), port, timeout});
    return link;
  }

  /// Asks for any other action.
  auto Add(GatewayAction action) -> void {
    actions_.push_back(std::move(action));
  }

  /// Returns and clears what was collected.
  auto Take() -> std::vector<GatewayAction> {
    return std::exchange(actions_, {});
  }

 private:
  std::vector<GatewayAction> actions_;
  ConnectionId last_link_ = 0;
};

}  // namespace kingcuplock

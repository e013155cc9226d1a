// The part of GatewayFixture that carries out the actions of gateways on the
// store, their peers, the members and the platform.

#include <algorithm>
#include <charconv>
#include <type_traits>
#include <variant>

#include <fmt/format.h>

#include "kingcuplock/schema/codec.h"
#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

/// Time after which opening a connection to a member that doesn't answer fails.
constexpr Milliseconds kOpenTimeout{200};
/// Interval of the checks whether a replica has received a commit.
constexpr Milliseconds kReplicationCheckInterval{1};

}  // namespace

// ----------------------------------------------------------------- actions

auto GatewayFixture::Perform(std::size_t node, Action& action) -> void {
  auto& it = *nodes_[node];
  if (const auto* open = std::get_if<OpenConnection>(&action)) {
    if (open->kind == ConnectionKind::kStore) {
      it.store = open->connection;
      it.watched_prefixes.clear();
      RunAfter(options_.delay, node, [this, node, id = open->connection] {
        nodes_[node]->gateway->Handle(ConnectionOpened{id});
      });
    } else {
      OpenPeer(node, *open);
    }
  } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
    it.peers.erase(close->connection);
    RunAfter(options_.delay, node, [this, node, id = close->connection] {
      nodes_[node]->gateway->Handle(ConnectionClosed{id});
    });
  } else if (const auto* send = std::get_if<SendMessage>(&action)) {
    if (const auto* call = std::get_if<StoreCall>(&send->message)) {
      OnStoreCall(node, *call);
    } else {
      SendToPeer(node, *send);
    }
  } else if (const auto* log = std::get_if<LogAction>(&action)) {
    logs_.push_back(*log);
  } else if (std::holds_alternative<StopComplete>(action)) {
    it.stopped = true;
  }
}

auto GatewayFixture::Perform(std::size_t node, GatewayAction& action) -> void {
  if (const auto* open = std::get_if<OpenMemberConnection>(&action)) {
    OpenMemberLink(node, *open);
  } else if (const auto* hello = std::get_if<SendMemberHello>(&action)) {
    OnMemberHello(node, *hello);
  } else if (const auto* send = std::get_if<SendStatement>(&action)) {
    RunStatement(node, *send);
  } else if (const auto* close = std::get_if<CloseStream>(&action)) {
    const auto it = nodes_[node]->links.find(close->connection);
    if (it != nodes_[node]->links.end()) {
      group_.Close(it->second.session);
      nodes_[node]->links.erase(it);
    }
    MarkClientClosed(close->connection);
  } else if (const auto* answer = std::get_if<AnswerClient>(&action)) {
    OnAnswer(*answer, node);
    if (answer->close_after) {
      MarkClientClosed(answer->client);
    }
  } else if (const auto* order = std::get_if<OrderPromotion>(&action)) {
    OnPromotionOrder(node, *order);
  }
}

auto GatewayFixture::OnStoreCall(std::size_t node, const StoreCall& call)
    -> void {
  timers_.After(options_.delay, [this, node, call] {
    if (!store_up_ || nodes_[node]->store_access_revoked) {
      return;
    }
    auto& it = *nodes_[node];
    if (call.op == StoreOp::kLeaseRenew) {
      it.lease = call.lease;
    }
    const auto answer = store_.Handle(call, NowMs());
    if (call.op == StoreOp::kWatch && it.up) {
      it.watched_prefixes.push_back(call.key);
    }
    RunAfter(options_.delay, node, [this, node, answer] {
      MessageArrived event;
      event.connection = nodes_[node]->store;
      event.message = StoreReply{answer};
      nodes_[node]->gateway->Handle(event);
    });
    PushStoreEvents();
  });
}

auto GatewayFixture::RestoreStore(Duration age, Duration rewritten_after)
    -> void {
  store_copies_.Restore(store_, NowMs(), age / Milliseconds(1));
  for (const auto& it : nodes_) {
    it->watched_prefixes.clear();
  }
  published_endpoints_.clear();
  members_write_again_at_ = timers_.Now() + rewritten_after;
  timers_.After(rewritten_after, [this, era = store_.era()] {
    if (era == store_.era()) {
      store_.Put(std::string(kRoutesKey), newest_routes_);
    }
  });
}

auto GatewayFixture::ReplaceStore() -> void {
  store_ = KeyValueStore();
  store_copies_ = StoreCopies();
  published_endpoints_.clear();
  store_.Put(std::string(kRoutesKey), newest_routes_);
  PublishEndpoints();
  store_.TakeEvents();
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    nodes_[n]->watched_prefixes.clear();
    if (nodes_[n]->up) {
      RunOnGateway(n, [this, n] { nodes_[n]->gateway->OnStoreReplaced(); });
    }
  }
}

auto GatewayFixture::PushStoreEvents() -> void {
  for (const auto& event : store_.TakeEvents()) {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      const auto& prefixes = nodes_[n]->watched_prefixes;
      const auto wanted = std::any_of(
          prefixes.begin(), prefixes.end(),
          [&](const auto& it) { return event.item.key.starts_with(it); });
      if (!wanted || !store_up_ || nodes_[n]->store_access_revoked) {
        continue;
      }
      const auto late = store_delay_per_gateway_ * static_cast<std::int64_t>(n);
      RunAfter(options_.delay + late, n, [this, n, event] {
        MessageArrived arrived;
        arrived.connection = nodes_[n]->store;
        arrived.message = StoreReply{event};
        nodes_[n]->gateway->Handle(arrived);
      });
    }
  }
}

auto GatewayFixture::OpenPeer(std::size_t node, const OpenConnection& open)
    -> void {
  std::size_t remote = nodes_.size();
  std::from_chars(open.host.data(), open.host.data() + open.host.size(),
                  remote);
  const auto up = remote < nodes_.size() && nodes_[remote]->up;
  if (!up) {
    RunAfter(options_.delay, node, [this, node, id = open.connection] {
      nodes_[node]->gateway->Handle(ConnectionClosed{id});
    });
    return;
  }
  const auto inbound = ++nodes_[remote]->last_inbound | kInboundBit;
  nodes_[node]->peers[open.connection] = {remote, inbound};
  nodes_[remote]->inbound[inbound] = {node, open.connection};
  RunAfter(options_.delay, node, [this, node, id = open.connection] {
    nodes_[node]->gateway->Handle(ConnectionOpened{id});
  });
}

auto GatewayFixture::SendToPeer(std::size_t node, const SendMessage& send)
    -> void {
  auto& it = *nodes_[node];
  const auto inbound = (send.connection & kInboundBit) != 0;
  const auto& links = inbound ? it.inbound : it.peers;
  const auto found = links.find(send.connection);
  if (found == links.end() || !nodes_[found->second.first]->up) {
    return;
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&send.message)) {
    group_report_count_ += heartbeat->groups.size();
  }
  if (const auto* offer = std::get_if<RoutesOffer>(&send.message)) {
    route_offer_count_ += offer->table.version > 0 ? 1 : 0;
  }
  const auto [remote, id] = found->second;
  if (peer_partitions_.contains({node, remote})) {
    return;
  }
  MessageArrived event;
  event.connection = id;
  const auto passed = std::visit(
      [&](const auto& message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (std::is_constructible_v<PeerMessage, Message> &&
                      std::is_constructible_v<InboundMessage, Message>) {
          if (inbound) {
            event.message = PeerMessage{message};
          } else {
            event.message = InboundMessage{message};
          }
          return true;
        }
        return false;
      },
      send.message);
  if (!passed) {
    return;
  }
  RunAfter(options_.delay, remote, [this, remote = remote, event] {
    nodes_[remote]->gateway->Handle(event);
  });
}

// ----------------------------------------------------------------- members

auto GatewayFixture::OpenMemberLink(std::size_t node,
                                    const OpenMemberConnection& open) -> void {
  const auto member = open.host;
  nodes_[node]->links[open.link].member = member;
  const auto reaches = Reaches(node, member);
  const auto up = group_.IsUp(member);
  RunAfter(reaches ? options_.delay : Duration(kOpenTimeout), node,
           [this, node, member, link = open.link, reaches, up] {
             if (!nodes_[node]->links.contains(link)) {
               return;
             }
             if (reaches && up) {
               nodes_[node]->gateway->OnMemberOpened(link);
             } else {
               DropLink(node, link, reaches ? Reach::kRefused : Reach::kSilent);
             }
           });
}

auto GatewayFixture::DropLink(std::size_t node, ConnectionId id, Reach reason)
    -> void {
  auto& links = nodes_[node]->links;
  const auto it = links.find(id);
  if (it == links.end()) {
    return;
  }
  group_.Close(it->second.session);
  links.erase(it);
  nodes_[node]->gateway->OnMemberClosed(id, reason);
}

auto GatewayFixture::OnMemberHello(std::size_t node,
                                   const SendMemberHello& hello) -> void {
  RunAfter(2 * options_.delay, node, [this, node, hello] {
    auto& links = nodes_[node]->links;
    const auto it = links.find(hello.link);
    if (it == links.end() || !Reaches(node, it->second.member) ||
        !group_.IsUp(it->second.member)) {
      return;
    }
    const auto connected =
        group_.Connect(it->second.member, hello.group, hello.member,
                       timers_.Now(), hello.tenant);
    it->second.session = connected.session;
    nodes_[node]->gateway->OnMemberAnswer(hello.link, connected.answer);
  });
}

auto GatewayFixture::RunStatement(std::size_t node, const SendStatement& send)
    -> void {
  internal_statement_count_ += send.statement.id.empty() ? 1 : 0;
  if (lose_demotions_ && send.statement.kind == StatementKind::kDemote) {
    return;
  }
  auto& sender = *nodes_[node];
  if (send.not_after && sender.freeze_before_next_send > Duration::zero()) {
    const auto resumes_at =
        timers_.Now() + std::exchange(sender.freeze_before_next_send, {});
    const auto late = resumes_at >= *send.not_after;
    FreezeGateway(node, true);
    timers_.After(resumes_at - timers_.Now(), [this, node, send, late] {
      if (late) {
        nodes_[node]->deferred.insert(
            nodes_[node]->deferred.begin(), [this, node, link = send.link] {
              nodes_[node]->gateway->OnMemberStatementNotSent(link);
            });
      }
      FreezeGateway(node, false);
      if (!late) {
        RunStatement(node, send);
      }
    });
    return;
  }
  const auto it = nodes_[node]->links.find(send.link);
  if (it == nodes_[node]->links.end() || it->second.session == 0) {
    return;
  }
  const auto session = it->second.session;
  const auto member = it->second.member;
  timers_.After(options_.delay, [this, node, member, session, send] {
    const auto links = nodes_[node]->links.find(send.link);
    if (links == nodes_[node]->links.end() || !group_.IsUp(member) ||
        !Reaches(node, member) || links->second.session != session) {
      return;
    }
    const auto commits = group_.commits().size();
    const auto answer = group_.Handle(session, send.statement, timers_.Now());
    const auto commit = group_.commits().size() > commits
                            ? std::optional(group_.commits().back().place)
                            : std::nullopt;
    const auto slow = send.statement.kind == StatementKind::kRead ||
                      send.statement.kind == StatementKind::kWrite ||
                      send.statement.kind == StatementKind::kExecute ||
                      send.statement.kind == StatementKind::kCommit;
    auto& lost = answers_to_lose_[member];
    auto& lost_state = state_answers_to_lose_[member];
    const auto sets_state = send.statement.kind == StatementKind::kSetValue ||
                            send.statement.kind == StatementKind::kReset ||
                            send.statement.kind == StatementKind::kPrepare;
    if ((slow && lost > 0) || (sets_state && lost_state > 0)) {
      --(slow ? lost : lost_state);
      return;
    }
    const auto done =
        std::max(links->second.last_answer,
                 timers_.Now() + (slow ? options_.work : Duration::zero()));
    links->second.last_answer = done;
    timers_.After(done - timers_.Now(),
                  [this, node, member, send, answer, commit] {
                    AnswerStatement(node, member, send, answer, commit);
                  });
  });
}

// Delivers a member's answer. That to a commit waits until a replica has
// received it, if there are synchronous replicas.
auto GatewayFixture::AnswerStatement(std::size_t node,
                                     const std::string& member,
                                     const SendStatement& send,
                                     StatementAnswer answer,
                                     std::optional<LogPosition> commit)
    -> void {
  if (commit) {
    switch (group_.StateOfCommit(*commit, timers_.Now())) {
      case ReplicationState::kPending:
        timers_.After(kReplicationCheckInterval,
                      [this, node, member, send, answer, commit] {
                        AnswerStatement(node, member, send, answer, commit);
                      });
        return;
      case ReplicationState::kDiscarded:
        answer = {};
        answer.error = StatementError::kUnknownOutcome;
        break;
      case ReplicationState::kReplicated:
        break;
    }
  }
  RunAfter(options_.delay, node, [this, node, member, send, answer] {
    if (nodes_[node]->links.contains(send.link) && Reaches(node, member)) {
      nodes_[node]->gateway->OnMemberAnswer(send.link, answer);
    }
  });
}

auto GatewayFixture::OnPromotionOrder(std::size_t node,
                                      const OrderPromotion& order) -> void {
  auto& sender = *nodes_[node];
  if (order.not_after && sender.freeze_before_next_send > Duration::zero()) {
    const auto resumes_at =
        timers_.Now() + std::exchange(sender.freeze_before_next_send, {});
    FreezeGateway(node, true);
    timers_.After(resumes_at - timers_.Now(), [this, node, order, resumes_at] {
      FreezeGateway(node, false);
      if (resumes_at < *order.not_after) {
        OnPromotionOrder(node, order);
        return;
      }
      RunAfter(Duration::zero(), node, [this, node, order] {
        nodes_[node]->gateway->OnPromotionAnswered(
            order.id, PromotionOutcome::kUnavailable);
      });
    });
    return;
  }
  CheckFencingToken(order);
  order_fencing_tokens_.push_back(order.fencing_token);
  if (lost_order_delay_) {
    timers_.After(*lost_order_delay_, [this, order] {
      group_.RequestPromotion(order.member, order.fencing_token, timers_.Now());
    });
    RunAfter(Milliseconds(600), node, [this, node, order] {
      nodes_[node]->gateway->OnPromotionAnswered(order.id,
                                                 PromotionOutcome::kLost);
    });
    return;
  }
  timers_.After(options_.delay, [this, node, order] {
    const auto outcome = group_.RequestPromotion(
        order.member, order.fencing_token, timers_.Now());
    RunAfter(options_.delay, node, [this, node, order, outcome] {
      nodes_[node]->gateway->OnPromotionAnswered(
          order.id, outcome == PromotionOrderOutcome::kAccepted
                        ? PromotionOutcome::kAccepted
                        : PromotionOutcome::kRejected);
    });
  });
}

auto GatewayFixture::CheckFencingToken(const OrderPromotion& order) -> void {
  const auto& first =
      token_holders_.try_emplace(order.fencing_token, order.holder)
          .first->second;
  if (first != order.holder) {
    order_violations_.push_back(
        fmt::format("the fencing token {} was used by both {} and {}",
                    order.fencing_token, first, order.holder));
  }
  const auto highest = token_holders_.rbegin()->first;
  if (!options_.group.fenced && order.fencing_token < highest) {
    order_violations_.push_back(
        fmt::format("{} used the fencing token {} after {} was used",
                    order.holder, order.fencing_token, highest));
  }
}

auto GatewayFixture::PublishEndpoint(const std::string& member) -> void {
  EndpointEntry entry;
  entry.member = member;
  entry.group = "g0";
  entry.host = member;
  entry.port = 1;
  entry.data_centre =
      "dc-" + std::string(1, static_cast<char>(member.back() - 1));
  entry.slots = 2;
  entry.leaving = leaving_members_.contains(member);
  entry.leads = group_.ActsAsPrimary(member, timers_.Now());
  const auto text = EncodeJson(entry, FrameFormat::kJson);
  if (std::exchange(published_endpoints_[member], text) != text) {
    store_.Put(std::string(kEndpointPrefix) + member, text);
  }
}

auto GatewayFixture::PublishEndpoints() -> void {
  if (timers_.Now() < members_write_again_at_) {
    return;
  }
  for (const auto& it : group_.members()) {
    if (group_.IsUp(it) && it != options_.unregistered_member) {
      PublishEndpoint(it);
    }
  }
}

}  // namespace kingcuplock

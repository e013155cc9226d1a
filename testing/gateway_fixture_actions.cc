// What gateways ask of the store, of their peers and of members.

#include <algorithm>
#include <type_traits>
#include <variant>

#include "kingcuplock/schema/codec.h"
#include "testing/gateway_fixture.h"

namespace kingcuplock {
namespace {

/// Time in ms in which an address that does not answer counts as silent.
constexpr Milliseconds kSilent{200};

}  // namespace

// ----------------------------------------------------------------- actions

auto GatewayFixture::Perform(std::size_t node, Action& action) -> void {
  auto& it = *nodes_[node];
  if (const auto* open = std::get_if<OpenConnection>(&action)) {
    if (open->kind == ConnectionKind::kStore) {
      it.store = open->connection;
      it.watched.clear();
      After(options_.delay, node, [this, node, id = open->connection] {
        nodes_[node]->gateway->Handle(ConnectionOpened{id});
      });
    } else {
      OpenPeer(node, *open);
    }
  } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
    it.peers.erase(close->connection);
    After(options_.delay, node, [this, node, id = close->connection] {
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
    OpenLinkTo(node, *open);
  } else if (const auto* greet = std::get_if<SendMemberHello>(&action)) {
    Greet(node, *greet);
  } else if (const auto* send = std::get_if<SendStatement>(&action)) {
    RunStatement(node, *send);
  } else if (const auto* close = std::get_if<CloseStream>(&action)) {
    const auto it = nodes_[node]->links.find(close->connection);
    if (it != nodes_[node]->links.end()) {
      group_.Close(it->second.session);
      nodes_[node]->links.erase(it);
    }
  } else if (const auto* answer = std::get_if<AnswerClient>(&action)) {
    OnAnswer(*answer, node);
  } else if (const auto* order = std::get_if<OrderPromotion>(&action)) {
    OnOrder(node, *order);
  }
}

auto GatewayFixture::OnStoreCall(std::size_t node, const StoreCall& call)
    -> void {
  timers_.After(options_.delay, [this, node, call] {
    if (!store_up_ || nodes_[node]->turned_away) {
      return;
    }
    auto& it = *nodes_[node];
    if (call.op == StoreOp::kLeaseRenew) {
      it.lease = call.lease;
    }
    const auto answer =
        store_.Handle(call, timers_.Now().time_since_epoch() / Milliseconds(1));
    if (call.op == StoreOp::kWatch && it.up) {
      it.watched.push_back(call.key);
    }
    After(options_.delay, node, [this, node, answer] {
      MessageArrived event;
      event.connection = nodes_[node]->store;
      event.message = StoreReply{answer};
      nodes_[node]->gateway->Handle(event);
    });
    PushStoreEvents();
  });
}

auto GatewayFixture::PushStoreEvents() -> void {
  for (const auto& event : store_.TakeEvents()) {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      const auto& prefixes = nodes_[n]->watched;
      const auto wanted = std::any_of(
          prefixes.begin(), prefixes.end(),
          [&](const auto& it) { return event.item.key.starts_with(it); });
      if (!wanted || !store_up_ || nodes_[n]->turned_away) {
        continue;
      }
      const auto late = store_stagger_ * static_cast<std::int64_t>(n);
      After(options_.delay + late, n, [this, n, event] {
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
  const auto far = static_cast<std::size_t>(std::stoul(open.host));
  const auto up = far < nodes_.size() && nodes_[far]->up;
  if (!up) {
    After(options_.delay, node, [this, node, id = open.connection] {
      nodes_[node]->gateway->Handle(ConnectionClosed{id});
    });
    return;
  }
  const auto inbound = ++nodes_[far]->last_inbound | kInboundBit;
  nodes_[node]->peers[open.connection] = {far, inbound};
  nodes_[far]->inbound[inbound] = {node, open.connection};
  After(options_.delay, node, [this, node, id = open.connection] {
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
  if (const auto* beat = std::get_if<Heartbeat>(&send.message)) {
    reports_ += beat->groups.size();
  }
  if (const auto* offer = std::get_if<RoutesOffer>(&send.message)) {
    offers_ += offer->table.version > 0 ? 1 : 0;
  }
  const auto [far, id] = found->second;
  if (peer_cuts_.contains({node, far})) {
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
  After(options_.delay, far,
        [this, far = far, event] { nodes_[far]->gateway->Handle(event); });
}

// ----------------------------------------------------------------- members

auto GatewayFixture::OpenLinkTo(std::size_t node,
                                const OpenMemberConnection& open) -> void {
  const auto member = open.host;
  nodes_[node]->links[open.link].member = member;
  const auto reaches = Reaches(node, member);
  const auto up = group_.IsUp(member);
  After(reaches ? options_.delay : Duration(kSilent), node,
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

auto GatewayFixture::Greet(std::size_t node, const SendMemberHello& greet)
    -> void {
  After(2 * options_.delay, node, [this, node, greet] {
    auto& links = nodes_[node]->links;
    const auto it = links.find(greet.link);
    if (it == links.end() || !Reaches(node, it->second.member) ||
        !group_.IsUp(it->second.member)) {
      return;
    }
    const auto greeting = group_.Connect(it->second.member, greet.group,
                                         greet.member, timers_.Now());
    it->second.session = greeting.session;
    nodes_[node]->gateway->OnMemberAnswer(greet.link, greeting.answer);
  });
}

auto GatewayFixture::RunStatement(std::size_t node, const SendStatement& send)
    -> void {
  own_statements_ += send.statement.id.empty() ? 1 : 0;
  if (lose_demotions_ && send.statement.kind == StatementKind::kDemote) {
    return;
  }
  auto& sender = *nodes_[node];
  if (send.not_after && sender.freeze_at_send > Duration::zero()) {
    const auto wakes = timers_.Now() + std::exchange(sender.freeze_at_send, {});
    const auto late = wakes >= *send.not_after;
    FreezeGateway(node, true);
    timers_.After(wakes - timers_.Now(), [this, node, send, late] {
      if (late) {
        nodes_[node]->waiting.insert(nodes_[node]->waiting.begin(),
                                     [this, node, link = send.link] {
                                       DropLink(node, link, Reach::kReached);
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
    const auto answer = group_.Handle(session, send.statement, timers_.Now());
    const auto slow = send.statement.kind == StatementKind::kRead ||
                      send.statement.kind == StatementKind::kWrite ||
                      send.statement.kind == StatementKind::kExecute ||
                      send.statement.kind == StatementKind::kCommit;
    auto& lost = lost_answers_[member];
    if (slow && lost > 0) {
      --lost;
      return;
    }
    const auto done =
        std::max(links->second.last_answer,
                 timers_.Now() + (slow ? options_.work : Duration::zero()));
    links->second.last_answer = done;
    After(done - timers_.Now() + options_.delay, node,
          [this, node, member, send, answer] {
            if (nodes_[node]->links.contains(send.link) &&
                Reaches(node, member)) {
              nodes_[node]->gateway->OnMemberAnswer(send.link, answer);
            }
          });
  });
}

auto GatewayFixture::OnOrder(std::size_t node, const OrderPromotion& order)
    -> void {
  auto& sender = *nodes_[node];
  if (order.not_after && sender.freeze_at_send > Duration::zero()) {
    const auto wakes = timers_.Now() + std::exchange(sender.freeze_at_send, {});
    FreezeGateway(node, true);
    timers_.After(wakes - timers_.Now(), [this, node, order, wakes] {
      FreezeGateway(node, false);
      if (wakes < *order.not_after) {
        OnOrder(node, order);
        return;
      }
      After(Duration::zero(), node, [this, node, order] {
        nodes_[node]->gateway->OnPromotionAnswered(
            order.id, PromotionOutcome::kUnavailable);
      });
    });
    return;
  }
  fences_.push_back(order.fencing_token);
  if (order_late_) {
    timers_.After(*order_late_, [this, order] {
      group_.RequestPromotion(order.member, order.fencing_token, timers_.Now());
    });
    After(Milliseconds(600), node, [this, node, order] {
      nodes_[node]->gateway->OnPromotionAnswered(order.id,
                                                 PromotionOutcome::kLost);
    });
    return;
  }
  timers_.After(options_.delay, [this, node, order] {
    const auto outcome = group_.RequestPromotion(
        order.member, order.fencing_token, timers_.Now());
    After(options_.delay, node, [this, node, order, outcome] {
      nodes_[node]->gateway->OnPromotionAnswered(
          order.id, outcome == PromotionOrderOutcome::kAccepted
                        ? PromotionOutcome::kAccepted
                        : PromotionOutcome::kRejected);
    });
  });
}

auto GatewayFixture::PutEndpoint(const std::string& member) -> void {
  EndpointEntry entry;
  entry.member = member;
  entry.group = "g0";
  entry.host = member;
  entry.port = 1;
  entry.data_centre =
      "dc-" + std::string(1, static_cast<char>(member.back() - 1));
  entry.slots = 2;
  entry.leaving = leaving_.contains(member);
  entry.leads = group_.ActsAsPrimary(member, timers_.Now());
  const auto text = EncodeJson(entry, FrameFormat::kJson);
  if (std::exchange(put_[member], text) != text) {
    store_.Put(std::string(kEndpointPrefix) + member, text);
  }
}

auto GatewayFixture::UpdateRoles() -> void {
  for (const auto& it : group_.members()) {
    if (group_.IsUp(it) && it != options_.unregistered_member) {
      PutEndpoint(it);
    }
  }
}

}  // namespace kingcuplock

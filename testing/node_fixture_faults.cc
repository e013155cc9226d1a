// The part of NodeFixture that causes faults and returns states.

#include <algorithm>
#include <utility>

#include "kingcuplock/schema/codec.h"
#include "testing/node_fixture.h"
#include "testing/node_fixture_names.h"

namespace kingcuplock {

// ----------------------------------------------------------------- faults

void NodeFixture::KillMember(const std::string& name) {
  group(internal::DatabaseOfMember(name)).member(name).alive = false;
  deferred_by_member_[name].clear();
  CloseLinksTo(name);
}

void NodeFixture::ReviveMember(const std::string& name) {
  group(internal::DatabaseOfMember(name)).member(name).alive = true;
}

void NodeFixture::PauseMember(const std::string& name, bool paused) {
  group(internal::DatabaseOfMember(name)).member(name).paused = paused;
  if (!paused) {
    for (const auto& work : std::exchange(deferred_by_member_[name], {})) {
      work();
    }
  }
}

void NodeFixture::IsolateMember(const std::string& name, bool isolated) {
  group(internal::DatabaseOfMember(name)).member(name).isolated = isolated;
}

void NodeFixture::SetLag(const std::string& name, Duration lag) {
  group(internal::DatabaseOfMember(name)).member(name).lag_us = lag.count();
}

void NodeFixture::SilenceOpenConnections(const std::string& name) {
  for (auto& node : nodes_) {
    for (auto& [id, link] : node.links) {
      link.silent |= link.member == name;
    }
  }
}

void NodeFixture::PartitionFromMember(std::size_t node,
                                      const std::string& name,
                                      bool partitioned) {
  if (partitioned) {
    nodes_[node].partitioned_members.insert(name);
  } else {
    nodes_[node].partitioned_members.erase(name);
  }
}

void NodeFixture::KillNode(std::size_t node) {
  auto& it = nodes_[node];
  it.alive = false;
  ++it.incarnation;
  for (const auto& [id, link] : it.links) {
    CloseRemoteEnd(link);
  }
  it.links.clear();
  std::erase_if(watches_,
                [&](const auto& entry) { return entry.first.first == node; });
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    std::vector<ConnectionId> ids;
    for (const auto& [id, link] : nodes_[n].links) {
      if (link.kind == ConnectionKind::kPeer && link.peer == node) {
        ids.push_back(id);
      }
    }
    for (const auto id : ids) {
      CloseLink(n, id);
    }
  }
}

void NodeFixture::PauseNode(std::size_t node, bool paused) {
  auto& it = nodes_[node];
  it.paused = paused;
  if (!paused) {
    for (const auto& event : std::exchange(it.deferred_events, {})) {
      Deliver(node, event);
    }
  }
}

void NodeFixture::StartPlannedStop(std::size_t node) {
  Deliver(node, StopRequested{});
}

void NodeFixture::RestartNodeAtNewAddress(std::size_t node) {
  constexpr std::int64_t kPortStep = 1000;
  KillNode(node);
  nodes_[node].port += kPortStep;
  StartNode(node);
}

auto NodeFixture::FindNode(std::int64_t port) const -> std::size_t {
  const auto it = std::find_if(nodes_.begin(), nodes_.end(),
                               [&](const auto& n) { return n.port == port; });
  return static_cast<std::size_t>(it - nodes_.begin());
}

void NodeFixture::LoseWatchEvents(std::size_t node, bool lose) {
  nodes_[node].lose_watch_events = lose;
}

void NodeFixture::PutInStore(const std::string& key, const std::string& value) {
  external_items_[key] = value;
  store_.Put(key, value);
  PushStoreEvents();
}

void NodeFixture::RestoreStore(Duration age, Duration rewritten_after) {
  store_copies_.Restore(store_, now_.time_since_epoch().count() / 1000,
                        age / Milliseconds(1));
  watches_.clear();
  Schedule(rewritten_after, [this, era = store_.era()] {
    if (era != store_.era()) {
      return;
    }
    for (const auto& [key, value] : external_items_) {
      store_.Put(key, value);
    }
    PushStoreEvents();
  });
}

void NodeFixture::PublishInstanceList(const InstanceList& list) {
  PutInStore("platform/instances", EncodeJson(list, FrameFormat::kJson));
}

auto NodeFixture::MakeInstanceEntry(std::size_t node) const -> InstanceEntry {
  return {internal::InstanceName(node), "127.0.0.1", nodes_[node].port, "dc-1",
          false};
}

auto NodeFixture::CountLoggedEvents(kingcuplock::Event event) const -> int {
  const auto it = logged_event_counts_.find(event);
  return it == logged_event_counts_.end() ? 0 : it->second;
}

void NodeFixture::PartitionPeers(std::size_t a,
                                 std::size_t b,
                                 bool partitioned) {
  if (partitioned) {
    nodes_[a].partitioned_peers.insert(b);
    nodes_[b].partitioned_peers.insert(a);
  } else {
    nodes_[a].partitioned_peers.erase(b);
    nodes_[b].partitioned_peers.erase(a);
  }
}

auto NodeFixture::IsStopped(std::size_t node) const -> bool {
  return nodes_[node].stopped;
}

void NodeFixture::PublishManifest(const Manifest& manifest) {
  manifest_ = manifest;
  for (const auto& database : manifest_.databases) {
    std::vector<std::string> names;
    for (const auto& it : database.members) {
      names.push_back(it.name);
      member_ports_[it.port] = it.name;
    }
    groups_.try_emplace(database.name, names);
  }
  PutInStore("kingcuplock/test/manifest",
             EncodeJson(manifest, FrameFormat::kJson));
}

// ----------------------------------------------------------------- queries

auto NodeFixture::group(const std::string& database) -> DatabaseGroup& {
  return groups_.at(database);
}

auto NodeFixture::Primary(const std::string& database) -> MemberState& {
  auto& target = group(database);
  std::string primary;
  std::int64_t term = -1;
  for (const auto& it : target.members()) {
    if (it.role == MemberRole::kPrimary && it.term > term) {
      primary = it.name;
      term = it.term;
    }
  }
  return target.member(primary);
}

auto NodeFixture::OwnerOf(const std::string& database) -> std::size_t {
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    if (!nodes_[n].alive || nodes_[n].paused) {
      continue;
    }
    for (const auto& it : StatusOf(n).databases) {
      if (it.database == database && it.phase == "serving") {
        return n;
      }
    }
  }
  return nodes_.size();
}

auto NodeFixture::StatusOf(std::size_t node) -> InstanceStatus {
  const auto id = ++last_inbound_ | kInboundBit;
  inbound_[{node, id}] = {true, 0, 0};
  Deliver(node, MessageArrived{id, InboundMessage(StatusQuery{"status"})});
  return statuses_[node];
}

}  // namespace kingcuplock

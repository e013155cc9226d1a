#pragma once

/// The route table in force. Versions only go up, whichever way they arrive:
/// from the store or from a peer.
///
/// Example:
///   ActiveRouteTable routes(log, [] { ApplyRoutes(); });
///   routes.ApplyIfNewer(table, "store");

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Not thread safe.
class ActiveRouteTable {
 public:
  /// `on_change` is called after each new version is in force.
  ActiveRouteTable(Outbox& log, std::function<void()> on_change)
      : log_(log), on_change_(std::move(on_change)) {}

  /// Puts a table in force if it is newer; `source` names where it came from.
  auto ApplyIfNewer(const RouteTable& table, std::string_view source) -> void {
    if (table.version <= table_.version) {
      return;
    }
    table_ = table;
    by_database_.clear();
    for (const auto& it : table_.routes) {
      by_database_[it.database] = &it;
    }
    log_.Log(Event::kRoutesInForce,
             {{"version", std::to_string(table_.version)},
              {"routes", std::to_string(table_.routes.size())},
              {"source", std::string(source)}});
    on_change_();
  }

  /// Returns the route of a database, or nullptr. O(1).
  auto FindRoute(const std::string& database) const -> const RouteConfig* {
    const auto it = by_database_.find(database);
    return it == by_database_.end() ? nullptr : it->second;
  }

  auto table() const -> const RouteTable& { return table_; }

 private:
  Outbox& log_;
  std::function<void()> on_change_;
  RouteTable table_;
  std::unordered_map<std::string, const RouteConfig*> by_database_;
};

}  // namespace kingcuplock

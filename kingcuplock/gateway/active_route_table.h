#pragma once

/// The route table in use. Its version only increases, whether a table arrives
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

/// The newest route table that arrived. Not thread safe.
class ActiveRouteTable {
 public:
  /// `on_change` is called after each change of the table. `log` has to outlive
  /// this object.
  ActiveRouteTable(Outbox& log, std::function<void()> on_change)
      : log_(log), on_change_(std::move(on_change)) {}

  /// Replaces the table if `table` has a higher version. `source` says in the
  /// log where it came from.
  auto ApplyIfNewer(const RouteTable& table, std::string_view source) -> void {
    if (table.version <= table_.version) {
      if (table.version < table_.version && table.version > 0) {
        log_.Log(Event::kOlderRoutesIgnored,
                 {{"version", std::to_string(table.version)},
                  {"known", std::to_string(table_.version)},
                  {"source", std::string(source)}});
      }
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

  /// Returns the route of a database, or nullptr if it has none. The pointer is
  /// valid until the table changes. O(1).
  auto FindRoute(const std::string& database) const -> const RouteConfig* {
    const auto it = by_database_.find(database);
    return it == by_database_.end() ? nullptr : it->second;
  }

  /// Returns the table; version 0 if none has arrived.
  auto table() const -> const RouteTable& { return table_; }

 private:
  Outbox& log_;
  std::function<void()> on_change_;
  RouteTable table_;
  std::unordered_map<std::string, const RouteConfig*> by_database_;
};

}  // namespace kingcuplock

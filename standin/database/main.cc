/// kingcuplock-standin-database: a stand-in for one database group, which keeps
/// its data in memory and takes commands that cause faults.
///
/// Example:
///   kingcuplock-standin-database --name bookings --port 7500 --slots 2

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "standin/database/database_server.h"

auto main(int argc, char** argv) -> int {
  CLI::App app{
      "Stand-in for one database group; control commands on --port, members "
      "on the ports after it"};
  kingcuplock::DatabaseServerOptions options;
  app.add_option("--name", options.name, "Group name");
  app.add_option("--host", options.host, "IP address to listen on");
  app.add_option("--port", options.port, "Control port");
  app.add_option("--members", options.members, "Number of members");
  app.add_option("--slots", options.slots,
                 "Statements that a member runs at once");
  app.add_option("--connections", options.connections,
                 "Connections that a member accepts at once");
  app.add_option("--opening-ms", options.opening_ms,
                 "Time to open a connection in ms");
  app.add_option("--service-ms", options.service_ms,
                 "Time that a statement runs in ms");
  app.add_option("--seed", options.seed,
                 "Seed of the delays of reordered answers");
  CLI11_PARSE(app, argc, argv);
  try {
    kingcuplock::DatabaseServer server(options);
    server.Run();
  } catch (const std::exception& ex) {
    fmt::print(stderr, "kingcuplock-standin-database: {}\n", ex.what());
    return 1;
  }
  return 0;
}

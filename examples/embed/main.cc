/// Embeds the decision library, which has no input or output of its own: the
/// program runs one instance for its first second of simulated time and prints
/// the actions that the instance requests.
///
/// Example:
///   embed

#include <cstdio>
#include <variant>

#include "kingcuplock/actions/outbox.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/node/node.h"

namespace {

using kingcuplock::Milliseconds;

/// Performs one action. A real program would open sockets and send frames.
void Perform(kingcuplock::Node& node, const kingcuplock::Action& action) {
  if (const auto* open = std::get_if<kingcuplock::OpenConnection>(&action)) {
    std::printf("open connection %lu to %s:%ld\n",
                static_cast<unsigned long>(open->connection),
                open->host.c_str(), static_cast<long>(open->port));
    node.Handle(kingcuplock::ConnectionOpened{open->connection});
  } else if (const auto* send =
                 std::get_if<kingcuplock::SendMessage>(&action)) {
    std::printf("send message of kind %zu on connection %lu\n",
                send->message.index(),
                static_cast<unsigned long>(send->connection));
  } else if (const auto* log = std::get_if<kingcuplock::LogAction>(&action)) {
    std::printf("log event %d\n", static_cast<int>(log->event));
  }
}

}  // namespace

auto main() -> int {
  kingcuplock::ProxySettings settings;
  settings.instance = "embedded-1";
  settings.deployment = "example";
  settings.listen = {"127.0.0.1", 7400};
  settings.store = {"127.0.0.1", 7300};

  kingcuplock::TimerService timers;
  kingcuplock::Outbox outbox;
  kingcuplock::Node node(settings, "embedded-1@1", timers, outbox);
  node.Start();
  for (auto elapsed = Milliseconds(0); elapsed < Milliseconds(1000);
       elapsed += Milliseconds(10)) {
    timers.AdvanceTo(kingcuplock::Time(elapsed));
    for (const auto& it : outbox.Take()) {
      Perform(node, it);
    }
  }
  return node.HasManifest() ? 1 : 0;
}

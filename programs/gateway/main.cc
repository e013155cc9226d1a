/// kingcuplock-gateway: the database proxy for the platform. Each instance runs
/// one process. `--check` checks the settings and exits. SIGTERM begins a
/// planned stop, SIGHUP reloads the settings.
///
/// Exit codes: 0 after a planned stop or with valid settings under `--check`,
/// 2 if the settings are rejected, 1 after any other error.
///
/// Example:
///   KINGCUPLOCK_CONFIG=settings.json kingcuplock-gateway

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "kingcuplock/base/log.h"
#include "kingcuplock/runtime/log_writer.h"
#include "platform/gateway_server.h"
#include "platform/settings_decoder.h"

namespace kingcuplock {
namespace {

constexpr int kSettingsRejectedExit = 2;

/// Throws SettingsError if the file can't be read or used.
auto LoadSettings(const std::string& path) -> GatewaySettings {
  std::ifstream in(path);
  if (!in) {
    throw platform::SettingsError(
        fmt::format("cannot read {}; give the path of a readable file", path));
  }
  std::ostringstream out;
  out << in.rdbuf();
  return platform::DecodeSettings(out.str());
}

/// Returns a name that differs from that of any other run of this instance.
auto MakeIncarnation(const GatewaySettings& settings) -> std::string {
  const auto now = std::chrono::system_clock::now().time_since_epoch().count();
  return fmt::format("{}@{:x}-{}", settings.instance, now, getpid());
}

/// Runs the gateway until a planned stop is complete.
auto RunGateway(const std::string& path) -> void {
  const auto settings = LoadSettings(path);
  LogWriter log;
  log.Start();
  log.Write(Event::kProxyStarted,
            {{"instance", settings.instance},
             {"data_centre", settings.data_centre},
             {"port", std::to_string(settings.listen.port)}});
  const auto reload = [&]() -> std::optional<GatewaySettings> {
    try {
      return LoadSettings(path);
    } catch (const platform::SettingsError& ex) {
      log.Write(Event::kSettingsRejected, {{"reason", ex.what()}});
      return std::nullopt;
    }
  };
  platform::GatewayServer server(settings, MakeIncarnation(settings), log,
                                 reload);
  server.Run();
  log.Stop();
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"Database proxy with session consistency, on the platform"};
  app.set_version_flag("--version", "kingcuplock-gateway 0.1.0");
  std::string path;
  auto check = false;
  app.add_option("--settings", path, "Settings file, JSON")
      ->envname("KINGCUPLOCK_CONFIG")
      ->required();
  app.add_flag("--check", check, "Check the settings and exit");
  CLI11_PARSE(app, argc, argv);
  try {
    if (check) {
      kingcuplock::LoadSettings(path);
    } else {
      kingcuplock::RunGateway(path);
    }
    return 0;
  } catch (const kingcuplock::platform::SettingsError& ex) {
    kingcuplock::WriteLogLine(FormatEvent(kingcuplock::Event::kSettingsRejected,
                                          {{"reason", ex.what()}}));
    return kingcuplock::kSettingsRejectedExit;
  } catch (const std::exception& ex) {
    fmt::print(stderr, "kingcuplock-gateway: {}\n", ex.what());
    return 1;
  }
}

/// kingcuplock-proxy: the proxy daemon; each instance is one process.
///
/// Exit codes: 0 stopped as planned or, with --check, settings valid, 1 error,
/// 2 settings rejected.
///
/// Example:
///   kingcuplock-proxy --settings proxy-1.json

#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "kingcuplock/base/log.h"
#include "kingcuplock/runtime/decision_loop.h"
#include "kingcuplock/runtime/log_writer.h"
#include "kingcuplock/runtime/socket_thread.h"
#include "kingcuplock/schema/codec.h"
#include "kingcuplock/schema/schema_check.h"
#include "kingcuplock/schema/settings.h"

namespace kingcuplock {
namespace {

constexpr int kSettingsRejectedExit = 2;

/// The settings can't be read or don't match their schema.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream in(path);
  if (!in) {
    throw SettingsError(
        fmt::format("cannot read {}; give the path of a readable file", path));
  }
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

auto LoadSettings(const std::string& path) -> ProxySettings {
  const auto text = ReadFile(path);
  std::string violations;
  for (const auto& it : ValidateAgainstSchema(kSettingsSchema, text)) {
    violations += fmt::format(" [{}] {};", it.pointer, it.description);
  }
  if (!violations.empty()) {
    throw SettingsError(path + ":" + violations);
  }
  return DecodeFrame(text, FrameFormat::kJson).get<ProxySettings>();
}

/// Returns a name for this run of the instance that no other run has.
auto MakeIncarnation(const ProxySettings& settings) -> std::string {
  const auto now = std::chrono::system_clock::now().time_since_epoch().count();
  return fmt::format("{}@{:x}-{}", settings.instance, now, getpid());
}

void Serve(const ProxySettings& settings) {
  Waker waker;
  LogWriter log;
  SocketThread sockets([&waker] { waker.Wake(); });
  SocketThread store([&waker] { waker.Wake(); });
  sockets.Listen(settings.listen.host,
                 static_cast<std::uint16_t>(settings.listen.port));
  sockets.ReportTerminationSignals();
  log.Start();
  log.Write(Event::kProxyStarted,
            {{"instance", settings.instance},
             {"port", std::to_string(settings.listen.port)}});
  DecisionLoop decisions(settings, MakeIncarnation(settings), sockets, store,
                         log, waker);
  sockets.Start();
  store.Start();
  decisions.Run();
  log.Write(Event::kProxyStopped, {{"instance", settings.instance}});
  log.Stop();
  sockets.Stop();
  store.Stop();
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"Database proxy with session consistency"};
  app.set_version_flag("--version", "kingcuplock-proxy 0.1.0");
  std::string path;
  auto check = false;
  app.add_option("--settings", path, "Settings file, JSON")->required();
  app.add_flag("--check", check, "Only check the settings");
  CLI11_PARSE(app, argc, argv);
  try {
    const auto settings = kingcuplock::LoadSettings(path);
    if (!check) {
      kingcuplock::Serve(settings);
    }
    return 0;
  } catch (const kingcuplock::SettingsError& ex) {
    kingcuplock::WriteLogLine(FormatEvent(kingcuplock::Event::kSettingsRejected,
                                          {{"reason", ex.what()}}));
    return kingcuplock::kSettingsRejectedExit;
  } catch (const std::exception& ex) {
    fmt::print(stderr, "kingcuplock-proxy: {}\n", ex.what());
    return 1;
  }
}

#include "programs/plot/gnuplot.h"

#include <cstdio>

#include <fmt/format.h>

namespace kingcuplock {
namespace {

/// Returns the terminal for the extension of `path`. `noenhanced` keeps gnuplot
/// from reading characters such as _ and ^ as markup.
auto TerminalFor(const std::string& path) -> std::string_view {
  if (path.ends_with(".png")) {
    return "pngcairo size 1200,800 noenhanced";
  }
  if (path.ends_with(".svg")) {
    return "svg size 1200,800 noenhanced background rgb 'white'";
  }
  throw PlotError("\"" + path +
                  "\" is not a plot file; end its name in .png or .svg");
}

}  // namespace

auto QuoteForGnuplot(std::string_view text) -> std::string {
  std::string out = "\"";
  for (const auto c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += c == '\n' ? ' ' : c;
  }
  return out + "\"";
}

GnuplotScript::GnuplotScript(const std::string& path, std::string_view title) {
  AddLine(fmt::format("set terminal {}", TerminalFor(path)));
  AddLine(fmt::format("set output {}", QuoteForGnuplot(path)));
  AddLine(fmt::format("set title {}", QuoteForGnuplot(title)));
}

void GnuplotScript::AddData(std::string_view name,
                            std::span<const std::string> rows) {
  AddLine(fmt::format("${} << EOD", name));
  for (const auto& it : rows) {
    AddLine(it);
  }
  AddLine("EOD");
}

void GnuplotScript::AddLine(std::string_view line) {
  text_ += line;
  text_ += '\n';
}

void GnuplotScript::RunGnuplot() const {
  auto* pipe = popen("gnuplot", "w");
  if (pipe == nullptr) {
    throw PlotError("cannot start gnuplot; install gnuplot-nox");
  }
  const auto written = std::fwrite(text_.data(), 1, text_.size(), pipe);
  const auto code = pclose(pipe);
  if (written != text_.size() || code != 0) {
    throw PlotError(
        "gnuplot failed; install gnuplot-nox and check that the "
        "folder of the plot exists and can be written");
  }
}

}  // namespace kingcuplock

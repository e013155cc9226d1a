#pragma once

/// Draws a plot by running gnuplot on a generated script.
///
/// Example:
///   GnuplotScript script("out.png", "Burn");
///   script.AddData("burn", {"a 1", "b 2"});
///   script.AddLine("plot $burn using 2:xtic(1) with boxes");
///   script.RunGnuplot();

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace kingcuplock {

/// gnuplot is missing or failed, or the plot has no supported file name.
class PlotError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A gnuplot script and the file that it draws. Not thread safe.
class GnuplotScript {
 public:
  /// `path` ends in .png or .svg, which sets the format; throws PlotError for
  /// any other.
  GnuplotScript(const std::string& path, std::string_view title);

  /// Adds a data block with one row a line, which the script names as $`name`.
  void AddData(std::string_view name, std::span<const std::string> rows);

  /// Adds a line to the script.
  void AddLine(std::string_view line);

  /// Returns the script so far.
  auto text() const -> const std::string& { return text_; }

  /// Runs gnuplot on the script. Throws PlotError.
  void RunGnuplot() const;

 private:
  std::string text_;
};

/// Returns `text` as a gnuplot string in double quotes. It is drawn without
/// enhanced text, so only quotes, backslashes and line ends need care.
auto QuoteForGnuplot(std::string_view text) -> std::string;

}  // namespace kingcuplock

#pragma once

/// Draws a plot by feeding a script to gnuplot.
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

/// gnuplot is missing or refused the script.
class PlotError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Not thread safe.
class GnuplotScript {
 public:
  /// `path` ends in .png or .svg, which sets the format; throws PlotError for
  /// any other.
  GnuplotScript(const std::string& path, std::string_view title);

  /// Adds a named block of data, one row a line.
  void AddData(std::string_view name, std::span<const std::string> rows);

  /// Adds a line of the script.
  void AddLine(std::string_view line);

  /// Returns the script so far.
  auto text() const -> const std::string& { return text_; }

  /// Runs gnuplot. Throws PlotError.
  void RunGnuplot() const;

 private:
  std::string text_;
};

/// Returns `text` as a gnuplot string in double quotes, without enhanced text.
auto QuoteForGnuplot(std::string_view text) -> std::string;

}  // namespace kingcuplock

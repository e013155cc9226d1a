#pragma once

/// All decoders of bytes that come from outside the process, as functions that
/// a fuzzer calls. The documented errors of a decoder are caught. Any other
/// exception, or a value that differs after encoding and decoding, ends the
/// process.
///
/// Example:
///   FindDecoder("token")->decode(bytes);

#include <span>
#include <string_view>

namespace kingcuplock {

/// A decoder and its name.
struct FuzzedDecoder {
  /// Name, also that of its folder in the corpus.
  std::string_view name;
  /// Decodes `input`. Returns if it is valid and also if it is rejected.
  void (*decode)(std::string_view input);
};

/// Returns all decoders.
auto FuzzedDecoders() -> std::span<const FuzzedDecoder>;

/// Returns the decoder of this name, or nullptr if there is none.
auto FindDecoder(std::string_view name) -> const FuzzedDecoder*;

}  // namespace kingcuplock

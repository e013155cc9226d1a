#pragma once

/// Every decoder of bytes that come from outside, as functions that a fuzzer
/// calls. Typed errors are expected; any other exception, or a value that does
/// not survive encoding and decoding, ends the process.
///
/// Example:
///   FindDecoder("token")->decode(bytes);

#include <span>
#include <string_view>

namespace kingcuplock {

/// One decoder.
struct FuzzedDecoder {
  /// Name, also of its folder in the corpus.
  std::string_view name;
  /// Decodes `input`; returns normally for valid and for refused input.
  void (*decode)(std::string_view input);
};

/// Returns all decoders.
auto FuzzedDecoders() -> std::span<const FuzzedDecoder>;

/// Returns the decoder, or nullptr.
auto FindDecoder(std::string_view name) -> const FuzzedDecoder*;

}  // namespace kingcuplock

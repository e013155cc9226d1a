/// libFuzzer target for the decoder that KINGCUPLOCK_FUZZ_TARGET names at build
/// time.
///
/// Example:
///   fuzz_token -max_total_time=60 fuzz/corpus/token

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "fuzz/decoders.h"

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  static const auto* const kDecoder =
      kingcuplock::FindDecoder(KINGCUPLOCK_FUZZ_TARGET);
  kDecoder->decode({reinterpret_cast<const char*>(data), size});
  return 0;
}

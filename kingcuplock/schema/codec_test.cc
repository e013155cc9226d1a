#include "kingcuplock/schema/codec.h"

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

// The CBOR parser of nlohmann::json is recursive. Without a limit on the depth,
// such a frame from a caller would exhaust the stack and end the process.
TEST_CASE("Deeply nested frames are rejected in both formats") {
  constexpr std::size_t kDeep = 2'000'000;
  CHECK_THROWS_AS(DecodeFrame(std::string(kDeep, '['), FrameFormat::kJson),
                  SchemaError);
  CHECK_THROWS_AS(DecodeFrame(std::string(kDeep, '\x81'), FrameFormat::kCbor),
                  SchemaError);
}

TEST_CASE("Flat frames with many values are decoded") {
  const nlohmann::json flat(std::vector<std::vector<int>>(1000, {1, 2}));
  for (const auto format : {FrameFormat::kJson, FrameFormat::kCbor}) {
    CHECK(DecodeFrame(EncodeJson(flat, format), format) == flat);
  }
}

}  // namespace
}  // namespace kingcuplock

#include "kingcuplock/schema/codec.h"

namespace kingcuplock {

auto DecodeFrame(std::string_view frame, FrameFormat format) -> nlohmann::json {
  if (frame.size() > kMaxFrameBytes) {
    throw SchemaError("frame", "is too large; send smaller requests");
  }
  try {
    if (format == FrameFormat::kJson) {
      return nlohmann::json::parse(frame);
    }
    return nlohmann::json::from_cbor(frame.begin(), frame.end());
  } catch (const nlohmann::json::exception& ex) {
    throw SchemaError("frame", std::string("cannot be decoded; send CBOR in "
                                           "binary or JSON in text frames: ") +
                                   ex.what());
  }
}

auto EncodeJson(const nlohmann::json& value, FrameFormat format)
    -> std::string {
  std::string out;
  if (format == FrameFormat::kJson) {
    out = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  } else {
    nlohmann::json::to_cbor(value, out);
  }
  return out;
}

}  // namespace kingcuplock

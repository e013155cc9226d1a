#pragma once

/// Encodes messages as CBOR (binary frames) or JSON (text frames).
///
/// Example:
///   auto frame = Encode(answer, FrameFormat::kCbor);
///   auto message = ReadPeerMessage(DecodeFrame(frame, FrameFormat::kCbor));

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "kingcuplock/schema/json_field.h"

namespace kingcuplock {

/// Largest size in bytes of a frame that DecodeFrame() accepts.
inline constexpr std::size_t kMaxFrameBytes = 4U << 20U;

/// Encoding of one frame.
enum class FrameFormat { kCbor, kJson };

/// Decodes a frame. Throws SchemaError if the bytes are not valid CBOR or JSON,
/// exceed kMaxFrameBytes or are nested too deeply.
auto DecodeFrame(std::string_view frame, FrameFormat format) -> nlohmann::json;

/// Encodes a JSON value as a frame. In JSON frames, invalid UTF-8 is replaced.
auto EncodeJson(const nlohmann::json& value, FrameFormat format) -> std::string;

/// Encodes any generated message type as a frame.
template <typename Message>
auto Encode(const Message& message, FrameFormat format = FrameFormat::kCbor)
    -> std::string {
  return EncodeJson(nlohmann::json(message), format);
}

}  // namespace kingcuplock

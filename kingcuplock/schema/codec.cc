#include "kingcuplock/schema/codec.h"

#include <algorithm>

namespace kingcuplock {
namespace {

/// Largest nesting depth that DecodeFrame() accepts. The CBOR parser of
/// nlohmann::json is recursive, so a frame of nested arrays could otherwise
/// exhaust the stack.
constexpr std::ptrdiff_t kMaxDepth = 64;

/// Parses a frame without building its value and stops when its nesting exceeds
/// kMaxDepth.
class DepthChecker : public nlohmann::json_sax<nlohmann::json> {
 public:
  auto null() -> bool override { return true; }
  auto boolean(bool) -> bool override { return true; }
  auto number_integer(number_integer_t) -> bool override { return true; }
  auto number_unsigned(number_unsigned_t) -> bool override { return true; }
  auto number_float(number_float_t, const string_t&) -> bool override {
    return true;
  }
  auto string(string_t&) -> bool override { return true; }
  auto binary(binary_t&) -> bool override { return true; }
  auto key(string_t&) -> bool override { return true; }
  auto start_object(std::size_t) -> bool override { return Enter(); }
  auto end_object() -> bool override { return Leave(); }
  auto start_array(std::size_t) -> bool override { return Enter(); }
  auto end_array() -> bool override { return Leave(); }
  auto parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::json::exception&) -> bool override {
    return false;
  }

  auto too_deep() const -> bool { return too_deep_; }

 private:
  auto Enter() -> bool {
    too_deep_ |= ++depth_ > kMaxDepth;
    return !too_deep_;
  }
  auto Leave() -> bool {
    --depth_;
    return true;
  }

  std::ptrdiff_t depth_ = 0;
  bool too_deep_ = false;
};

/// Returns whether the byte may begin an array, an object or a tag.
auto MayBeginNesting(char c, FrameFormat format) -> bool {
  constexpr auto kFirstNestingByte = 0x80U;
  constexpr auto kLastNestingByte = 0xdfU;
  const auto byte = static_cast<unsigned char>(c);
  return format == FrameFormat::kJson
             ? c == '[' || c == '{'
             : byte >= kFirstNestingByte && byte <= kLastNestingByte;
}

/// Throws SchemaError if a frame is nested deeper than kMaxDepth. Most frames
/// have too few bytes that may begin a nested value, and need one pass only.
void CheckDepth(std::string_view frame, FrameFormat format) {
  const auto openings = std::count_if(frame.begin(), frame.end(), [&](char c) {
    return MayBeginNesting(c, format);
  });
  if (openings <= kMaxDepth) {
    return;
  }
  DepthChecker checker;
  nlohmann::json::sax_parse(frame.begin(), frame.end(), &checker,
                            format == FrameFormat::kJson
                                ? nlohmann::json::input_format_t::json
                                : nlohmann::json::input_format_t::cbor);
  if (checker.too_deep()) {
    throw SchemaError("frame", "is nested too deeply; send flatter values");
  }
}

}  // namespace

auto DecodeFrame(std::string_view frame, FrameFormat format) -> nlohmann::json {
  if (frame.size() > kMaxFrameBytes) {
    throw SchemaError("frame", "is too large; send smaller requests");
  }
  CheckDepth(frame, format);
  try {
    if (format == FrameFormat::kJson) {
      return nlohmann::json::parse(frame);
    }
    return nlohmann::json::from_cbor(frame.begin(), frame.end());
  } catch (const nlohmann::json::parse_error& ex) {
    // The library's text quotes the input, which may hold a secret.
    throw SchemaError("frame",
                      "cannot be decoded at byte " + std::to_string(ex.byte) +
                          "; send CBOR in binary or JSON in text frames");
  } catch (const nlohmann::json::exception&) {
    throw SchemaError("frame",
                      "cannot be decoded; send CBOR in binary or JSON in text "
                      "frames");
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

#include "fuzz/decoders.h"

#include <algorithm>
#include <array>
#include <cstdlib>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/schema/codec.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/schema_check.h"
#include "kingcuplock/schema/settings.h"
#include "kingcuplock/session/token.h"

namespace kingcuplock {
namespace {

/// JSON frames start with a brace; all others are taken as CBOR.
auto Decode(std::string_view input) -> nlohmann::json {
  const auto is_text = input.starts_with('{') || input.starts_with('[');
  return DecodeFrame(input, is_text ? FrameFormat::kJson : FrameFormat::kCbor);
}

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

/// Reads a frame and checks that what was read survives the wire.
template <typename Read>
void DecodeMessage(std::string_view input, Read read) {
  try {
    const auto message = read(Decode(input));
    const auto frame =
        std::visit([](const auto& it) { return Encode(it); }, message);
    Require(read(DecodeFrame(frame, FrameFormat::kCbor)) == message);
  } catch (const SchemaError&) {
    return;
  }
}

void DecodeInbound(std::string_view input) {
  DecodeMessage(input, ReadInboundMessage);
}

void DecodePeer(std::string_view input) {
  DecodeMessage(input, ReadPeerMessage);
}

void DecodeMember(std::string_view input) {
  DecodeMessage(input, ReadMemberMessage);
  try {
    (void)Decode(input).get<MemberAnswer>();
  } catch (const SchemaError&) {
    return;
  }
}

void DecodeStore(std::string_view input) {
  DecodeMessage(input, ReadStoreReply);
  DecodeMessage(input, ReadStoreMessage);
}

void DecodeToken(std::string_view input) {
  try {
    const auto token = SessionToken::Parse(input);
    Require(SessionToken::Parse(token.Format()) == token);
  } catch (const TokenError&) {
    return;
  }
}

void DecodeManifest(std::string_view input) {
  const auto faults = CheckManifest(input);
  try {
    (void)ParseManifest(input);
    Require(faults.empty());
  } catch (const ManifestError& ex) {
    Require(!ex.faults().empty() && !faults.empty());
  }
}

void DecodeSettings(std::string_view input) {
  if (!CheckAgainst(kSettingsSchema, input).empty()) {
    return;
  }
  try {
    (void)DecodeFrame(input, FrameFormat::kJson).get<ProxySettings>();
  } catch (const SchemaError&) {
    return;
  }
}

constexpr std::array<FuzzedDecoder, 7> kDecoders{
    {{"inbound", DecodeInbound},
     {"peer", DecodePeer},
     {"member", DecodeMember},
     {"store", DecodeStore},
     {"token", DecodeToken},
     {"manifest", DecodeManifest},
     {"settings", DecodeSettings}}};

}  // namespace

auto FuzzedDecoders() -> std::span<const FuzzedDecoder> {
  return kDecoders;
}

auto FindDecoder(std::string_view name) -> const FuzzedDecoder* {
  const auto* it =
      std::find_if(kDecoders.begin(), kDecoders.end(),
                   [&](const auto& decoder) { return decoder.name == name; });
  return it == kDecoders.end() ? nullptr : it;
}

}  // namespace kingcuplock

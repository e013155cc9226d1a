#include "fuzz/decoders.h"

#include <algorithm>
#include <array>
#include <cstdlib>

#include "kingcuplock/manifest/manifest_check.h"
#include "kingcuplock/schema/codec.h"
#include "kingcuplock/schema/messages.h"
#include "kingcuplock/schema/schema_check.h"
#include "kingcuplock/schema/settings.h"
#include "kingcuplock/session/session_token.h"
#include "platform/base64.h"
#include "platform/item_decoder.h"
#include "platform/line_codec.h"
#include "platform/settings_decoder.h"

namespace kingcuplock {
namespace {

/// Decodes a frame as JSON if it starts with a brace or a bracket, else as
/// CBOR. Throws SchemaError.
auto DecodeJsonOrCbor(std::string_view input) -> nlohmann::json {
  const auto is_text = input.starts_with('{') || input.starts_with('[');
  return DecodeFrame(input, is_text ? FrameFormat::kJson : FrameFormat::kCbor);
}

/// Ends the process, which a fuzzer reports as a fault, unless `holds`.
void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

/// Decodes a message and checks that it is the same after encoding and
/// decoding.
template <typename Read>
void DecodeMessage(std::string_view input, Read read) {
  try {
    const auto message = read(DecodeJsonOrCbor(input));
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
    (void)DecodeJsonOrCbor(input).get<MemberAnswer>();
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
  } catch (const SessionTokenError&) {
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
  if (!ValidateAgainstSchema(kSettingsSchema, input).empty()) {
    return;
  }
  try {
    (void)DecodeFrame(input, FrameFormat::kJson).get<ProxySettings>();
  } catch (const SchemaError&) {
    return;
  }
}

void DecodeClientLines(std::string_view input) {
  platform::ClientMessageReader reader;
  for (const auto& it : reader.Feed(input)) {
    const auto* statement = std::get_if<SessionStatement>(&it);
    if (statement == nullptr || statement->kind == StatementKind::kMalformed) {
      continue;
    }
    // The encoded statement is one line and decodes to the same statement.
    const auto line = platform::EncodeStatement(*statement);
    Require(line.find('\n') == line.size() - 1);
    platform::ClientMessageReader again;
    const auto events = again.Feed(line);
    Require(events.size() == 1);
    const auto* copy = std::get_if<SessionStatement>(&events.front());
    Require(copy != nullptr && copy->kind == statement->kind &&
            copy->arguments == statement->arguments);
  }
}

void DecodeMemberLines(std::string_view input) {
  platform::MemberAnswerReader reader;
  reader.ExpectAnswer(StatementKind::kStatus);
  reader.ExpectAnswer(StatementKind::kRead);
  std::vector<StatementAnswer> answers;
  reader.Feed(input, answers);
  // At most the opening answer and one answer for each expected statement.
  Require(answers.size() <= 3 || !answers.front().IsOk());
}

/// Calls `decode` and ignores its documented errors.
template <typename Decode>
void DecodeOrReject(Decode decode) {
  try {
    decode();
  } catch (const SchemaError&) {
    return;
  } catch (const platform::SettingsError&) {
    return;
  }
}

void DecodePlatformItems(std::string_view input) {
  DecodeOrReject([&] { (void)platform::DecodeRoutes(input); });
  DecodeOrReject([&] {
    const auto entry = platform::DecodeEndpoint("i-1", input);
    Require(entry.port > 0 && entry.port <= 65'535 && entry.slots > 0);
  });
  DecodeOrReject([&] {
    const auto record =
        DecodeFrame(input, FrameFormat::kJson).get<OwnerRecord>();
    Require(record.epoch >= 0);
  });
  DecodeOrReject([&] {
    const auto entry =
        DecodeFrame(input, FrameFormat::kJson).get<InstanceEntry>();
    Require(entry.port >= 0 && entry.port <= 65'535);
  });
  const auto bytes = platform::DecodeBase64(input);
  Require(platform::DecodeBase64(platform::EncodeBase64(bytes)) == bytes);
}

void DecodePlatformSettings(std::string_view input) {
  DecodeOrReject([&] { (void)platform::DecodeSettings(input); });
}

constexpr std::array<FuzzedDecoder, 11> kDecoders{
    {{"inbound", DecodeInbound},
     {"peer", DecodePeer},
     {"member", DecodeMember},
     {"store", DecodeStore},
     {"token", DecodeToken},
     {"manifest", DecodeManifest},
     {"settings", DecodeSettings},
     {"client_lines", DecodeClientLines},
     {"member_lines", DecodeMemberLines},
     {"platform_items", DecodePlatformItems},
     {"platform_settings", DecodePlatformSettings}}};

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

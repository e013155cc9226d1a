#include "kingcuplock/tenants/key_digest.h"

#include <algorithm>
#include <array>
#include <cstdint>

#include <nettle/base16.h>
#include <nettle/memops.h>
#include <nettle/sha2.h>

namespace kingcuplock {

auto DigestOfKey(std::string_view key) -> std::string {
  if (key.empty()) {
    return {};
  }
  sha256_ctx context;
  sha256_init(&context);
  const std::basic_string<std::uint8_t> bytes(key.begin(), key.end());
  sha256_update(&context, bytes.size(), bytes.data());
  std::array<std::uint8_t, SHA256_DIGEST_SIZE> digest{};
  sha256_digest(&context, digest.size(), digest.data());
  std::string out(BASE16_ENCODE_LENGTH(digest.size()), '\0');
  base16_encode_update(out.data(), digest.size(), digest.data());
  return out;
}

auto IsKeyDigest(std::string_view digest) -> bool {
  return digest.size() == kKeyDigestLength &&
         std::all_of(digest.begin(), digest.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

auto AreDigestsEqual(std::string_view left, std::string_view right) -> bool {
  return left.size() == right.size() &&
         memeql_sec(left.data(), right.data(), left.size()) != 0;
}

}  // namespace kingcuplock

#pragma once

/// Digest by which a client's key is known. Keys are secrets, so nothing but
/// the decoders of clients' hellos and of the operators' configuration handles
/// them.
///
/// Example:
///   ClientHello hello{database, DigestOfKey(key)};

#include <string>
#include <string_view>

namespace kingcuplock {

/// Number of characters of a digest.
inline constexpr std::size_t kKeyDigestLength = 64;

/// Returns the SHA-256 digest of `key` in lower-case hexadecimal; the empty
/// string for an empty key, which no tenant has.
auto DigestOfKey(std::string_view key) -> std::string;

/// Returns whether `digest` has the form of a digest.
auto IsKeyDigest(std::string_view digest) -> bool;

/// Compares two digests in a time that does not depend on their contents.
auto AreDigestsEqual(std::string_view left, std::string_view right) -> bool;

}  // namespace kingcuplock

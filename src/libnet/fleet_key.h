/// @file
/// The secret key shared by all instances of a fleet, and message
/// authentication codes (MACs) computed with it.
#pragma once

#include <array>
#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace nutmeghollow::net {

/// Bytes of a full HMAC-SHA-256.
constexpr std::size_t kMacSize = 32;
using Mac = std::array<unsigned char, kMacSize>;

/// Keys of the fleet. The first key signs and all keys are accepted, so that
/// instances accept each other while a new key is rolled out.
struct FleetKeys {
  std::vector<std::string> m_keys;
};

/// An error in the text of a key file.
struct BadFleetKey {
  int m_line = 0;
  std::string m_reason;
};

/// Parses hexadecimal keys of at least 32 bytes each, one per line. Empty lines
/// and lines that start with '#' are ignored.
/// @return the keys, or the error BadFleetKey.
boost::leaf::result<FleetKeys> ParseFleetKeys(std::string_view text);

/// @return the HMAC-SHA-256 of a text.
Mac ComputeMac(const std::string& key, std::string_view text);

/// Verifies a MAC in constant time.
/// @param mac the MAC, or its first bytes; at least 16.
/// @return whether any of the keys gives this MAC for the text.
bool VerifyMac(const FleetKeys& keys,
               std::string_view text,
               std::string_view mac);

/// @return cryptographically secure random bytes.
/// @throws std::runtime_error when the random generator fails.
std::string RandomBytes(std::size_t size);

}  // namespace nutmeghollow::net

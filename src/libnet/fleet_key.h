/// @file
/// The key that all instances of a fleet share, and codes made with it.
#pragma once

#include <array>
#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace nutmeghollow::net {

/// Bytes of an HMAC-SHA-256.
constexpr std::size_t kMacSize = 32;
using Mac = std::array<unsigned char, kMacSize>;

/// Keys of the fleet. The first one signs and all are accepted, so that a
/// new key can be rolled out without a moment of disagreement.
struct FleetKeys {
  std::vector<std::string> m_keys;
};

/// What is wrong with the text of a key file.
struct BadFleetKey {
  int m_line = 0;
  std::string m_reason;
};

/// Reads keys in hex, one a line, of at least 32 bytes each. Empty lines and
/// lines that start with '#' are left out.
/// @return the keys, or the error BadFleetKey.
boost::leaf::result<FleetKeys> ParseFleetKeys(std::string_view text);

/// @return the HMAC-SHA-256 of a text.
Mac ComputeMac(const std::string& key, std::string_view text);

/// Compares codes in constant time.
/// @param mac full code, or its first bytes; at least 16.
/// @return whether any of the keys gives the code for the text.
bool VerifyMac(const FleetKeys& keys,
               std::string_view text,
               std::string_view mac);

/// @return random bytes from the operating system's source.
std::string RandomBytes(std::size_t size);

}  // namespace nutmeghollow::net

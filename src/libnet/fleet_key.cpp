#include "libnet/fleet_key.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <boost/leaf/error.hpp>
#include <charconv>
#include <stdexcept>

#include "libnet/text.h"

namespace nutmeghollow::net {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t kMinKeySize = 32;
constexpr std::size_t kMinMacSize = 16;

leaf::result<std::string> ParseHex(std::string_view text, int line) {
  if (text.size() % 2 != 0) {
    return leaf::new_error(BadFleetKey{line, "odd number of hex digits"});
  }
  std::string key;
  for (std::size_t i = 0; i < text.size(); i += 2) {
    unsigned char byte = 0;
    const char* end = text.data() + i + 2;
    auto [parsed_end, error] = std::from_chars(text.data() + i, end, byte, 16);
    if (error != std::errc() || parsed_end != end) {
      return leaf::new_error(BadFleetKey{line, "not a hex digit"});
    }
    key.push_back(static_cast<char>(byte));
  }
  if (key.size() < kMinKeySize) {
    return leaf::new_error(BadFleetKey{line, "shorter than 32 bytes"});
  }
  return key;
}

}  // namespace

leaf::result<FleetKeys> ParseFleetKeys(std::string_view text) {
  FleetKeys keys;
  int line_number = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = Trim(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    ++line_number;
    if (line.empty() || line.front() == '#') {
      continue;
    }
    BOOST_LEAF_AUTO(key, ParseHex(line, line_number));
    keys.m_keys.push_back(std::move(key));
  }
  if (keys.m_keys.empty()) {
    return leaf::new_error(BadFleetKey{line_number, "no key"});
  }
  return keys;
}

Mac ComputeMac(const std::string& key, std::string_view text) {
  Mac mac{};
  unsigned int size = kMacSize;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       mac.data(), &size);
  return mac;
}

bool VerifyMac(const FleetKeys& keys,
               std::string_view text,
               std::string_view mac) {
  if (mac.size() < kMinMacSize || mac.size() > kMacSize) {
    return false;
  }
  for (const std::string& key : keys.m_keys) {
    const Mac expected = ComputeMac(key, text);
    if (CRYPTO_memcmp(expected.data(), mac.data(), mac.size()) == 0) {
      return true;
    }
  }
  return false;
}

std::string RandomBytes(std::size_t size) {
  std::string bytes(size, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                 static_cast<int>(size)) != 1) {
    throw std::runtime_error("cannot get random bytes from OpenSSL");
  }
  return bytes;
}

}  // namespace nutmeghollow::net

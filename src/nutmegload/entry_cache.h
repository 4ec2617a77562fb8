/// @file
/// Entry lookup of a caller: looks up the instances to connect to for a chat,
/// and caches each response for the time that it specifies.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "libnet/http_client.h"

namespace nutmeghollow::load {

/// Settings of the entry lookup.
struct EntryOptions {
  std::vector<std::string>
      m_lookup_addresses;  ///< Addresses to send lookups to.
  /// Addresses to connect to, by the address in a response that they replace.
  std::map<std::string, std::string> m_address_map;
  Duration m_timeout = std::chrono::seconds(2);
};

/// Looks up and caches the addresses of entry instances for chats.
class EntryCache {
 public:
  EntryCache(net::HttpClient& client,
             const EntryOptions& options,
             std::uint64_t seed);

  /// Passes the address for a chat to the callback, which may run before this
  /// returns. The address is empty when all lookups failed.
  void FindAddress(const std::string& chat,
                   const std::string& model,
                   const std::function<void(std::string address)>& callback);

  /// Removes an address that failed, so that the next one is used.
  void RemoveAddress(const std::string& chat, const std::string& address);

  /// @return number of lookups sent.
  std::int64_t LookupCount() const { return m_lookup_count; }
  /// @return number of lookups that failed.
  std::int64_t FailedLookupCount() const { return m_failed_lookup_count; }

 private:
  struct CachedAddresses {
    std::vector<std::string> m_addresses;
    TimePoint m_expires_at{};
  };

  void LookUp(const std::string& chat,
              const std::string& model,
              int attempts_left,
              const std::function<void(std::string address)>& callback);
  /// Caches the addresses in a response.
  /// @return false when there are none.
  bool AddToCache(const std::string& chat, const std::string& body);
  std::string MapAddress(const std::string& address) const;

  net::HttpClient& m_client;
  EntryOptions m_options;
  std::mt19937_64 m_random;
  std::map<std::string, CachedAddresses> m_cache;
  std::int64_t m_lookup_count = 0;
  std::int64_t m_failed_lookup_count = 0;
};

/// Percent-encodes a value of a query.
std::string PercentEncode(const std::string& text);

}  // namespace nutmeghollow::load

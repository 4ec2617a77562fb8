/// @file
/// Entry look-up of a caller: asks which instances to use, and keeps the
/// answer for as long as it says.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "libnet/http_client.h"

namespace nutmeghollow::load {

/// Where to look up, and how addresses are reached.
struct EntryOptions {
  std::vector<std::string> m_entries;
  /// Addresses to connect to in place of those that the answers name.
  std::map<std::string, std::string> m_address_map;
  Duration m_timeout = std::chrono::seconds(2);
};

/// Finds addresses for chats.
class EntryBook {
 public:
  EntryBook(net::HttpClient& client,
            const EntryOptions& options,
            std::uint64_t seed);

  /// Hands the address for a chat to the callback, at once or later. It is
  /// empty when no look-up succeeded.
  void Find(const std::string& chat,
            const std::string& model,
            const std::function<void(std::string address)>& callback);

  /// Notes that an address did not work, so that the next is tried.
  void Forget(const std::string& chat, const std::string& address);

  /// @return look-ups made.
  std::int64_t Lookups() const { return m_lookups; }
  /// @return look-ups that failed.
  std::int64_t FailedLookups() const { return m_failed_lookups; }

 private:
  struct KeptAnswer {
    std::vector<std::string> m_addresses;
    TimePoint m_until{};
  };

  void LookUp(const std::string& chat,
              const std::string& model,
              int tries_left,
              const std::function<void(std::string address)>& callback);
  bool Keep(const std::string& chat, const std::string& body);
  std::string Mapped(const std::string& address) const;

  net::HttpClient& m_client;
  EntryOptions m_options;
  std::mt19937_64 m_random;
  std::map<std::string, KeptAnswer> m_kept;
  std::int64_t m_lookups = 0;
  std::int64_t m_failed_lookups = 0;
};

/// Encodes a value of a query.
std::string QueryEncode(const std::string& text);

}  // namespace nutmeghollow::load

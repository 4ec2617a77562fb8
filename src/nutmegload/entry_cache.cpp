#include "nutmegload/entry_cache.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

#include "libnet/event_loop.h"

namespace nutmeghollow::load {
namespace {

constexpr int kMaxLookupAttempts = 4;
constexpr Bytes kMaxResponseSize{64 << 10};

}  // namespace

EntryCache::EntryCache(net::HttpClient& client,
                       const EntryOptions& options,
                       std::uint64_t seed)
    : m_client(client), m_options(options), m_random(seed) {}

void EntryCache::FindAddress(
    const std::string& chat,
    const std::string& model,
    const std::function<void(std::string address)>& callback) {
  auto cached = m_cache.find(chat);
  if (cached != m_cache.end() && !cached->second.m_addresses.empty() &&
      net::BootTime() < cached->second.m_expires_at) {
    callback(MapAddress(cached->second.m_addresses.front()));
    return;
  }
  LookUp(chat, model, kMaxLookupAttempts, callback);
}

void EntryCache::LookUp(
    const std::string& chat,
    const std::string& model,
    int attempts_left,
    const std::function<void(std::string address)>& callback) {
  if (attempts_left == 0) {
    callback("");
    return;
  }
  ++m_lookup_count;
  net::HttpCall call;
  call.m_endpoint = Endpoint(
      m_options.m_lookup_addresses[m_random() %
                                   m_options.m_lookup_addresses.size()]);
  call.m_path = fmt::format("/v1/entry?chat={}&model={}", PercentEncode(chat),
                            PercentEncode(model));
  call.m_connect_timeout = m_options.m_timeout;
  call.m_head_timeout = m_options.m_timeout;
  call.m_total_timeout = m_options.m_timeout;
  net::Fetch(m_client, std::move(call), kMaxResponseSize,
             [this, chat, model, attempts_left,
              callback](const net::HttpResponse& response) {
               if (response.m_call_result.m_outcome ==
                       net::HttpCallOutcome::kComplete &&
                   response.m_status == 200 &&
                   AddToCache(chat, response.m_body)) {
                 callback(MapAddress(m_cache[chat].m_addresses.front()));
                 return;
               }
               ++m_failed_lookup_count;
               LookUp(chat, model, attempts_left - 1, callback);
             });
}

bool EntryCache::AddToCache(const std::string& chat, const std::string& body) {
  const auto response = nlohmann::json::parse(body, nullptr, false);
  if (!response.is_object() || !response.contains("addresses")) {
    return false;
  }
  CachedAddresses cached;
  for (const auto& address : response["addresses"]) {
    cached.m_addresses.push_back(address.get<std::string>());
  }
  cached.m_expires_at =
      net::BootTime() + std::chrono::milliseconds(response.value("keep_ms", 0));
  const bool usable = !cached.m_addresses.empty();
  m_cache[chat] = std::move(cached);
  return usable;
}

void EntryCache::RemoveAddress(const std::string& chat,
                               const std::string& address) {
  auto cached = m_cache.find(chat);
  if (cached == m_cache.end()) {
    return;
  }
  std::erase_if(cached->second.m_addresses, [&](const std::string& entry) {
    return MapAddress(entry) == address;
  });
}

std::string EntryCache::MapAddress(const std::string& address) const {
  auto mapping = m_options.m_address_map.find(address);
  return mapping == m_options.m_address_map.end() ? address : mapping->second;
}

std::string PercentEncode(const std::string& text) {
  std::string encoded;
  for (const unsigned char byte : text) {
    if (std::isalnum(byte) != 0 || byte == '-' || byte == '_') {
      encoded += static_cast<char>(byte);
    } else {
      encoded += fmt::format("%{:02X}", byte);
    }
  }
  return encoded;
}

}  // namespace nutmeghollow::load

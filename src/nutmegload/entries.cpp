#include "nutmegload/entries.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

#include "libnet/event_loop.h"

namespace nutmeghollow::load {
namespace {

constexpr int kLookupTries = 4;
constexpr Bytes kAnswerLimit{64 << 10};

}  // namespace

EntryBook::EntryBook(net::HttpClient& client,
                     const EntryOptions& options,
                     std::uint64_t seed)
    : m_client(client), m_options(options), m_random(seed) {}

void EntryBook::Find(const std::string& chat,
                     const std::string& model,
                     const std::function<void(std::string address)>& callback) {
  auto kept = m_kept.find(chat);
  if (kept != m_kept.end() && !kept->second.m_addresses.empty() &&
      net::BootTime() < kept->second.m_until) {
    callback(Mapped(kept->second.m_addresses.front()));
    return;
  }
  LookUp(chat, model, kLookupTries, callback);
}

void EntryBook::LookUp(
    const std::string& chat,
    const std::string& model,
    int tries_left,
    const std::function<void(std::string address)>& callback) {
  if (tries_left == 0) {
    callback("");
    return;
  }
  ++m_lookups;
  net::HttpCall call;
  call.m_endpoint =
      Endpoint(m_options.m_entries[m_random() % m_options.m_entries.size()]);
  call.m_path = fmt::format("/v1/entry?chat={}&model={}", QueryEncode(chat),
                            QueryEncode(model));
  call.m_connect_timeout = m_options.m_timeout;
  call.m_head_timeout = m_options.m_timeout;
  call.m_total_timeout = m_options.m_timeout;
  net::Fetch(
      m_client, std::move(call), kAnswerLimit,
      [this, chat, model, tries_left,
       callback](const net::HttpResponse& answer) {
        if (answer.m_call_result.m_outcome == net::HttpCallOutcome::kComplete &&
            answer.m_status == 200 && Keep(chat, answer.m_body)) {
          callback(Mapped(m_kept[chat].m_addresses.front()));
          return;
        }
        ++m_failed_lookups;
        LookUp(chat, model, tries_left - 1, callback);
      });
}

bool EntryBook::Keep(const std::string& chat, const std::string& body) {
  const auto answer = nlohmann::json::parse(body, nullptr, false);
  if (!answer.is_object() || !answer.contains("addresses")) {
    return false;
  }
  KeptAnswer kept;
  for (const auto& address : answer["addresses"]) {
    kept.m_addresses.push_back(address.get<std::string>());
  }
  kept.m_until =
      net::BootTime() + std::chrono::milliseconds(answer.value("keep_ms", 0));
  const bool usable = !kept.m_addresses.empty();
  m_kept[chat] = std::move(kept);
  return usable;
}

void EntryBook::Forget(const std::string& chat, const std::string& address) {
  auto kept = m_kept.find(chat);
  if (kept == m_kept.end()) {
    return;
  }
  std::erase_if(kept->second.m_addresses, [&](const std::string& entry) {
    return Mapped(entry) == address;
  });
}

std::string EntryBook::Mapped(const std::string& address) const {
  auto found = m_options.m_address_map.find(address);
  return found == m_options.m_address_map.end() ? address : found->second;
}

std::string QueryEncode(const std::string& text) {
  std::string encoded;
  for (const unsigned char letter : text) {
    if (std::isalnum(letter) != 0 || letter == '-' || letter == '_') {
      encoded += static_cast<char>(letter);
    } else {
      encoded += fmt::format("%{:02X}", letter);
    }
  }
  return encoded;
}

}  // namespace nutmeghollow::load

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

#include "nutmeghollow/claims.h"

namespace nutmeghollow {
namespace {

constexpr std::array<const char*, 3> kStateNames{"open", "done", "unknown"};

/// Percent-encodes a part of a row key, so that the parts stay distinct for any
/// characters in a key.
std::string Escape(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                       c == '.';
    if (plain) {
      escaped += c;
    } else {
      escaped += '%';
      escaped += kDigits[byte >> 4];
      escaped += kDigits[byte & 15];
    }
  }
  return escaped;
}

std::optional<ClaimState> ParseState(const std::string& name) {
  for (std::size_t index = 0; index < kStateNames.size(); ++index) {
    if (name == kStateNames[index]) {
      return static_cast<ClaimState>(index);
    }
  }
  return std::nullopt;
}

}  // namespace

std::string ClaimRowKey(const CustomerId& customer,
                        const ServiceId& service,
                        const IdempotencyKey& key) {
  return "claim/" + Escape(customer.str()) + "/" + Escape(service.str()) + "/" +
         Escape(key.str());
}

std::string FormatClaim(const ClaimRecord& record) {
  nlohmann::json row{
      {"digest", record.m_digest.value()},
      {"state", kStateNames[static_cast<std::size_t>(record.m_state)]},
      {"claimer", record.m_claimer.str()},
      {"token", record.m_token},
      {"dispatch_until", record.m_dispatch_until.value()},
      {"created", record.m_created.value()}};
  if (record.m_state == ClaimState::kDone) {
    row["status"] = record.m_status;
    row["content_type"] = record.m_content_type;
    row["body"] = record.m_body;
    row["body_kept"] = record.m_body_kept;
  }
  if (!record.m_settled_by.empty()) {
    row["settled_by"] = record.m_settled_by;
  }
  // RecordOutcome does not store a body that is not UTF-8.
  return row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<ClaimRecord> ParseClaim(const std::string& text) {
  const auto row = nlohmann::json::parse(text, nullptr, false);
  if (!row.is_object()) {
    return std::nullopt;
  }
  try {
    const auto state = ParseState(row.at("state").get<std::string>());
    if (!state) {
      return std::nullopt;
    }
    ClaimRecord record;
    record.m_state = *state;
    record.m_digest = RequestDigest(row.at("digest").get<std::uint64_t>());
    record.m_claimer = InstanceId(row.at("claimer").get<std::string>());
    record.m_token = row.at("token").get<std::string>();
    record.m_dispatch_until =
        WallTime(row.at("dispatch_until").get<std::int64_t>());
    record.m_created = WallTime(row.at("created").get<std::int64_t>());
    record.m_status = row.value("status", 0);
    record.m_content_type = row.value("content_type", "");
    record.m_body = row.value("body", "");
    record.m_body_kept = row.value("body_kept", true);
    record.m_settled_by = row.value("settled_by", "");
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace nutmeghollow

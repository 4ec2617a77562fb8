#include "nutmegd/peer_feed_format.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "libnet/text.h"

namespace nutmeghollow {

using net::FeedResult;
using net::FeedStatus;
using net::ToHex;
using nlohmann::json;

std::string HexMac(const net::FleetKeys& keys, std::string_view text) {
  const net::Mac mac = net::ComputeMac(keys.m_keys.front(), text);
  return ToHex({reinterpret_cast<const char*>(mac.data()), mac.size()});
}

bool HasValidMac(const net::FleetKeys& keys,
                 std::string_view text,
                 const std::string& hex) {
  return std::any_of(
      keys.m_keys.begin(), keys.m_keys.end(),
      [&](const std::string& key) { return HexMac({{key}}, text) == hex; });
}

std::string SerializeRows(const FeedResult& result, Duration offset) {
  json rows = json::array();
  for (const net::FeedRow& row : result.m_rows) {
    const std::vector<std::uint8_t> value(row.m_value.begin(),
                                          row.m_value.end());
    rows.push_back(
        {row.m_key, json::binary(value), row.m_version.value(), row.m_removed});
  }
  const std::vector<std::uint8_t> packed = json::to_msgpack(
      {result.m_version.value(), offset.count(), std::move(rows)});
  return {packed.begin(), packed.end()};
}

FeedResult DeserializeRows(const std::string& body, TimePoint requested_at) {
  FeedResult result;
  try {
    const json message = json::from_msgpack(body);
    result.m_version = net::FeedVersion(message.at(0).get<std::uint64_t>());
    result.m_confirmed_at =
        requested_at + Duration(message.at(1).get<std::int64_t>());
    for (const json& item : message.at(2)) {
      const auto& value = item.at(1).get_binary();
      result.m_rows.push_back(
          {item.at(0).get<std::string>(),
           std::string(value.begin(), value.end()),
           net::FeedVersion(item.at(2).get<std::uint64_t>()),
           item.at(3).get<bool>()});
    }
    result.m_status = FeedStatus::kDone;
  } catch (const json::exception& error) {
    return {FeedStatus::kUnknown, {}, {}, error.what(), {}};
  }
  return result;
}

}  // namespace nutmeghollow

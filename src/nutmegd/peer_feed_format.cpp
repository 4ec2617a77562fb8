#include "nutmegd/peer_feed_format.h"

#include <fmt/format.h>
#include <zlib.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "libnet/text.h"
#include "nutmeghollow/check.h"

namespace nutmeghollow {

using net::FeedResult;
using net::FeedStatus;
using net::ToHex;
using nlohmann::json;

namespace {

FeedResult ReadPacked(const std::string& body,
                      const std::string& offset_text,
                      TimePoint requested_at) {
  std::int64_t offset = 0;
  const char* end = offset_text.data() + offset_text.size();
  const auto parsed = std::from_chars(offset_text.data(), end, offset);
  const auto rows = Decompress(body, kResponseLimit);
  if (parsed.ec != std::errc() || parsed.ptr != end || !rows) {
    return {FeedStatus::kUnknown, {}, {}, "a malformed response", {}};
  }
  return DeserializeRows(*rows, requested_at + Duration(offset));
}

}  // namespace

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
    // Appended one by one, since an initializer list copies the values.
    json item = json::array();
    item.push_back(row.m_key);
    item.push_back(json::binary({row.m_value.begin(), row.m_value.end()}));
    item.push_back(row.m_version.value());
    item.push_back(row.m_removed);
    rows.push_back(std::move(item));
  }
  json message = json::array();
  message.push_back(result.m_version.value());
  message.push_back(offset.count());
  message.push_back(std::move(rows));
  std::string packed;
  json::to_msgpack(message, packed);
  return packed;
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

std::string Compress(const std::string& text) {
  uLongf size = compressBound(static_cast<uLong>(text.size()));
  std::string compressed(size, '\0');
  // The fastest level: an instance may have an eighth of a core.
  const int status =
      compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                reinterpret_cast<const Bytef*>(text.data()),
                static_cast<uLong>(text.size()), Z_BEST_SPEED);
  NUTMEG_CHECK(status == Z_OK, "the buffer has the size that zlib requires");
  compressed.resize(size);
  compressed.shrink_to_fit();
  return compressed;
}

std::optional<std::string> Decompress(const std::string& compressed,
                                      Bytes limit) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  // zlib does not write to its input.
  stream.next_in =
      reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::string text;
  std::array<char, 16 << 10> block{};
  int status = Z_OK;
  while (status == Z_OK &&
         text.size() <= static_cast<std::size_t>(limit.value())) {
    stream.next_out = reinterpret_cast<Bytef*>(block.data());
    stream.avail_out = static_cast<uInt>(block.size());
    status = inflate(&stream, Z_NO_FLUSH);
    text.append(block.data(), block.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (status != Z_STREAM_END ||
      text.size() > static_cast<std::size_t>(limit.value())) {
    return std::nullopt;
  }
  return text;
}

FeedResult ReadResponse(const net::HttpResponse& response,
                        const net::FleetKeys* keys,
                        const std::string& nonce,
                        TimePoint requested_at) {
  FeedResult failed;
  failed.m_detail = fmt::format("status {} {}", response.m_status,
                                response.m_call_result.m_detail);
  if (response.m_call_result.m_outcome != net::HttpCallOutcome::kComplete) {
    return failed;
  }
  if (response.m_status == kStatusGone) {
    failed.m_status = FeedStatus::kHistoryNotRetained;
    return failed;
  }
  const auto header = [&response](const char* name) {
    return net::HeaderValue(response.m_headers, name);
  };
  const std::string offset = header(kOffsetHeader);
  const bool is_whole = !header(kWholeHeader).empty();
  if (response.m_status != 200 || keys == nullptr ||
      !HasValidMac(
          *keys,
          (is_whole ? kWholeMark : "") + nonce + offset + response.m_body,
          header(kMacHeader))) {
    return failed;
  }
  if (!offset.empty()) {
    FeedResult result = ReadPacked(response.m_body, offset, requested_at);
    result.m_is_whole = is_whole;
    return result;
  }
  return DeserializeRows(response.m_body, requested_at);
}

}  // namespace nutmeghollow

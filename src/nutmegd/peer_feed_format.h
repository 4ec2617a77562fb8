/// @file
/// Format and authentication of the responses in which an instance gives rows
/// of the platform's tables to another one.
#pragma once

#include <string>
#include <string_view>

#include "libnet/fleet_key.h"
#include "libnet/row_feed.h"

namespace nutmeghollow {

/// @return the MAC of a text with the newest key, in hex.
std::string HexMac(const net::FleetKeys& keys, std::string_view text);

/// @return true when a MAC in hex was made with one of the keys.
bool HasValidMac(const net::FleetKeys& keys,
                 std::string_view text,
                 const std::string& hex);

/// Serializes rows as MessagePack.
/// @param offset time from the receipt of the request to the confirmation of
/// the rows; negative when they were confirmed earlier.
std::string SerializeRows(const net::FeedResult& result, Duration offset);

/// @param requested_at when the request was sent, on the clock of this
/// instance.
/// @return the rows, or kUnknown with a detail when the body is malformed.
net::FeedResult DeserializeRows(const std::string& body,
                                TimePoint requested_at);

}  // namespace nutmeghollow

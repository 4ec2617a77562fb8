/// @file
/// Format and authentication of the responses in which an instance gives rows
/// of the platform's tables to another one.
///
/// The rows of a response are the same for all followers that ask after the
/// same version, so they are packed once. What differs, the time of the
/// confirmation, is in a header.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "libnet/fleet_key.h"
#include "libnet/http_client.h"
#include "libnet/row_feed.h"

namespace nutmeghollow {

inline constexpr const char* kFeedPath = "/feed";
inline constexpr const char* kMacHeader = "nutmeg-mac";
/// Time from the receipt of the request to the confirmation of the rows, in
/// microseconds. Only in responses to requests with kPackedParameter; the rows
/// are then compressed, and the MAC covers the nonce, this header and the body.
inline constexpr const char* kOffsetHeader = "nutmeg-offset";
/// Asks for a response with kOffsetHeader. Older builds ignore it.
inline constexpr const char* kPackedParameter = "&packed=1";
/// Asks a reader for what it has, without a wait for the next confirmation.
/// Older builds ignore it.
inline constexpr const char* kWithoutWait = "&wait=0";
/// Accepts the whole table when the changes are no longer retained; only with
/// kPackedParameter. Older builds ignore it and answer kStatusGone.
inline constexpr const char* kWholeParameter = "&whole=1";
/// Accepts the copy of an instance whose own reads fail, together with
/// kWithoutWait. Older builds ignore it and answer kStatusUnavailable.
inline constexpr const char* kUnconfirmedParameter = "&unconfirmed=1";
/// Value "1" in a response with the whole table. The MAC then also covers
/// kWholeMark, before the nonce.
inline constexpr const char* kWholeHeader = "nutmeg-whole";
inline constexpr const char* kWholeMark = "whole\n";
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusForbidden = 403;
inline constexpr int kStatusUnavailable = 503;
/// Maximum size of a response: several times the rows of all tables of a large
/// fleet.
inline constexpr Bytes kResponseLimit{8 << 20};

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

/// @param keys null when they are not known.
/// @param nonce of the request.
/// @param requested_at when the request was sent, on the clock of this
/// instance.
/// @return the rows of a response, or a failure with a detail when it has none
/// or is not authentic.
net::FeedResult ReadResponse(const net::HttpResponse& response,
                             const net::FleetKeys* keys,
                             const std::string& nonce,
                             TimePoint requested_at);

/// @return the text, compressed.
std::string Compress(const std::string& text);

/// @return the text, or nothing when it is malformed or over the limit.
std::optional<std::string> Decompress(const std::string& compressed,
                                      Bytes limit);

}  // namespace nutmeghollow

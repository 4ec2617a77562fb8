#include "libnet/forwarded_request.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "libnet/text.h"

namespace nutmeghollow::net {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr std::size_t kNonceBytes = 12;
/// Older requests are not accepted: the hop takes milliseconds, and an instance
/// that stood still for longer has lost the caller's patience.
constexpr Duration kMaxAge = std::chrono::seconds(3);
/// Nonces are retained for longer than a request is accepted, also when the
/// known offset of the sender's clock is wrong by the delay of a digest.
constexpr Duration kNonceRetention = std::chrono::seconds(30);
constexpr Duration kCleanupInterval = std::chrono::seconds(1);

std::string HexMac(const std::string& key, std::string_view text) {
  const Mac mac = ComputeMac(key, text);
  return ToHex({reinterpret_cast<const char*>(mac.data()), mac.size()});
}

/// @return true when a MAC in hex was made with one of the keys.
template <typename MakeMac>
bool HasValidMac(const FleetKeys& keys,
                 std::string_view hex,
                 const MakeMac& make_mac) {
  bool valid = false;
  for (const std::string& key : keys.m_keys) {
    // MACs of both are compared, so that the time taken tells nothing.
    valid |= HexMac(key, make_mac(key)) == HexMac(key, hex);
  }
  return valid;
}

/// @return the MAC of a request with the content of its field.
std::string RequestMac(const std::string& key,
                       std::string_view content,
                       std::string_view method,
                       std::string_view target,
                       std::string_view body) {
  // Neither of the parts contains a line break.
  std::string text("request\n");
  for (const std::string_view part : {content, method, target}) {
    text.append(part).push_back('\n');
  }
  text += HexMac(key, body);
  return HexMac(key, text);
}

std::string ResponseMac(const std::string& key, const std::string& nonce) {
  return HexMac(key, "response\n" + nonce);
}

std::string FormatContent(const ForwardedRequest& forwarded) {
  json content{{"sender", forwarded.m_sender.str()},
               {"receiver", forwarded.m_receiver.str()},
               {"attempts", forwarded.m_attempts},
               {"left_us", forwarded.m_time_left.count()},
               {"may_have_run", forwarded.m_may_have_run},
               {"resume_after", ToHex(forwarded.m_resume_after)},
               {"sent_us", forwarded.m_sent_at.time_since_epoch().count()},
               {"nonce", forwarded.m_nonce}};
  if (forwarded.m_origin) {
    content["origin"] = forwarded.m_origin->value();
  }
  return content.dump();
}

std::string FromHex(const std::string& hex) {
  constexpr int kBase = 16;
  std::string bytes;
  for (std::size_t index = 0; index + 1 < hex.size(); index += 2) {
    bytes.push_back(
        static_cast<char>(std::stoi(hex.substr(index, 2), nullptr, kBase)));
  }
  return bytes;
}

/// @return nothing when the content is malformed.
std::optional<ForwardedRequest> ParseContent(std::string_view text) {
  try {
    const json content = json::parse(text);
    ForwardedRequest forwarded;
    forwarded.m_sender = InstanceId(content.at("sender").get<std::string>());
    forwarded.m_receiver =
        InstanceId(content.at("receiver").get<std::string>());
    forwarded.m_attempts = content.at("attempts").get<int>();
    forwarded.m_time_left = Duration(content.at("left_us").get<std::int64_t>());
    forwarded.m_may_have_run = content.at("may_have_run").get<bool>();
    forwarded.m_resume_after =
        FromHex(content.at("resume_after").get<std::string>());
    forwarded.m_sent_at =
        TimePoint(Duration(content.at("sent_us").get<std::int64_t>()));
    forwarded.m_nonce = content.at("nonce").get<std::string>();
    if (content.contains("origin")) {
      forwarded.m_origin =
          OriginHash(content.at("origin").get<OriginHash::Representation>());
    }
    return forwarded;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

const char* ForwardedRejectionName(ForwardedRejection reason) {
  static constexpr const char* kNames[] = {"malformed",      "bad_mac",
                                           "other_receiver", "unknown_sender",
                                           "outdated",       "replayed"};
  return kNames[static_cast<int>(reason)];
}

std::string MakeForwardingNonce() {
  return ToHex(RandomBytes(kNonceBytes));
}

std::string EncodeForwarded(const FleetKeys& keys,
                            const ForwardedRequest& forwarded,
                            std::string_view method,
                            std::string_view target,
                            std::string_view body) {
  const std::string content = FormatContent(forwarded);
  return RequestMac(keys.m_keys.front(), content, method, target, body) + ' ' +
         content;
}

std::string ForwardedResponseMac(const FleetKeys& keys,
                                 const std::string& nonce) {
  return ResponseMac(keys.m_keys.front(), nonce);
}

bool IsForwardedResponse(const FleetKeys& keys,
                         const std::string& nonce,
                         std::string_view mac) {
  return HasValidMac(keys, mac, [&](const std::string& key) {
    return ResponseMac(key, nonce);
  });
}

leaf::result<ForwardedRequest> ForwardedRequestReader::Read(
    const FleetKeys& keys,
    const HttpRequest& request,
    const ClockOffsets& clock_offsets,
    TimePoint now) {
  const std::string value = HeaderValue(request.m_headers, kForwardedField);
  const std::size_t space = value.find(' ');
  if (space == std::string::npos) {
    return leaf::new_error(ForwardedRejection::kMalformed);
  }
  const std::string_view content = std::string_view(value).substr(space + 1);
  const bool authentic =
      HasValidMac(keys, std::string_view(value).substr(0, space),
                  [&](const std::string& key) {
                    return RequestMac(key, content, request.m_method,
                                      request.m_target, request.m_body);
                  });
  if (!authentic) {
    return leaf::new_error(ForwardedRejection::kBadMac);
  }
  const auto forwarded = ParseContent(content);
  if (!forwarded) {
    return leaf::new_error(ForwardedRejection::kMalformed);
  }
  if (forwarded->m_receiver != m_self) {
    return leaf::new_error(ForwardedRejection::kOtherReceiver);
  }
  const auto offset = clock_offsets(forwarded->m_sender);
  if (!offset) {
    return leaf::new_error(ForwardedRejection::kUnknownSender);
  }
  if (now - (forwarded->m_sent_at + *offset) > kMaxAge) {
    return leaf::new_error(ForwardedRejection::kOutdated);
  }
  if (now >= m_next_cleanup) {
    m_next_cleanup = now + kCleanupInterval;
    std::erase_if(m_nonces, [&](const auto& entry) {
      return now - entry.second > kNonceRetention;
    });
  }
  if (!m_nonces.emplace(forwarded->m_nonce, now).second) {
    return leaf::new_error(ForwardedRejection::kReplayed);
  }
  return *forwarded;
}

}  // namespace nutmeghollow::net

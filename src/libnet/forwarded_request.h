/// @file
/// Requests that one instance forwards to another, which sends them to an
/// upstream.
///
/// A forwarded request is the caller's request with one more header field. The
/// field has what the receiver must know beyond the request, and a MAC made
/// with the fleet key. The receiver accepts each field once, and only for a few
/// seconds; the time is that of the sender's monotonic clock, whose offset
/// instances learn from digests.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "libnet/fleet_key.h"
#include "libnet/http_server.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow::net {

/// Lower-case names of the fields between instances. Requests and responses of
/// callers and upstreams may have fields of these names; they mean nothing.
inline constexpr const char* kForwardedField = "nutmeg-forwarded";
/// In responses: proves that the receiver has the fleet key.
inline constexpr const char* kForwardedMacField = "nutmeg-forwarded-mac";
/// In responses: the receiver did not take the request; another instance may.
inline constexpr const char* kNotTakenField = "nutmeg-not-taken";

/// What the receiver of a forwarded request must know.
struct ForwardedRequest {
  InstanceId m_sender;
  InstanceId m_receiver;
  int m_attempts = 0;      ///< Used so far.
  Duration m_time_left{};  ///< Until the caller's deadline.
  bool m_may_have_run = false;
  /// Id of the event after which to resume; empty for a new run.
  std::string m_resume_after;
  /// Of the stream that is resumed; unset for a new one.
  std::optional<OriginHash> m_origin;
  TimePoint m_sent_at{};  ///< Of the sender's clock.
  std::string m_nonce;    ///< Used once.
};

/// Why a forwarded request is not accepted.
enum class ForwardedRejection {
  kMalformed,
  kBadMac,
  kOtherReceiver,  ///< It was sent to another instance.
  kUnknownSender,  ///< The offset of its clock is not known.
  kOutdated,
  kReplayed,
};

/// @return name of a reason in logs.
const char* ForwardedRejectionName(ForwardedRejection reason);

/// @return a random nonce.
std::string MakeForwardingNonce();

/// @param method, @param target and @param body of the request.
/// @return the value of kForwardedField.
std::string EncodeForwarded(const FleetKeys& keys,
                            const ForwardedRequest& forwarded,
                            std::string_view method,
                            std::string_view target,
                            std::string_view body);

/// @return the value of kForwardedMacField in the response to a request.
std::string ForwardedResponseMac(const FleetKeys& keys,
                                 const std::string& nonce);
/// @return true when the responding instance has one of the keys.
bool IsForwardedResponse(const FleetKeys& keys,
                         const std::string& nonce,
                         std::string_view mac);

/// Decides which forwarded requests are accepted.
class ForwardedRequestReader {
 public:
  /// @return this instance's clock less the sender's; nullopt if not known.
  using ClockOffsets =
      std::function<std::optional<Duration>(const InstanceId& sender)>;

  /// @param self this instance.
  explicit ForwardedRequestReader(InstanceId self) : m_self(std::move(self)) {}

  /// Verifies a request that has kForwardedField.
  /// @return the field's content, or a ForwardedRejection.
  boost::leaf::result<ForwardedRequest> Read(const FleetKeys& keys,
                                             const HttpRequest& request,
                                             const ClockOffsets& clock_offsets,
                                             TimePoint now);

 private:
  InstanceId m_self;
  std::map<std::string, TimePoint> m_nonces;  ///< Time of receipt.
  TimePoint m_next_cleanup{};
};

}  // namespace nutmeghollow::net

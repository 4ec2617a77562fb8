/// @file
/// Whether a request may be sent to an upstream process now, and if not, why
/// and until when.
///
/// Each rule answers for one kind of obstacle and reads its own table. The
/// rules are asked in the order of SendObstacle, the lasting ones first, and
/// the first obstacle decides. Backoff is not among them: it depends on the
/// other candidates of a request (see UpstreamPool).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "nutmeghollow/evacuations.h"
#include "nutmeghollow/home_regions.h"
#include "nutmeghollow/leaving_upstreams.h"
#include "nutmeghollow/rate_limits.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct RegisteredUpstream;
struct UpstreamQuery;

/// A service and the software of one of its upstreams: what one of them began,
/// only an upstream of the same origin can continue.
using OriginHash = Number<struct OriginTag>;

/// Why a request may not be sent to an upstream.
enum class SendObstacle : std::uint8_t {
  kNone,
  kLeaving,       ///< The process takes no new requests.
  kEvacuated,     ///< The operator has evacuated its data centre.
  kOutsideHomes,  ///< Outside the home regions of the route or customer.
  kOtherOrigin,   ///< Its software cannot continue the stream.
  kAlreadyTried,  ///< The request was sent there before.
  kRefusing,      ///< It refuses requests for a stated time.
  kNeedsPermit,   ///< Its request rate is limited, and there is no permit.
  kNeedsLease,    ///< It is brittle, and there is no lease.
  kBackingOff,    ///< It failed recently.
};

/// @return name of an obstacle in logs and explanations.
const char* SendObstacleName(SendObstacle obstacle);

/// @return true for an obstacle that does not pass while the request waits and
/// that is never ignored.
bool IsLasting(SendObstacle obstacle);

/// Answer of the rules.
struct SendVerdict {
  SendObstacle m_obstacle = SendObstacle::kNone;
  /// When the obstacle ends; unset when that is not known.
  std::optional<TimePoint> m_until;
};

/// Tables that the rules read.
struct SendTables {
  Evacuations m_evacuations;
  RegionMap m_regions;
  RateLimits m_limits;
  RateLimits m_refusal_limits{
      {.m_permit_lifetime = std::chrono::milliseconds(40)}};
};

/// The process that a request is to be sent to, and the request.
struct SendQuestion {
  const SendTables& m_tables;
  const RegisteredUpstream& m_upstream;
  UpstreamProcess m_process;
  OriginHash m_origin;
  bool m_leaving = false;  ///< By registration or announcement.
  /// Until when the process refuses requests; in the past when it does not, or
  /// when it may get a trial request.
  TimePoint m_refused_until;
  const UpstreamQuery* m_query;  ///< Null when no particular request is meant.
  TimePoint m_now;
};

/// One rule. @return kNone when it has no objection.
using SendRule = std::function<SendVerdict(const SendQuestion& question)>;

/// An ordered list of rules.
class SendRules {
 public:
  explicit SendRules(std::vector<SendRule> rules) : m_rules(std::move(rules)) {}
  /// @return the first obstacle.
  SendVerdict Check(const SendQuestion& question) const;

 private:
  std::vector<SendRule> m_rules;
};

/// @return the rules whose obstacles are lasting.
const SendRules& LastingSendRules();
/// @return all rules.
const SendRules& AllSendRules();

}  // namespace nutmeghollow

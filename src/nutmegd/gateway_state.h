/// @file
/// What the parts of the gateway share.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>

#include "libnet/http_client.h"
#include "libnet/route_protocol.h"
#include "nutmegd/crash_watch.h"
#include "nutmegd/settings.h"
#include "nutmeghollow/answer_memory.h"
#include "nutmeghollow/attempt_policy.h"
#include "nutmeghollow/configuration_freshness.h"
#include "nutmeghollow/metrics.h"
#include "nutmeghollow/retry_allowance.h"
#include "nutmeghollow/routing.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// A request is sent this long before the bound on taken-away keys at the
/// latest, since the clocks of two machines run a little apart.
inline constexpr Duration kRevocationMargin = std::chrono::milliseconds(200);

/// State of a gateway, read and written by its requests.
struct GatewayState {
  struct ev_loop* m_loop = nullptr;
  net::HttpClient* m_client = nullptr;
  CrashWatch* m_crashes = nullptr;
  net::RouteProtocol m_protocol;
  const Settings* m_settings = nullptr;
  AttemptPolicyParameters m_attempt_parameters;

  /// Null until one has been read.
  std::shared_ptr<const RoutingConfiguration> m_configuration;
  ConfigurationFreshness m_freshness;
  UpstreamPool m_pool;
  RetryAllowance m_allowance;
  ResponseMemoryBudget m_response_memory;
  MetricsRegistry m_metrics;
  std::mt19937_64 m_random{std::random_device()()};

  /// @return true while requests with a key may be sent.
  bool MayServeKeys(TimePoint now) const {
    return m_freshness.Within(
        m_settings->m_gateway.m_revocation_limit - kRevocationMargin, now);
  }
  /// @return a number from `least` to `most`, evenly spread.
  double Draw(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(m_random);
  }
};

}  // namespace nutmeghollow

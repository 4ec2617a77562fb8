/// @file
/// State shared by the parts of the gateway.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libnet/fleet_key.h"
#include "libnet/http_client.h"
#include "libnet/route_protocol.h"
#include "nutmegd/crash_detector.h"
#include "nutmegd/reachability_monitor.h"
#include "nutmegd/registration_reader.h"
#include "nutmegd/settings.h"
#include "nutmegd/stream_records.h"
#include "nutmeghollow/attempt_policy.h"
#include "nutmeghollow/body_memory.h"
#include "nutmeghollow/configuration_freshness.h"
#include "nutmeghollow/copy_use.h"
#include "nutmeghollow/duration_estimate.h"
#include "nutmeghollow/gateway_drain.h"
#include "nutmeghollow/metrics.h"
#include "nutmeghollow/response_memory.h"
#include "nutmeghollow/retry_allowance.h"
#include "nutmeghollow/routing.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// Instances to which an instance that is cut off from the upstreams forwards
/// requests.
struct ForwardingState {
  /// @param homes regions that the request's body may be sent to.
  /// @return an instance that is not among those tried; nothing if there is
  /// none.
  std::function<std::optional<InstanceId>(const std::vector<InstanceId>& tried,
                                          const HomeRegions& homes)>
      m_choose;
  /// @return the peer address of an instance.
  std::function<Endpoint(const InstanceId&)> m_address_of;
  /// @return the fleet keys; null until they are known.
  std::function<const net::FleetKeys*()> m_keys;
  std::map<InstanceId, int> m_active;  ///< Requests forwarded, in progress.
};

/// State of a gateway that its requests read and modify.
struct GatewayState {
  struct ev_loop* m_loop = nullptr;
  net::HttpClient* m_client = nullptr;
  CrashDetector* m_crash_detector = nullptr;
  StreamRecords* m_streams = nullptr;
  ReachabilityMonitor* m_reachability = nullptr;
  ForwardingState m_forwarding;
  RegistrationReader* m_registration_reader = nullptr;
  net::RouteProtocol m_protocol;
  const Settings* m_settings = nullptr;
  AttemptPolicyParameters m_attempt_parameters;

  /// Requests a permit to send a request to one of the limited upstreams. The
  /// callback is called once, with or without a permit.
  std::function<void(std::vector<LimitedProcess>, std::function<void()>)>
      m_request_permit;
  /// Called when an upstream says for the first time that it is brittle.
  std::function<void()> m_on_refusal_limit;
  /// Set from the start of a planned stop.
  std::optional<GatewayDrain> m_drain;
  /// @return true when another instance accepts callers.
  std::function<bool()> m_others_ready;
  /// Durations of served requests, by the name of their route.
  std::map<std::string, DurationEstimate> m_durations;

  /// Null until a configuration has been read.
  std::shared_ptr<const RoutingConfiguration> m_configuration;
  ConfigurationFreshness m_freshness;
  /// Instance through which the latest confirmation came; empty when it came
  /// from the platform.
  Endpoint m_proof_source;
  /// @return true when the store recently refused, or did not answer, reads of
  /// this instance. May be empty.
  std::function<bool()> m_store_failed_recently;
  /// When the copy of the registrations was last confirmed to be current.
  std::optional<TimePoint> m_registrations_confirmed_at;
  /// @return the requests that may be decided from the copies now.
  std::function<CopyUse(TimePoint)> m_use_of_copies;
  UpstreamPool m_pool;
  RetryAllowance m_allowance;
  ResponseMemoryBudget m_response_memory;
  /// Shared with bodies, which may outlive this object.
  std::shared_ptr<BodyMemory> m_body_memory = std::make_shared<BodyMemory>();
  MetricsRegistry m_metrics;
  std::mt19937_64 m_random{std::random_device()()};

  /// @return true while requests with an API key may be sent.
  bool MayServeKeyedRequests(TimePoint now) const {
    return m_freshness.Within(
        KeyedRequestLimit(m_settings->m_gateway.m_revocation_limit,
                          m_store_failed_recently && m_store_failed_recently()),
        now);
  }
  /// @return the revision in force; zero before one has been read.
  Revision RevisionInForce() const {
    return m_configuration == nullptr ? Revision()
                                      : m_configuration->m_revision;
  }
  /// @return the time since the configuration was last confirmed to be
  /// current; nothing before the first confirmation.
  std::optional<Duration> ProofAge(TimePoint now) const {
    const auto confirmed = m_freshness.ConfirmedAt();
    return confirmed ? std::optional<Duration>(now - *confirmed) : std::nullopt;
  }
  /// @return the times since the copies were last confirmed to be current.
  CopyTimes AgesOfCopies(TimePoint now) const {
    CopyTimes ages{ProofAge(now), std::nullopt};
    if (m_registrations_confirmed_at) {
      ages.m_registrations = now - *m_registrations_confirmed_at;
    }
    return ages;
  }
  /// @return a uniformly distributed number in [min, max).
  double Draw(double min, double max) {
    return std::uniform_real_distribution<double>(min, max)(m_random);
  }
};

}  // namespace nutmeghollow

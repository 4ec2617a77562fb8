/// @file
/// Operator configuration of HTTP routes: which service handles a request, who
/// may send it, and how often it may be attempted.
///
/// A configuration is an immutable value that is replaced as a whole.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "nutmeghollow/cold_rate.h"
#include "nutmeghollow/home_regions.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Retry policy of a request that may already have run.
enum class Repeatability {
  kIdempotent,  ///< May be retried as a whole.
  kAtMostOnce,  ///< May be retried only with proof that it did not run.
  kResumable,   ///< A stream that may be resumed at another upstream.
};

/// Share of a route's traffic for a service.
struct TrafficShare {
  ServiceId m_service;
  double m_weight = 1.0;  ///< Relative to the other shares; non-negative.
};

/// Route of the requests of one host whose path has a given prefix.
struct HttpRoute {
  std::string m_name;
  std::string m_host;
  std::string m_prefix;  ///< Path prefix; starts and ends with a slash.
  Repeatability m_repeatability = Repeatability::kAtMostOnce;
  bool m_streamed = false;   ///< The response is an event stream.
  bool m_anonymous = false;  ///< Accepts requests without an API key.
  int m_priority = 0;        ///< Rank; 0 is the most urgent.
  int m_max_attempts = 1;    ///< Maximum attempts of one request.
  Duration m_timeout{};      ///< Maximum total time of a request.
  Duration m_latency_target{};
  Duration m_gap_target{};  ///< Target for the time between two events.
  std::vector<TrafficShare> m_shares;
  HomeRegions m_homes;  ///< Regions that its requests may reach.

  /// @return true when a request may be retried although it may have run.
  bool MayRepeat() const {
    return m_repeatability != Repeatability::kAtMostOnce;
  }
};

/// Capacity of a model engine of a service.
struct EngineCapacity {
  int m_slots = 1;  ///< Concurrent requests.
  Tokens m_memory;  ///< For running requests and cached prompt parts.
};

/// Policy of a group of interchangeable upstreams.
struct ServicePolicy {
  ServiceId m_id;
  int m_max_connections = 0;  ///< Per upstream, fleet-wide; 0: unlimited.
  std::optional<EngineCapacity> m_engine;  ///< Unset for plain services.
  ColdPolicy m_cold;  ///< What its upstreams tolerate while they are cold.
};

/// Limits on requests of callers.
struct CallerLimits {
  Bytes m_header{16 << 10};
  Bytes m_body{4 << 20};
  Duration m_idle = std::chrono::seconds(15);
};

/// A customer and the API keys of its callers.
struct CustomerKeys {
  CustomerId m_id;
  std::vector<std::string> m_keys;
  std::optional<int> m_priority;  ///< Overrides the route's priority.
  HomeRegions m_homes;            ///< Regions that its requests may reach.
};

/// One version of the operators' configuration.
class RoutingConfiguration {
 public:
  Revision m_revision;
  CallerLimits m_limits;

  /// Adds a route, replacing one with the same host and prefix.
  void Add(HttpRoute route);
  void Add(ServicePolicy service);
  /// Adds a customer and its API keys.
  void Add(CustomerKeys customer);

  /// Finds the route with the longest matching prefix.
  /// @param host Host header of the request, with or without a port.
  /// @param path path without the query, percent-encoded.
  /// @return the route, or null.
  const HttpRoute* FindRoute(std::string_view host,
                             std::string_view path) const;
  /// @return the service, or null.
  const ServicePolicy* FindService(const ServiceId& id) const;
  /// @return what the upstreams of each service tolerate while they are cold.
  std::map<ServiceId, ColdPolicy> ColdPolicies() const;
  /// @return the customer with an API key, or null.
  const CustomerKeys* FindCustomer(const std::string& key) const;
  /// @return the customer, or null.
  const CustomerKeys* FindCustomer(const CustomerId& id) const;
  /// Requires an API key of callers, also when no customer has one: a list of
  /// customers that was emptied takes all keys away.
  void RequireKeys() { m_requires_keys = true; }
  /// @return true when callers must present an API key.
  bool RequiresKeys() const { return m_requires_keys; }
  std::size_t RouteCount() const { return m_route_count; }
  /// @return the services of routes whose streams may be resumed.
  const std::set<ServiceId>& ResumableServices() const {
    return m_resumable_services;
  }

 private:
  using RoutesByPrefix = std::map<std::string, HttpRoute, std::less<>>;

  std::map<std::string, RoutesByPrefix, std::less<>> m_hosts;
  std::map<ServiceId, ServicePolicy> m_services;
  std::map<CustomerId, CustomerKeys> m_customers;
  std::unordered_map<std::string, CustomerId> m_keys;
  std::set<ServiceId> m_resumable_services;
  std::size_t m_route_count = 0;
  bool m_requires_keys = false;
};

/// Chooses one of a route's services with a probability given by its weight.
/// @param draw uniform in [0, 1), such as a hash of the request id.
/// @return the service; empty when the route has none.
ServiceId ChooseService(const HttpRoute& route, double draw);

}  // namespace nutmeghollow

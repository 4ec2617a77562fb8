/// @file
/// The operators' configuration of HTTP routes: which requests go to which
/// service, who may send them, and how often they may be sent.
///
/// A configuration is a value. It is replaced as a whole, never changed.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// What may be done again after a request may have run.
enum class Repeatability {
  kIdempotent,  ///< The whole request may run again.
  kAtMostOnce,  ///< Sent again only with proof that it did not run.
  kResumable,   ///< A stream that another upstream may go on with.
};

/// Part of a route's traffic.
struct TrafficShare {
  ServiceId m_service;
  double m_weight = 1.0;  ///< Relative to the other shares; not negative.
};

/// Requests of one host whose path starts with a prefix.
struct HttpRoute {
  std::string m_name;
  std::string m_host;
  std::string m_prefix;  ///< Starts and ends with a slash.
  Repeatability m_repeatability = Repeatability::kAtMostOnce;
  bool m_streamed = false;   ///< The answer is an event stream.
  bool m_anonymous = false;  ///< Served without an API key.
  int m_priority = 0;        ///< Rank; 0 is the most urgent.
  int m_max_attempts = 1;    ///< Upstreams that one request may be sent to.
  Duration m_timeout{};      ///< Longest time that a caller is kept waiting.
  Duration m_latency_target{};
  Duration m_gap_target{};  ///< Longest pause between events that is on time.
  std::vector<TrafficShare> m_shares;

  /// @return true when it may be sent again although it may have run.
  bool MayRepeat() const {
    return m_repeatability != Repeatability::kAtMostOnce;
  }
};

/// What a model engine of a service can hold.
struct EngineCapacity {
  int m_slots = 1;  ///< Requests that run at once.
  Tokens m_memory;  ///< Tokens of running requests and cached parts.
};

/// A group of upstreams that serve the same requests.
struct ServicePolicy {
  ServiceId m_id;
  int m_max_connections = 0;  ///< Per upstream, of all instances; 0: no limit.
  std::optional<EngineCapacity> m_engine;  ///< Unset for plain services.
};

/// Bounds on what callers may send.
struct CallerLimits {
  Bytes m_header{16 << 10};
  Bytes m_body{4 << 20};
  Duration m_idle = std::chrono::seconds(15);
};

/// A customer and the keys that its callers present.
struct CustomerKeys {
  CustomerId m_id;
  std::vector<std::string> m_keys;
  std::optional<int> m_priority;  ///< Goes before the route's priority.
};

/// One version of the operators' configuration.
class RoutingConfiguration {
 public:
  Revision m_revision;
  CallerLimits m_limits;

  /// Adds a route; one with the same host and prefix is replaced.
  void Add(HttpRoute route);
  void Add(ServicePolicy service);
  /// Adds a customer and its keys.
  void Add(CustomerKeys customer);

  /// @param host as in the request, with or without a port.
  /// @param path without the query, not decoded.
  /// @return the route with the longest prefix that the path starts with, or
  /// null.
  const HttpRoute* FindRoute(std::string_view host,
                             std::string_view path) const;
  /// @return the service, or null.
  const ServicePolicy* FindService(const ServiceId& id) const;
  /// @return the customer that holds a key, or null.
  const CustomerKeys* FindCustomer(const std::string& key) const;
  /// @return true when callers need a key.
  bool HasCustomers() const { return !m_customers.empty(); }
  std::size_t RouteCount() const { return m_route_count; }

 private:
  using RoutesByPrefix = std::map<std::string, HttpRoute, std::less<>>;

  std::map<std::string, RoutesByPrefix, std::less<>> m_hosts;
  std::map<ServiceId, ServicePolicy> m_services;
  std::map<CustomerId, CustomerKeys> m_customers;
  std::unordered_map<std::string, CustomerId> m_keys;
  std::size_t m_route_count = 0;
};

/// Chooses one of a route's services by weight.
/// @param draw in [0, 1), such as a hash of the request's id.
/// @return the service; empty when the route has none.
ServiceId ChooseService(const HttpRoute& route, double draw);

}  // namespace nutmeghollow

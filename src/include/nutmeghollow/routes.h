/// @file
/// Tables of routes, plain services, priority classes and customers.
///
/// The tables are derived from the configuration and rebuilt when a new
/// revision is adopted. Counters are preserved across a rebuild.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// A route from a model name to the model engines that serve it.
struct RouteRow {
  RouteId m_id;
  std::vector<UpstreamId> m_upstreams;
  double m_bound = 1.25;     ///< Maximum load of an engine over the mean load.
  int m_queue_limit = 1024;  ///< Queued requests per instance.
  Duration m_queue_deadline = std::chrono::seconds(10);
  double m_retry_budget = 0.1;  ///< Long-term retries per request.
};

/// A plain service and the upstreams that serve it.
struct ServiceRow {
  ServiceId m_id;
  std::vector<UpstreamId> m_upstreams;
  /// HTTP methods whose requests must run at most once, such as POST.
  std::set<std::string> m_non_idempotent_methods{"POST", "PATCH"};
  /// Path that returns the state of an idempotency key; empty when there is
  /// none. "{key}" is replaced by the key.
  std::string m_status_path;
  int m_queue_limit = 1024;  ///< Queued requests per instance.
  Duration m_queue_deadline = std::chrono::seconds(10);
  double m_retry_budget = 0.1;  ///< Long-term retries per request.
};

/// A priority class. A lower rank is served first.
struct PriorityRow {
  PriorityId m_id;
  int m_rank = 100;
};

/// A customer, its limits, and its current usage on this instance.
struct CustomerRow {
  CustomerId m_id;
  std::set<std::string> m_token_digests;  ///< SHA-256 of tokens, in hex.
  PriorityId m_priority;
  double m_weight = 1.0;        ///< Share in fair queueing.
  int m_concurrency_limit = 0;  ///< Fleet-wide; zero means unlimited.
  double m_rate_limit = 0.0;    ///< Requests per second, fleet-wide.
  int m_running = 0;            ///< In-flight requests of this instance.
  int m_queued = 0;             ///< Queued requests of this instance.
  /// Requests per second on this instance as of m_rate_at; ObservedRate in
  /// limits.h computes the current value.
  double m_rate = 0.0;
  TimePoint m_rate_at{};
};

using RouteTable = std::map<RouteId, RouteRow>;
using ServiceTable = std::map<ServiceId, ServiceRow>;
using PriorityTable = std::map<PriorityId, PriorityRow>;
using CustomerTable = std::map<CustomerId, CustomerRow>;

}  // namespace nutmeghollow

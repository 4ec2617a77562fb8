/// @file
/// Loads and demands announced by other instances, and suspect requests.
///
/// The membership protocol exchanges these between instances. Placement,
/// admission and quarantine read them. All values are approximate and may be
/// outdated.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Requests that another instance has running at an upstream.
struct PeerLoad {
  int m_running = 0;
  TimePoint m_received_at{};
};

/// Demand of a customer at another instance.
struct PeerDemand {
  int m_running = 0;
  int m_queued = 0;
  double m_rate = 0.0;  ///< Requests per second.
  TimePoint m_received_at{};
};

/// Traffic announced by other instances.
struct PeerTable {
  std::map<UpstreamId, std::map<InstanceId, PeerLoad>> m_loads;
  std::map<CustomerId, std::map<InstanceId, PeerDemand>> m_demands;
};

/// A request suspected of crashing upstreams.
struct SuspectRow {
  RequestDigest m_digest;
  std::set<UpstreamId> m_crashed_upstreams;
  /// Number of crashes; larger than the set of upstreams when one crashed
  /// twice.
  int m_crashes = 0;
  bool m_quarantined = false;
  TimePoint m_expires_at{};
};

using SuspectTable = std::map<RequestDigest, SuspectRow>;

}  // namespace nutmeghollow

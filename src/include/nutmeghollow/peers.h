/// @file
/// Tables of what other instances announced, and of crashing requests.
///
/// Membership carries these between instances. Placement, admission and
/// quarantine read them. All of it is approximate and may be old.
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
  double m_rate = 0.0;  ///< Requests a second.
  TimePoint m_received_at{};
};

/// What other instances announced about their own traffic.
struct PeerTable {
  std::map<UpstreamId, std::map<InstanceId, PeerLoad>> m_loads;
  std::map<CustomerId, std::map<InstanceId, PeerDemand>> m_demands;
};

/// Crashes that a request is suspected of.
struct SuspectRow {
  RequestDigest m_digest;
  std::set<UpstreamId> m_crashed_upstreams;
  /// Crashes counted; more than the upstreams when one crashed twice.
  int m_crashes = 0;
  bool m_quarantined = false;
  TimePoint m_expires_at{};
};

using SuspectTable = std::map<RequestDigest, SuspectRow>;

}  // namespace nutmeghollow

/// @file
/// Keeps the pool of upstreams as they register themselves.
///
/// Registrations expire while the platform is down although the upstreams
/// live, and are back soon after its return. So what goes in that time is kept
/// until they had the chance to come back.
#pragma once

#include <ev.h>

#include <functional>
#include <map>
#include <string>

#include "libnet/event_loop.h"
#include "libnet/route_protocol.h"
#include "libnet/row_feed.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// Applies rows of the registrations' table to a pool.
class Registrations {
 public:
  using Reader = decltype(net::RouteProtocol::m_read_registration);

  /// @param pool must outlive this object.
  Registrations(struct ev_loop* loop, UpstreamPool* pool, Reader read);

  void HandleRow(const net::FeedRow& row);
  /// The platform answers again after an outage.
  void HandleRegained(Duration outage);

 private:
  void Remove(const UpstreamId& id, const char* reason);
  void RemoveDue();

  UpstreamPool* m_pool;
  Reader m_read;
  net::Timer m_timer;
  TimePoint m_hold_until{};
  std::map<UpstreamId, TimePoint> m_held;  ///< When they go, unless they come.
};

}  // namespace nutmeghollow

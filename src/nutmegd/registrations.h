/// @file
/// Maintains the pool of upstreams according to their registrations.
///
/// Registrations expire during an outage of the platform although the upstreams
/// are alive, and reappear soon after it. Therefore an upstream whose
/// registration is removed shortly after an outage is retained until it has had
/// time to register again.
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
  /// Parses a row of the table.
  using Parser = decltype(net::RouteProtocol::m_read_registration);

  /// @param pool must outlive this object.
  Registrations(struct ev_loop* loop, UpstreamPool* pool, Parser parse);

  /// Applies a row that was written or removed.
  void HandleRow(const net::FeedRow& row);
  /// Records that the platform responds again.
  /// @param outage time without a successful response.
  void HandleRegained(Duration outage);
  /// @return true while registrations that expired in an outage may come back.
  bool AwaitsRegistrations(TimePoint now) const { return now < m_retain_until; }

 private:
  void Remove(const UpstreamId& id, const char* reason);
  void RemoveDue();

  UpstreamPool* m_pool;
  Parser m_parse;
  net::Timer m_timer;
  TimePoint m_retain_until{};
  /// Upstreams whose registration was removed, with the time when they are
  /// removed from the pool unless they register again.
  std::map<UpstreamId, TimePoint> m_retained;
};

}  // namespace nutmeghollow

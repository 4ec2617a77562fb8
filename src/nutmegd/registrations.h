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
///
/// When the platform comes back from an older copy, rows that it has lost are
/// missing and rows that were removed are back. Both are written, or removed,
/// again. Until then, and for a limited time, an upstream whose row is missing
/// stays, and one whose row was removed is not used.
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
  /// A registration that was removed.
  struct Removal {
    std::int64_t m_start_time_ms = 0;  ///< Of its process.
    net::FeedVersion m_version;
    TimePoint m_at{};
  };
  /// A removed registration that came back with a later era.
  struct Restored {
    RegisteredUpstream m_upstream;
    net::FeedVersion m_version;
    TimePoint m_until{};  ///< It is used then, unless it is removed again.
  };

  void Put(const RegisteredUpstream& upstream);
  /// @return true when the row is one that the platform removed and may have
  /// restored from an older copy.
  bool IsRestored(const net::FeedRow& row,
                  const RegisteredUpstream& upstream,
                  TimePoint now);
  void Remove(const UpstreamId& id, const char* reason);
  void RemoveDue();
  /// Sets the timer to the next time at which something is due.
  void Schedule();

  UpstreamPool* m_pool;
  Parser m_parse;
  net::Timer m_timer;
  TimePoint m_retain_until{};
  /// Upstreams whose registration was removed, with the time when they are
  /// removed from the pool unless they register again.
  std::map<UpstreamId, TimePoint> m_retained;
  std::map<UpstreamId, Removal> m_removals;  ///< Recent ones.
  std::map<UpstreamId, Restored> m_restored;
};

}  // namespace nutmeghollow

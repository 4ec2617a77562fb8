/// @file
/// Table of upstreams: model engines and servers of plain services.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

enum class UpstreamKind { kEngine, kService };

/// Availability of an upstream for new requests.
enum class UpstreamStatus {
  kUsable,
  kSuspect,  ///< Some probes or requests fail; still receives requests.
  kEjected,  ///< Fails its probes; receives no requests until it recovers.
  kLeaving,  ///< Shuts down; receives no new requests.
};

/// Load of a model engine, as reported by it.
struct ProbedLoad {
  int m_running = 0;       ///< Requests in the engine's batch.
  int m_queued = 0;        ///< Requests waiting inside the engine.
  TimePoint m_taken_at{};  ///< Time of measurement, in TickClock.
  TimePoint m_received_at{};
};

/// One upstream.
struct UpstreamRow {
  UpstreamId m_id;
  UpstreamKind m_kind = UpstreamKind::kEngine;
  Endpoint m_endpoint;
  DataCentreId m_data_centre;
  RegionId m_region;
  double m_weight = 1.0;  ///< Relative share of the load.
  int m_capacity = 0;     ///< Concurrent requests; zero means no fixed limit.
  /// The upstream rejects orders with an old fencing number.
  bool m_enforces_fencing = true;
  /// Desired state of a model engine as a JSON object; empty for none.
  std::string m_wanted_state;
  UpstreamStatus m_status = UpstreamStatus::kUsable;
  TimePoint m_status_since{};
  /// Start of the current slow start; unset outside of a slow start.
  std::optional<TimePoint> m_slow_start_since;
  std::optional<ProbedLoad> m_report;
  /// Requests of this instance that are running at the upstream.
  int m_local_running = 0;
  /// Instance that grants reservations when the upstream is near its load
  /// bound.
  InstanceId m_owner;
};

/// Table of upstreams, keyed by id.
struct UpstreamTable {
  std::map<UpstreamId, UpstreamRow> m_rows;

  /// @return the row of an upstream, or null.
  const UpstreamRow* Find(const UpstreamId& id) const {
    auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
  }
  UpstreamRow* Find(const UpstreamId& id) {
    auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
  }
};

}  // namespace nutmeghollow

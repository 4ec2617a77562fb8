/// @file
/// Table of the upstreams: model engines and servers of plain services.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Whether an upstream is a model engine or a server of a plain service.
enum class UpstreamKind { kEngine, kService };

/// Whether an upstream may receive new work.
enum class UpstreamStatus {
  kUsable,
  kSuspect,  ///< Some probes fail; still receives work.
  kEjected,  ///< Fails its probes; receives no work until it recovers.
  kLeaving,  ///< Leaves by plan; receives no new work.
};

/// A load report of a model engine.
struct LoadReport {
  int m_running = 0;       ///< Requests in the engine's batch.
  int m_queued = 0;        ///< Requests waiting inside the engine.
  TimePoint m_taken_at{};  ///< When the engine measured it, by our clock.
  TimePoint m_received_at{};
};

/// One upstream.
struct UpstreamRow {
  UpstreamId m_id;
  UpstreamKind m_kind = UpstreamKind::kEngine;
  Endpoint m_endpoint;
  DataCentreId m_data_centre;
  RegionId m_region;
  double m_weight = 1.0;  ///< Share of the load relative to other upstreams.
  int m_capacity = 0;     ///< Requests at once; zero means no fixed limit.
  bool m_enforces_fencing = true;  ///< Refuses orders with an old number.
  /// Wanted state of a model engine as a JSON object; empty for none.
  std::string m_wanted_state;
  UpstreamStatus m_status = UpstreamStatus::kUsable;
  TimePoint m_status_since{};
  /// Start of the current slow start; unset when the upstream is warm.
  std::optional<TimePoint> m_slow_start_since;
  std::optional<LoadReport> m_report;
  /// Requests of this instance that are running there now.
  int m_local_running = 0;
  /// The instance that decides placements when the upstream is near its bound.
  InstanceId m_owner;
};

/// Upstreams by id.
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

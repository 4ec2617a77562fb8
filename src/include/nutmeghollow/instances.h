/// @file
/// Table of the instances of the fleet.
#pragma once

#include <map>
#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Status of an instance as seen by this one.
enum class InstanceStatus {
  kAlive,
  kSuspect,
  kLeaving,  ///< Announced its drain; not used for new look-ups.
  kDead,
};

/// One instance of the router daemon.
struct InstanceRow {
  InstanceId m_id;
  Endpoint m_caller_endpoint;  ///< HTTP address for callers.
  Endpoint m_peer_endpoint;    ///< UDP and TCP address for other instances.
  DataCentreId m_data_centre;
  RegionId m_region;
  Incarnation m_incarnation;
  InstanceStatus m_status = InstanceStatus::kAlive;
  TimePoint m_status_since{};
  TimePoint m_last_message_at{};
  /// Highest configuration revision that it confirmed as in force.
  Revision m_revision;
};

/// Instances by id, including the own one.
struct InstanceTable {
  InstanceId m_self;
  std::map<InstanceId, InstanceRow> m_rows;

  /// @return the row of an instance, or null when it is unknown.
  const InstanceRow* Find(const InstanceId& id) const {
    auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
  }
};

}  // namespace nutmeghollow

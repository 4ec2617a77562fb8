/// @file
/// Directory of the instances that callers may connect to.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "nutmeghollow/reachability.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// An instance that accepts callers.
struct EntryInstance {
  InstanceId m_id;
  Endpoint m_caller_endpoint;
  DataCentreId m_data_centre;
  RegionId m_region;
  bool m_ready = false;    ///< As last reported by the instance itself.
  bool m_alive = true;     ///< According to this instance's failure detection.
  double m_link_mbps = 0;  ///< Bandwidth of its link; 0 when not known.
  /// As last reported by the instance itself.
  UpstreamReach m_reach = UpstreamReach::kUnknown;
  /// Age of its proof of the configuration when it last reported it; unset when
  /// it has none or its build does not report it.
  std::optional<Duration> m_proof_age;
  /// As m_proof_age, about the registrations.
  std::optional<Duration> m_registrations_age;
  /// The store refused or did not answer its own reads, as last reported.
  bool m_store_fails = false;
  /// Revision that it has in force, as last reported.
  Revision m_revision = {};
  /// Version of the newest change in its copy of the registrations, as last
  /// reported; zero when its build does not report it.
  RowVersion m_registrations_version = {};
};

/// Directory of instances, keyed by id.
class EntryDirectory {
 public:
  void Put(const EntryInstance& instance);
  /// Adds an instance by its row, or updates it. What a known instance has
  /// reported, and whether it is alive, stays while its address is the same.
  void PutRow(const EntryInstance& instance);
  void Remove(const InstanceId& id);
  EntryInstance* Find(const InstanceId& id);
  const std::map<InstanceId, EntryInstance>& Instances() const {
    return m_instances;
  }
  std::size_t size() const { return m_instances.size(); }

  /// Chooses instances for a caller: the ready ones of its data centre, else of
  /// its region, else of the fleet; of these, only the ones that are not cut
  /// off from the upstreams, if there are any. When none is known to be ready,
  /// returns the instances that are alive, else all instances, since an empty
  /// result would certainly lock callers out.
  /// @param limit maximum number of addresses.
  /// @return addresses; empty only when the directory is empty.
  std::vector<Endpoint> Choose(const RegionId& region,
                               const DataCentreId& data_centre,
                               std::size_t limit) const;

 private:
  std::map<InstanceId, EntryInstance> m_instances;
};

}  // namespace nutmeghollow

/// @file
/// Which instances callers are told to use.
#pragma once

#include <map>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// An instance that takes callers.
struct EntryInstance {
  InstanceId m_id;
  Endpoint m_caller_endpoint;
  DataCentreId m_data_centre;
  RegionId m_region;
  bool m_ready = false;  ///< As last told by the instance itself.
  bool m_alive = true;   ///< As believed by this instance.
};

/// Instances by id.
class EntryDirectory {
 public:
  void Put(const EntryInstance& instance);
  void Remove(const InstanceId& id);
  EntryInstance* Find(const InstanceId& id);
  const std::map<InstanceId, EntryInstance>& Instances() const {
    return m_instances;
  }
  std::size_t size() const { return m_instances.size(); }

  /// Chooses instances for a caller: those of its own data centre while any
  /// is ready, else those of its region, else all. When none is known to be
  /// ready, those that may live are named, since an answer that names none
  /// would keep callers out for certain.
  /// @param most addresses to return.
  std::vector<Endpoint> Choose(const RegionId& region,
                               const DataCentreId& data_centre,
                               std::size_t most) const;

 private:
  std::map<InstanceId, EntryInstance> m_instances;
};

}  // namespace nutmeghollow

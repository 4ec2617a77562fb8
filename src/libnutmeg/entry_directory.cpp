#include "nutmeghollow/entry_directory.h"

#include <algorithm>
#include <array>
#include <functional>

namespace nutmeghollow {

void EntryDirectory::Put(const EntryInstance& instance) {
  m_instances[instance.m_id] = instance;
}

void EntryDirectory::Remove(const InstanceId& id) {
  m_instances.erase(id);
}

EntryInstance* EntryDirectory::Find(const InstanceId& id) {
  const auto found = m_instances.find(id);
  return found == m_instances.end() ? nullptr : &found->second;
}

std::vector<Endpoint> EntryDirectory::Choose(const RegionId& region,
                                             const DataCentreId& data_centre,
                                             std::size_t limit) const {
  using Filter = std::function<bool(const EntryInstance&)>;
  const Filter serves = [](const EntryInstance& instance) {
    return instance.m_ready && instance.m_alive;
  };
  const std::array<Filter, 5> filters{
      [&](const EntryInstance& instance) {
        return serves(instance) && instance.m_data_centre == data_centre;
      },
      [&](const EntryInstance& instance) {
        return serves(instance) && instance.m_region == region;
      },
      serves, [](const EntryInstance& instance) { return instance.m_alive; },
      [](const EntryInstance&) { return true; }};
  std::vector<Endpoint> addresses;
  for (const Filter& filter : filters) {
    for (const auto& [id, instance] : m_instances) {
      if (addresses.size() < limit && filter(instance)) {
        addresses.push_back(instance.m_caller_endpoint);
      }
    }
    if (!addresses.empty()) {
      break;
    }
  }
  return addresses;
}

}  // namespace nutmeghollow

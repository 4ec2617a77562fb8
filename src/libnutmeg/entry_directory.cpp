#include "nutmeghollow/entry_directory.h"

#include <algorithm>
#include <array>
#include <functional>

namespace nutmeghollow {

void EntryDirectory::Put(const EntryInstance& instance) {
  m_instances[instance.m_id] = instance;
}

void EntryDirectory::PutRow(const EntryInstance& instance) {
  EntryInstance* known = Find(instance.m_id);
  if (known == nullptr ||
      known->m_caller_endpoint != instance.m_caller_endpoint) {
    Put(instance);
    return;
  }
  known->m_data_centre = instance.m_data_centre;
  known->m_region = instance.m_region;
  known->m_link_mbps = instance.m_link_mbps;
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
  const Filter reaches = [&](const EntryInstance& instance) {
    return serves(instance) && instance.m_reach != UpstreamReach::kCutOff;
  };
  const Filter in_data_centre = [&](const EntryInstance& instance) {
    return instance.m_data_centre == data_centre;
  };
  const Filter in_region = [&](const EntryInstance& instance) {
    return instance.m_region == region;
  };
  const auto both = [](const Filter& first, const Filter& second) -> Filter {
    return [&first, &second](const EntryInstance& instance) {
      return first(instance) && second(instance);
    };
  };
  const std::array<Filter, 8> filters{
      both(reaches, in_data_centre),
      both(reaches, in_region),
      reaches,
      both(serves, in_data_centre),
      both(serves, in_region),
      serves,
      [](const EntryInstance& instance) { return instance.m_alive; },
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

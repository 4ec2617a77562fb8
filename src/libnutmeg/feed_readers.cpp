#include "nutmeghollow/feed_readers.h"

#include <algorithm>
#include <utility>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {

std::vector<InstanceId> ChooseReaders(const EntryDirectory& directory,
                                      const DataCentreId& data_centre) {
  std::vector<std::pair<std::uint64_t, InstanceId>> order;
  for (const auto& [id, instance] : directory.Instances()) {
    if (instance.m_alive && instance.m_data_centre == data_centre) {
      order.emplace_back(HashText(id.str()), id);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<InstanceId> readers;
  for (const auto& [hash, id] : order) {
    if (readers.size() < kReadersPerDataCentre) {
      readers.push_back(id);
    }
  }
  return readers;
}

}  // namespace nutmeghollow

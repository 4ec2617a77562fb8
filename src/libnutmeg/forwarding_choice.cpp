#include "nutmeghollow/forwarding_choice.h"

#include <algorithm>

namespace nutmeghollow {
namespace {

int ActiveAt(const ForwardingQuery& query, const InstanceId& id) {
  const auto found = query.m_active.find(id);
  return found == query.m_active.end() ? 0 : found->second;
}

}  // namespace

std::vector<InstanceId> ForwardingInstances(const EntryDirectory& directory,
                                            const ForwardingQuery& query) {
  std::vector<InstanceId> near;
  std::vector<InstanceId> all;
  for (const auto& [id, instance] : directory.Instances()) {
    const bool tried = std::find(query.m_tried.begin(), query.m_tried.end(),
                                 id) != query.m_tried.end();
    if (id == query.m_self || tried || !instance.m_ready || !instance.m_alive ||
        instance.m_reach != UpstreamReach::kReached ||
        (instance.m_region != query.m_region &&
         !Allows(query.m_homes, instance.m_region))) {
      continue;
    }
    all.push_back(id);
    if (instance.m_data_centre == query.m_data_centre) {
      near.push_back(id);
    }
  }
  return near.empty() ? all : near;
}

std::optional<InstanceId> ChooseForwardingInstance(
    const EntryDirectory& directory,
    const ForwardingQuery& query,
    const std::function<double()>& draw) {
  const std::vector<InstanceId> instances =
      ForwardingInstances(directory, query);
  if (instances.empty()) {
    return std::nullopt;
  }
  const auto pick = [&]() -> const InstanceId& {
    const auto index = static_cast<std::size_t>(
        draw() * static_cast<double>(instances.size()));
    return instances[std::min(index, instances.size() - 1)];
  };
  const InstanceId& first = pick();
  const InstanceId& second = pick();
  return ActiveAt(query, second) < ActiveAt(query, first) ? second : first;
}

}  // namespace nutmeghollow

#include "nutmeghollow/coordinator_choice.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {

CoordinatorChoice::CoordinatorChoice(InstanceId self,
                                     const EntryDirectory* directory,
                                     CoordinatorChoiceParameters parameters)
    : m_self(std::move(self)),
      m_directory(directory),
      m_parameters(parameters) {}

bool CoordinatorChoice::HasFailed(const InstanceId& id, TimePoint now) const {
  const auto failed = m_failed_at.find(id);
  return failed != m_failed_at.end() &&
         now - failed->second < m_parameters.m_backoff;
}

const InstanceId& CoordinatorChoice::Choose(TimePoint now) {
  using Rank = std::tuple<bool, double, std::uint64_t, InstanceId>;
  std::optional<Rank> best;
  for (const auto& [id, instance] : m_directory->Instances()) {
    if (id == m_self || (instance.m_alive && !HasFailed(id, now))) {
      const Rank rank{!instance.m_ready, -instance.m_link_mbps,
                      HashText(id.str()), id};
      best = best ? std::min(*best, rank) : rank;
    }
  }
  const InstanceId chosen = best ? std::get<InstanceId>(*best) : m_self;
  if (chosen != m_current) {
    m_current = chosen;
    m_missed_responses = 0;
  }
  return m_current;
}

void CoordinatorChoice::NoteResponse(const InstanceId& from) {
  if (from == m_current) {
    m_missed_responses = 0;
  }
}

void CoordinatorChoice::NoteTimeout(TimePoint now) {
  ++m_missed_responses;
  if (m_missed_responses >= m_parameters.m_max_missed_responses) {
    m_failed_at[m_current] = now;
    m_missed_responses = 0;
  }
}

bool CoordinatorChoice::IsContested(TimePoint now) const {
  const auto& instances = m_directory->Instances();
  return std::any_of(instances.begin(), instances.end(),
                     [&](const auto& entry) {
                       return entry.first != m_self && entry.second.m_alive &&
                              HasFailed(entry.first, now);
                     });
}

}  // namespace nutmeghollow

// Where requests may not be sent: evacuated data centres, cold and leaving
// upstreams.
#include <algorithm>
#include <utility>

#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

SendQuestion UpstreamPool::QuestionFor(const Upstream& upstream,
                                       const UpstreamQuery* query,
                                       TimePoint now) const {
  return {m_tables,
          upstream.m_registration,
          ProcessOf(upstream),
          upstream.m_origin,
          upstream.m_leaving,
          upstream.m_refused_until,
          query,
          now};
}

bool UpstreamPool::IsOutOfUse(const Upstream& upstream) const {
  // Lasting obstacles do not depend on the time.
  return LastingSendRules()
             .Check(QuestionFor(upstream, nullptr, TimePoint()))
             .m_obstacle != SendObstacle::kNone;
}

bool UpstreamPool::TakesRequests(const UpstreamQuery& upstream_query,
                                 const UpstreamId& id,
                                 std::int64_t start_time_ms) const {
  const auto found = m_upstreams.find(id);
  return found != m_upstreams.end() &&
         found->second.m_registration.m_start_time_ms == start_time_ms &&
         LastingSendRules()
                 .Check(
                     QuestionFor(found->second, &upstream_query, TimePoint()))
                 .m_obstacle == SendObstacle::kNone;
}

UpstreamPool::DataCentreUse UpstreamPool::UseOf(
    const DataCentreId& data_centre) const {
  DataCentreUse use;
  for (const auto& [id, row] : m_upstreams) {
    if (row.m_registration.m_data_centre == data_centre) {
      ++use.m_upstreams;
      use.m_active += row.m_active;
    }
  }
  return use;
}

int UpstreamPool::EvacuatedUpstreams() const {
  int count = 0;
  for (const DataCentreId& data_centre : m_tables.m_evacuations.DataCentres()) {
    count += UseOf(data_centre).m_upstreams;
  }
  return count;
}

void UpstreamPool::ApplyColdPolicy(Upstream& upstream, TimePoint now) {
  const auto policy = m_cold_policies.find(upstream.m_registration.m_service);
  if (policy == m_cold_policies.end() || policy->second.m_rate <= 0 ||
      upstream.m_cold_until <= now) {
    return;
  }
  const Duration remaining = upstream.m_cold_until - now;
  const bool is_used = m_tables.m_limits.NoteCold(
      ProcessOf(upstream), policy->second.m_rate, remaining, now);
  const bool is_new = is_used && !upstream.m_limited_as_cold;
  if (is_used) {
    upstream.m_limited_as_cold = true;
  } else {
    upstream.m_cold_until = TimePoint();
  }
  if (m_on_cold_change && (is_new || !is_used)) {
    m_on_cold_change(
        {upstream.m_registration.m_id, is_used, remaining, is_used});
  }
}

void UpstreamPool::SetColdPolicies(std::map<ServiceId, ColdPolicy> policies,
                                   TimePoint now) {
  m_cold_policies = std::move(policies);
  for (auto& [id, row] : m_upstreams) {
    ApplyColdPolicy(row, now);
  }
}

void UpstreamPool::NoteCold(const UpstreamId& id,
                            std::int64_t start_time_ms,
                            Duration remaining,
                            TimePoint now) {
  Upstream* row = FindRow(id);
  if (row != nullptr && row->m_registration.m_start_time_ms == start_time_ms) {
    row->m_cold_until = std::max(row->m_cold_until, now + remaining);
    ApplyColdPolicy(*row, now);
  }
}

void UpstreamPool::UpdateLimits(TimePoint now) {
  m_tables.m_limits.Update(now);
  m_tables.m_refusal_limits.Update(now);
  for (auto& [id, row] : m_upstreams) {
    if (row.m_limited_as_cold && row.m_cold_until <= now) {
      row.m_limited_as_cold = false;
      if (m_on_cold_change) {
        m_on_cold_change({id, false, Duration::zero(), true});
      }
    }
  }
}

bool UpstreamPool::NoteLeaving(const UpstreamProcess& process, TimePoint now) {
  const bool is_new = m_leaving.Add(process, true, now);
  const auto id = m_ids.find(process.m_upstream);
  Upstream* row = id == m_ids.end() ? nullptr : FindRow(id->second);
  if (row != nullptr &&
      row->m_registration.m_start_time_ms == process.m_start_time_ms) {
    row->m_leaving = true;
  }
  return is_new;
}

}  // namespace nutmeghollow

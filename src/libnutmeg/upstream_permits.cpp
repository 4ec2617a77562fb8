// Permits and leases that a choice needs.
#include <algorithm>
#include <utility>

#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

std::vector<const UpstreamPool::Candidate*> UpstreamPool::BetterWithPermit(
    const std::vector<Candidate>& candidates) const {
  const Candidate* best = Best(candidates);
  std::vector<const Candidate*> preferred;
  for (const Candidate& candidate : candidates) {
    if ((candidate.m_needs_permit || candidate.m_needs_lease) &&
        (best == nullptr || IsBetter(candidate, *best))) {
      preferred.push_back(&candidate);
    }
  }
  std::sort(
      preferred.begin(), preferred.end(),
      [](const Candidate* a, const Candidate* b) { return IsBetter(*a, *b); });
  return preferred;
}

std::vector<LimitedProcess> UpstreamPool::PermitsWanted(
    const UpstreamQuery& upstream_query,
    TimePoint now) {
  std::vector<LimitedProcess> permits;
  std::vector<LimitedProcess> leases;
  if (!m_tables.m_limits.AnyLimited() &&
      !m_tables.m_refusal_limits.AnyLimited()) {
    return permits;
  }
  const Evaluation evaluation = Evaluate(upstream_query, now);
  for (const Candidate* candidate : BetterWithPermit(evaluation.m_candidates)) {
    const UpstreamProcess process = ProcessOf(*candidate->m_upstream);
    if (candidate->m_needs_permit) {
      if (m_tables.m_limits.MayRequestPermit(process, now)) {
        permits.push_back(
            {process, m_tables.m_limits.RateOf(process).value_or(0)});
      }
    } else if (m_tables.m_refusal_limits.MayRequestPermit(process, now)) {
      leases.push_back(
          {process, m_tables.m_refusal_limits.RateOf(process).value_or(0),
           std::max(1, candidate->m_upstream->m_registration.m_slots)});
    }
  }
  return permits.empty() ? leases : permits;
}

int UpstreamPool::Held(const Upstream& upstream, TimePoint now) const {
  return upstream.m_active + static_cast<int>(m_tables.m_refusal_limits.Permits(
                                 ProcessOf(upstream), now));
}

void UpstreamPool::EndLease(const Upstream& upstream,
                            AttemptHealth health,
                            TimePoint now) {
  const UpstreamProcess process = ProcessOf(upstream);
  const bool refused = health == AttemptHealth::kRefused;
  if (m_on_room_report && m_tables.m_refusal_limits.IsLimited(process)) {
    m_on_room_report({process, Held(upstream, now), 1, refused ? 1 : 0});
  }
}

void UpstreamPool::ReturnLeases(TimePoint now) {
  for (const auto& [id, row] : m_upstreams) {
    const auto unused = static_cast<int>(
        m_tables.m_refusal_limits.RemoveUnused(ProcessOf(row), now));
    if (unused > 0 && m_on_room_report) {
      m_on_room_report({ProcessOf(row), Held(row, now), unused, 0});
    }
  }
}

std::vector<RoomReport> UpstreamPool::RoomReports(TimePoint now) const {
  std::vector<RoomReport> reports;
  if (!m_tables.m_refusal_limits.AnyLimited()) {
    return reports;
  }
  for (const auto& [id, row] : m_upstreams) {
    if (m_tables.m_refusal_limits.IsLimited(ProcessOf(row))) {
      reports.push_back({ProcessOf(row), Held(row, now), 0, 0});
    }
  }
  return reports;
}

UpstreamId UpstreamPool::IdOf(UpstreamHash upstream) const {
  const auto found = m_ids.find(upstream);
  return found == m_ids.end() ? UpstreamId() : found->second;
}

}  // namespace nutmeghollow

#include "libnutmeg/upstream_verdicts.h"

#include <algorithm>
#include <cmath>

#include "libnutmeg/dissemination.h"

namespace nutmeghollow::detail {
namespace {

/// Upstreams whose unchanged verdicts fit into the control budget once per
/// announcement period.
constexpr std::size_t kUpstreamsPerPeriod = 128;

/// Merged verdict of all probers and the local traffic about an upstream.
enum class MergedVerdict { kHealthy, kDoubtful, kUnhealthy, kLeaving };

/// An unhealthy upstream, to be ejected within the ejection limit.
struct EjectionCandidate {
  TimePoint m_since{};
  UpstreamId m_id;
  auto operator<=>(const EjectionCandidate&) const = default;
};

MergedVerdict MergedVerdictOf(const World& world,
                              const UpstreamHealth& health,
                              TimePoint now) {
  const ProbingParameters& parameters = world.m_probing.m_parameters;
  const Duration expiry =
      std::max(parameters.m_verdict_expiry, 3 * AnnouncePeriod(world));
  int fresh = 0;
  int failing = 0;
  const StoredVerdict* newest = nullptr;
  for (const std::optional<StoredVerdict>& stored : health.m_verdicts) {
    if (!stored || now - stored->m_taken_at > expiry) {
      continue;
    }
    ++fresh;
    failing += stored->m_verdict == ProbeVerdict::kFailing ? 1 : 0;
    const bool reached = stored->m_verdict != ProbeVerdict::kFailing;
    if (reached &&
        (newest == nullptr || stored->m_taken_at > newest->m_taken_at)) {
      newest = &*stored;
    }
  }
  const bool traffic_fails =
      health.m_traffic_failures >= parameters.m_traffic_failures;
  if (failing > 0 && failing == fresh) {
    return MergedVerdict::kUnhealthy;
  }
  if (newest != nullptr && newest->m_verdict == ProbeVerdict::kLeaving) {
    return MergedVerdict::kLeaving;
  }
  // An upstream that this instance cannot reach is of no use to it, whatever
  // the other prober reports.
  if (traffic_fails && health.m_failing) {
    return MergedVerdict::kUnhealthy;
  }
  return failing > 0 || traffic_fails || health.m_failing
             ? MergedVerdict::kDoubtful
             : MergedVerdict::kHealthy;
}

/// Sets m_local_fault: the share of failing upstreams exceeds its limit, and at
/// least half of these failures are contradicted by the other prober.
void UpdateLocalFault(World& world, TimePoint now) {
  ProbingState& probing = world.m_probing;
  const ProbingParameters& parameters = probing.m_parameters;
  int failing = 0;
  int contradicted = 0;
  for (const UpstreamId& id : probing.m_assigned) {
    const UpstreamHealth& health = probing.m_health[id];
    if (health.m_failures == 0 || health.m_slot < 0) {
      continue;
    }
    ++failing;
    const std::optional<StoredVerdict>& other =
        health.m_verdicts[1 - health.m_slot];
    // Changed verdicts are announced immediately, so a verdict is valid until
    // the next one or its expiry.
    const bool recent =
        other && now - other->m_taken_at < parameters.m_verdict_expiry;
    contradicted +=
        recent && other->m_verdict != ProbeVerdict::kFailing ? 1 : 0;
  }
  const auto probed = static_cast<int>(probing.m_assigned.size());
  probing.m_local_fault = probed >= parameters.m_local_fault_min_probed &&
                          failing > parameters.m_local_fault_share * probed &&
                          2 * contradicted >= failing;
}

/// Limits the ejected share of the upstreams of each route and service. Callers
/// pass the upstreams in the order in which they became unhealthy.
class EjectionLimit {
 public:
  explicit EjectionLimit(const World& world) {
    const double share = world.m_probing.m_parameters.m_ejection_limit;
    for (const auto& [id, route] : world.m_routes) {
      AddGroup(route.m_upstreams, share);
    }
    for (const auto& [id, service] : world.m_services) {
      AddGroup(service.m_upstreams, share);
    }
  }

  /// Counts an upstream as ejected if the limits of all its groups allow it.
  /// @return true when it may be ejected.
  bool Take(const UpstreamId& id) {
    auto [begin, end] = m_groups.equal_range(id);
    for (auto group = begin; group != end; ++group) {
      if (m_remaining[group->second] == 0) {
        return false;
      }
    }
    for (auto group = begin; group != end; ++group) {
      --m_remaining[group->second];
    }
    return true;
  }

 private:
  void AddGroup(const std::vector<UpstreamId>& upstreams, double share) {
    const double allowed = share * static_cast<double>(upstreams.size());
    for (const UpstreamId& id : upstreams) {
      m_groups.emplace(id, m_remaining.size());
    }
    m_remaining.push_back(static_cast<int>(std::floor(allowed)));
  }

  std::multimap<UpstreamId, std::size_t> m_groups;
  std::vector<int> m_remaining;
};

void SetUpstreamStatus(UpstreamRow& row, UpstreamStatus status, TimePoint now) {
  if (row.m_status == status) {
    return;
  }
  const bool was_excluded = row.m_status == UpstreamStatus::kEjected ||
                            row.m_status == UpstreamStatus::kLeaving;
  const bool is_included =
      status == UpstreamStatus::kUsable || status == UpstreamStatus::kSuspect;
  if (was_excluded && is_included) {
    row.m_slow_start_since = now;
  }
  row.m_status = status;
  row.m_status_since = now;
}

/// Stores the newest load report of the probers.
void SetReport(UpstreamRow& row, const UpstreamHealth& health) {
  for (const std::optional<StoredVerdict>& stored : health.m_verdicts) {
    if (stored && stored->m_report &&
        (!row.m_report ||
         stored->m_report->m_taken_at > row.m_report->m_taken_at)) {
      row.m_report = stored->m_report;
    }
  }
}

}  // namespace

Duration AnnouncePeriod(const World& world) {
  const std::size_t size = world.m_upstreams.m_rows.size();
  const auto periods = static_cast<int>(1 + size / kUpstreamsPerPeriod);
  return periods * world.m_probing.m_parameters.m_announce_period;
}

void MergeVerdicts(World& world, TimePoint now) {
  ProbingState& probing = world.m_probing;
  UpdateLocalFault(world, now);
  std::vector<EjectionCandidate> candidates;
  for (auto& [id, row] : world.m_upstreams.m_rows) {
    if (row.m_slow_start_since &&
        now - *row.m_slow_start_since >= probing.m_parameters.m_slow_start) {
      row.m_slow_start_since.reset();
    }
    auto found = probing.m_health.find(id);
    if (found == probing.m_health.end()) {
      continue;
    }
    UpstreamHealth& health = found->second;
    SetReport(row, health);
    const MergedVerdict merged = MergedVerdictOf(world, health, now);
    if (merged != MergedVerdict::kUnhealthy) {
      health.m_unhealthy_since = TimePoint::max();
    }
    switch (merged) {
      case MergedVerdict::kHealthy:
        SetUpstreamStatus(row, UpstreamStatus::kUsable, now);
        break;
      case MergedVerdict::kDoubtful:
        SetUpstreamStatus(row, UpstreamStatus::kSuspect, now);
        break;
      case MergedVerdict::kLeaving:
        SetUpstreamStatus(row, UpstreamStatus::kLeaving, now);
        break;
      case MergedVerdict::kUnhealthy:
        health.m_unhealthy_since = std::min(health.m_unhealthy_since, now);
        candidates.push_back({health.m_unhealthy_since, id});
        break;
    }
  }
  if (candidates.empty()) {
    return;
  }
  std::sort(candidates.begin(), candidates.end());
  EjectionLimit limit(world);
  for (const EjectionCandidate& candidate : candidates) {
    const UpstreamStatus status = limit.Take(candidate.m_id)
                                      ? UpstreamStatus::kEjected
                                      : UpstreamStatus::kSuspect;
    SetUpstreamStatus(*world.m_upstreams.Find(candidate.m_id), status, now);
  }
}

}  // namespace nutmeghollow::detail

#include "libnutmeg/upstream_verdicts.h"

#include <algorithm>
#include <cmath>

#include "libnutmeg/dissemination.h"

namespace nutmeghollow::detail {
namespace {

/// Upstreams whose unchanged verdicts fit into the budget once per period.
constexpr std::size_t kUpstreamsPerPeriod = 128;

/// What the verdicts about an upstream say together.
enum class Finding { kGood, kDoubtful, kBad, kLeaving };

/// An upstream that should be ejected.
struct EjectionCandidate {
  TimePoint m_since{};
  UpstreamId m_id;
  auto operator<=>(const EjectionCandidate&) const = default;
};

Finding FindingOf(const World& world,
                  const UpstreamHealth& health,
                  TimePoint now) {
  const ProbingParameters& parameters = world.m_probing.m_parameters;
  const Duration expiry =
      std::max(parameters.m_verdict_expiry, 3 * AnnouncePeriod(world));
  int fresh = 0;
  int failing = 0;
  const StoredVerdict* newest = nullptr;
  for (const std::optional<StoredVerdict>& held : health.m_verdicts) {
    if (!held || now - held->m_taken_at > expiry) {
      continue;
    }
    ++fresh;
    failing += held->m_verdict == ProbeVerdict::kFailing ? 1 : 0;
    const bool reached = held->m_verdict != ProbeVerdict::kFailing;
    if (reached &&
        (newest == nullptr || held->m_taken_at > newest->m_taken_at)) {
      newest = &*held;
    }
  }
  const bool traffic_fails =
      health.m_traffic_failures >= parameters.m_traffic_failures;
  if (failing > 0 && failing == fresh) {
    return Finding::kBad;
  }
  if (newest != nullptr && newest->m_verdict == ProbeVerdict::kLeaving) {
    return Finding::kLeaving;
  }
  // Unreachable from here, whatever others say: useless to this instance.
  if (traffic_fails && health.m_failing) {
    return Finding::kBad;
  }
  return failing > 0 || traffic_fails || health.m_failing ? Finding::kDoubtful
                                                          : Finding::kGood;
}

/// Sets whether this instance doubts its own findings: most of its probes
/// fail while others reach the same upstreams.
void JudgeItself(World& world, TimePoint now) {
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
    // Changes are told at once, so a verdict holds until the next one.
    const bool recent =
        other && now - other->m_taken_at < parameters.m_verdict_expiry;
    contradicted +=
        recent && other->m_verdict != ProbeVerdict::kFailing ? 1 : 0;
  }
  const auto probed = static_cast<int>(probing.m_assigned.size());
  probing.m_doubts_itself = probed >= parameters.m_self_doubt_minimum &&
                            failing > parameters.m_self_doubt * probed &&
                            2 * contradicted >= failing;
}

/// Allows at most a share of each route's and service's upstreams to be
/// ejected; those that failed first go first.
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

  /// @return whether the upstream may be ejected; if so, it is counted.
  bool Take(const UpstreamId& id) {
    auto [begin, end] = m_groups.equal_range(id);
    for (auto group = begin; group != end; ++group) {
      if (m_left[group->second] == 0) {
        return false;
      }
    }
    for (auto group = begin; group != end; ++group) {
      --m_left[group->second];
    }
    return true;
  }

 private:
  void AddGroup(const std::vector<UpstreamId>& upstreams, double share) {
    const double allowed = share * static_cast<double>(upstreams.size());
    for (const UpstreamId& id : upstreams) {
      m_groups.emplace(id, m_left.size());
    }
    m_left.push_back(static_cast<int>(std::floor(allowed)));
  }

  std::multimap<UpstreamId, std::size_t> m_groups;
  std::vector<int> m_left;
};

void SetUpstreamStatus(UpstreamRow& row, UpstreamStatus status, TimePoint now) {
  if (row.m_status == status) {
    return;
  }
  const bool was_out = row.m_status == UpstreamStatus::kEjected ||
                       row.m_status == UpstreamStatus::kLeaving;
  const bool is_in =
      status == UpstreamStatus::kUsable || status == UpstreamStatus::kSuspect;
  if (was_out && is_in) {
    row.m_slow_start_since = now;
  }
  row.m_status = status;
  row.m_status_since = now;
}

/// Takes the newest load report of the probers.
void SetReport(UpstreamRow& row, const UpstreamHealth& health) {
  for (const std::optional<StoredVerdict>& held : health.m_verdicts) {
    if (held && held->m_report &&
        (!row.m_report ||
         held->m_report->m_taken_at > row.m_report->m_taken_at)) {
      row.m_report = held->m_report;
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
  JudgeItself(world, now);
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
    const Finding finding = FindingOf(world, health, now);
    if (finding != Finding::kBad) {
      health.m_bad_since = TimePoint::max();
    }
    switch (finding) {
      case Finding::kGood:
        SetUpstreamStatus(row, UpstreamStatus::kUsable, now);
        break;
      case Finding::kDoubtful:
        SetUpstreamStatus(row, UpstreamStatus::kSuspect, now);
        break;
      case Finding::kLeaving:
        SetUpstreamStatus(row, UpstreamStatus::kLeaving, now);
        break;
      case Finding::kBad:
        health.m_bad_since = std::min(health.m_bad_since, now);
        candidates.push_back({health.m_bad_since, id});
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

#include "nutmeghollow/loads.h"

#include <algorithm>

#include "nutmeghollow/hashing.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

const std::vector<UpstreamId>* MembersOf(const World& world,
                                         const Destination& destination) {
  if (destination.m_kind == RequestKind::kChat) {
    const auto found = world.m_routes.find(destination.m_route);
    return found == world.m_routes.end() ? nullptr : &found->second.m_upstreams;
  }
  const auto found = world.m_services.find(destination.m_service);
  return found == world.m_services.end() ? nullptr : &found->second.m_upstreams;
}

void Rebuild(World& world,
             DestinationView& view,
             const std::vector<UpstreamId>& members) {
  view.m_revision = world.m_configuration.m_revision;
  view.m_upstream_rows = world.m_upstreams.m_rows.size();
  view.m_members = members.size();
  view.m_refresh_at = TimePoint::min();
  view.m_candidates.clear();
  const InstanceRow* self = world.m_instances.Find(world.m_instances.m_self);
  for (const UpstreamId& id : members) {
    UpstreamRow* row = world.m_upstreams.Find(id);
    if (row == nullptr) {
      continue;
    }
    Candidate& candidate = view.m_candidates.emplace_back();
    candidate.m_row = row;
    candidate.m_load = &world.m_loads.m_upstreams[id];
    candidate.m_hash = HashText(id.str());
    candidate.m_memory_index = world.m_placement.m_chats.IndexOf(id);
    candidate.m_same_region = self == nullptr || InSameRegion(*self, *row);
  }
}

bool IsCurrent(const World& world,
               const DestinationView& view,
               const std::vector<UpstreamId>& members) {
  return view.m_revision == world.m_configuration.m_revision &&
         view.m_upstream_rows == world.m_upstreams.m_rows.size() &&
         view.m_members == members.size() && view.m_members > 0;
}

int AnnouncedByPeers(const World& world,
                     const UpstreamId& upstream,
                     TimePoint now) {
  const auto found = world.m_peers.m_loads.find(upstream);
  if (found == world.m_peers.m_loads.end()) {
    return 0;
  }
  int running = 0;
  for (const auto& [instance, load] : found->second) {
    if (instance != world.m_instances.m_self &&
        now - load.m_received_at <= world.m_load_parameters.m_peer_age_limit) {
      running += load.m_running;
    }
  }
  return running;
}

bool HasFreshReport(const World& world, const UpstreamRow& row, TimePoint now) {
  return row.m_report && now - row.m_report->m_taken_at <=
                             world.m_load_parameters.m_report_age_limit;
}

int CountGrants(const World& world,
                const UpstreamRow& row,
                const UpstreamLoad& load,
                TimePoint now) {
  TimePoint since = now - world.m_load_parameters.m_grant_age_limit;
  if (HasFreshReport(world, row, now)) {
    since = std::max(since, row.m_report->m_taken_at);
  }
  const auto first =
      std::upper_bound(load.m_grants.begin(), load.m_grants.end(), since);
  return static_cast<int>(load.m_grants.end() - first);
}

}  // namespace

std::int64_t RunningHistory::SlotOf(TimePoint time) {
  return time.time_since_epoch() / kSlotLength;
}

void RunningHistory::Record(int running, TimePoint now) {
  const std::int64_t slot = SlotOf(now);
  if (m_newest < 0) {
    m_newest = slot - 1;
  }
  const std::uint16_t last = m_running[m_newest % kSlots];
  const std::int64_t first = std::max(m_newest + 1, slot - kSlots + 1);
  for (std::int64_t gap = first; gap < slot; ++gap) {
    m_running[gap % kSlots] = last;
  }
  m_running[slot % kSlots] = static_cast<std::uint16_t>(running);
  m_newest = slot;
}

int RunningHistory::At(TimePoint time) const {
  if (m_newest < 0) {
    return 0;
  }
  const std::int64_t oldest = std::max<std::int64_t>(0, m_newest - kSlots + 1);
  const std::int64_t slot = std::clamp(SlotOf(time), oldest, m_newest);
  return m_running[slot % kSlots];
}

bool InSameRegion(const InstanceRow& instance, const UpstreamRow& upstream) {
  return instance.m_region.empty() || upstream.m_region.empty() ||
         instance.m_region == upstream.m_region;
}

int EstimateRemote(const World& world,
                   const UpstreamRow& row,
                   const UpstreamLoad* load,
                   TimePoint now) {
  int remote = AnnouncedByPeers(world, row.m_id, now);
  if (HasFreshReport(world, row, now)) {
    const ProbedLoad& report = *row.m_report;
    const int own = load == nullptr ? 0 : load->m_history.At(report.m_taken_at);
    remote = std::max(remote, report.m_running + report.m_queued - own);
  }
  return load == nullptr ? remote
                         : remote + CountGrants(world, row, *load, now);
}

double SlowStartFactor(const LoadParameters& parameters,
                       const UpstreamRow& row,
                       TimePoint now) {
  if (!row.m_slow_start_since || parameters.m_slow_start <= Duration::zero()) {
    return 1.0;
  }
  const double passed =
      std::chrono::duration<double>(now - *row.m_slow_start_since) /
      parameters.m_slow_start;
  return std::clamp(passed, parameters.m_slow_start_share, 1.0);
}

DestinationView& ViewOf(World& world,
                        const Destination& destination,
                        TimePoint now) {
  DestinationView& view = world.m_loads.m_views[destination];
  const std::vector<UpstreamId>* members = MembersOf(world, destination);
  if (members == nullptr) {
    view.m_candidates.clear();
    view.m_members = 0;
    return view;
  }
  if (!IsCurrent(world, view, *members)) {
    Rebuild(world, view, *members);
  }
  if (now < view.m_refresh_at) {
    return view;
  }
  view.m_refresh_at = now + world.m_load_parameters.m_refresh;
  for (Candidate& candidate : view.m_candidates) {
    candidate.m_remote =
        EstimateRemote(world, *candidate.m_row, candidate.m_load, now);
    candidate.m_slow_start_factor =
        SlowStartFactor(world.m_load_parameters, *candidate.m_row, now);
  }
  return view;
}

void ChangeRunning(World& world, UpstreamRow& row, int change, TimePoint now) {
  row.m_local_running += change;
  NUTMEG_CHECK(row.m_local_running >= 0,
               "an upstream's running requests are never below zero");
  world.m_loads.m_upstreams[row.m_id].m_history.Record(row.m_local_running,
                                                       now);
}

void RecordGrant(World& world, const UpstreamId& upstream, TimePoint now) {
  std::deque<TimePoint>& grants = world.m_loads.m_upstreams[upstream].m_grants;
  const TimePoint oldest = now - world.m_load_parameters.m_grant_age_limit;
  while (!grants.empty() && grants.front() < oldest) {
    grants.pop_front();
  }
  grants.push_back(now);
}

}  // namespace nutmeghollow

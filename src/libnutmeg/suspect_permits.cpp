// Decides whether this instance may dispatch a suspect: permits, queries to the
// peers, and look-ups while a peer is lost.
#include "libnutmeg/suspect_permits.h"

#include <algorithm>

#include "libnutmeg/dissemination.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

using Stage = SuspectWork::Stage;

/// After the end of an attempt the permit is kept until the crash verdict plus
/// this margin, so that the crash is written before the permit is released.
constexpr Duration kVerdictMargin = std::chrono::milliseconds(100);

/// @return whether the request is still waiting for dispatch.
bool IsStillPlaced(const World& world, RequestId id) {
  const RequestRow* row = world.m_requests.Find(id);
  return row != nullptr && row->m_phase == RequestPhase::kPlaced;
}

/// Sends a suspect to all peers with a probe, which they acknowledge.
void QueryPeers(World& world, RequestDigest digest, TimePoint now) {
  SuspectRecordState& state = world.m_suspect_records;
  if (now - state.m_last_query_at < state.m_parameters.m_query_interval) {
    return;
  }
  state.m_last_query_at = now;
  std::erase_if(state.m_peer_queries, [&](const auto& query) {
    return now - query.second.m_queried_at > state.m_parameters.m_store_timeout;
  });
  const auto peers = static_cast<int>(world.m_instances.m_rows.size());
  int& transmissions = world.m_gossip.m_suspects[digest];
  transmissions = std::max(transmissions, peers);
  for (const auto& [id, row] : world.m_instances.m_rows) {
    if (id == world.m_instances.m_self ||
        row.m_status == InstanceStatus::kDead) {
      continue;
    }
    GossipMessage message = detail::BuildMessage(world, GossipKind::kPing, id,
                                                 ControlClass::kUrgent, now);
    message.m_probe = ++world.m_membership.m_last_probe;
    state.m_peer_queries[message.m_probe] = {id, now};
    detail::SendGossip(world, message, id, row.m_peer_endpoint,
                       ControlClass::kUrgent, now);
  }
}

/// @param since when this instance was about to dispatch the request.
/// @return whether no instance may run the suspect without knowing of it.
bool IsKnownToAllInstances(const World& world,
                           RequestDigest digest,
                           TimePoint since,
                           TimePoint now) {
  const SuspectRecordState& state = world.m_suspect_records;
  const auto found = world.m_suspects.find(digest);
  if (found == world.m_suspects.end()) {
    return true;  // Cleared in the meantime.
  }
  const TimePoint crashed_at =
      found->second.m_expires_at - world.m_quarantine_parameters.m_expiry;
  const auto limit =
      static_cast<std::size_t>(world.m_gossip.m_parameters.m_load_to_all_limit);
  if (now - crashed_at >= state.m_parameters.m_unreachable_peer_grace ||
      world.m_instances.m_rows.size() > limit) {
    return true;
  }
  return std::all_of(world.m_instances.m_rows.begin(),
                     world.m_instances.m_rows.end(), [&](const auto& entry) {
                       const auto confirmed =
                           state.m_confirmed.find(entry.first);
                       return entry.first == world.m_instances.m_self ||
                              (confirmed != state.m_confirmed.end() &&
                               confirmed->second >= since);
                     });
}

/// @return whether a peer was lost recently, so that gossip may not reach all.
bool HasLostPeerRecently(const World& world, TimePoint now) {
  const Duration recent = world.m_suspect_records.m_parameters.m_lookup_period;
  return std::any_of(world.m_instances.m_rows.begin(),
                     world.m_instances.m_rows.end(), [&](const auto& entry) {
                       const InstanceRow& row = entry.second;
                       const bool lost =
                           row.m_status == InstanceStatus::kSuspect ||
                           row.m_status == InstanceStatus::kDead;
                       return lost && now - row.m_status_since < recent;
                     });
}

/// @return whether all known instances are reachable, so that gossip reaches
/// them.
bool AllInstancesReachable(const World& world) {
  return std::all_of(world.m_instances.m_rows.begin(),
                     world.m_instances.m_rows.end(), [](const auto& entry) {
                       const InstanceStatus status = entry.second.m_status;
                       return status == InstanceStatus::kAlive ||
                              status == InstanceStatus::kLeaving;
                     });
}

}  // namespace

void detail::CancelAbandonedPermit(const World& world,
                                   SuspectWork& work,
                                   TimePoint now) {
  const bool before_run =
      work.m_stage != Stage::kNone && work.m_stage != Stage::kRunning;
  if (!before_run || IsStillPlaced(world, work.m_request)) {
    return;
  }
  if (work.m_stage == Stage::kGranted) {
    work.m_release_at = now;
  }
  work.m_stage = Stage::kNone;
}

SuspectPermit RequestSuspectPermit(World& world,
                                   const RequestRow& row,
                                   TimePoint now) {
  SuspectRecordState& state = world.m_suspect_records;
  SuspectWork& work = state.m_work[row.m_request.m_digest];
  detail::CancelAbandonedPermit(world, work, now);
  if (work.m_stage == Stage::kNone) {
    work.m_stage = Stage::kRequested;
    work.m_request = row.m_request.m_id;
    work.m_requested_since = now;
    world.m_tick_again = true;
  }
  if (work.m_request != row.m_request.m_id) {
    return SuspectPermit::kWaiting;
  }
  const RequestDigest digest = row.m_request.m_digest;
  const bool known_to_all =
      IsKnownToAllInstances(world, digest, work.m_requested_since, now);
  const bool waited =
      now - work.m_requested_since >= state.m_parameters.m_store_timeout;
  const bool store_timed_out = work.m_stage == Stage::kRequested && waited;
  const bool allowed = work.m_stage == Stage::kGranted ||
                       (store_timed_out && AllInstancesReachable(world));
  if (allowed && known_to_all) {
    work.m_stage = Stage::kRunning;
    return SuspectPermit::kGranted;
  }
  if (work.m_stage == Stage::kDenied || waited) {
    if (work.m_stage == Stage::kGranted) {
      work.m_release_at = now;
    }
    work.m_stage = Stage::kNone;
    ++state.m_refused;
    return SuspectPermit::kRunsElsewhere;
  }
  if (!known_to_all) {
    QueryPeers(world, digest, now);
  }
  return SuspectPermit::kWaiting;
}

void NoteProbeAck(World& world, std::uint32_t probe) {
  SuspectRecordState& state = world.m_suspect_records;
  const auto query = state.m_peer_queries.extract(probe);
  if (!query.empty()) {
    TimePoint& confirmed = state.m_confirmed[query.mapped().m_peer];
    confirmed = std::max(confirmed, query.mapped().m_queried_at);
    world.m_tick_again = true;
  }
}

bool EnsureLookedUp(World& world, const RequestRow& row, TimePoint now) {
  SuspectRecordState& state = world.m_suspect_records;
  if (!HasLostPeerRecently(world, now)) {
    return true;
  }
  const RequestDigest digest = row.m_request.m_digest;
  const auto found = state.m_looked_up.find(digest);
  const bool read =
      found != state.m_looked_up.end() && found->second >= row.m_phase_since;
  if (read || now - row.m_phase_since >= state.m_parameters.m_lookup_timeout) {
    return true;
  }
  SuspectWork& work = state.m_work[digest];
  if (!work.m_read_requested && !work.m_in_flight) {
    work.m_read_requested = true;
    world.m_tick_again = true;
  }
  return false;
}

void ReleaseSuspectPermit(World& world, const RequestRow& row, TimePoint now) {
  auto& all = world.m_suspect_records.m_work;
  const auto found = all.find(row.m_request.m_digest);
  if (found == all.end() || found->second.m_stage != Stage::kRunning ||
      found->second.m_request != row.m_request.m_id) {
    return;
  }
  found->second.m_stage = Stage::kNone;
  found->second.m_release_at =
      now + world.m_quarantine_parameters.m_verdict_delay + kVerdictMargin;
}

}  // namespace nutmeghollow

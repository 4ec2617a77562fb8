#include "nutmeghollow/quarantine.h"

#include <algorithm>
#include <vector>

#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

constexpr Duration kExpiryPeriod = std::chrono::seconds(1);
/// Bytes that an upstream sent before its crash arrive within this time.
constexpr Duration kTransitTime = std::chrono::milliseconds(50);

/// Counts a crash of an upstream against a request. A crash that another
/// instance has already announced is not counted again.
void CountCrash(World& world,
                const BrokenRequest& broken,
                const UpstreamId& upstream,
                TimePoint now) {
  const RequestDigest digest = broken.m_digest;
  const QuarantineParameters& parameters = world.m_quarantine_parameters;
  SuspectRow& row = world.m_suspects[digest];
  row.m_digest = digest;
  const bool known = row.m_crashed_upstreams.contains(upstream);
  const TimePoint counted_at = row.m_expires_at - parameters.m_expiry;
  if (known && now - counted_at < parameters.m_same_crash_window &&
      broken.m_dispatched_at <= counted_at) {
    return;
  }
  row.m_crashed_upstreams.insert(upstream);
  const int distinct = static_cast<int>(row.m_crashed_upstreams.size());
  row.m_crashes = std::max(row.m_crashes + (known ? 1 : 0), distinct);
  row.m_expires_at = now + parameters.m_expiry;
  if (row.m_crashes >= parameters.m_crash_limit && !row.m_quarantined) {
    row.m_quarantined = true;
    ++world.m_quarantine.m_quarantined;
  }
}

/// A crash breaks all connections at once, so a connection that still receives
/// data proves that the upstream is running. An open connection alone does not:
/// it may have been dead for a long time.
bool HasLiveConnection(const World& world,
                       const UpstreamId& upstream,
                       const PossibleCrash& crash) {
  if (!world.m_hooks.m_last_received) {
    return false;
  }
  const auto receives = [&](RequestId id) {
    const RequestRow* row = world.m_requests.Find(id);
    return row != nullptr && !crash.m_broken.contains(id) &&
           row->m_upstream == upstream &&
           world.m_hooks.m_last_received(id) >= crash.m_broke_at + kTransitTime;
  };
  return std::any_of(crash.m_in_flight.begin(), crash.m_in_flight.end(),
                     receives);
}

void ApplyVerdict(World& world,
                  const UpstreamId& upstream,
                  const PossibleCrash& crash,
                  TimePoint now) {
  if (crash.m_survived || HasLiveConnection(world, upstream, crash)) {
    return;
  }
  ++world.m_quarantine.m_crashes;
  for (const auto& [id, broken] : crash.m_broken) {
    CountCrash(world, broken, upstream, now);
    RecordCrash(world, broken.m_digest, upstream, now - broken.m_dispatched_at,
                now);
  }
}

void Expire(World& world, TimePoint now) {
  SuspectTable& suspects = world.m_suspects;
  std::erase_if(suspects, [&world, now](const auto& entry) {
    const bool expired = entry.second.m_expires_at <= now;
    if (expired) {
      NoteSuspectExpired(world, entry.first);
    }
    return expired;
  });
  while (suspects.size() > world.m_quarantine_parameters.m_limit) {
    suspects.erase(std::min_element(
        suspects.begin(), suspects.end(), [](const auto& a, const auto& b) {
          return a.second.m_expires_at < b.second.m_expires_at;
        }));
  }
}

/// Makes gossip send recent entries again.
void ReannounceSuspects(World& world, TimePoint now) {
  const QuarantineParameters& parameters = world.m_quarantine_parameters;
  if (world.m_suspects.size() > parameters.m_announce_limit) {
    return;
  }
  const Duration oldest = parameters.m_expiry - parameters.m_announce_duration;
  for (const auto& [digest, row] : world.m_suspects) {
    if (row.m_expires_at - now >= oldest) {
      world.m_gossip.m_known_suspects.erase(digest);
    }
  }
}

/// @return whether a verdict is pending on an attempt of the request.
bool HasPendingVerdict(const World& world, RequestDigest digest) {
  const auto& crashes = world.m_quarantine.m_possible_crashes;
  return std::any_of(crashes.begin(), crashes.end(), [&](const auto& entry) {
    const auto& broken = entry.second.m_broken;
    return std::any_of(broken.begin(), broken.end(), [&](const auto& request) {
      return request.second.m_digest == digest;
    });
  });
}

/// @return requests of which a byte may have reached the upstream.
std::set<RequestId> InFlightAt(const World& world, const UpstreamId& upstream) {
  std::set<RequestId> sent;
  const auto found = world.m_request_flow.m_in_flight.find(upstream);
  if (found == world.m_request_flow.m_in_flight.end()) {
    return sent;
  }
  for (RequestId id : found->second) {
    const RequestRow* row = world.m_requests.Find(id);
    if (row != nullptr && row->m_phase != RequestPhase::kDispatched) {
      sent.insert(id);
    }
  }
  return sent;
}

}  // namespace

void RunQuarantine(World& world, TimePoint now) {
  HandleSuspectResults(world, now);
  auto& crashes = world.m_quarantine.m_possible_crashes;
  for (auto crash = crashes.begin(); crash != crashes.end();) {
    if (crash->second.m_verdict_at > now) {
      ++crash;
      continue;
    }
    ApplyVerdict(world, crash->first, crash->second, now);
    crash = crashes.erase(crash);
  }
  if (now >= world.m_quarantine.m_next_announcement) {
    world.m_quarantine.m_next_announcement =
        now + world.m_quarantine_parameters.m_announce_period;
    ReannounceSuspects(world, now);
  }
  if (now >= world.m_quarantine.m_next_expiry) {
    world.m_quarantine.m_next_expiry = now + kExpiryPeriod;
    Expire(world, now);
  }
  FlushSuspectRecords(world, now);
}

bool IsQuarantined(const World& world, RequestDigest digest, TimePoint now) {
  const auto found = world.m_suspects.find(digest);
  if (found == world.m_suspects.end() || found->second.m_expires_at <= now) {
    return false;
  }
  const SuspectRow& row = found->second;
  const int crashes =
      std::max(row.m_crashes, static_cast<int>(row.m_crashed_upstreams.size()));
  return row.m_quarantined ||
         crashes >= world.m_quarantine_parameters.m_crash_limit;
}

bool IsSuspect(const World& world, RequestDigest digest, TimePoint now) {
  const auto found = world.m_suspects.find(digest);
  const bool listed =
      found != world.m_suspects.end() && found->second.m_expires_at > now;
  return listed || HasPendingVerdict(world, digest);
}

SuspectSlot AcquireSuspectSlot(World& world,
                               const RequestRow& row,
                               TimePoint now) {
  const RequestDigest digest = row.m_request.m_digest;
  if (HasPendingVerdict(world, digest)) {
    return SuspectSlot::kWait;  // Until the verdict is known.
  }
  if (!IsSuspect(world, digest, now)) {
    return EnsureLookedUp(world, row, now) ? SuspectSlot::kAcquired
                                           : SuspectSlot::kWait;
  }
  for (const auto& [upstream, id] : world.m_quarantine.m_running_suspects) {
    const RequestRow* other = world.m_requests.Find(id);
    const bool same = other != nullptr && other->m_request.m_digest == digest;
    if (upstream == row.m_upstream || same) {
      return SuspectSlot::kWait;
    }
  }
  switch (RequestSuspectPermit(world, row, now)) {
    case SuspectPermit::kWaiting:
      return SuspectSlot::kWait;
    case SuspectPermit::kRunsElsewhere:
      return SuspectSlot::kRunsElsewhere;
    case SuspectPermit::kGranted:
      break;
  }
  world.m_quarantine.m_running_suspects[row.m_upstream] = row.m_request.m_id;
  return SuspectSlot::kAcquired;
}

void ReleaseSuspectSlot(World& world, const RequestRow& row, TimePoint now) {
  auto& running = world.m_quarantine.m_running_suspects;
  const auto found = running.find(row.m_upstream);
  if (found != running.end() && found->second == row.m_request.m_id) {
    running.erase(found);
  }
  ReleaseSuspectPermit(world, row, now);
}

TimePoint NoteBrokenConnection(World& world,
                               const RequestRow& row,
                               TimePoint now) {
  const QuarantineParameters& parameters = world.m_quarantine_parameters;
  auto& crashes = world.m_quarantine.m_possible_crashes;
  auto [entry, inserted] = crashes.try_emplace(row.m_upstream);
  PossibleCrash& crash = entry->second;
  if (inserted) {
    crash.m_broke_at = now;
    crash.m_verdict_at = now + parameters.m_verdict_delay;
    crash.m_in_flight = InFlightAt(world, row.m_upstream);
  }
  crash.m_broken[row.m_request.m_id] = {row.m_request.m_digest,
                                        row.m_dispatched_at};
  return crash.m_verdict_at + parameters.m_propagation_delay;
}

void NoteStreamRetained(World& world, const UpstreamId& upstream) {
  auto& crashes = world.m_quarantine.m_possible_crashes;
  const auto found = crashes.find(upstream);
  if (found != crashes.end()) {
    found->second.m_survived = true;
  }
}

void NoteCompletion(World& world, const RequestRow& row, TimePoint now) {
  auto& crashes = world.m_quarantine.m_possible_crashes;
  const auto crash = crashes.find(row.m_upstream);
  if (crash != crashes.end() &&
      crash->second.m_in_flight.contains(row.m_request.m_id) &&
      now >= crash->second.m_broke_at + kTransitTime) {
    crash->second.m_survived = true;
  }
  const auto found = world.m_suspects.find(row.m_request.m_digest);
  if (found != world.m_suspects.end() && !found->second.m_quarantined) {
    world.m_suspects.erase(found);
    ClearSuspectRecord(world, row.m_request.m_digest);
    ++world.m_quarantine.m_cleared;
  }
}

}  // namespace nutmeghollow

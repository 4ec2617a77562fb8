#include "libnutmeg/member_table.h"

#include <algorithm>
#include <cmath>

#include "libnutmeg/dissemination.h"

namespace nutmeghollow::detail {
namespace {

/// Maximum instances in the table, dead ones included.
constexpr std::size_t kTableLimit = 4096;

/// Weight of a refuted suspicion, relative to a return from dead.
constexpr double kSuspicionFlap = 0.25;

/// @return the precedence of a status: within one incarnation, a higher rank
/// replaces a lower one.
int Rank(InstanceStatus status) {
  switch (status) {
    case InstanceStatus::kAlive:
      return 0;
    case InstanceStatus::kSuspect:
      return 1;
    case InstanceStatus::kLeaving:
      return 2;
    case InstanceStatus::kDead:
      break;
  }
  return 3;
}

double DecayedFlaps(const World& world,
                    const MemberState& state,
                    TimePoint now) {
  const Duration half_life = world.m_membership.m_parameters.m_flap_half_life;
  const double half_lives =
      std::chrono::duration<double>(now - state.m_flaps_at) /
      std::chrono::duration<double>(half_life);
  return state.m_flaps * std::exp2(-half_lives);
}

void CountFlap(World& world, MemberState& state, double weight, TimePoint now) {
  state.m_flaps = DecayedFlaps(world, state, now) + weight;
  state.m_flaps_at = now;
  if (state.m_flaps > world.m_membership.m_parameters.m_flap_limit) {
    state.m_damped = true;
  }
}

/// Inserts an instance into the ring of probe targets, at a random position.
void AddToOrder(World& world, const InstanceId& id) {
  auto& order = world.m_membership.m_order;
  const std::size_t position = world.m_hooks.m_random() % (order.size() + 1);
  order.insert(order.begin() + static_cast<std::ptrdiff_t>(position), id);
}

void SetDetails(InstanceRow& row, const MemberDetails& details) {
  row.m_caller_endpoint = details.m_caller_endpoint;
  row.m_peer_endpoint = details.m_peer_endpoint;
  row.m_data_centre = details.m_data_centre;
  row.m_region = details.m_region;
}

/// @return the addresses of an instance from its entry or else from the
/// platform's list; nullopt if neither has them.
std::optional<MemberDetails> FindDetails(const World& world,
                                         const MemberEntry& entry) {
  if (entry.m_details) {
    return entry.m_details;
  }
  auto found = world.m_membership.m_candidates.find(entry.m_id);
  if (found == world.m_membership.m_candidates.end()) {
    return std::nullopt;
  }
  const ListedInstance& listed = found->second.m_listed;
  return MemberDetails{.m_caller_endpoint = listed.m_caller_endpoint,
                       .m_peer_endpoint = listed.m_peer_endpoint,
                       .m_data_centre = listed.m_data_centre,
                       .m_region = listed.m_region};
}

void AddMember(World& world, const MemberEntry& entry, TimePoint now) {
  const std::optional<MemberDetails> details = FindDetails(world, entry);
  if (entry.m_status == InstanceStatus::kDead ||
      world.m_instances.m_rows.size() >= kTableLimit) {
    return;
  }
  if (!details) {
    world.m_gossip.m_details_missing = true;
    return;
  }
  InstanceRow& row = world.m_instances.m_rows[entry.m_id];
  row.m_id = entry.m_id;
  row.m_incarnation = entry.m_incarnation;
  row.m_last_message_at = now;
  SetDetails(row, *details);
  MemberState& state = world.m_membership.m_members[entry.m_id];
  state = MemberState{};
  state.m_first_seen = now;
  state.m_suspected = entry.m_status == InstanceStatus::kSuspect;
  state.m_suspected_at = now;
  AddToOrder(world, entry.m_id);
  SetStatus(world, row, entry.m_status, now);
  AnnounceMember(world, entry.m_id, false);
}

/// Refutes a wrong update about the own instance with a higher incarnation.
void Refute(World& world, const MemberEntry& entry) {
  InstanceRow& self = world.m_instances.m_rows[world.m_instances.m_self];
  const bool same = entry.m_incarnation == self.m_incarnation &&
                    Rank(entry.m_status) <= Rank(self.m_status);
  if (entry.m_incarnation < self.m_incarnation || same) {
    return;
  }
  const Incarnation before = self.m_incarnation;
  self.m_incarnation = entry.m_incarnation.Next();
  NUTMEG_CHECK(self.m_incarnation > before,
               "a refutation raises the incarnation");
  ++world.m_membership.m_version;
  ++world.m_membership.m_counters.m_refutations;
  AnnounceMember(world, self.m_id, true);
}

/// Sets a member to alive, or to suspect while it is damped.
void SetAlive(World& world,
              InstanceRow& row,
              MemberState& state,
              TimePoint now) {
  const InstanceStatus status =
      state.m_damped ? InstanceStatus::kSuspect : InstanceStatus::kAlive;
  SetStatus(world, row, status, now);
}

void Adopt(World& world,
           InstanceRow& row,
           const MemberEntry& entry,
           TimePoint now) {
  MemberState& state = world.m_membership.m_members[row.m_id];
  const InstanceStatus before = ProtocolStatus(world, row);
  NUTMEG_CHECK(entry.m_incarnation >= row.m_incarnation,
               "an incarnation never decreases");
  if (entry.m_incarnation != row.m_incarnation) {
    row.m_incarnation = entry.m_incarnation;
    ++world.m_membership.m_version;
  }
  if (entry.m_details) {
    SetDetails(row, *entry.m_details);
  }
  state.m_suspected = entry.m_status == InstanceStatus::kSuspect;
  state.m_suspected_at = now;
  if (entry.m_status == InstanceStatus::kAlive) {
    if (before == InstanceStatus::kDead) {
      CountFlap(world, state, 1, now);
    } else if (before == InstanceStatus::kSuspect) {
      CountFlap(world, state, kSuspicionFlap, now);
    }
    state.m_backoff = Duration::zero();
    SetAlive(world, row, state, now);
  } else {
    SetStatus(world, row, entry.m_status, now);
  }
  const bool leaving = entry.m_status == InstanceStatus::kLeaving;
  AnnounceMember(world, row.m_id, leaving && before != entry.m_status);
}

void DeclareDead(World& world, InstanceRow& row, TimePoint now) {
  MemberState& state = world.m_membership.m_members[row.m_id];
  state.m_suspected = false;
  state.m_next_contact =
      now + world.m_membership.m_parameters.m_contact_backoff;
  ++world.m_membership.m_counters.m_deaths;
  SetStatus(world, row, InstanceStatus::kDead, now);
  AnnounceMember(world, row.m_id, false);
}

}  // namespace

void SetStatus(World& world,
               InstanceRow& row,
               InstanceStatus status,
               TimePoint now) {
  NUTMEG_CHECK(row.m_id != world.m_instances.m_self ||
                   status == InstanceStatus::kAlive ||
                   status == InstanceStatus::kLeaving,
               "an instance never marks itself as suspect or dead");
  ++world.m_membership.m_version;
  if (row.m_status != status) {
    row.m_status = status;
    row.m_status_since = now;
  }
}

void ApplyMember(World& world, const MemberEntry& entry, TimePoint now) {
  if (entry.m_id == world.m_instances.m_self) {
    Refute(world, entry);
    return;
  }
  auto found = world.m_instances.m_rows.find(entry.m_id);
  if (found == world.m_instances.m_rows.end()) {
    AddMember(world, entry, now);
    return;
  }
  InstanceRow& row = found->second;
  const bool newer = entry.m_incarnation > row.m_incarnation;
  const bool same = entry.m_incarnation == row.m_incarnation;
  if (newer ||
      (same && Rank(entry.m_status) > Rank(ProtocolStatus(world, row)))) {
    Adopt(world, row, entry, now);
  }
}

void ApplySender(World& world,
                 const InstanceId& from,
                 const GossipMessage& message,
                 TimePoint now) {
  MemberEntry entry{.m_id = from,
                    .m_incarnation = message.m_incarnation,
                    .m_status = message.m_leaving ? InstanceStatus::kLeaving
                                                  : InstanceStatus::kAlive};
  for (const MemberEntry& member : message.m_members) {
    if (member.m_id == from) {
      entry.m_details = member.m_details;
    }
  }
  ApplyMember(world, entry, now);
  auto row = world.m_instances.m_rows.find(from);
  if (row != world.m_instances.m_rows.end()) {
    row->second.m_last_message_at = now;
  }
}

void SuspectMember(World& world, const InstanceId& id, TimePoint now) {
  auto found = world.m_instances.m_rows.find(id);
  if (found == world.m_instances.m_rows.end()) {
    return;
  }
  InstanceRow& row = found->second;
  MemberState& state = world.m_membership.m_members[id];
  if (state.m_suspected || row.m_status == InstanceStatus::kDead) {
    return;
  }
  state.m_suspected = true;
  state.m_suspected_at = now;
  ++world.m_membership.m_counters.m_suspicions;
  if (row.m_status != InstanceStatus::kLeaving) {
    SetStatus(world, row, InstanceStatus::kSuspect, now);
    AnnounceMember(world, id, false);
  }
}

Duration SuspicionTimeout(const World& world) {
  const auto size = static_cast<double>(world.m_instances.m_rows.size());
  const double factor = std::max(1.0, std::log10(std::max(1.0, size)));
  const auto base = static_cast<double>(
      world.m_membership.m_parameters.m_suspicion_timeout.count());
  return Duration(static_cast<std::int64_t>(base * factor));
}

void SweepMembers(World& world, TimePoint now) {
  MembershipState& membership = world.m_membership;
  const Duration suspicion = SuspicionTimeout(world);
  std::vector<InstanceId> expired;
  for (auto& [id, row] : world.m_instances.m_rows) {
    if (id == world.m_instances.m_self) {
      continue;
    }
    MemberState& state = membership.m_members[id];
    if (state.m_suspected && now - state.m_suspected_at >= suspicion) {
      DeclareDead(world, row, now);
    }
    const double limit = membership.m_parameters.m_flap_limit / 2;
    if (state.m_damped && DecayedFlaps(world, state, now) < limit) {
      state.m_damped = false;
      if (row.m_status == InstanceStatus::kSuspect && !state.m_suspected) {
        SetStatus(world, row, InstanceStatus::kAlive, now);
      }
    }
    if (row.m_status == InstanceStatus::kDead &&
        now - row.m_status_since >
            membership.m_parameters.m_tombstone_lifetime) {
      expired.push_back(id);
    }
  }
  for (const InstanceId& id : expired) {
    world.m_instances.m_rows.erase(id);
    membership.m_members.erase(id);
    std::erase(membership.m_order, id);
    ++membership.m_version;
  }
  std::erase_if(membership.m_relays, [now](const auto& relay) {
    return now >= relay.second.m_expires;
  });
}

}  // namespace nutmeghollow::detail

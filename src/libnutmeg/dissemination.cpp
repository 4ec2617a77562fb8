#include "libnutmeg/dissemination.h"

#include <algorithm>
#include <bit>
#include <cstdlib>
#include <deque>
#include <utility>

namespace nutmeghollow::detail {
namespace {

constexpr Duration kScanInterval = std::chrono::milliseconds(200);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);

/// @return whether an urgent message may be sent to a peer now: when the budget
/// allows it, or when the last one to that peer was m_max_urgent_delay ago.
bool MaySendUrgent(World& world, const InstanceId& to, TimePoint now) {
  const GossipState& gossip = world.m_gossip;
  if (AvailableControlBytes(world, ControlClass::kUrgent, now).value() > 0) {
    return true;
  }
  const auto state = gossip.m_send_states.find(to);
  return state == gossip.m_send_states.end() ||
         now - state->second.m_urgent_at >=
             gossip.m_parameters.m_max_urgent_delay;
}

void SendUrgentTo(World& world, const InstanceRow& peer, TimePoint now) {
  const GossipMessage message = BuildMessage(
      world, GossipKind::kPush, peer.m_id, ControlClass::kUrgent, now);
  SendGossip(world, message, peer.m_id, peer.m_peer_endpoint,
             ControlClass::kUrgent, now);
  world.m_gossip.m_send_states[peer.m_id].m_urgent_at = now;
}

/// Sends the pending urgent messages that may be sent now.
void SendUrgent(World& world, TimePoint now) {
  GossipState& gossip = world.m_gossip;
  if (gossip.m_urgent_recipients.empty() || now < gossip.m_next_urgent) {
    return;
  }
  gossip.m_next_urgent = now + gossip.m_parameters.m_urgent_interval;
  std::deque<InstanceId> remaining;
  for (const InstanceId& to : std::exchange(gossip.m_urgent_recipients, {})) {
    const InstanceRow* row = world.m_instances.Find(to);
    if (row == nullptr || row->m_status == InstanceStatus::kDead) {
      continue;
    }
    if (MaySendUrgent(world, to, now)) {
      SendUrgentTo(world, *row, now);
    } else {
      remaining.push_back(to);
    }
  }
  gossip.m_urgent_recipients = std::move(remaining);
}

/// Announces a new highest revision, and confirms a newly adopted one to the
/// peer that sent it first.
void AnnounceRevisionChanges(World& world, TimePoint now) {
  GossipState& gossip = world.m_gossip;
  ConfigurationTable& configuration = world.m_configuration;
  InstanceRow& self = world.m_instances.m_rows[world.m_instances.m_self];
  const Revision highest =
      std::max(configuration.m_revision, configuration.m_highest_seen);
  if (highest > gossip.m_announced_highest) {
    gossip.m_announced_highest = highest;
    RequestUrgentSends(world, highest > gossip.m_highest_received);
  }
  if (configuration.m_revision > gossip.m_announced_revision) {
    gossip.m_announced_revision = configuration.m_revision;
    self.m_revision = configuration.m_revision;
    const InstanceRow* sender = world.m_instances.Find(gossip.m_highest_sender);
    if (sender != nullptr && MaySendUrgent(world, sender->m_id, now)) {
      SendUrgentTo(world, *sender, now);
    }
    gossip.m_highest_sender = InstanceId();
  }
}

/// Queues suspect requests that were added or changed on this instance.
void ScanSuspects(World& world) {
  GossipState& gossip = world.m_gossip;
  for (const auto& [digest, row] : world.m_suspects) {
    const std::pair<std::size_t, bool> seen{row.m_crashed_upstreams.size(),
                                            row.m_quarantined};
    auto [known, added] = gossip.m_known_suspects.try_emplace(digest, 0, false);
    if (known->second != seen) {
      known->second = seen;
      gossip.m_suspects[digest] = TransmissionLimit(world);
      RequestUrgentSends(world, true);
    }
  }
  std::erase_if(gossip.m_known_suspects, [&](const auto& known) {
    return !world.m_suspects.contains(known.first);
  });
}

/// @return whether the fleet is small enough to send loads to every peer.
bool SendsLoadsToAll(const World& world) {
  return static_cast<int>(world.m_instances.m_rows.size()) <=
         world.m_gossip.m_parameters.m_load_to_all_limit;
}

/// Adds the change of an upstream's load since the last announcement to a peer.
/// It has more weight for the owner, the only peer that tracks the load
/// exactly.
void AddUnsentLoad(const World& world,
                   const UpstreamRow& row,
                   const InstanceId& peer,
                   TimePoint now,
                   std::map<InstanceId, int>* unsent) {
  constexpr int kOwnerWeight = 4;
  int change = row.m_local_running;
  auto state = world.m_gossip.m_send_states.find(peer);
  const bool current = state != world.m_gossip.m_send_states.end() &&
                       now - state->second.m_full_loads_at <
                           world.m_gossip.m_parameters.m_full_load_interval;
  if (current) {
    auto load = state->second.m_loads.find(row.m_id);
    change -= load == state->second.m_loads.end() ? 0 : load->second;
  }
  if (change != 0) {
    const int weight = row.m_owner == peer ? kOwnerWeight : 1;
    (*unsent)[peer] += weight * std::abs(change);
  }
}

/// @return the weighted load changes not yet sent, by peer.
std::map<InstanceId, int> UnsentLoads(const World& world, TimePoint now) {
  std::map<InstanceId, int> unsent;
  const bool to_all = SendsLoadsToAll(world);
  for (const auto& [id, row] : world.m_upstreams.m_rows) {
    if (to_all) {
      for (const InstanceId& peer : world.m_membership.m_order) {
        AddUnsentLoad(world, row, peer, now, &unsent);
      }
    } else if (!row.m_owner.empty() &&
               row.m_owner != world.m_instances.m_self) {
      AddUnsentLoad(world, row, row.m_owner, now, &unsent);
    }
  }
  return unsent;
}

/// Sends the own loads to the peer with the largest weighted change.
void PushLoads(World& world, TimePoint now) {
  if (AvailableControlBytes(world, ControlClass::kLoad, now).value() == 0) {
    return;
  }
  const InstanceRow* best = nullptr;
  int most = 0;
  for (const auto& [id, unsent] : UnsentLoads(world, now)) {
    const InstanceRow* row = world.m_instances.Find(id);
    if (row != nullptr && row->m_status != InstanceStatus::kDead &&
        unsent > most) {
      best = row;
      most = unsent;
    }
  }
  if (best != nullptr) {
    const GossipMessage message = BuildMessage(
        world, GossipKind::kPush, best->m_id, ControlClass::kLoad, now);
    SendGossip(world, message, best->m_id, best->m_peer_endpoint,
               ControlClass::kLoad, now);
  }
}

/// Removes announcements that are expired or come from dead instances, and the
/// send states of dead instances.
void ExpirePeers(World& world, TimePoint now) {
  const Duration expiry = world.m_gossip.m_parameters.m_peer_expiry;
  const auto outdated = [&](const auto& entry) {
    const InstanceRow* row = world.m_instances.Find(entry.first);
    return row == nullptr || row->m_status == InstanceStatus::kDead ||
           now - entry.second.m_received_at > expiry;
  };
  for (auto& [upstream, loads] : world.m_peers.m_loads) {
    std::erase_if(loads, outdated);
  }
  for (auto& [customer, demands] : world.m_peers.m_demands) {
    std::erase_if(demands, outdated);
  }
  const auto empty = [](const auto& entry) { return entry.second.empty(); };
  std::erase_if(world.m_peers.m_loads, empty);
  std::erase_if(world.m_peers.m_demands, empty);
  std::erase_if(world.m_gossip.m_send_states, [&](const auto& entry) {
    const InstanceRow* row = world.m_instances.Find(entry.first);
    return row == nullptr || row->m_status == InstanceStatus::kDead;
  });
}

}  // namespace

int TransmissionLimit(const World& world) {
  const auto size = static_cast<unsigned>(world.m_instances.m_rows.size());
  return world.m_gossip.m_parameters.m_transmissions_per_doubling *
         std::max(1, static_cast<int>(std::bit_width(size)));
}

void RequestUrgentSends(World& world, bool from_here) {
  GossipState& gossip = world.m_gossip;
  const GossipParameters& parameters = gossip.m_parameters;
  const auto& order = world.m_membership.m_order;
  const auto peers = static_cast<int>(order.size());
  int sends = std::min(peers, parameters.m_origin_fanout);
  if (!from_here) {
    const bool origin_sends_to_all = peers <= parameters.m_origin_fanout;
    sends = origin_sends_to_all ? 0 : parameters.m_relay_fanout;
  }
  // Recipients are stored, not counted, since the ring may be shuffled while
  // messages are pending.
  auto& recipients = gossip.m_urgent_recipients;
  for (int tried = 0; tried < peers && std::ssize(recipients) < sends;
       ++tried) {
    const InstanceId& next = order[gossip.m_urgent_next++ % order.size()];
    const InstanceRow* row = world.m_instances.Find(next);
    const bool reachable =
        row != nullptr && row->m_status != InstanceStatus::kDead;
    const bool pending = std::find(recipients.begin(), recipients.end(),
                                   next) != recipients.end();
    if (reachable && !pending) {
      recipients.push_back(next);
    }
  }
}

void AnnounceMember(World& world, const InstanceId& id, bool urgent) {
  world.m_gossip.m_members[id] = TransmissionLimit(world);
  if (urgent) {
    RequestUrgentSends(world, id == world.m_instances.m_self);
  }
}

void AnnounceVerdict(World& world, const VerdictKey& key, bool urgent) {
  world.m_gossip.m_verdicts[key] = TransmissionLimit(world);
  if (urgent) {
    auto found = world.m_probing.m_health.find(key.first);
    const bool own = found != world.m_probing.m_health.end() &&
                     found->second.m_slot == key.second;
    RequestUrgentSends(world, own);
  }
}

InstanceStatus ProtocolStatus(const World& world, const InstanceRow& row) {
  auto found = world.m_membership.m_members.find(row.m_id);
  if (found == world.m_membership.m_members.end()) {
    return row.m_status;
  }
  const bool only_damped = found->second.m_damped && !found->second.m_suspected;
  if (row.m_status == InstanceStatus::kSuspect && only_damped) {
    return InstanceStatus::kAlive;
  }
  return row.m_status;
}

std::uint32_t MemberDigest(World& world) {
  MembershipState& membership = world.m_membership;
  if (membership.m_digest_version == membership.m_version) {
    return membership.m_digest;
  }
  constexpr std::uint32_t kMultiplier = 2654435761U;
  std::uint32_t digest = 0;
  for (const auto& [id, row] : world.m_instances.m_rows) {
    if (row.m_status == InstanceStatus::kDead) {
      continue;
    }
    const bool leaving = row.m_status == InstanceStatus::kLeaving;
    const auto incarnation =
        static_cast<std::uint32_t>(row.m_incarnation.value() * 2 + leaving);
    digest += HashName(id.str()).value() * (incarnation * kMultiplier | 1U);
  }
  membership.m_digest = digest;
  membership.m_digest_version = membership.m_version;
  return digest;
}

bool SendGossip(World& world,
                const GossipMessage& message,
                const InstanceId& to,
                const Endpoint& endpoint,
                ControlClass control_class,
                TimePoint now) {
  std::string payload = EncodeGossip(message);
  NUTMEG_CHECK(payload.size() <= kGossipPayloadLimit,
               "a message fits into one datagram");
  const Bytes size(static_cast<std::int64_t>(payload.size()) +
                   kDatagramOverhead);
  const bool over_budget =
      control_class == ControlClass::kUrgent &&
      AvailableControlBytes(world, control_class, now).value() == 0;
  if (over_budget) {
    RecordControlBytes(world, control_class, size, Bytes(0), now);
  } else if (!TakeControlBytes(world, control_class, size, now)) {
    return false;
  }
  world.m_gossip.m_send_states[to].m_pushed_at = now;
  world.m_actions.emplace_back(SendDatagram{
      .m_to = to, .m_endpoint = endpoint, .m_payload = std::move(payload)});
  return true;
}

void RunDissemination(World& world, TimePoint now) {
  GossipState& gossip = world.m_gossip;
  AnnounceRevisionChanges(world, now);
  if (now >= gossip.m_next_scan) {
    gossip.m_next_scan = now + kScanInterval;
    ScanSuspects(world);
  }
  SendUrgent(world, now);
  if (now >= gossip.m_next_load) {
    gossip.m_next_load = now + gossip.m_parameters.m_load_interval;
    PushLoads(world, now);
  }
  if (now >= gossip.m_next_expiry) {
    gossip.m_next_expiry = now + kExpiryInterval;
    ExpirePeers(world, now);
  }
}

}  // namespace nutmeghollow::detail

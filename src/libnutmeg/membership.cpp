#include "nutmeghollow/membership.h"

#include <algorithm>
#include <cmath>

#include "libnutmeg/dissemination.h"
#include "libnutmeg/member_table.h"

namespace nutmeghollow {
namespace {

using detail::AnnounceMember;
using detail::BuildMessage;

constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
constexpr Duration kContactInterval = std::chrono::milliseconds(500);
/// Maximum deviation of a probe period from its mean, as a fraction.
constexpr double kJitter = 0.1;

void UpdateCandidates(World& world, std::vector<ListedInstance> listed) {
  MembershipState& membership = world.m_membership;
  if (listed.empty()) {
    return;
  }
  std::map<InstanceId, ContactCandidate> candidates;
  for (ListedInstance& instance : listed) {
    if (instance.m_id == world.m_instances.m_self) {
      continue;
    }
    ContactCandidate candidate;
    auto known = membership.m_candidates.find(instance.m_id);
    if (known != membership.m_candidates.end()) {
      candidate = known->second;
    }
    candidate.m_listed = std::move(instance);
    candidates[candidate.m_listed.m_id] = std::move(candidate);
  }
  membership.m_candidates = std::move(candidates);
}

/// Sends a ping.
/// @return the number of the probe, or nullopt when the budget refused it.
std::optional<std::uint32_t> SendPing(World& world,
                                      const InstanceId& to,
                                      const Endpoint& endpoint,
                                      TimePoint now) {
  constexpr auto kClass = ControlClass::kMembership;
  if (AvailableControlBytes(world, kClass, now).value() == 0) {
    return std::nullopt;
  }
  GossipMessage message =
      BuildMessage(world, GossipKind::kPing, to, kClass, now);
  message.m_probe = ++world.m_membership.m_last_probe;
  if (!detail::SendGossip(world, message, to, endpoint, kClass, now)) {
    return std::nullopt;
  }
  return message.m_probe;
}

void SendAck(World& world,
             const InstanceId& to,
             const Endpoint& endpoint,
             std::uint32_t probe,
             TimePoint now) {
  constexpr auto kClass = ControlClass::kAnswer;
  if (AvailableControlBytes(world, kClass, now).value() == 0) {
    return;
  }
  GossipMessage message =
      BuildMessage(world, GossipKind::kAck, to, kClass, now);
  message.m_probe = probe;
  detail::SendGossip(world, message, to, endpoint, kClass, now);
}

void HandleAck(World& world, const GossipMessage& message, TimePoint now) {
  NoteProbeAck(world, message.m_probe);
  MembershipState& membership = world.m_membership;
  if (membership.m_pending &&
      membership.m_pending->m_number == message.m_probe) {
    membership.m_pending.reset();
  }
  auto relay = membership.m_relays.find(message.m_probe);
  if (relay == membership.m_relays.end()) {
    return;
  }
  const InstanceRow* requester =
      world.m_instances.Find(relay->second.m_requester);
  if (requester != nullptr) {
    SendAck(world, requester->m_id, requester->m_peer_endpoint,
            relay->second.m_requester_number, now);
  }
  membership.m_relays.erase(relay);
}

void HandlePingRequest(World& world,
                       const InstanceId& from,
                       const GossipMessage& message,
                       TimePoint now) {
  const InstanceRow* target = world.m_instances.Find(message.m_target);
  if (target == nullptr || target->m_id == world.m_instances.m_self) {
    return;
  }
  auto number = SendPing(world, target->m_id, target->m_peer_endpoint, now);
  if (number) {
    world.m_membership.m_relays[*number] = RelayedProbe{
        .m_requester = from,
        .m_requester_number = message.m_probe,
        .m_expires = now + world.m_membership.m_parameters.m_probe_period};
  }
}

/// @return the address for replies to the sender of a datagram.
Endpoint ReplyEndpoint(const World& world, const ReceivedDatagram& datagram) {
  const InstanceRow* row = world.m_instances.Find(datagram.m_from);
  return row == nullptr ? datagram.m_endpoint : row->m_peer_endpoint;
}

void HandleDatagram(World& world,
                    const ReceivedDatagram& datagram,
                    TimePoint now) {
  const Bytes size(static_cast<std::int64_t>(datagram.m_payload.size()) +
                   kDatagramOverhead);
  RecordControlBytes(world, ControlClass::kMembership, Bytes(0), size, now);
  const std::optional<GossipMessage> message = DecodeGossip(datagram.m_payload);
  if (!message || datagram.m_from == world.m_instances.m_self) {
    ++world.m_membership.m_counters.m_malformed;
    return;
  }
  detail::ApplySender(world, datagram.m_from, *message, now);
  for (const MemberEntry& entry : message->m_members) {
    detail::ApplyMember(world, entry, now);
  }
  detail::ApplyEntries(world, datagram.m_from, *message, now);
  PeerSendState& send_state = world.m_gossip.m_send_states[datagram.m_from];
  send_state.m_details_requested =
      send_state.m_details_requested || message->m_want_details;
  send_state.m_members_differ =
      message->m_member_digest != detail::MemberDigest(world);
  switch (message->m_kind) {
    case GossipKind::kPing:
      SendAck(world, datagram.m_from, ReplyEndpoint(world, datagram),
              message->m_probe, now);
      break;
    case GossipKind::kAck:
      HandleAck(world, *message, now);
      break;
    case GossipKind::kPingRequest:
      HandlePingRequest(world, datagram.m_from, *message, now);
      break;
    case GossipKind::kPush:
    case GossipKind::kCount:
      break;
  }
}

/// Shuffles the ring of probe targets and restarts at its beginning.
void ShuffleOrder(World& world) {
  MembershipState& membership = world.m_membership;
  membership.m_next_in_order = 0;
  auto& order = membership.m_order;
  for (std::size_t i = order.size(); i > 1; --i) {
    std::swap(order[i - 1], order[world.m_hooks.m_random() % i]);
  }
}

/// Pings the next instance of the ring that is not dead.
void StartProbe(World& world, TimePoint now) {
  MembershipState& membership = world.m_membership;
  for (std::size_t tried = 0; tried < membership.m_order.size(); ++tried) {
    if (membership.m_next_in_order >= membership.m_order.size()) {
      ShuffleOrder(world);
    }
    const InstanceId id = membership.m_order[membership.m_next_in_order++];
    const InstanceRow* row = world.m_instances.Find(id);
    if (row == nullptr || row->m_status == InstanceStatus::kDead) {
      continue;
    }
    auto number = SendPing(world, id, row->m_peer_endpoint, now);
    if (number) {
      membership.m_pending =
          PendingProbe{.m_target = id, .m_number = *number, .m_sent_at = now};
    }
    return;
  }
}

/// Requests pings of the target of the pending probe from other instances.
void SendIndirectProbes(World& world, TimePoint now) {
  MembershipState& membership = world.m_membership;
  PendingProbe& pending = *membership.m_pending;
  pending.m_indirect = true;
  const auto& order = membership.m_order;
  const std::size_t start = world.m_hooks.m_random() % order.size();
  int left = membership.m_parameters.m_indirect_probes;
  for (std::size_t i = 0; i < order.size() && left > 0; ++i) {
    const InstanceId& helper = order[(start + i) % order.size()];
    const InstanceRow* row = world.m_instances.Find(helper);
    if (helper == pending.m_target || row == nullptr ||
        row->m_status != InstanceStatus::kAlive) {
      continue;
    }
    --left;
    GossipMessage message =
        BuildMessage(world, GossipKind::kPingRequest, helper,
                     ControlClass::kMembership, now);
    message.m_probe = pending.m_number;
    message.m_target = pending.m_target;
    detail::SendGossip(world, message, helper, row->m_peer_endpoint,
                       ControlClass::kMembership, now);
  }
}

void RunProbes(World& world, TimePoint now) {
  MembershipState& membership = world.m_membership;
  const MembershipParameters& parameters = membership.m_parameters;
  if (membership.m_pending && !membership.m_pending->m_indirect &&
      now - membership.m_pending->m_sent_at >= parameters.m_probe_timeout) {
    SendIndirectProbes(world, now);
  }
  if (now < membership.m_next_probe) {
    return;
  }
  if (membership.m_pending) {
    const InstanceId target = membership.m_pending->m_target;
    membership.m_pending.reset();
    detail::SuspectMember(world, target, now);
    const InstanceRow* row = world.m_instances.Find(target);
    if (row != nullptr) {
      // The ping carries the suspicion to the target, which can then refute it.
      SendPing(world, target, row->m_peer_endpoint, now);
    }
  }
  const double unit =
      static_cast<double>(world.m_hooks.m_random() % 2001) / 1000.0 - 1.0;
  const auto period = static_cast<double>(parameters.m_probe_period.count());
  membership.m_next_probe =
      now + Duration(static_cast<std::int64_t>(period * (1 + kJitter * unit)));
  StartProbe(world, now);
}

/// An instance to contact, with pointers to its backoff state.
struct Contact {
  InstanceId m_id;
  Endpoint m_endpoint;
  TimePoint* m_next = nullptr;
  Duration* m_backoff = nullptr;
};

/// @return listed instances that are not in the member table, and dead ones,
/// whose backoff has elapsed.
std::vector<Contact> DueContacts(World& world, TimePoint now) {
  MembershipState& membership = world.m_membership;
  std::vector<Contact> due;
  for (auto& [id, candidate] : membership.m_candidates) {
    if (world.m_instances.Find(id) == nullptr &&
        now >= candidate.m_next_contact) {
      due.push_back({id, candidate.m_listed.m_peer_endpoint,
                     &candidate.m_next_contact, &candidate.m_backoff});
    }
  }
  for (const auto& [id, row] : world.m_instances.m_rows) {
    MemberState& state = membership.m_members[id];
    if (row.m_status == InstanceStatus::kDead && now >= state.m_next_contact) {
      due.push_back(
          {id, row.m_peer_endpoint, &state.m_next_contact, &state.m_backoff});
    }
  }
  return due;
}

/// Pings dead instances and listed ones that are not members yet, so that new
/// instances join and the sides of a network partition merge.
void RunContacts(World& world, TimePoint now) {
  MembershipState& membership = world.m_membership;
  if (now < membership.m_next_contact) {
    return;
  }
  const MembershipParameters& parameters = membership.m_parameters;
  membership.m_next_contact = now + kContactInterval;
  std::vector<Contact> due = DueContacts(world, now);
  const bool alone = LiveInstances(world) <= 1;
  int left = alone ? parameters.m_contacts_at_start : 1;
  // In random order, so that the instances of a starting fleet do not all
  // contact the same few.
  for (; left > 0 && !due.empty(); --left) {
    std::swap(due[world.m_hooks.m_random() % due.size()], due.back());
    const Contact contact = due.back();
    due.pop_back();
    if (!SendPing(world, contact.m_id, contact.m_endpoint, now)) {
      return;
    }
    Duration& backoff = *contact.m_backoff;
    backoff = std::clamp(2 * backoff, parameters.m_contact_backoff,
                         parameters.m_contact_backoff_limit);
    const auto jitter = static_cast<std::int64_t>(
        world.m_hooks.m_random() % static_cast<std::uint64_t>(backoff.count()));
    *contact.m_next = now + backoff / 2 + Duration(jitter);
  }
}

/// Restarts the probe and suspicion timeouts after this process was paused,
/// since acknowledgements that arrived during the pause have not been
/// processed.
void HandlePause(World& world, TimePoint now) {
  MembershipState& membership = world.m_membership;
  const Duration gap = now - membership.m_last_run;
  const bool paused = membership.m_last_run != TimePoint{} &&
                      gap > membership.m_parameters.m_pause_limit;
  membership.m_last_run = now;
  if (!paused) {
    return;
  }
  ++membership.m_counters.m_pauses;
  membership.m_pending.reset();
  membership.m_next_probe = now + membership.m_parameters.m_probe_timeout;
  for (auto& [id, state] : membership.m_members) {
    state.m_suspected_at = std::max(state.m_suspected_at, now);
  }
}

void AnnounceDrain(World& world, TimePoint now) {
  if (!world.m_draining || world.m_gossip.m_announced_leaving) {
    return;
  }
  world.m_gossip.m_announced_leaving = true;
  InstanceRow& self = world.m_instances.m_rows[world.m_instances.m_self];
  detail::SetStatus(world, self, InstanceStatus::kLeaving, now);
  AnnounceMember(world, self.m_id, true);
}

}  // namespace

void StartMembership(World& world, InstanceRow self, TimePoint now) {
  self.m_incarnation = Incarnation(static_cast<std::uint64_t>(
      std::max<std::int64_t>(1, world.m_hooks.m_wall_time().value())));
  self.m_status = InstanceStatus::kAlive;
  self.m_status_since = now;
  self.m_last_message_at = now;
  world.m_instances.m_self = self.m_id;
  MembershipState& membership = world.m_membership;
  membership.m_members[self.m_id].m_first_seen = now;
  membership.m_last_probe =
      static_cast<std::uint32_t>(world.m_hooks.m_random());
  const InstanceId id = self.m_id;
  world.m_instances.m_rows[id] = std::move(self);
  ++membership.m_version;
  AnnounceMember(world, id, false);
}

void RunMembership(World& world, TimePoint now) {
  if (world.m_instances.Find(world.m_instances.m_self) == nullptr) {
    return;
  }
  HandlePause(world, now);
  MembershipInbox inbox = std::exchange(world.m_membership_inbox, {});
  UpdateCandidates(world, std::move(inbox.m_listed));
  for (const ReceivedDatagram& datagram : inbox.m_datagrams) {
    HandleDatagram(world, datagram, now);
  }
  AnnounceDrain(world, now);
  RunProbes(world, now);
  RunContacts(world, now);
  if (now >= world.m_membership.m_next_sweep) {
    world.m_membership.m_next_sweep = now + kSweepInterval;
    detail::SweepMembers(world, now);
  }
  detail::RunDissemination(world, now);
  NUTMEG_CHECK(world.m_instances.Find(world.m_instances.m_self)->m_status !=
                   InstanceStatus::kDead,
               "an instance never marks itself as dead");
}

bool ShouldFetchInstanceList(World& world, TimePoint now) {
  constexpr int kListPollers = 2;
  if (LiveInstances(world) > 1 &&
      !ChosenForJob(world, "instance-list", kListPollers)) {
    return false;
  }
  return AvailableControlBytes(world, ControlClass::kListPoll, now).value() > 0;
}

int LiveInstances(const World& world) {
  int live = 0;
  for (const auto& [id, row] : world.m_instances.m_rows) {
    live += row.m_status == InstanceStatus::kDead ? 0 : 1;
  }
  return live;
}

}  // namespace nutmeghollow

/// @file
/// Dissemination of entries between instances: packing, sending and applying.
///
/// Entries are packed by priority, as far as the control budget allows.
/// Internal to the membership and probing systems.
#pragma once

#include "nutmeghollow/budget.h"
#include "nutmeghollow/gossip.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {

/// @return the number of transmissions of an entry for the current fleet size.
int TransmissionLimit(const World& world);

/// Queues the entry of an instance.
/// @param urgent also requests immediate messages to a few peers.
void AnnounceMember(World& world, const InstanceId& id, bool urgent);

/// Queues a verdict.
/// @param urgent also requests immediate messages to a few peers.
void AnnounceVerdict(World& world, const VerdictKey& key, bool urgent);

/// Requests immediate messages to a few peers.
/// @param from_here the change was detected here, not received from a peer.
void RequestUrgentSends(World& world, bool from_here);

/// @return the status as announced to peers, which excludes flap damping since
/// that is local.
InstanceStatus ProtocolStatus(const World& world, const InstanceRow& row);

/// @return the entry of an instance, with its addresses if `with_details`.
MemberEntry MakeMemberEntry(const World& world,
                            const InstanceRow& row,
                            bool with_details);

/// Builds a message to a peer and packs pending entries into it; counts their
/// transmissions as done.
/// @param control_class class in which the message will be sent.
/// @return the message.
GossipMessage BuildMessage(World& world,
                           GossipKind kind,
                           const InstanceId& to,
                           ControlClass control_class,
                           TimePoint now);

/// Sends a message if the budget allows it. An urgent message is always sent
/// and charged to the budget, since its caller limits the rate.
/// @return whether it was sent.
bool SendGossip(World& world,
                const GossipMessage& message,
                const InstanceId& to,
                const Endpoint& endpoint,
                ControlClass control_class,
                TimePoint now);

/// Applies every entry of a message except those about members.
void ApplyEntries(World& world,
                  const InstanceId& from,
                  const GossipMessage& message,
                  TimePoint now);

/// Sends urgent changes and load announcements that are due.
void RunDissemination(World& world, TimePoint now);

/// @return a sum of hashes over the members that are not dead; peers compare it
/// to detect that their tables differ.
std::uint32_t MemberDigest(World& world);

}  // namespace nutmeghollow::detail

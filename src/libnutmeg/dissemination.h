/// @file
/// Spreads entries between instances: packing, sending and applying them.
///
/// Entries are packed by priority into what the control budget allows.
/// Internal to the membership and probing systems.
#pragma once

#include "nutmeghollow/budget.h"
#include "nutmeghollow/gossip.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {

/// @return how often an entry is sent in a fleet of the current size.
int TransmissionLimit(const World& world);

/// Queues what is known about an instance. @param urgent tells some at once.
void AnnounceMember(World& world, const InstanceId& id, bool urgent);

/// Queues a verdict. @param urgent tells some peers at once.
void AnnounceVerdict(World& world, const VerdictKey& key, bool urgent);

/// Asks for messages to a few peers at once.
/// @param from_here the change was found here, not heard from a peer.
void RequestUrgentSends(World& world, bool from_here);

/// @return the status that is told to others, without local damping.
InstanceStatus ProtocolStatus(const World& world, const InstanceRow& row);

/// @return an entry about an instance.
MemberEntry MakeMemberEntry(const World& world,
                            const InstanceRow& row,
                            bool with_details);

/// @return a message to a peer, filled with entries that wait.
/// @param control_class class in which it will be sent.
GossipMessage BuildMessage(World& world,
                           GossipKind kind,
                           const InstanceId& to,
                           ControlClass control_class,
                           TimePoint now);

/// Sends a message if the budget allows it. An urgent one, whose pace its
/// caller keeps, is sent in any case and charged.
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

/// @return a sum over the known members, for comparison between peers.
std::uint32_t MemberDigest(World& world);

}  // namespace nutmeghollow::detail

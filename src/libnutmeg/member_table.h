/// @file
/// State machine of the members: which updates replace which statuses.
///
/// Internal to the membership system.
#pragma once

#include "nutmeghollow/gossip.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {

/// Sets a status and increments the version of the member table.
void SetStatus(World& world,
               InstanceRow& row,
               InstanceStatus status,
               TimePoint now);

/// Applies an update about an instance. It replaces the current status if its
/// incarnation is higher, or if the incarnation is equal and the status ranks
/// higher: alive, suspect, leaving, dead. An update about the own instance that
/// is wrong is refuted.
void ApplyMember(World& world, const MemberEntry& entry, TimePoint now);

/// Applies the status and incarnation in the header of a message to its sender.
void ApplySender(World& world,
                 const InstanceId& from,
                 const GossipMessage& message,
                 TimePoint now);

/// Marks an instance that did not acknowledge a probe as suspect.
void SuspectMember(World& world, const InstanceId& id, TimePoint now);

/// Declares suspects dead after the timeout, ends flap damping, and removes
/// expired tombstones and relayed probes.
void SweepMembers(World& world, TimePoint now);

/// @return the time to refute a suspicion in a fleet of the current size.
Duration SuspicionTimeout(const World& world);

}  // namespace nutmeghollow::detail

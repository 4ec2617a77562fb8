/// @file
/// State machine of the members: which news replaces which belief.
///
/// Internal to the membership system.
#pragma once

#include "nutmeghollow/gossip.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {

/// Changes a status and counts the change.
void SetStatus(World& world,
               InstanceRow& row,
               InstanceStatus status,
               TimePoint now);

/// Applies news about an instance. News win with a higher incarnation, or
/// with the same one and a worse status. The own instance refutes.
void ApplyMember(World& world, const MemberEntry& entry, TimePoint now);

/// Applies what the arrival of a message says about its sender.
void ApplySender(World& world,
                 const InstanceId& from,
                 const GossipMessage& message,
                 TimePoint now);

/// Suspects an instance that did not answer a probe.
void SuspectMember(World& world, const InstanceId& id, TimePoint now);

/// Ends suspicions and dampings that are over and forgets old tombstones.
void SweepMembers(World& world, TimePoint now);

/// @return how long a suspicion lasts in a fleet of the current size.
Duration SuspicionTime(const World& world);

}  // namespace nutmeghollow::detail

/// @file
/// Owners of engines, and look-ups of entry addresses.
///
/// Each engine has one owner among the instances, computed by every instance
/// alike from the instances that it believes to be there. Look-ups send a chat
/// to the owner of its home engine, so that one instance sees nearly all of
/// the load of an engine and remembers its chats.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;
struct RouteRow;

/// Answer to a look-up.
struct EntryLookupResult {
  std::vector<Endpoint> m_addresses;  ///< For callers, best first.
  Duration m_keep{};                  ///< How long the caller may keep it.
  Revision m_revision;                ///< Configuration it was made from.
};

/// Computes the owner of every model engine. No instance owns more than the
/// even share, rounded up. Instances that are dead or leaving own nothing.
std::map<UpstreamId, InstanceId> ComputeOwners(const World& world);

/// Computes the owners anew when instances or configuration changed; it looks
/// at most once in the time that the settings say.
void UpdateOwners(World& world, TimePoint now);

/// @return the engine whose owner chats are sent to: the first in the chat's
/// order over all engines of the route, usable or not, so that a flapping
/// engine does not move its chats between instances. Empty without engines.
UpstreamId EntryEngine(const World& world, const RouteRow& route, ChatKey chat);

/// Chooses the addresses that a caller should use. Leaving and dead instances
/// are never named, suspect ones only when no instance is alive.
/// @param chat unset when the caller named none.
/// @param route unset when the caller named none.
EntryLookupResult ChooseEntry(const World& world,
                              std::optional<ChatKey> chat,
                              const std::optional<RouteId>& route,
                              TimePoint now);

}  // namespace nutmeghollow

/// @file
/// Assigns engines to owner instances and chooses entry addresses.
///
/// Each engine has one owner among the instances. Every instance computes the
/// owners from its own view of the membership, with the same result where the
/// views agree. Entry lookups direct a chat to the owner of its home engine, so
/// that one instance sees nearly all of the load of an engine and remembers its
/// chats.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;
struct RouteRow;

/// Result of an entry lookup.
struct EntryLookupResult {
  std::vector<Endpoint> m_addresses;  ///< Addresses for callers, best first.
  Duration m_ttl{};                   ///< How long the caller may cache it.
  Revision m_revision;  ///< Configuration that it was computed from.
};

/// Computes the owner of every model engine. No instance owns more than an even
/// share, rounded up. Instances that are dead or leaving own none.
std::map<UpstreamId, InstanceId> ComputeOwners(const World& world);

/// Recomputes the owners when instances or configuration changed. Checks for
/// changes at most once per PlacementParameters::m_owner_recheck.
void UpdateOwners(World& world, TimePoint now);

/// @return the engine whose owner entry lookups return for a chat: the first in
/// the chat's rendezvous order over all engines of the route, usable or not, so
/// that a flapping engine does not move its chats between instances. Empty when
/// the route has no engines.
UpstreamId EntryEngine(const World& world, const RouteRow& route, ChatKey chat);

/// Chooses the addresses that a caller should connect to. Leaving and dead
/// instances are never included, suspect ones only when no instance is alive.
/// @param chat unset when the caller gave none.
/// @param route unset when the caller gave none.
EntryLookupResult ChooseEntry(const World& world,
                              std::optional<ChatKey> chat,
                              const std::optional<RouteId>& route,
                              TimePoint now);

}  // namespace nutmeghollow

/// @file
/// Placement: chooses an upstream for each admitted request.
///
/// The home of a chat is the first engine in its rendezvous order, which is the
/// same on every instance. An engine at its bound is skipped in favour of the
/// next one. Each engine has an owner among the instances, to which entry
/// lookups direct the chats of that engine; the owner sees nearly all of its
/// load. Any other instance requests a reservation from the owner before it
/// places a request on an engine that is near its bound, and decides locally
/// when the response times out.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "nutmeghollow/admission.h"
#include "nutmeghollow/chats.h"
#include "nutmeghollow/owners.h"
#include "nutmeghollow/placement_policy.h"
#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Settings of placement.
struct PlacementParameters {
  /// Name of the policy for chats; see FindPlacementPolicy.
  std::string m_policy = "bounded";
  /// Placements prefer engines below a lower, inner bound: the bound that would
  /// apply if the load of the route fell by this many times its square root.
  double m_load_margin = 1.5;
  /// Lower limit of the mean load that bounds are computed from, so that a chat
  /// stays at the engine with its prefix when the load is low.
  double m_min_mean_load = 4.0;
  /// Prefill rate of an engine, in bytes of request body per second. Body size
  /// divided by this rate is the cost of a lost prefix.
  Bytes m_prefill_rate{80'000};
  /// A request whose prefix costs less than this goes to a lightly loaded
  /// engine, which leaves room for the others at the engines that hold their
  /// prefixes.
  Duration m_cheap_prefix = std::chrono::milliseconds(50);
  /// Limit on the wait for an engine that holds the request's prefix and is at
  /// its bound, as a multiple of the cost of the prefix.
  int m_prefix_wait_factor = 2;
  /// Upper limit of that wait.
  Duration m_prefix_wait = std::chrono::milliseconds(500);
  /// After owning its engines for this long, an instance treats a chat that is
  /// not in its memory as new.
  Duration m_memory_warmup = std::chrono::seconds(30);
  /// A placement is near the bound when it leaves fewer free slots than this
  /// below the inner bound of the engine.
  int m_reservation_margin = 2;
  /// Whether a placement near the bound needs a reservation from the owner.
  bool m_reservations = true;
  /// Without a response from the owner in this time, this instance decides.
  Duration m_reservation_timeout = std::chrono::milliseconds(20);
  /// Shortest interval between checks for a change of owners.
  Duration m_owner_recheck = std::chrono::milliseconds(100);
  /// Owners in the data centre of the engine are preferred.
  bool m_prefer_data_centre = true;
  /// How long callers may cache the result of an entry lookup.
  Duration m_entry_ttl = std::chrono::seconds(30);
  /// Largest number of addresses in the result of an entry lookup.
  int m_entry_addresses = 3;
};

/// A request of another instance for a reservation at an engine.
struct IncomingReservation {
  ReservationId m_reservation;
  InstanceId m_from;
  UpstreamId m_upstream;
  RouteId m_route;
};

/// An owner's response to a reservation request of this instance.
struct ReservationResponse {
  RequestId m_request;
  UpstreamId m_upstream;  ///< The engine that was requested.
  bool m_granted = false;
  UpstreamId m_alternative;  ///< Empty when there is none.
};

/// Reservation messages received by the adapter; consumed each tick.
struct ReservationInbox {
  std::vector<IncomingReservation> m_requests;
  std::vector<ReservationResponse> m_responses;
};

/// A reservation request that waits for the owner's response.
struct PendingReservation {
  RequestId m_request;
  UpstreamId m_upstream;
  TimePoint m_deadline{};
};

/// Counters since the start of the process, for metrics.
struct PlacementCounters {
  std::uint64_t m_placed = 0;
  std::uint64_t m_overflowed = 0;
  std::uint64_t m_reservations_sent = 0;
  std::uint64_t m_reservations_granted = 0;
  std::uint64_t m_reservations_refused = 0;
  std::uint64_t m_reservations_timed_out = 0;
};

/// State of placement.
struct PlacementState {
  ChatMemory m_chats;
  PlacementPolicy m_policy;  ///< The policy named m_policy_name.
  std::string m_policy_name;
  std::map<RequestId, PendingReservation> m_reservations;
  std::deque<std::pair<TimePoint, RequestId>> m_reservation_deadlines;
  TimePoint m_owners_recheck_at{};
  TimePoint m_owners_changed_at{};
  /// Hash of the instances and revision that the owners were computed from.
  std::uint64_t m_owners_input_hash = 0;
  PlacementCounters m_counters;
};

/// Runs one tick of placement: updates the owners, handles reservations and
/// places the admitted requests.
void RunPlacement(World& world, TimePoint now);

/// Releases the placement of a request and its load counts. Request flow calls
/// it once for each attempt that ended, before it queues the request again or
/// ends it.
void ReleasePlacement(World& world, RequestRow& row, TimePoint now);

/// @return the number of further requests that the usable upstreams of a
/// destination can take; the largest integer when one has no fixed capacity.
int FreeCapacity(World& world, const Destination& destination, TimePoint now);

/// @return true when some upstream of a destination may receive new requests.
bool HasUsableUpstream(World& world,
                       const Destination& destination,
                       TimePoint now);

}  // namespace nutmeghollow

/// @file
/// Placement: chooses an upstream for each admitted request.
///
/// The home of a chat is the first engine in its rendezvous order, which every
/// instance computes alike. An engine at its bound is passed over for the next
/// one. Each engine has an owner among the instances, to which look-ups send
/// the chats of that engine; the owner sees nearly all of its load. Another
/// instance asks the owner before it places a request on an engine that is
/// near its bound, and decides by itself when no answer comes in time.
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
  /// Placements keep to a lower bound while they can: the one that holds after
  /// the load of the route fell by this many times its square root.
  double m_load_margin = 1.5;
  /// A mean load below this counts as this, so that at low load a chat stays
  /// with its prefix.
  double m_min_mean_load = 4.0;
  /// Bytes of a request's body that an engine computes a prefix from in a
  /// second. Body size over this rate is what a lost prefix costs.
  Bytes m_prefill_rate{80'000};
  /// A request whose prefix costs less than this goes wherever the load is
  /// low; the others keep their places near their prefixes.
  Duration m_cheap_prefix = std::chrono::milliseconds(50);
  /// A request waits for an engine that holds its prefix and is at its bound,
  /// for no longer than this many times the cost of the prefix ...
  int m_prefix_wait_factor = 2;
  /// ... and no longer than this.
  Duration m_prefix_wait = std::chrono::milliseconds(500);
  /// An instance that owned its engines for this long knows their chats: one
  /// that it does not remember is new.
  Duration m_memory_warmup = std::chrono::seconds(30);
  /// An engine is near its bound when fewer free places than this are left.
  int m_reservation_margin = 2;
  /// The owner of an engine is asked before a placement near the bound.
  bool m_reservations = true;
  /// Without an answer of the owner in this time, this instance decides.
  Duration m_reservation_timeout = std::chrono::milliseconds(20);
  /// Owners are computed anew at most this often.
  Duration m_owner_recheck = std::chrono::milliseconds(100);
  /// Owners in the data centre of the engine are preferred.
  bool m_prefer_data_centre = true;
  /// How long callers keep the answer of a look-up.
  Duration m_entry_ttl = std::chrono::seconds(30);
  /// Addresses in the answer of a look-up.
  int m_entry_addresses = 3;
};

/// A question of another instance for a place at an engine.
struct IncomingReservation {
  ReservationId m_reservation;
  InstanceId m_from;
  UpstreamId m_upstream;
  RouteId m_route;
};

/// The answer of an owner to a question of this instance.
struct ReservationResponse {
  RequestId m_request;
  UpstreamId m_upstream;  ///< The engine that was asked for.
  bool m_granted = false;
  UpstreamId m_alternative;  ///< Empty when there is none.
};

/// What the adapter reports about reservations, emptied each tick.
struct ReservationInbox {
  std::vector<IncomingReservation> m_requests;
  std::vector<ReservationResponse> m_answers;
};

/// A question to an owner that has no answer yet.
struct PendingReservation {
  RequestId m_request;
  UpstreamId m_upstream;
  TimePoint m_deadline{};
};

/// Counts since the start of the process, for metrics.
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
  PlacementPolicy m_policy;  ///< Looked up from m_policy_name.
  std::string m_policy_name;
  std::map<RequestId, PendingReservation> m_reservations;
  std::deque<std::pair<TimePoint, RequestId>> m_reservation_deadlines;
  TimePoint m_owners_recheck_at{};
  TimePoint m_owners_changed_at{};
  /// Hash of the instances and revision that the owners were computed from.
  std::uint64_t m_owners_input_hash = 0;
  PlacementCounters m_counters;
};

/// Runs placement once.
void RunPlacement(World& world, TimePoint now);

/// Ends what a placement holds. Request flow calls it once for each attempt
/// that ended, before it queues the request again or ends it.
void ReleasePlacement(World& world, RequestRow& row, TimePoint now);

/// @return how many more requests the upstreams of a destination have room
/// for; the largest integer when one has no fixed capacity.
int FreeCapacity(World& world, const Destination& destination, TimePoint now);

/// @return true when some upstream of a destination may receive new work.
bool HasUsableUpstream(World& world,
                       const Destination& destination,
                       TimePoint now);

}  // namespace nutmeghollow

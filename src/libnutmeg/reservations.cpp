#include <algorithm>
#include <utility>

#include "libnutmeg/placement_internal.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {
namespace {

int IndexOfUpstream(const DestinationView& view, const UpstreamId& upstream) {
  const auto found =
      std::find_if(view.m_candidates.begin(), view.m_candidates.end(),
                   [&upstream](const Candidate& candidate) {
                     return candidate.m_row->m_id == upstream;
                   });
  return found == view.m_candidates.end()
             ? -1
             : static_cast<int>(found - view.m_candidates.begin());
}

/// @return true when a candidate can take another request within its capacity
/// and inner bound.
bool HasRoom(const World& world,
             const LoadTotals& totals,
             const Candidate& candidate,
             double bound) {
  return candidate.IsUsable() && candidate.HasCapacity() &&
         candidate.Load() + 1 <=
             LimitsOf(world, totals, candidate, bound).m_inner;
}

/// @return the least loaded engine with room, other than the requested one;
/// empty when there is none.
UpstreamId FindAlternative(const World& world,
                           const DestinationView& view,
                           const LoadTotals& totals,
                           double bound,
                           const UpstreamId& requested) {
  const Candidate* best = nullptr;
  for (const Candidate& candidate : view.m_candidates) {
    if (candidate.m_row->m_id == requested ||
        !HasRoom(world, totals, candidate, bound)) {
      continue;
    }
    if (best == nullptr || candidate.Load() * best->m_row->m_weight <
                               best->Load() * candidate.m_row->m_weight) {
      best = &candidate;
    }
  }
  return best == nullptr ? UpstreamId() : best->m_row->m_id;
}

SendReservationResponse Respond(World& world,
                                const IncomingReservation& reservation,
                                TimePoint now) {
  SendReservationResponse response{.m_reservation = reservation.m_reservation};
  const auto route = world.m_routes.find(reservation.m_route);
  if (route == world.m_routes.end()) {
    return response;
  }
  const double bound = route->second.m_bound;
  DestinationView& view = ViewOf(
      world, {RequestKind::kChat, reservation.m_route, ServiceId()}, now);
  const LoadTotals totals = SumLoads(view);
  const int index = IndexOfUpstream(view, reservation.m_upstream);
  response.m_granted =
      index >= 0 && HasRoom(world, totals, view.m_candidates[index], bound);
  if (response.m_granted) {
    RecordGrant(world, reservation.m_upstream, now);
    ++view.m_candidates[index].m_remote;
  } else {
    response.m_alternative =
        FindAlternative(world, view, totals, bound, reservation.m_upstream);
  }
  return response;
}

/// Places a request as the owner responded, or by a local decision when there
/// is no usable response.
/// @param response null after a timeout.
void CompleteReservation(World& world,
                         RequestRow& row,
                         const ReservationResponse* response,
                         TimePoint now) {
  const DestinationView& view =
      ViewOf(world, DestinationOf(row.m_request), now);
  if (response != nullptr) {
    const UpstreamId& target =
        response->m_granted ? response->m_upstream : response->m_alternative;
    const int index = IndexOfUpstream(view, target);
    if (index >= 0 && MayReceive(row, view.m_candidates[index])) {
      const PlacementReason reason = response->m_granted
                                         ? PlacementReason::kReserved
                                         : PlacementReason::kAlternative;
      Place(world, row, view, {index, reason}, now);
      return;
    }
  }
  const auto choice = Decide(world, row, view, now);
  if (choice && !choice->m_wait) {
    Place(world, row, view, *choice, now);
  } else {
    world.m_requests.SetPhase(row, RequestPhase::kAdmitted, now);
  }
}

RequestRow* FindReserving(World& world, RequestId id) {
  RequestRow* row = world.m_requests.Find(id);
  return row != nullptr && row->m_phase == RequestPhase::kReserving ? row
                                                                    : nullptr;
}

}  // namespace

bool RequestReservation(World& world,
                        RequestRow& row,
                        const DestinationView& view,
                        const PlacementChoice& choice,
                        TimePoint now) {
  const PlacementParameters& parameters = world.m_placement_parameters;
  if (!parameters.m_reservations || !choice.m_near_bound) {
    return false;
  }
  const UpstreamRow& upstream = *view.m_candidates[choice.m_candidate].m_row;
  const InstanceRow* owner = world.m_instances.Find(upstream.m_owner);
  if (owner == nullptr || owner->m_id == world.m_instances.m_self ||
      owner->m_status != InstanceStatus::kAlive) {
    return false;
  }
  if (AvailableControlBytes(world, ControlClass::kReservation, now) ==
      Bytes(0)) {
    // Leaves the control budget to probes and decides by the estimated load.
    return false;
  }
  const RequestId id = row.m_request.m_id;
  const TimePoint deadline = now + parameters.m_reservation_timeout;
  world.m_placement.m_reservations[id] = {id, upstream.m_id, deadline};
  world.m_placement.m_reservation_deadlines.emplace_back(deadline, id);
  ++world.m_placement.m_counters.m_reservations_sent;
  world.m_actions.emplace_back(
      ReserveAtOwner{id, owner->m_id, upstream.m_id, row.m_request.m_route});
  world.m_requests.SetPhase(row, RequestPhase::kReserving, now);
  return true;
}

void AnswerIncomingReservations(World& world, TimePoint now) {
  for (const IncomingReservation& reservation :
       std::exchange(world.m_reservation_inbox.m_requests, {})) {
    world.m_actions.emplace_back(Respond(world, reservation, now));
  }
}

void ResolveReservations(World& world, TimePoint now) {
  PlacementState& state = world.m_placement;
  for (const ReservationResponse& response :
       std::exchange(world.m_reservation_inbox.m_responses, {})) {
    const auto pending = state.m_reservations.find(response.m_request);
    // A late response, or one to an earlier reservation request, is ignored;
    // the grant expires at the owner.
    if (pending == state.m_reservations.end() ||
        pending->second.m_upstream != response.m_upstream) {
      continue;
    }
    state.m_reservations.erase(pending);
    ++(response.m_granted ? state.m_counters.m_reservations_granted
                          : state.m_counters.m_reservations_refused);
    if (RequestRow* row = FindReserving(world, response.m_request)) {
      CompleteReservation(world, *row, &response, now);
    }
  }
  while (!state.m_reservation_deadlines.empty() &&
         state.m_reservation_deadlines.front().first <= now) {
    const auto [deadline, id] = state.m_reservation_deadlines.front();
    state.m_reservation_deadlines.pop_front();
    const auto pending = state.m_reservations.find(id);
    if (pending == state.m_reservations.end() ||
        pending->second.m_deadline != deadline) {
      continue;
    }
    state.m_reservations.erase(pending);
    ++state.m_counters.m_reservations_timed_out;
    if (RequestRow* row = FindReserving(world, id)) {
      CompleteReservation(world, *row, nullptr, now);
    }
  }
}

}  // namespace nutmeghollow::detail

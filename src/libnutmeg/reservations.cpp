#include <algorithm>
#include <utility>

#include "libnutmeg/placement_internal.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {
namespace {

int PositionOf(const DestinationView& view, const UpstreamId& upstream) {
  const auto found =
      std::find_if(view.m_candidates.begin(), view.m_candidates.end(),
                   [&upstream](const Candidate& candidate) {
                     return candidate.m_row->m_id == upstream;
                   });
  return found == view.m_candidates.end()
             ? -1
             : static_cast<int>(found - view.m_candidates.begin());
}

bool HasPlace(const World& world,
              const LoadTotals& totals,
              const Candidate& candidate,
              double bound) {
  return candidate.IsUsable() && candidate.HasCapacity() &&
         candidate.Load() + 1 <=
             LimitsOf(world, totals, candidate, bound).m_inner;
}

/// @return the least loaded engine with room, other than the one asked for.
UpstreamId FindAlternative(const World& world,
                           const DestinationView& view,
                           const LoadTotals& totals,
                           double bound,
                           const UpstreamId& asked) {
  const Candidate* best = nullptr;
  for (const Candidate& candidate : view.m_candidates) {
    if (candidate.m_row->m_id == asked ||
        !HasPlace(world, totals, candidate, bound)) {
      continue;
    }
    if (best == nullptr || candidate.Load() * best->m_row->m_weight <
                               best->Load() * candidate.m_row->m_weight) {
      best = &candidate;
    }
  }
  return best == nullptr ? UpstreamId() : best->m_row->m_id;
}

SendReservationResponse Answer(World& world,
                               const IncomingReservation& question,
                               TimePoint now) {
  SendReservationResponse answer{.m_reservation = question.m_reservation};
  const auto route = world.m_routes.find(question.m_route);
  if (route == world.m_routes.end()) {
    return answer;
  }
  const double bound = route->second.m_bound;
  DestinationView& view =
      ViewOf(world, {RequestKind::kChat, question.m_route, ServiceId()}, now);
  const LoadTotals totals = SumLoads(view);
  const int position = PositionOf(view, question.m_upstream);
  answer.m_granted =
      position >= 0 &&
      HasPlace(world, totals, view.m_candidates[position], bound);
  if (answer.m_granted) {
    RecordGrant(world, question.m_upstream, now);
    ++view.m_candidates[position].m_remote;
  } else {
    answer.m_alternative =
        FindAlternative(world, view, totals, bound, question.m_upstream);
  }
  return answer;
}

/// Places a request after the owner answered, or by itself without answer.
void Settle(World& world,
            RequestRow& row,
            const ReservationResponse* answer,
            TimePoint now) {
  const DestinationView& view =
      ViewOf(world, DestinationOf(row.m_request), now);
  if (answer != nullptr) {
    const UpstreamId& target =
        answer->m_granted ? answer->m_upstream : answer->m_alternative;
    const int position = PositionOf(view, target);
    if (position >= 0 && MayReceive(row, view.m_candidates[position])) {
      const PlacementReason reason = answer->m_granted
                                         ? PlacementReason::kReserved
                                         : PlacementReason::kAlternative;
      Place(world, row, view, {position, reason}, now);
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
    return false;  // Better a decision by estimate than a probe not sent.
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
  for (const IncomingReservation& question :
       std::exchange(world.m_reservation_inbox.m_requests, {})) {
    world.m_actions.emplace_back(Answer(world, question, now));
  }
}

void ResolveReservations(World& world, TimePoint now) {
  PlacementState& state = world.m_placement;
  for (const ReservationResponse& answer :
       std::exchange(world.m_reservation_inbox.m_answers, {})) {
    const auto pending = state.m_reservations.find(answer.m_request);
    // An answer that came too late, or for an earlier question, is ignored:
    // the owner's grant expires by itself.
    if (pending == state.m_reservations.end() ||
        pending->second.m_upstream != answer.m_upstream) {
      continue;
    }
    state.m_reservations.erase(pending);
    ++(answer.m_granted ? state.m_counters.m_reservations_granted
                        : state.m_counters.m_reservations_refused);
    if (RequestRow* row = FindReserving(world, answer.m_request)) {
      Settle(world, *row, &answer, now);
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
      Settle(world, *row, nullptr, now);
    }
  }
}

}  // namespace nutmeghollow::detail

#include "nutmeghollow/placement.h"

#include <algorithm>
#include <limits>

#include "libnutmeg/placement_internal.h"
#include "nutmeghollow/owners.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

double BoundOf(const World& world, const RequestRow& row) {
  const auto found = world.m_routes.find(row.m_request.m_route);
  return found == world.m_routes.end() ? 1.0 : found->second.m_bound;
}

const PlacementPolicy& PolicyFor(World& world, RequestKind kind) {
  static const PlacementPolicy kServicePolicy =
      FindPlacementPolicy("least_loaded");
  if (kind == RequestKind::kService) {
    return kServicePolicy;
  }
  PlacementState& state = world.m_placement;
  if (state.m_policy_name != world.m_placement_parameters.m_policy) {
    state.m_policy_name = world.m_placement_parameters.m_policy;
    state.m_policy = FindPlacementPolicy(state.m_policy_name);
  }
  NUTMEG_CHECK(state.m_policy != nullptr, "the placement policy is known");
  return state.m_policy != nullptr ? state.m_policy : kServicePolicy;
}

/// @return true when the bound is an invariant for a request: only the bounded
/// policy for chats enforces it.
bool EnforcesBound(const World& world, const RequestRow& row) {
  return row.m_request.m_kind == RequestKind::kChat &&
         world.m_placement.m_policy_name == "bounded";
}

bool AllUsableTried(const RequestRow& row, const DestinationView& view) {
  return !row.m_tried.empty() &&
         std::none_of(view.m_candidates.begin(), view.m_candidates.end(),
                      [&row](const Candidate& candidate) {
                        return candidate.IsUsable() &&
                               !row.m_tried.contains(candidate.m_row->m_id);
                      });
}

}  // namespace

namespace detail {

void Place(World& world,
           RequestRow& row,
           const DestinationView& view,
           const PlacementChoice& choice,
           TimePoint now) {
  const Candidate& candidate = view.m_candidates[choice.m_candidate];
  UpstreamRow& upstream = *candidate.m_row;
  if (EnforcesBound(world, row)) {
    const CandidateLimits limits =
        LimitsOf(world, SumLoads(view), candidate, BoundOf(world, row));
    NUTMEG_CHECK(candidate.Load() + 1 <= limits.m_hard ||
                     choice.m_reason == PlacementReason::kReserved ||
                     choice.m_reason == PlacementReason::kAlternative,
                 "no placement exceeds the bound");
  }
  NUTMEG_CHECK(!row.m_has_placement, "a request has one placement");
  LeaveQueue(world, row.m_request.m_id);
  ChangeRunning(world, upstream, 1, now);
  const auto customer = world.m_customers.find(row.m_request.m_customer);
  if (customer != world.m_customers.end()) {
    ++customer->second.m_running;
  }
  if (row.m_request.m_kind == RequestKind::kChat) {
    world.m_placement.m_chats.Remember(
        row.m_request.m_chat, candidate.m_memory_index, choice.m_reason, now);
  }
  row.m_upstream = upstream.m_id;
  row.m_has_placement = true;
  ++world.m_placement.m_counters.m_placed;
  if (choice.m_reason == PlacementReason::kOverflow) {
    ++world.m_placement.m_counters.m_overflowed;
  }
  world.m_requests.SetPhase(row, RequestPhase::kPlaced, now);
}

std::optional<PlacementChoice> Decide(World& world,
                                      const RequestRow& row,
                                      const DestinationView& view,
                                      TimePoint now) {
  const PlacementPolicy& policy = PolicyFor(world, row.m_request.m_kind);
  return policy({world, row, view, BoundOf(world, row), now});
}

}  // namespace detail

void RunPlacement(World& world, TimePoint now) {
  UpdateOwners(world, now);
  detail::AnswerIncomingReservations(world, now);
  detail::ResolveReservations(world, now);
  const std::set<RequestId>& admitted =
      world.m_requests.InPhase(RequestPhase::kAdmitted);
  if (admitted.empty()) {
    return;
  }
  const std::vector<RequestId> requests(admitted.begin(), admitted.end());
  for (const RequestId& id : requests) {
    RequestRow& row = *world.m_requests.Find(id);
    const DestinationView& view =
        ViewOf(world, DestinationOf(row.m_request), now);
    const auto choice = detail::Decide(world, row, view, now);
    if (!choice) {
      if (AllUsableTried(row, view)) {
        Refuse(world, row, Refusal::kNoUpstream,
               world.m_admission_parameters.m_retry_after, now);
      }
      continue;
    }
    if (choice->m_wait) {
      continue;
    }
    if (!detail::RequestReservation(world, row, view, *choice, now)) {
      detail::Place(world, row, view, *choice, now);
    }
  }
}

void ReleasePlacement(World& world, RequestRow& row, TimePoint now) {
  NUTMEG_CHECK(row.m_has_placement, "a placement is released once");
  if (!row.m_has_placement) {
    return;
  }
  row.m_has_placement = false;
  UpstreamRow* upstream = world.m_upstreams.Find(row.m_upstream);
  if (upstream != nullptr) {
    ChangeRunning(world, *upstream, -1, now);
  }
  const auto customer = world.m_customers.find(row.m_request.m_customer);
  if (customer != world.m_customers.end()) {
    --customer->second.m_running;
    NUTMEG_CHECK(customer->second.m_running >= 0,
                 "a customer's running requests are never below zero");
  }
  if (row.m_request.m_kind == RequestKind::kChat && row.m_bytes_received == 0) {
    ChatMemory& chats = world.m_placement.m_chats;
    chats.Forget(row.m_request.m_chat, chats.IndexOf(row.m_upstream));
  }
  NoteFreedCapacity(world, row.m_request);
}

int FreeCapacity(World& world, const Destination& destination, TimePoint now) {
  int room = 0;
  for (const Candidate& candidate :
       ViewOf(world, destination, now).m_candidates) {
    if (!candidate.IsUsable()) {
      continue;
    }
    if (candidate.m_row->m_capacity <= 0) {
      return std::numeric_limits<int>::max();
    }
    room += std::max(0, candidate.m_row->m_capacity - candidate.Load());
  }
  return room;
}

bool HasUsableUpstream(World& world,
                       const Destination& destination,
                       TimePoint now) {
  const DestinationView& view = ViewOf(world, destination, now);
  return std::any_of(
      view.m_candidates.begin(), view.m_candidates.end(),
      [](const Candidate& candidate) { return candidate.IsUsable(); });
}

}  // namespace nutmeghollow

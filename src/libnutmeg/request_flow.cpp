#include "nutmeghollow/request_flow.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "attempt_events.h"
#include "nutmeghollow/claims.h"
#include "nutmeghollow/world.h"
#include "request_endings.h"

namespace nutmeghollow {
namespace {

using detail::EndCompleted;
using detail::EndRefused;
using detail::SetWakeup;

bool IsBeforePhase(const RequestRow& row, RequestPhase phase) {
  return static_cast<int>(row.m_phase) < static_cast<int>(phase);
}

/// Moves a new service call to its first phase.
void StartServiceCall(World& world, RequestRow& row, TimePoint now) {
  const NewRequest& request = row.m_request;
  const auto service = world.m_services.find(request.m_service);
  if (service == world.m_services.end()) {
    EndRefused(world, row, Refusal::kUnknownService, Duration::zero(), now);
    return;
  }
  row.m_at_most_once =
      service->second.m_non_idempotent_methods.contains(request.m_method);
  const bool needs_claim =
      row.m_at_most_once && !request.m_idempotency_key.empty();
  if (!needs_claim) {
    world.m_requests.SetPhase(row, RequestPhase::kQueued, now);
    return;
  }
  world.m_requests.SetPhase(row, RequestPhase::kClaiming, now);
  SetWakeup(
      world, row,
      std::min(row.m_deadline, now + world.m_claim_parameters.m_claim_timeout));
  StartClaim(world, row);
}

void StartChat(World& world, RequestRow& row, TimePoint now) {
  if (!world.m_routes.contains(row.m_request.m_route)) {
    EndRefused(world, row, Refusal::kUnknownRoute, Duration::zero(), now);
    return;
  }
  world.m_requests.SetPhase(row, RequestPhase::kQueued, now);
}

void AcceptRequest(World& world, const NewRequest& request, TimePoint now) {
  RequestRow& row = world.m_requests.Add(request, now);
  ++world.m_request_flow.m_counters.m_arrived;
  SetWakeup(world, row, row.m_deadline);
  if (world.m_configuration.m_revision == Revision()) {
    EndRefused(world, row, Refusal::kNotReady, Duration::zero(), now);
  } else if (world.m_configuration.m_isolated) {
    EndRefused(world, row, Refusal::kIsolated, Duration::zero(), now);
  } else if (IsQuarantined(world, request.m_digest, now)) {
    EndRefused(world, row, Refusal::kQuarantined, Duration::zero(), now);
  } else if (request.m_kind == RequestKind::kService) {
    StartServiceCall(world, row, now);
  } else {
    StartChat(world, row, now);
  }
}

/// Hands a placed request to the network.
void Dispatch(World& world, RequestRow& row, TimePoint now) {
  const UpstreamRow* upstream = world.m_upstreams.Find(row.m_upstream);
  if (upstream == nullptr) {
    EndRefused(world, row, Refusal::kNoUpstream, Duration::zero(), now);
    return;
  }
  if (IsQuarantined(world, row.m_request.m_digest, now)) {
    EndRefused(world, row, Refusal::kQuarantined, Duration::zero(), now);
    return;
  }
  const std::optional<TimePoint> claim_limit = ClaimDispatchLimit(world, row);
  if (claim_limit && now >= *claim_limit) {
    // The dispatch window of the claim ends soon; then another instance may
    // take the claim over.
    EndRefused(world, row, Refusal::kStoreUnavailable, Duration::zero(), now);
    return;
  }
  switch (AcquireSuspectSlot(world, row, now)) {
    case SuspectSlot::kWait:
      return;
    case SuspectSlot::kRunsElsewhere:
      EndRefused(world, row, Refusal::kRunsElsewhere, Duration::zero(), now);
      return;
    case SuspectSlot::kAcquired:
      break;
  }
  NUTMEG_CHECK(!row.m_at_most_once || !row.m_may_have_run,
               "a non-idempotent request is dispatched once");
  row.m_attempt = world.NewAttempt();
  row.m_dispatched_at = now;
  ++row.m_attempts;
  ++world.m_request_flow.m_counters.m_attempts;
  row.m_resumes = 0;
  row.m_last_resume_offset.reset();
  world.m_request_flow.m_in_flight[row.m_upstream].insert(row.m_request.m_id);
  world.m_actions.emplace_back(
      DispatchAttempt{.m_request = row.m_request.m_id,
                      .m_attempt = row.m_attempt,
                      .m_upstream = row.m_upstream,
                      .m_endpoint = upstream->m_endpoint,
                      .m_not_after = claim_limit});
  world.m_requests.SetPhase(row, RequestPhase::kDispatched, now);
}

void DispatchPlaced(World& world, TimePoint now) {
  const auto& placed = world.m_requests.InPhase(RequestPhase::kPlaced);
  const std::vector<RequestId> ids(placed.begin(), placed.end());
  for (RequestId id : ids) {
    Dispatch(world, *world.m_requests.Find(id), now);
  }
}

/// Ends the requests that another system refused.
void EndRefusedRequests(World& world, TimePoint now) {
  const auto& refused = world.m_requests.InPhase(RequestPhase::kRefused);
  const std::vector<RequestId> ids(refused.begin(), refused.end());
  for (RequestId id : ids) {
    RequestRow& row = *world.m_requests.Find(id);
    EndRefused(world, row, row.m_refusal, row.m_retry_after, now);
  }
}

/// Handles a caller that closed its connection. A claimed call that may be
/// running continues, so that its outcome can be recorded for a repeated
/// request.
void HandleCallerDisconnect(World& world, RequestId id, TimePoint now) {
  RequestRow* row = world.m_requests.Find(id);
  if (row == nullptr || row->m_phase == RequestPhase::kDone) {
    return;
  }
  const bool claimed =
      row->m_at_most_once && !row->m_request.m_idempotency_key.empty();
  if (claimed && !IsBeforePhase(*row, RequestPhase::kDispatched)) {
    row->m_caller_disconnected = true;
    return;
  }
  detail::EndAbandoned(world, *row, now);
}

/// @return the refusal of a request whose deadline passed.
Refusal RefusalAtDeadline(const RequestRow& row) {
  switch (row.m_phase) {
    case RequestPhase::kClaiming:
      // A repeated request waits for the claimer or the service, not for the
      // table service.
      return row.m_earlier_outcome ? Refusal::kKeyInProgress
                                   : Refusal::kStoreUnavailable;
    case RequestPhase::kArrived:
    case RequestPhase::kQueued:
    case RequestPhase::kAdmitted:
    case RequestPhase::kReserving:
    case RequestPhase::kPlaced:
      return Refusal::kQueueDeadline;
    default:
      return Refusal::kUpstreamTimeout;
  }
}

/// Handles the wakeup of a request.
void HandleWakeup(World& world, RequestRow& row, TimePoint now) {
  if (row.m_phase == RequestPhase::kRecording) {
    // The response is complete; recording continues after the request ended.
    EndCompleted(world, row, now);
  } else if (row.m_phase == RequestPhase::kWaiting &&
             row.m_refusal != Refusal::kNone) {
    EndRefused(world, row, row.m_refusal, row.m_retry_after, now);
  } else if (now >= row.m_deadline || row.m_phase == RequestPhase::kClaiming) {
    EndRefused(world, row, RefusalAtDeadline(row), Duration::zero(), now);
  } else if (row.m_phase == RequestPhase::kWaiting) {
    SetWakeup(world, row, row.m_deadline);
    if (IsQuarantined(world, row.m_request.m_digest, now)) {
      EndRefused(world, row, Refusal::kQuarantined, Duration::zero(), now);
    } else {
      world.m_requests.SetPhase(row, RequestPhase::kQueued, now);
      world.m_tick_again = true;
    }
  } else if (row.m_phase == RequestPhase::kStreaming ||
             row.m_phase == RequestPhase::kSent) {
    SetWakeup(world, row, row.m_deadline);
    detail::ResumeAttempt(world, row, now);
  } else {
    SetWakeup(world, row, row.m_deadline);
  }
}

void RunWakeups(World& world, TimePoint now) {
  auto& wakeups = world.m_request_flow.m_wakeups;
  while (!wakeups.empty() && wakeups.begin()->first <= now) {
    const RequestId id = wakeups.begin()->second;
    RequestRow* row = world.m_requests.Find(id);
    wakeups.erase(wakeups.begin());
    NUTMEG_CHECK(row != nullptr, "only requests in the table have wakeups");
    if (row != nullptr) {
      HandleWakeup(world, *row, now);
    }
  }
}

void RemoveDone(World& world) {
  const auto& done = world.m_requests.InPhase(RequestPhase::kDone);
  const std::vector<RequestId> ids(done.begin(), done.end());
  for (RequestId id : ids) {
    NUTMEG_CHECK(world.m_requests.Find(id)->m_finished,
                 "a request is finished before it is removed");
    world.m_requests.Remove(id);
  }
}

}  // namespace

Outcome DeriveOutcome(const RequestRow& row) {
  if (row.m_earlier_outcome) {
    return *row.m_earlier_outcome;
  }
  if (row.m_complete) {
    return Outcome::kCompleted;
  }
  return row.m_may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
}

void RunRequestIntake(World& world, TimePoint now) {
  for (const NewRequest& request :
       std::exchange(world.m_request_inbox.m_new, {})) {
    AcceptRequest(world, request, now);
  }
}

void RunRequestFlow(World& world, TimePoint now) {
  for (AttemptEvent& event :
       std::exchange(world.m_request_inbox.m_attempts, {})) {
    detail::HandleAttemptEvent(world, event, now);
  }
  for (RequestId id :
       std::exchange(world.m_request_inbox.m_callers_disconnected, {})) {
    HandleCallerDisconnect(world, id, now);
  }
  RunWakeups(world, now);
  EndRefusedRequests(world, now);
  DispatchPlaced(world, now);
  RemoveDone(world);
}

TimePoint NextRequestWakeup(const World& world) {
  const auto& wakeups = world.m_request_flow.m_wakeups;
  return wakeups.empty() ? TimePoint::max() : wakeups.begin()->first;
}

}  // namespace nutmeghollow

#include "request_endings.h"

#include <algorithm>
#include <array>
#include <utility>

#include "nutmeghollow/claims.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {
namespace {

constexpr std::array<RefusalText, static_cast<int>(Refusal::kCount)> kTexts{{
    {500, "Internal error", "", false},
    {404, "Unknown model", "No route serves this model.", false},
    {404, "Unknown service", "No such service.", false},
    {503, "Not ready", "This instance has no configuration yet.", true},
    {503, "Isolated",
     "This instance cannot reach any other part of the system.", true},
    {429, "Queue full", "Too many requests are queued for this route.", true},
    {429, "Waited too long", "No upstream had free capacity in time.", true},
    {429, "Customer limit", "The customer's limit is reached.", true},
    {503, "No upstream", "No upstream is available.", true},
    {503, "Store unavailable", "The idempotency key could not be claimed.",
     true},
    {422, "Idempotency key reused",
     "The key was used before with another request.", false},
    {409, "Request in progress",
     "The first request with this idempotency key is still running.", true},
    {409, "Outcome unknown",
     "The first request with this idempotency key may have run. An operator "
     "can settle it.",
     false},
    {409, "Answer not kept",
     "The first request with this idempotency key ran; its response was too "
     "large to be stored.",
     false},
    {422, "Quarantined", "This request crashed upstreams repeatedly.", false},
    {503, "Runs elsewhere",
     "The same request may have crashed an upstream, and may be running at "
     "another instance.",
     true},
    {502, "Upstream failed",
     "The upstream failed before its response was complete.", true},
    {504, "Upstream timeout", "The upstream did not respond in time.", true},
    {503, "Stopping", "This instance is stopping.", true},
    {499, "Caller gone", "The caller closed the connection.", false},
}};

/// Adds up to half of the base time, so that retries of callers are spread.
Duration WithJitter(World& world, Duration base) {
  if (!world.m_hooks.m_random || base <= Duration::zero()) {
    return base;
  }
  const auto half = static_cast<std::uint64_t>(base.count() / 2 + 1);
  return base + Duration(world.m_hooks.m_random() % half);
}

/// Marks the request as finished, settles its claim and moves it to kDone.
void FinishRequest(World& world, RequestRow& row, TimePoint now) {
  NUTMEG_CHECK(!row.m_finished, "a request ends once");
  row.m_finished = true;
  SettleClaimOfEndedRequest(world, row, now);
  auto& wakeups = world.m_request_flow.m_wakeups;
  wakeups.erase({row.m_wakeup, row.m_request.m_id});
  world.m_requests.SetPhase(row, RequestPhase::kDone, now);
}

}  // namespace

const RefusalText& TextOf(Refusal refusal) {
  return kTexts[static_cast<std::size_t>(refusal)];
}

void SetWakeup(World& world, RequestRow& row, TimePoint when) {
  auto& wakeups = world.m_request_flow.m_wakeups;
  const RequestId id = row.m_request.m_id;
  wakeups.erase({row.m_wakeup, id});
  row.m_wakeup = when;
  wakeups.emplace(when, id);
}

void EndAttempt(World& world, RequestRow& row, bool cancel, TimePoint now) {
  const bool in_progress = row.m_phase == RequestPhase::kDispatched ||
                           row.m_phase == RequestPhase::kSent ||
                           row.m_phase == RequestPhase::kStreaming;
  if (in_progress) {
    if (cancel) {
      world.m_actions.emplace_back(
          CancelAttempt{row.m_request.m_id, row.m_attempt});
    }
    auto& in_flight = world.m_request_flow.m_in_flight;
    const auto found = in_flight.find(row.m_upstream);
    if (found != in_flight.end()) {
      found->second.erase(row.m_request.m_id);
      if (found->second.empty()) {
        in_flight.erase(found);
      }
    }
    ReleaseSuspectSlot(world, row, now);
  }
  if (row.m_has_placement) {
    ReleasePlacement(world, row, now);
  }
}

void EndRefused(World& world,
                RequestRow& row,
                Refusal refusal,
                Duration retry_after,
                TimePoint now) {
  EndAttempt(world, row, true, now);
  const Outcome outcome = DeriveOutcome(row);
  NUTMEG_CHECK(outcome != Outcome::kNotRun || !row.m_may_have_run,
               "not-run is not reported after an attempt that may have run");
  RequestCounters& counters = world.m_request_flow.m_counters;
  ++counters.m_refused[static_cast<std::size_t>(refusal)];
  ++counters.m_ended[static_cast<std::size_t>(outcome)];
  const RequestId id = row.m_request.m_id;
  if (row.m_bytes_relayed > 0) {
    world.m_actions.emplace_back(FinishRelay{id, Outcome::kUnknown});
    FinishRequest(world, row, now);
    return;
  }
  const RefusalText& text = TextOf(refusal);
  // Without an idempotency key a retry of a call that may have run could run
  // it twice.
  const bool unsafe_to_retry = row.m_at_most_once &&
                               outcome == Outcome::kUnknown &&
                               row.m_request.m_idempotency_key.empty();
  if (unsafe_to_retry || !text.m_retryable) {
    retry_after = Duration::zero();
  } else if (retry_after <= Duration::zero()) {
    retry_after =
        WithJitter(world, world.m_request_flow_parameters.m_retry_after);
  }
  world.m_actions.emplace_back(RefuseRequest{id, outcome, refusal,
                                             text.m_status, text.m_title,
                                             text.m_detail, retry_after});
  FinishRequest(world, row, now);
}

void EndCompleted(World& world, RequestRow& row, TimePoint now) {
  EndAttempt(world, row, false, now);
  const Outcome outcome = DeriveOutcome(row);
  NUTMEG_CHECK(outcome == Outcome::kCompleted,
               "only a complete response ends as completed");
  RequestCounters& counters = world.m_request_flow.m_counters;
  ++counters.m_ended[static_cast<std::size_t>(outcome)];
  world.m_actions.emplace_back(FinishRelay{row.m_request.m_id, outcome});
  FinishRequest(world, row, now);
}

void EndReplayed(World& world,
                 RequestRow& row,
                 int status,
                 std::string content_type,
                 std::string body,
                 TimePoint now) {
  EndAttempt(world, row, true, now);
  RequestCounters& counters = world.m_request_flow.m_counters;
  ++counters.m_ended[static_cast<std::size_t>(Outcome::kCompleted)];
  ++counters.m_replays;
  world.m_actions.emplace_back(ReplayAnswer{
      row.m_request.m_id, status, std::move(content_type), std::move(body)});
  FinishRequest(world, row, now);
}

void EndAbandoned(World& world, RequestRow& row, TimePoint now) {
  EndAttempt(world, row, true, now);
  ++world.m_request_flow.m_counters.m_callers_disconnected;
  // No caller receives it, but the adapter has to release its state of the
  // request.
  world.m_actions.emplace_back(
      FinishRelay{row.m_request.m_id, Outcome::kUnknown});
  FinishRequest(world, row, now);
}

}  // namespace nutmeghollow::detail

#include "attempt_events.h"

#include <algorithm>
#include <utility>

#include "nutmeghollow/claims.h"
#include "nutmeghollow/world.h"
#include "request_endings.h"

namespace nutmeghollow::detail {
namespace {

Duration RetryDelay(World& world) {
  const RequestFlowParameters& parameters = world.m_request_flow_parameters;
  const Duration span =
      parameters.m_retry_delay_max - parameters.m_retry_delay_min;
  if (!world.m_hooks.m_random || span <= Duration::zero()) {
    return parameters.m_retry_delay_min;
  }
  const auto range = static_cast<std::uint64_t>(span.count()) + 1;
  return parameters.m_retry_delay_min +
         Duration(world.m_hooks.m_random() % range);
}

/// Takes a token of the retry budget. @return false when there is none.
bool ConsumeRetryToken(World& world, const RequestRow& row, TimePoint now) {
  const NewRequest& request = row.m_request;
  return request.m_kind == RequestKind::kChat
             ? TakeRetryToken(world, request.m_route, now)
             : TakeRetryToken(world, request.m_service, now);
}

/// @return whether another attempt may be made: it cannot run the request
/// twice against its contract, the caller still waits, and the retry budget has
/// a token, which is taken.
bool CanRetry(World& world,
              const RequestRow& row,
              TimePoint earliest,
              TimePoint now) {
  const bool repeatable = !row.m_may_have_run || !row.m_at_most_once;
  const int limit = world.m_request_flow_parameters.m_attempt_limit;
  return repeatable && row.m_bytes_relayed == 0 && !row.m_caller_disconnected &&
         row.m_attempts < limit && earliest < row.m_deadline &&
         ConsumeRetryToken(world, row, now);
}

/// Whether a failed attempt may still be running at its upstream.
enum class UpstreamState { kNotRunning, kMayRun };

/// Ends the attempt, whose connection has ended already. Retries the request or
/// ends it with the refusal.
void RetryOrEnd(World& world,
                RequestRow& row,
                Refusal refusal,
                Duration retry_after,
                UpstreamState upstream_state,
                TimePoint now) {
  const TimePoint earliest =
      std::max(now + RetryDelay(world), row.m_failure_not_before);
  const bool cancel = upstream_state == UpstreamState::kMayRun &&
                      row.m_request.m_kind == RequestKind::kChat;
  EndAttempt(world, row, cancel, now);
  world.m_requests.SetPhase(row, RequestPhase::kWaiting, now);
  row.m_tried.insert(row.m_upstream);
  if (CanRetry(world, row, earliest, now)) {
    ++world.m_request_flow.m_counters.m_retries;
    row.m_bytes_received = 0;
    SetWakeup(world, row, earliest);
    return;
  }
  if (row.m_failure_not_before > now) {
    row.m_refusal = refusal;
    row.m_retry_after = retry_after;
    SetWakeup(world, row, row.m_failure_not_before);
    return;
  }
  EndRefused(world, row, refusal, retry_after, now);
}

/// @return whether the upstream may still have the response, so that a resume
/// may succeed.
bool CanResume(const World& world, const RequestRow& row, Refusal refusal) {
  const NewRequest& request = row.m_request;
  if (request.m_kind != RequestKind::kChat ||
      row.m_resumes >= world.m_request_flow_parameters.m_resume_limit) {
    return false;
  }
  if (!request.m_streamed) {
    // Without streaming the response arrives only at its end, so a timeout
    // cannot distinguish a slow upstream from a connection that was lost
    // silently: the response is requested again. After a broken connection the
    // chat runs again.
    return refusal == Refusal::kUpstreamTimeout;
  }
  return row.m_resumes < 2 || !row.m_last_resume_offset ||
         row.m_bytes_received > *row.m_last_resume_offset;
}

/// Resumes a response whose connection failed; otherwise retries or ends the
/// request.
void ResumeOrRetry(World& world,
                   RequestRow& row,
                   Refusal refusal,
                   TimePoint now) {
  if (!CanResume(world, row, refusal)) {
    RetryOrEnd(world, row, refusal, Duration::zero(), UpstreamState::kMayRun,
               now);
    return;
  }
  const bool no_progress = row.m_last_resume_offset &&
                           row.m_bytes_received == *row.m_last_resume_offset;
  if (!no_progress) {
    ResumeAttempt(world, row, now);
    return;
  }
  // The adapter ended the attempt. Events are ignored until the resume.
  row.m_attempt = AttemptId();
  const TimePoint when = now + world.m_request_flow_parameters.m_resume_delay;
  SetWakeup(world, row, std::min(when, row.m_deadline));
}

void HandleBytes(RequestRow& row, std::int64_t bytes) {
  NUTMEG_CHECK(bytes >= 0, "byte counts are not negative");
  row.m_bytes_received += bytes;
  row.m_bytes_relayed += bytes;
}

void HandleComplete(World& world,
                    RequestRow& row,
                    AttemptEvent& event,
                    TimePoint now) {
  NUTMEG_CHECK(row.m_bytes_relayed == row.m_bytes_received,
               "bytes relayed equal bytes received");
  row.m_bytes_received += event.m_buffered_bytes;
  row.m_bytes_relayed += event.m_buffered_bytes;
  row.m_complete = true;
  NoteCompletion(world, row, now);
  EndAttempt(world, row, false, now);
  if (!RecordOutcome(world, row, event, now)) {
    EndCompleted(world, row, now);
    return;
  }
  world.m_requests.SetPhase(row, RequestPhase::kRecording, now);
  SetWakeup(world, row, now + world.m_request_flow_parameters.m_record_timeout);
}

/// Handles a connection that ended or timed out before the response was
/// complete.
void HandleBrokenConnection(World& world,
                            RequestRow& row,
                            const AttemptEvent& event,
                            TimePoint now) {
  const bool timed_out = event.m_kind == AttemptEventKind::kTimeout;
  const Refusal refusal =
      timed_out ? Refusal::kUpstreamTimeout : Refusal::kUpstreamFailed;
  if (row.m_phase == RequestPhase::kDispatched && !row.m_may_have_run) {
    RetryOrEnd(world, row, Refusal::kNoUpstream, Duration::zero(),
               UpstreamState::kNotRunning, now);
    return;
  }
  if (event.m_kind == AttemptEventKind::kBroken) {
    row.m_failure_not_before = std::max(row.m_failure_not_before,
                                        NoteBrokenConnection(world, row, now));
  }
  ResumeOrRetry(world, row, refusal, now);
}

void HandleConnectFailed(World& world, RequestRow& row, TimePoint now) {
  if (row.m_resumes > 0) {
    ResumeOrRetry(world, row, Refusal::kUpstreamFailed, now);
    return;
  }
  RetryOrEnd(world, row, Refusal::kNoUpstream, Duration::zero(),
             UpstreamState::kNotRunning, now);
}

void HandleRefused(World& world,
                   RequestRow& row,
                   const AttemptEvent& event,
                   TimePoint now) {
  if (row.m_resumes == 0) {
    row.m_may_have_run = row.m_earlier_may_have_run;
  }
  RetryOrEnd(world, row, Refusal::kNoUpstream, event.m_retry_after,
             UpstreamState::kNotRunning, now);
}

void HandleBytesSent(World& world, RequestRow& row, TimePoint now) {
  row.m_earlier_may_have_run = row.m_may_have_run;
  row.m_may_have_run = true;
  if (row.m_phase == RequestPhase::kDispatched) {
    world.m_requests.SetPhase(row, RequestPhase::kSent, now);
  }
}

void HandleHeaders(World& world, RequestRow& row, TimePoint now) {
  if (row.m_resumes > 0) {
    NoteStreamRetained(world, row.m_upstream);
  }
  if (row.m_phase == RequestPhase::kSent) {
    world.m_requests.SetPhase(row, RequestPhase::kStreaming, now);
  }
}

/// Reports to probing whether an attempt shows a healthy upstream.
void ReportUpstreamHealth(World& world,
                          const RequestRow& row,
                          AttemptEventKind kind,
                          TimePoint now) {
  switch (kind) {
    case AttemptEventKind::kHeaders:
    case AttemptEventKind::kComplete:
      NoteTrafficEvidence(world, row.m_upstream, true, now);
      break;
    case AttemptEventKind::kConnectFailed:
    case AttemptEventKind::kBroken:
    case AttemptEventKind::kTimeout:
    case AttemptEventKind::kWrongRequestId:
      NoteTrafficEvidence(world, row.m_upstream, false, now);
      break;
    case AttemptEventKind::kBytesSent:
    case AttemptEventKind::kResponseBytes:
    case AttemptEventKind::kStreamNotRetained:
    case AttemptEventKind::kRefused:
    case AttemptEventKind::kIncomplete:
      break;
  }
}

}  // namespace

void ResumeAttempt(World& world, RequestRow& row, TimePoint now) {
  const UpstreamRow* upstream = world.m_upstreams.Find(row.m_upstream);
  if (upstream == nullptr) {
    RetryOrEnd(world, row, Refusal::kUpstreamFailed, Duration::zero(),
               UpstreamState::kNotRunning, now);
    return;
  }
  ++row.m_resumes;
  ++world.m_request_flow.m_counters.m_resumes;
  row.m_last_resume_offset = row.m_bytes_received;
  row.m_attempt = world.NewAttempt();
  world.m_actions.emplace_back(
      DispatchAttempt{.m_request = row.m_request.m_id,
                      .m_attempt = row.m_attempt,
                      .m_upstream = row.m_upstream,
                      .m_endpoint = upstream->m_endpoint,
                      .m_resume = true,
                      .m_resume_offset = row.m_bytes_received});
}

void HandleAttemptEvent(World& world, AttemptEvent& event, TimePoint now) {
  RequestRow* row = world.m_requests.Find(event.m_request);
  if (row == nullptr || row->m_phase == RequestPhase::kDone ||
      row->m_attempt != event.m_attempt) {
    return;
  }
  HandleBytes(*row, event.m_bytes);
  ReportUpstreamHealth(world, *row, event.m_kind, now);
  switch (event.m_kind) {
    case AttemptEventKind::kBytesSent:
      HandleBytesSent(world, *row, now);
      break;
    case AttemptEventKind::kHeaders:
      HandleHeaders(world, *row, now);
      break;
    case AttemptEventKind::kResponseBytes:
      break;
    case AttemptEventKind::kComplete:
      HandleComplete(world, *row, event, now);
      break;
    case AttemptEventKind::kStreamNotRetained:
      RetryOrEnd(world, *row, Refusal::kUpstreamFailed, Duration::zero(),
                 UpstreamState::kNotRunning, now);
      break;
    case AttemptEventKind::kConnectFailed:
      HandleConnectFailed(world, *row, now);
      break;
    case AttemptEventKind::kRefused:
      HandleRefused(world, *row, event, now);
      break;
    case AttemptEventKind::kBroken:
    case AttemptEventKind::kIncomplete:
    case AttemptEventKind::kTimeout:
    case AttemptEventKind::kWrongRequestId:
      HandleBrokenConnection(world, *row, event, now);
      break;
  }
}

}  // namespace nutmeghollow::detail

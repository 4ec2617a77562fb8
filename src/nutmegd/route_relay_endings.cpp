// Handling of failed attempts and the end of a relayed request.
#include <algorithm>
#include <string_view>
#include <utility>

#include "libnet/log.h"
#include "nutmegd/problem.h"
#include "nutmegd/route_relay.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

constexpr int kStatusTimeout = 408;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusTooMany = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

/// Retry-After of a refused request as a share of its time left. It is random,
/// so that the retries of refused callers do not coincide.
constexpr double kMinRetryAfterShare = 0.08;
constexpr double kMaxRetryAfterShare = 0.30;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(1500);

/// Maximum random delay added to an upstream's remaining refusal time.
constexpr double kRetryAfterJitterUs = 300e3;

/// Maximum number of routes with an estimate of their durations.
constexpr std::size_t kMaxDurationEstimates = 4096;

/// @return true for statuses that imply that the request did not run.
bool ImpliesNotRun(int status) {
  return status == kStatusTimeout || status == kStatusMisdirected ||
         status == kStatusTooMany || status == kStatusUnavailable;
}

std::int64_t Milliseconds(Duration duration) {
  return duration.count() / 1000;
}

}  // namespace

void RouteRelay::HandleFailure(AttemptFailure failure) {
  if (m_ending || HoldFailure(failure)) {
    return;
  }
  const TimePoint now = BootTime();
  if (ContinueOtherAttempt(ProvesNotRun(failure) ? "the other one was not run"
                                                 : "the other one failed")) {
    CheckSilence(failure);
    return;
  }
  m_event_splitter.DropPartialEvent();
  m_progress.m_time_left = TimeLeft(now);
  // Before the first event was forwarded, the stream can start from its
  // beginning.
  m_progress.m_can_resume =
      m_event_splitter.LastId().has_value() || m_event_splitter.Events() == 0;
  NextStep step = DecideNextStep(m_route, failure, m_progress,
                                 m_state->m_attempt_parameters);
  const bool retries =
      step == NextStep::kRetryElsewhere || step == NextStep::kResume;
  if (retries && !TakeRetry(now)) {
    step = DecideFinalStep(failure, m_progress);
  }
  switch (step) {
    case NextStep::kRetryElsewhere:
    case NextStep::kResume:
      Dispatch(now);
      return;
    case NextStep::kForwardError:
      SendBufferedResponse();
      return;
    case NextStep::kRefuse:
      Refuse("upstreams did not run it");
      return;
    case NextStep::kFail:
      Fail(kStatusBadGateway, "the upstream broke off");
      return;
    case NextStep::kTimeOut:
      Fail(kStatusGatewayTimeout, "no answer in time");
      return;
    case NextStep::kAbort:
      Abort("the stream broke off");
      return;
  }
}

bool RouteRelay::TakeRetry(TimePoint now) {
  if (!NeedsAllowance()) {
    return true;
  }
  const RetryUse use = m_state->m_allowance.UseOf(m_service, now);
  if (m_state->m_allowance.Take(m_service, now)) {
    return true;
  }
  m_state->m_metrics.Count("nutmeg_route_retries_not_permitted");
  Log(LogLevel::kInfo, "retry_not_permitted",
      {{"request", m_request.m_id.str()},
       {"service", m_service.str()},
       {"requests", static_cast<std::int64_t>(use.m_requests)},
       {"retries", static_cast<std::int64_t>(use.m_retries)},
       {"allowed", use.m_allowed},
       {"time_left_ms", Milliseconds(TimeLeft(now))}});
  return false;
}

void RouteRelay::HandleBrokenAttempt(const UpstreamId& upstream,
                                     const Endpoint& endpoint,
                                     TimePoint sent_at) {
  CrashDetector& detector = *m_state->m_crash_detector;
  const bool suspect =
      detector.Suspects().IsSuspect(SuspectOf(Digest()), BootTime());
  m_awaits_crash_check = m_awaits_crash_check || suspect;
  const std::weak_ptr<RouteRelay> weak = weak_from_this();
  detector.CheckForCrash(
      {Digest(), SharedParts(), m_request.m_id, upstream, endpoint, sent_at},
      [weak, suspect] {
        const auto self = weak.lock();
        if (suspect && self != nullptr && !self->m_done) {
          self->m_awaits_crash_check = false;
          self->HandleFailure(AttemptFailure::kBroken);
        }
      });
  if (!suspect) {
    HandleFailure(AttemptFailure::kBroken);
  }
}

bool RouteRelay::EndIfRefusedForCrashes() {
  CrashDetector& detector = *m_state->m_crash_detector;
  const Duration refused_for =
      detector.Suspects().size() == 0
          ? Duration::zero()
          : detector.RefusedFor(Digest(), SharedParts());
  if (refused_for <= Duration::zero()) {
    return false;
  }
  if (m_progress.m_response_started || m_progress.m_may_have_run) {
    EndUnserved(kStatusBadGateway, "crashes upstreams");
  } else {
    RefuseWithRetryAfter("crashes upstreams", refused_for);
  }
  return true;
}

void RouteRelay::EndUnserved(int failed_status, const char* reason) {
  if (ContinueOtherAttempt(reason)) {
    return;
  }
  if (m_progress.m_response_started) {
    Abort(reason);
  } else if (m_progress.m_may_have_run) {
    Fail(failed_status, reason);
  } else {
    Refuse(reason);
  }
}

void RouteRelay::HandleDeadline() {
  if (m_done) {
    return;
  }
  const bool no_data = m_attempt && !m_attempt->m_data_received;
  if (m_attempt) {
    m_progress.m_may_have_run = true;
  }
  CancelAttempts(no_data ? AttemptHealth::kTimedOut
                         : AttemptHealth::kAbandoned);
  CancelHop();
  EndUnserved(kStatusGatewayTimeout, "no answer in time");
}

void RouteRelay::Stop(bool at_once) {
  if (m_done || (std::exchange(m_stopped, true) && !at_once)) {
    return;
  }
  if (at_once) {
    m_deliverers.clear();
  }
  m_ending = true;
  const auto self = shared_from_this();
  if (m_attempt) {
    m_progress.m_may_have_run = true;
  }
  CancelAttempts(AttemptHealth::kAbandoned);
  CancelHop();
  EndUnserved(kStatusBadGateway, "the instance stops");
}

void RouteRelay::WatchResponse(int status) {
  m_exchange->OnEnd([id = m_request.m_id.str(), route = m_route.m_name, status,
                     ready_at = BootTime()](bool complete) {
    if (!complete) {
      Log(LogLevel::kInfo, "response_cut",
          {{"request", id},
           {"route", route},
           {"status", std::int64_t{status}},
           {"after_ms", Milliseconds(BootTime() - ready_at)}});
    }
  });
}

void RouteRelay::HandleCallerDisconnected() {
  if (m_done) {
    return;
  }
  m_holds_events = false;
  CancelAttempts(AttemptHealth::kAbandoned);
  CancelHop();
  Finish("caller_gone", 0, "");
}

void RouteRelay::SendBufferedResponse() {
  BufferedResponse response = std::move(*m_buffered_response);
  if (ImpliesNotRun(response.m_status)) {
    // Forwarding the status would tell the caller that the request did not run,
    // which is not certain.
    m_buffered_response.reset();
    Fail(kStatusBadGateway, "the upstream failed");
    return;
  }
  WatchResponse(response.m_status);
  m_exchange->Respond(response.m_status, response.m_headers,
                      response.m_body.Release());
  Finish("served", response.m_status, "");
}

void RouteRelay::Refuse(const char* reason) {
  const auto upstream_refused_for =
      m_state->m_pool.RefusedFor(m_service, BootTime());
  if (upstream_refused_for) {
    // Simultaneous retries would overload the first upstream that recovers.
    RefuseWithRetryAfter(
        reason,
        *upstream_refused_for + Duration(static_cast<std::int64_t>(
                                    m_state->Draw(0, kRetryAfterJitterUs))));
    return;
  }
  const auto permit_wait = m_state->m_pool.PermitWait(m_service, BootTime());
  if (permit_wait) {
    RefuseWithRetryAfter(reason, *permit_wait);
    return;
  }
  const auto time_left_us = static_cast<double>(
      std::max(TimeLeft(BootTime()), Duration::zero()).count());
  const Duration retry_after(static_cast<std::int64_t>(
      time_left_us * m_state->Draw(kMinRetryAfterShare, kMaxRetryAfterShare)));
  RefuseWithRetryAfter(reason,
                       std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter));
}

void RouteRelay::RefuseWithRetryAfter(const char* reason,
                                      Duration retry_after) {
  RespondWithProblem(kStatusUnavailable, reason, retry_after);
}

void RouteRelay::Fail(int status, const char* reason) {
  if (m_buffered_response) {
    SendBufferedResponse();
    return;
  }
  RespondWithProblem(status, reason, Duration::zero());
}

void RouteRelay::RespondWithProblem(int status,
                                    const char* reason,
                                    Duration retry_after) {
  Problem problem;
  problem.m_status = status;
  problem.m_type = "route";
  problem.m_title = "Request not served";
  problem.m_detail = reason;
  problem.m_outcome =
      m_progress.m_may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  net::HeaderList headers = ProblemHeaders(problem);
  if (!m_request.m_id.empty()) {
    headers.emplace_back("Request-Id", m_request.m_id.str());
  }
  if (retry_after > Duration::zero()) {
    headers.emplace_back("Retry-After",
                         m_state->m_protocol.m_write_retry_after(retry_after));
  }
  if (IsForOtherInstance(status)) {
    headers.emplace_back(net::kNotTakenField, "1");
  }
  WatchResponse(status);
  m_exchange->Respond(status, headers, ProblemBody(problem, m_request.m_id));
  Finish(status == kStatusUnavailable ? "refused" : "failed", status, reason);
}

void RouteRelay::Abort(const char* reason) {
  if (IsResumable() && !m_deliverers.empty() &&
      TimeLeft(BootTime()) > Duration::zero()) {
    ConfirmAndAbort(reason);
    return;
  }
  m_exchange->AbortStream();
  Finish("broken_off", m_progress.m_response_started ? 200 : 0, reason);
}

void RouteRelay::Finish(const char* outcome, int status, const char* reason) {
  const auto self = shared_from_this();
  m_holds_events = false;
  CancelAttempts(AttemptHealth::kAbandoned);
  CancelHop();
  m_done = true;
  m_body.reset();
  m_timer.Stop();
  m_silence_timer.Stop();
  m_release_timer.Stop();
  const TimePoint now = BootTime();
  const bool served = std::string_view(outcome) == "served";
  RecordStreamEnd(served);
  if (served) {
    if (m_state->m_durations.size() >= kMaxDurationEstimates) {
      m_state->m_durations.clear();  // Most are of routes that were removed.
    }
    m_state->m_durations[m_route.m_name].Note(now - m_arrived_at);
  }
  m_state->m_metrics.Count("nutmeg_route_requests",
                           std::string("outcome=\"") + outcome + "\"");
  m_state->m_metrics.Observe(
      "nutmeg_route_total_ms",
      static_cast<double>(Milliseconds(now - m_arrived_at)));
  if (m_first_event_at != TimePoint()) {
    m_state->m_metrics.Observe(
        "nutmeg_route_first_event_ms",
        static_cast<double>(Milliseconds(m_first_event_at - m_arrived_at)));
  }
  const auto confirmed_at = m_state->m_freshness.ConfirmedAt();
  Log(served ? LogLevel::kDebug : LogLevel::kInfo, "request_ended",
      {{"request", m_request.m_id.str()},
       {"route", m_route.m_name},
       {"outcome", std::string(outcome)},
       {"status", std::int64_t{status}},
       {"reason", std::string(reason)},
       {"attempts", std::int64_t{m_progress.m_attempts}},
       {"upstream", m_last_upstream.str()},
       {"first_ms", m_first_event_at == TimePoint()
                        ? std::int64_t{-1}
                        : Milliseconds(m_first_event_at - m_arrived_at)},
       {"took_ms", Milliseconds(now - m_arrived_at)},
       {"revision",
        m_configuration == nullptr
            ? std::int64_t{0}
            : static_cast<std::int64_t>(m_configuration->m_revision.value())},
       {"proof_age_ms",
        confirmed_at ? Milliseconds(now - *confirmed_at) : std::int64_t{-1}}});
  m_on_done();
}

}  // namespace nutmeghollow

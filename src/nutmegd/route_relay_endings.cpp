// What follows a failed attempt, and how a relayed request ends.
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

/// A refused caller is asked back after this part of its time left, spread so
/// that refused callers do not come back together.
constexpr double kLeastReturn = 0.08;
constexpr double kMostReturn = 0.30;
constexpr Duration kShortestReturn = std::chrono::milliseconds(50);
constexpr Duration kLongestReturn = std::chrono::milliseconds(1500);

/// Callers that are told when an upstream is back are spread over this time.
constexpr double kReturnSpreadUs = 300e3;

/// Statuses that promise a caller that its request did not run.
bool PromisesNotRun(int status) {
  return status == kStatusTimeout || status == kStatusMisdirected ||
         status == kStatusTooMany || status == kStatusUnavailable;
}

std::int64_t Milliseconds(Duration duration) {
  return duration.count() / 1000;
}

}  // namespace

void RouteRelay::HandleFailure(AttemptFailure failure) {
  const TimePoint now = BootTime();
  m_events.DropPartialEvent();
  m_progress.m_time_left = TimeLeft(now);
  // A caller that was given no event yet has the whole stream before it.
  m_progress.m_can_resume =
      m_events.LastId().has_value() || m_events.Events() == 0;
  NextStep step = DecideNextStep(m_route, failure, m_progress,
                                 m_state->m_attempt_parameters);
  const bool sends =
      step == NextStep::kRetryElsewhere || step == NextStep::kResume;
  if (sends && !m_state->m_allowance.Take(m_service, now)) {
    step = DecideFinalStep(failure, m_progress);
  }
  switch (step) {
    case NextStep::kRetryElsewhere:
    case NextStep::kResume:
      Dispatch(now);
      return;
    case NextStep::kForwardError:
      GiveHeldAnswer();
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

void RouteRelay::HandleBreak(const UpstreamId& upstream,
                             const Endpoint& endpoint,
                             TimePoint sent_at) {
  CrashWatch& crashes = *m_state->m_crashes;
  const bool suspect = crashes.Suspects().IsSuspect(Digest(), BootTime());
  const std::weak_ptr<RouteRelay> weak = weak_from_this();
  crashes.Investigate({Digest(), m_request.m_id, upstream, endpoint, sent_at},
                      [weak, suspect] {
                        const auto self = weak.lock();
                        if (suspect && self != nullptr && !self->m_done) {
                          self->HandleFailure(AttemptFailure::kBroken);
                        }
                      });
  if (!suspect) {
    HandleFailure(AttemptFailure::kBroken);
  }
}

bool RouteRelay::EndIfCrashing(TimePoint now) {
  const CrashSuspects& suspects = m_state->m_crashes->Suspects();
  const Duration refused_for = suspects.size() == 0
                                   ? Duration::zero()
                                   : suspects.RefusedFor(Digest(), now);
  if (refused_for <= Duration::zero()) {
    return false;
  }
  if (m_progress.m_response_started) {
    Abort("crashes upstreams");
  } else if (m_progress.m_may_have_run) {
    Fail(kStatusBadGateway, "crashes upstreams");
  } else {
    RefuseFor("crashes upstreams", refused_for);
  }
  return true;
}

void RouteRelay::HandleDeadline() {
  if (m_done) {
    return;
  }
  const bool silent = m_attempt && !m_attempt->m_answered;
  if (m_attempt) {
    m_progress.m_may_have_run = true;
  }
  CancelAttempt(silent ? AttemptHealth::kTimedOut : AttemptHealth::kAbandoned);
  if (m_progress.m_response_started) {
    Abort("time-out");
  } else if (m_progress.m_may_have_run) {
    Fail(kStatusGatewayTimeout, "no answer in time");
  } else {
    Refuse("no answer in time");
  }
}

void RouteRelay::HandleGone() {
  if (m_done) {
    return;
  }
  CancelAttempt(AttemptHealth::kAbandoned);
  Finish("caller_gone", 0, "");
}

void RouteRelay::GiveHeldAnswer() {
  HeldAnswer answer = std::move(*m_held);
  if (PromisesNotRun(answer.m_status)) {
    // The upstream's own status would promise what is not certain.
    m_held.reset();
    Fail(kStatusBadGateway, "the upstream failed");
    return;
  }
  m_exchange->Respond(answer.m_status, answer.m_headers,
                      answer.m_body.Release());
  Finish("served", answer.m_status, "");
}

void RouteRelay::Refuse(const char* reason) {
  const auto refused_for = m_state->m_pool.RefusedFor(m_service, BootTime());
  if (refused_for) {
    // Callers that come back together would find the first upstream full.
    RefuseFor(reason, *refused_for + Duration(static_cast<std::int64_t>(
                                         m_state->Draw(0, kReturnSpreadUs))));
    return;
  }
  const auto left = static_cast<double>(
      std::max(TimeLeft(BootTime()), Duration::zero()).count());
  const Duration upstream_query(static_cast<std::int64_t>(
      left * m_state->Draw(kLeastReturn, kMostReturn)));
  RefuseFor(reason,
            std::clamp(upstream_query, kShortestReturn, kLongestReturn));
}

void RouteRelay::RefuseFor(const char* reason, Duration wait) {
  Answer(kStatusUnavailable, reason, wait);
}

void RouteRelay::Fail(int status, const char* reason) {
  if (m_held) {
    GiveHeldAnswer();
    return;
  }
  Answer(status, reason, Duration::zero());
}

void RouteRelay::Answer(int status, const char* reason, Duration retry_after) {
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
  m_exchange->Respond(status, headers, ProblemBody(problem, m_request.m_id));
  Finish(status == kStatusUnavailable ? "refused" : "failed", status, reason);
}

void RouteRelay::Abort(const char* reason) {
  m_exchange->AbortStream();
  Finish("broken_off", m_progress.m_response_started ? 200 : 0, reason);
}

void RouteRelay::Finish(const char* outcome, int status, const char* reason) {
  const auto self = shared_from_this();
  m_done = true;
  m_timer.Stop();
  const TimePoint now = BootTime();
  const bool good = std::string_view(outcome) == "served";
  m_state->m_metrics.Count("nutmeg_route_requests",
                           std::string("outcome=\"") + outcome + "\"");
  m_state->m_metrics.Observe(
      "nutmeg_route_total_ms",
      static_cast<double>(Milliseconds(now - m_arrived)));
  if (m_first_event_at != TimePoint()) {
    m_state->m_metrics.Observe(
        "nutmeg_route_first_event_ms",
        static_cast<double>(Milliseconds(m_first_event_at - m_arrived)));
  }
  const auto proof = m_state->m_freshness.ConfirmedAt();
  Log(good ? LogLevel::kDebug : LogLevel::kInfo, "request_ended",
      {{"request", m_request.m_id.str()},
       {"route", m_route.m_name},
       {"outcome", std::string(outcome)},
       {"status", std::int64_t{status}},
       {"reason", std::string(reason)},
       {"attempts", std::int64_t{m_progress.m_attempts}},
       {"upstream", m_tried.empty() ? "" : m_tried.back().str()},
       {"first_ms", m_first_event_at == TimePoint()
                        ? std::int64_t{-1}
                        : Milliseconds(m_first_event_at - m_arrived)},
       {"took_ms", Milliseconds(now - m_arrived)},
       {"revision",
        m_configuration == nullptr
            ? std::int64_t{0}
            : static_cast<std::int64_t>(m_configuration->m_revision.value())},
       {"proof_age_ms",
        proof ? Milliseconds(now - *proof) : std::int64_t{-1}}});
  m_on_done();
}

}  // namespace nutmeghollow

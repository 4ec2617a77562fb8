// Handling of silent upstreams of a relayed request: an attempt is kept until
// another upstream has taken the request over.
#include <algorithm>
#include <utility>

#include "libnet/log.h"
#include "nutmegd/route_relay.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

/// Interval between checks whether the connection of an attempt is open.
constexpr Duration kConnectCheckInterval = std::chrono::milliseconds(50);

std::int64_t Milliseconds(Duration duration) {
  return duration.count() / 1000;
}

}  // namespace

bool RouteRelay::BringToFront(AttemptNumber number) {
  if (m_done) {
    return false;
  }
  const auto other = std::find_if(
      m_other_attempts.begin(), m_other_attempts.end(),
      [number](const Attempt& one) { return one.m_number == number; });
  if (other != m_other_attempts.end()) {
    std::optional<Attempt> before = std::exchange(m_attempt, std::move(*other));
    m_other_attempts.erase(other);
    if (before) {
      m_other_attempts.push_back(std::move(*before));
    }
    m_silence_timer.Start(SilenceLimit());
  }
  return m_attempt && m_attempt->m_number == number;
}

Duration RouteRelay::SilenceLimit() const {
  return m_attempt->m_status == 0 ? m_attempt->m_head_timeout
                                  : m_attempt->m_idle_timeout;
}

void RouteRelay::CheckSilence(AttemptFailure failure) {
  if (m_done || !m_attempt) {
    return;
  }
  const TimePoint now = BootTime();
  if (!m_attempt->m_request_written) {
    m_silence_timer.Start(kConnectCheckInterval);
    return;
  }
  const Duration silent_for = m_attempt->m_paused
                                  ? Duration::zero()
                                  : now - m_attempt->m_last_progress_at;
  if (silent_for < SilenceLimit()) {
    m_silence_timer.Start(SilenceLimit() - silent_for);
    return;
  }
  m_silence_timer.Start(SilenceLimit());
  if (m_hop || (!m_other_attempts.empty() && m_route.m_streamed)) {
    return;  // Another upstream is being tried.
  }
  TryAnotherUpstream(failure, now);
}

void RouteRelay::TryAnotherUpstream(AttemptFailure failure, TimePoint now) {
  RequestProgress progress = m_progress;
  progress.m_may_have_run = true;
  progress.m_time_left = TimeLeft(now);
  progress.m_can_resume =
      m_event_splitter.LastId().has_value() || m_event_splitter.Events() == 0;
  const NextStep step =
      DecideNextStep(m_route, failure, progress, m_state->m_attempt_parameters);
  const bool retries =
      step == NextStep::kRetryElsewhere || step == NextStep::kResume;
  Log(LogLevel::kInfo, "upstream_silent",
      {{"request", m_request.m_id.str()},
       {"upstream", m_attempt->m_upstream.str()},
       {"status", std::int64_t{m_attempt->m_status}},
       {"silent_ms", Milliseconds(now - m_attempt->m_last_progress_at)},
       {"attempts", std::int64_t{m_progress.m_attempts}},
       {"another", retries}});
  if (!retries) {
    m_silence_timer.Stop();
    return;
  }
  m_progress.m_may_have_run = true;
  if (!TakeRetry(now)) {
    return;  // One may be left at the next check.
  }
  const ServiceId service = m_service;
  const int attempts = m_progress.m_attempts;
  m_other_attempts.push_back(std::move(*m_attempt));
  m_attempt.reset();
  Dispatch(now);
  if (m_attempt && m_progress.m_attempts == attempts) {
    m_state->m_allowance.Return(service);
  }
}

bool RouteRelay::ContinueOtherAttempt(const char* reason) {
  if (m_attempt || m_hop) {
    return true;  // It goes on after the other one failed.
  }
  if (m_other_attempts.empty()) {
    return false;
  }
  m_release_timer.Stop();
  BringToFront(LatestOther());
  Log(LogLevel::kInfo, "other_attempt_continues",
      {{"request", m_request.m_id.str()},
       {"upstream", m_attempt->m_upstream.str()},
       {"reason", std::string(reason)},
       {"attempts", std::int64_t{m_progress.m_attempts}},
       {"time_left_ms", Milliseconds(TimeLeft(BootTime()))}});
  return true;
}

RouteRelay::AttemptNumber RouteRelay::LatestOther() const {
  AttemptNumber latest;
  for (const Attempt& attempt : m_other_attempts) {
    latest = std::max(latest, attempt.m_number);
  }
  return latest;
}

void RouteRelay::CancelOthers() {
  if (m_other_attempts.empty()) {
    return;
  }
  m_release_timer.Stop();
  std::optional<Attempt> current = std::exchange(m_attempt, std::nullopt);
  while (!m_other_attempts.empty()) {
    m_attempt = std::move(m_other_attempts.back());
    m_other_attempts.pop_back();
    // An earlier one was silent for too long; a later one had no time yet.
    const bool is_earlier = current && m_attempt->m_number < current->m_number;
    CancelAttempt(is_earlier ? AttemptHealth::kTimedOut
                             : AttemptHealth::kAbandoned);
  }
  m_attempt = std::move(current);
}

void RouteRelay::ReleaseEarlierAttempts() {
  if (m_done) {
    return;
  }
  if (m_hop) {
    CancelAttempts(AttemptHealth::kTimedOut);
    return;
  }
  if (!m_attempt || m_other_attempts.empty()) {
    return;
  }
  if (LatestOther() > m_attempt->m_number) {
    BringToFront(LatestOther());
  }
  CancelOthers();
}

void RouteRelay::CancelAttempts(AttemptHealth health) {
  CancelOthers();
  CancelAttempt(health);
}

void RouteRelay::ResumeReading(Attempt& attempt) {
  attempt.m_paused = false;
  attempt.m_last_progress_at = BootTime();
  m_state->m_client->Resume(attempt.m_call);
}

}  // namespace nutmeghollow

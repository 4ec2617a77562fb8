// What a relayed request's upstream answers, and how much of it is taken.
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "libnet/log.h"
#include "nutmegd/route_relay.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

constexpr int kStatusServerError = 500;

/// Bytes of a held answer that count as progress: a server that sends less in
/// the time of a silence is stalled.
constexpr std::size_t kProgressBytes = 1 << 10;
/// Unsent bytes of a slow caller's stream at which reading stops.
constexpr std::size_t kStreamBacklog = 64 << 10;

std::int64_t Milliseconds(Duration duration) {
  return duration.count() / 1000;
}

}  // namespace

bool RouteRelay::IsStreamAnswer() const {
  return m_route.m_streamed && m_attempt->m_status / 100 == 2;
}

void RouteRelay::HandleHeaders(int status, const net::HeaderMap& headers) {
  Attempt& attempt = *m_attempt;
  const net::ResponseFields fields =
      m_state->m_protocol.m_read_response(status, headers);
  attempt.m_status = status;
  attempt.m_headers = headers;
  if (!fields.m_wrong_upstream) {
    // Told by the process itself, also in an answer that belongs to nobody.
    NoteUpstream(fields);
  }
  const bool not_run = fields.m_wrong_upstream || fields.m_not_run;
  const bool of_another =
      !fields.m_echoed_id.empty() && fields.m_echoed_id != m_request.m_id;
  const bool nameless = !fields.m_signed || fields.m_echoed_id.empty();
  if (of_another || (!not_run && nameless)) {
    // Bytes that belong to no request, or to the one before. A refusal of that
    // one proves nothing for this one.
    EndByFailure(AttemptFailure::kBroken, AttemptHealth::kBroken);
    return;
  }
  if (not_run) {
    attempt.m_failure = fields.m_wrong_upstream ? AttemptFailure::kWrongUpstream
                                                : AttemptFailure::kRefused;
    // A body that came with the head ends the call before, so that its
    // connection can be used again.
    m_refusal_timer.Start(Duration::zero());
    return;
  }
  if (status >= kStatusServerError) {
    attempt.m_failure = AttemptFailure::kFailed;
  }
  attempt.m_progress_at = BootTime();
  m_silence_timer.Start(attempt.m_silence_limit);
}

void RouteRelay::NoteUpstream(const net::ResponseFields& fields) {
  const Attempt& attempt = *m_attempt;
  const TimePoint now = BootTime();
  UpstreamPool& pool = m_state->m_pool;
  if (fields.m_load) {
    pool.NoteLoad(attempt.m_upstream, *fields.m_load, now);
  }
  if (fields.m_leaving &&
      pool.NoteLeaving({HashOf(attempt.m_upstream), attempt.m_start_time_ms},
                       now)) {
    Log(LogLevel::kInfo, "upstream_leaving",
        {{"upstream", attempt.m_upstream.str()},
         {"request", m_request.m_id.str()}});
  }
  if (fields.m_refused_for) {
    pool.NoteRefusal(attempt.m_upstream, attempt.m_start_time_ms,
                     *fields.m_refused_for, now);
    Log(LogLevel::kInfo, "upstream_refuses",
        {{"upstream", attempt.m_upstream.str()},
         {"request", m_request.m_id.str()},
         {"for_ms", Milliseconds(*fields.m_refused_for)}});
  }
}

void RouteRelay::EndRefused() {
  if (m_done || !m_attempt || !m_attempt->m_failure ||
      !ProvesNotRun(*m_attempt->m_failure)) {
    return;
  }
  const AttemptFailure failure = *m_attempt->m_failure;
  if (failure == AttemptFailure::kWrongUpstream) {
    m_state->m_pool.NoteReplaced(m_attempt->m_upstream, BootTime());
  }
  CancelAttempt(AttemptHealth::kRefused);
  HandleFailure(failure);
}

bool RouteRelay::HandleData(std::string_view data) {
  if (m_done || !m_attempt) {
    return true;
  }
  Attempt& attempt = *m_attempt;
  if (!attempt.m_answered) {
    attempt.m_answered = true;
    m_state->m_pool.NoteFirstAnswer(attempt.m_upstream, Prompt());
  }
  if (!attempt.m_failure && IsStreamAnswer()) {
    if (m_exchange->Buffered() > kStreamBacklog) {
      attempt.m_paused = true;
      return false;
    }
    RelayEvents(data);
    return true;
  }
  return HoldData(data);
}

bool RouteRelay::HoldData(std::string_view data) {
  Attempt& attempt = *m_attempt;
  if (!attempt.m_body.Append(data)) {
    EndByFailure(AttemptFailure::kBroken, AttemptHealth::kBroken);
    return true;
  }
  const std::size_t size = attempt.m_body.size();
  if (size - attempt.m_body_at_progress >= kProgressBytes) {
    attempt.m_body_at_progress = size;
    attempt.m_progress_at = BootTime();
  }
  return true;
}

void RouteRelay::RelayEvents(std::string_view data) {
  const int events_before = m_events.Events();
  const std::string events = m_events.Take(data);
  if (m_events.Events() > events_before) {
    m_attempt->m_progress_at = BootTime();
  }
  if (!events.empty()) {
    BeginStream();
    m_exchange->Write(events);
  }
  if (m_events.IsOverlong()) {
    EndByFailure(AttemptFailure::kBroken, AttemptHealth::kBroken);
  }
}

void RouteRelay::CheckSilence() {
  if (m_done || !m_attempt || m_attempt->m_status == 0) {
    return;
  }
  const Duration silent = m_attempt->m_paused
                              ? Duration::zero()
                              : BootTime() - m_attempt->m_progress_at;
  if (silent < m_attempt->m_silence_limit) {
    m_silence_timer.Start(m_attempt->m_silence_limit - silent);
    return;
  }
  EndByFailure(AttemptFailure::kTimedOut, AttemptHealth::kTimedOut);
}

void RouteRelay::BeginStream() {
  if (m_progress.m_response_started) {
    return;
  }
  m_progress.m_response_started = true;
  m_first_event_at = BootTime();
  m_exchange->BeginStream(
      m_attempt->m_status,
      m_state->m_protocol.m_caller_headers(m_attempt->m_headers));
}

void RouteRelay::HandleEnd(const net::HttpEnd& end) {
  if (m_done || !m_attempt) {
    return;
  }
  const TimePoint now = BootTime();
  if (m_attempt->m_failure && ProvesNotRun(*m_attempt->m_failure)) {
    // The header says it; how the rest of the answer ended does not matter.
    EndRefused();
    return;
  }
  m_progress.m_may_have_run =
      m_progress.m_may_have_run || end.m_may_have_been_sent;
  if (end.m_kind == net::HttpEndKind::kComplete) {
    if (IsStreamAnswer()) {
      EndStream();
    } else {
      EndWhole();
    }
    return;
  }
  AttemptFailure failure = AttemptFailure::kBroken;
  AttemptHealth health = AttemptHealth::kBroken;
  if (!end.m_may_have_been_sent) {
    failure = AttemptFailure::kUnreachable;
    health = AttemptHealth::kUnreachable;
  } else if (end.m_kind == net::HttpEndKind::kTimeout) {
    failure = AttemptFailure::kTimedOut;
    health = AttemptHealth::kTimedOut;
  }
  const UpstreamId upstream = m_attempt->m_upstream;
  const Endpoint endpoint = m_attempt->m_endpoint;
  const TimePoint sent_at = m_attempt->m_sent_at;
  EndAttempt(health, now);
  if (failure == AttemptFailure::kBroken) {
    HandleBreak(upstream, endpoint, sent_at);
  } else {
    HandleFailure(failure);
  }
}

void RouteRelay::EndWhole() {
  Attempt& attempt = *m_attempt;
  HeldAnswer answer{attempt.m_status,
                    m_state->m_protocol.m_caller_headers(attempt.m_headers),
                    std::move(attempt.m_body)};
  if (attempt.m_failure == AttemptFailure::kFailed) {
    EndAttempt(AttemptHealth::kFailed, BootTime());
    m_held = std::move(answer);
    HandleFailure(AttemptFailure::kFailed);
    return;
  }
  EndAttempt(AttemptHealth::kServed, BootTime());
  m_held = std::move(answer);
  GiveHeldAnswer();
}

void RouteRelay::EndStream() {
  BeginStream();
  if (!m_events.PartialEvent().empty()) {
    m_exchange->Write(m_events.PartialEvent());
  }
  const int status = m_attempt->m_status;
  EndAttempt(AttemptHealth::kServed, BootTime());
  m_exchange->EndStream();
  Finish("served", status, "");
}

void RouteRelay::EndAttempt(AttemptHealth health, TimePoint now) {
  const Attempt attempt = std::move(*m_attempt);
  m_attempt.reset();
  const bool timed = health == AttemptHealth::kServed && !m_route.m_streamed;
  m_state->m_pool.NoteEnd(attempt.m_upstream, health,
                          timed ? now - attempt.m_sent_at : Duration::zero(),
                          Prompt(), attempt.m_answered, now);
  const bool answered =
      health == AttemptHealth::kServed || health == AttemptHealth::kFailed;
  if (answered && m_state->m_crashes->Suspects().size() > 0) {
    m_state->m_crashes->Suspects().NoteServed(Digest(), now);
  }
  if (health != AttemptHealth::kServed) {
    Log(LogLevel::kInfo, "attempt_ended",
        {{"request", m_request.m_id.str()},
         {"upstream", attempt.m_upstream.str()},
         {"how", std::string(AttemptHealthName(health))},
         {"status", std::int64_t{attempt.m_status}},
         {"after_ms", Milliseconds(now - attempt.m_sent_at)}});
  }
}

void RouteRelay::EndByFailure(AttemptFailure failure, AttemptHealth health) {
  m_progress.m_may_have_run = true;
  CancelAttempt(health);
  HandleFailure(failure);
}

void RouteRelay::CancelAttempt(AttemptHealth health) {
  if (m_attempt) {
    m_state->m_client->Cancel(m_attempt->m_call);
    EndAttempt(health, BootTime());
  }
}

}  // namespace nutmeghollow

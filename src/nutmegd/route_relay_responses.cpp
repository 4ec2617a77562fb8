// Handling of upstream responses to a relayed request.
#include <algorithm>
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

/// Bytes of a buffered response that count as progress. A server that sends
/// fewer within the idle timeout is stalled.
constexpr std::size_t kMinProgressBytes = 1 << 10;

std::int64_t Milliseconds(Duration duration) {
  return duration.count() / 1000;
}

}  // namespace

bool RouteRelay::IsStreamResponse() const {
  return m_route.m_streamed && m_attempt->m_status / 100 == 2;
}

void RouteRelay::HandleHeaders(int status, const net::HeaderMap& headers) {
  Attempt& attempt = *m_attempt;
  const net::ResponseFields fields =
      m_state->m_protocol.m_read_response(status, headers);
  attempt.m_status = status;
  attempt.m_headers = headers;
  m_state->m_reachability->NoteHeard(attempt.m_call);
  if (!fields.m_wrong_upstream) {
    // The state is that of the process, even if the response does not belong to
    // this request.
    RecordUpstreamState(fields);
  }
  const bool not_run = fields.m_wrong_upstream || fields.m_not_run;
  const bool of_other_request =
      !fields.m_echoed_id.empty() && fields.m_echoed_id != m_request.m_id;
  const bool unidentified = !fields.m_signed || fields.m_echoed_id.empty();
  const bool may_be_of_previous_request =
      fields.m_echoed_id.empty() &&
      m_state->m_client->IsOnReusedConnection(attempt.m_call);
  if (of_other_request || may_be_of_previous_request ||
      (!not_run && unidentified)) {
    // The response belongs to an unknown or to another request, such as the
    // previous one. Its refusal does not prove that this request did not run,
    // but it is no sign of a broken upstream either.
    FailAttempt(AttemptFailure::kBroken, not_run && !of_other_request
                                             ? AttemptHealth::kRefused
                                             : AttemptHealth::kBroken);
    return;
  }
  if (!fields.m_rate_limit && !fields.m_wrong_upstream) {
    RecordRateLimit(std::nullopt);
  }
  if (!fields.m_refusal_limit && !fields.m_wrong_upstream) {
    RecordRefusalLimit(std::nullopt);
  }
  if (not_run) {
    attempt.m_failure = fields.m_wrong_upstream ? AttemptFailure::kWrongUpstream
                                                : AttemptFailure::kRefused;
    // Deferred, so that a response whose body came with its header completes
    // first and its connection can be reused.
    m_refusal_timer.Start(Duration::zero());
    return;
  }
  // Only events can follow the ones that the caller has.
  const bool cannot_continue =
      m_progress.m_response_started && !IsStreamResponse();
  if (status >= kStatusServerError || cannot_continue) {
    attempt.m_failure = AttemptFailure::kFailed;
  }
  attempt.m_last_progress_at = BootTime();
  m_silence_timer.Start(attempt.m_idle_timeout);
}

void RouteRelay::RecordUpstreamState(const net::ResponseFields& fields) {
  const Attempt& attempt = *m_attempt;
  const TimePoint now = BootTime();
  UpstreamPool& pool = m_state->m_pool;
  if (fields.m_load) {
    pool.NoteLoad(attempt.m_upstream, *fields.m_load, now);
    CompareLoad(*fields.m_load);
  }
  if (fields.m_leaving &&
      pool.NoteLeaving({HashOf(attempt.m_upstream), attempt.m_start_time_ms},
                       now)) {
    Log(LogLevel::kInfo, "upstream_leaving",
        {{"upstream", attempt.m_upstream.str()},
         {"request", m_request.m_id.str()}});
  }
  if (fields.m_cold_for) {
    pool.NoteCold(attempt.m_upstream, attempt.m_start_time_ms,
                  *fields.m_cold_for, now);
  }
  if (fields.m_rate_limit) {
    RecordRateLimit(fields.m_rate_limit);
  }
  if (fields.m_refusal_limit) {
    RecordRefusalLimit(fields.m_refusal_limit);
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

void RouteRelay::RecordRateLimit(std::optional<double> rate) {
  const Attempt& attempt = *m_attempt;
  const UpstreamProcess process{HashOf(attempt.m_upstream),
                                attempt.m_start_time_ms};
  RateLimits& limits = m_state->m_pool.Limits();
  if (limits.NoteResponse(process, rate, attempt.m_sent_at, BootTime())) {
    Log(LogLevel::kInfo, "upstream_rate_stated",
        {{"upstream", attempt.m_upstream.str()},
         {"request", m_request.m_id.str()},
         {"limited", rate.has_value()},
         {"rate", rate.value_or(0)}});
  }
}

void RouteRelay::RecordRefusalLimit(std::optional<double> refusals) {
  const Attempt& attempt = *m_attempt;
  const UpstreamProcess process{HashOf(attempt.m_upstream),
                                attempt.m_start_time_ms};
  RateLimits& limits = m_state->m_pool.RefusalLimits();
  if (!limits.NoteResponse(process, refusals, attempt.m_sent_at, BootTime())) {
    return;
  }
  Log(LogLevel::kInfo, "upstream_brittle",
      {{"upstream", attempt.m_upstream.str()},
       {"request", m_request.m_id.str()},
       {"brittle", refusals.has_value()},
       {"refusals", refusals.value_or(0)}});
  m_state->m_on_refusal_limit();
}

void RouteRelay::LogFull() const {
  const UpstreamPool& pool = m_state->m_pool;
  const UpstreamProcess process{HashOf(m_attempt->m_upstream),
                                m_attempt->m_start_time_ms};
  const std::optional<double> refusals = pool.RefusalLimits().RateOf(process);
  if (!refusals) {
    return;
  }
  m_state->m_metrics.Count("nutmeg_route_refused_by_brittle");
  Log(LogLevel::kInfo, "upstream_full",
      {{"upstream", m_attempt->m_upstream.str()},
       {"request", m_request.m_id.str()},
       {"refusals", *refusals},
       {"leased", m_attempt->m_choice.m_leased},
       {"own_active", std::int64_t{pool.Active(m_attempt->m_upstream)}},
       {"load", m_attempt->m_choice.m_load},
       {"load_age_ms", Milliseconds(m_attempt->m_choice.m_load_age)}});
}

void RouteRelay::CompareLoad(const LoadReport& report) {
  const UpstreamChoice& choice = m_attempt->m_choice;
  if (!IsEngine()) {
    return;
  }
  MetricsRegistry& metrics = m_state->m_metrics;
  const double load = report.m_running + report.m_waiting - 1;
  metrics.Observe("nutmeg_route_load_error", load - choice.m_load);
  metrics.Observe("nutmeg_route_load_age_seconds",
                  std::chrono::duration<double>(choice.m_load_age).count());
  if (load <= choice.m_bound) {
    return;
  }
  const bool expected = choice.m_load + 1 > choice.m_bound;
  metrics.Count("nutmeg_route_engine_above_bound",
                expected ? "expected=\"yes\"" : "expected=\"no\"");
  Log(LogLevel::kInfo, "engine_above_bound",
      {{"request", m_request.m_id.str()},
       {"upstream", m_attempt->m_upstream.str()},
       {"reported", load},
       {"load", choice.m_load},
       {"mean_load", choice.m_mean_load},
       {"load_age_ms", Milliseconds(choice.m_load_age)},
       {"rank", std::int64_t{choice.m_rank}},
       {"unread_tokens", choice.m_unread_tokens},
       {"spread", choice.m_spread}});
}

void RouteRelay::HandleRefusal() {
  const auto refused = [](const Attempt& attempt) {
    return attempt.m_failure && ProvesNotRun(*attempt.m_failure);
  };
  const auto find_other = [&] {
    return std::find_if(m_other_attempts.begin(), m_other_attempts.end(),
                        refused);
  };
  const bool is_current = m_attempt && refused(*m_attempt);
  if (!is_current && find_other() != m_other_attempts.end()) {
    BringToFront(find_other()->m_number);
  }
  if (m_done || !m_attempt || !refused(*m_attempt)) {
    return;
  }
  if (find_other() != m_other_attempts.end()) {
    m_refusal_timer.Start(Duration::zero());
  }
  const AttemptFailure failure = *m_attempt->m_failure;
  if (failure == AttemptFailure::kRefused) {
    LogFull();
  }
  if (failure == AttemptFailure::kWrongUpstream) {
    m_state->m_pool.NoteReplaced(m_attempt->m_upstream, BootTime());
  }
  CancelAttempt(AttemptHealth::kRefused);
  HandleFailure(failure);
}

bool RouteRelay::HandleData(std::string_view data) {
  Attempt& attempt = *m_attempt;
  m_state->m_reachability->NoteHeard(attempt.m_call);
  if (!attempt.m_data_received) {
    attempt.m_data_received = true;
    m_state->m_pool.NoteFirstResponse(attempt.m_upstream, Prompt());
  }
  if (!attempt.m_failure && IsStreamResponse()) {
    if (m_caller_is_slow) {
      attempt.m_paused = true;
      return false;
    }
    if (ContinuesStream() && !attempt.m_confirmed) {
      ConfirmUpstreams();
      return false;
    }
    ForwardEvents(data);
    return true;
  }
  return BufferData(data);
}

bool RouteRelay::BufferData(std::string_view data) {
  Attempt& attempt = *m_attempt;
  if (!attempt.m_body.Append(data)) {
    FailAttempt(AttemptFailure::kBroken, AttemptHealth::kBroken);
    return true;
  }
  const std::size_t size = attempt.m_body.size();
  if (size - attempt.m_body_size_at_progress >= kMinProgressBytes) {
    attempt.m_body_size_at_progress = size;
    attempt.m_last_progress_at = BootTime();
  }
  return true;
}

void RouteRelay::ForwardEvents(std::string_view data) {
  if (m_state->m_pool.IsReplaced(m_attempt->m_upstream,
                                 m_attempt->m_start_time_ms)) {
    // The data may be that of another software version.
    const RegisteredUpstream* now_registered =
        m_state->m_pool.Find(m_attempt->m_upstream);
    if (m_attempt->m_delivered_events &&
        OriginOf(*now_registered) != m_attempt->m_origin) {
      BreakOffUnknownStream(UpstreamId(m_attempt->m_upstream));
      return;
    }
    FailAttempt(AttemptFailure::kBroken, AttemptHealth::kBroken);
    return;
  }
  if (m_stream_reader != m_attempt->m_number) {
    CancelOthers();
    CancelHop();
    m_event_splitter.DropPartialEvent();
    m_stream_reader = m_attempt->m_number;
  }
  const int events_before = m_event_splitter.Events();
  const std::string events = m_event_splitter.Take(data);
  if (m_event_splitter.Events() > events_before) {
    CancelOthers();
    CancelHop();
    m_attempt->m_last_progress_at = BootTime();
  }
  if (!events.empty()) {
    ForwardWholeEvents(events);
  }
  if (m_event_splitter.IsOverlong()) {
    FailAttempt(AttemptFailure::kBroken, AttemptHealth::kBroken);
  }
}

void RouteRelay::ForwardWholeEvents(const std::string& events) {
  if (!std::exchange(m_attempt->m_delivered_events, true)) {
    m_attempt->m_confirmed = true;
    m_deliverers.push_back({m_attempt->m_upstream, m_attempt->m_start_time_ms,
                            m_attempt->m_origin});
  }
  if (!m_progress.m_response_started && !m_holds_events) {
    RecordOrigin();
  }
  if (m_holds_events) {
    m_held_events += events;
    return;
  }
  BeginStream();
  WriteToCaller(events);
}

void RouteRelay::WriteToCaller(std::string_view data) {
  m_caller_is_slow = !m_exchange->Write(data);
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

void RouteRelay::HandleEnd(const net::HttpCallResult& result) {
  const TimePoint now = BootTime();
  if (result.m_close_delimited) {
    LogCloseDelimited(result);
  }
  if (m_attempt->m_failure && ProvesNotRun(*m_attempt->m_failure)) {
    // The header is sufficient, however the rest of the response ended.
    HandleRefusal();
    return;
  }
  m_progress.m_may_have_run =
      m_progress.m_may_have_run || result.m_may_have_been_sent;
  const bool cut_inside_event =
      IsStreamResponse() && m_event_splitter.IsInsideEvent();
  if (result.m_outcome == net::HttpCallOutcome::kComplete &&
      !cut_inside_event) {
    if (IsStreamResponse()) {
      EndStream();
    } else {
      EndBufferedResponse();
    }
    return;
  }
  AttemptFailure failure = AttemptFailure::kBroken;
  AttemptHealth health = AttemptHealth::kBroken;
  if (!result.m_may_have_been_sent) {
    failure = AttemptFailure::kUnreachable;
    health = AttemptHealth::kUnreachable;
  } else if (result.m_outcome == net::HttpCallOutcome::kTimeout) {
    failure = AttemptFailure::kTimedOut;
    health = AttemptHealth::kTimedOut;
  }
  const UpstreamId upstream = m_attempt->m_upstream;
  const Endpoint endpoint = m_attempt->m_endpoint;
  const TimePoint sent_at = m_attempt->m_sent_at;
  EndAttempt(health, now);
  if (failure == AttemptFailure::kBroken) {
    HandleBrokenAttempt(upstream, endpoint, sent_at);
  } else {
    HandleFailure(failure);
  }
}

void RouteRelay::LogCloseDelimited(const net::HttpCallResult& result) {
  Log(LogLevel::kInfo, "close_delimited_response_ended",
      {{"request", m_request.m_id.str()},
       {"upstream", m_attempt->m_upstream.str()},
       {"status", std::int64_t{m_attempt->m_status}},
       {"closed_normally", result.m_outcome == net::HttpCallOutcome::kComplete},
       {"detail", result.m_detail},
       {"stream", IsStreamResponse()},
       {"events", std::int64_t{m_event_splitter.Events()}},
       {"incomplete_event_bytes",
        static_cast<std::int64_t>(m_event_splitter.PartialEvent().size())},
       {"body_bytes", static_cast<std::int64_t>(m_attempt->m_body.size())}});
}

void RouteRelay::EndBufferedResponse() {
  Attempt& attempt = *m_attempt;
  BufferedResponse response{
      attempt.m_status, m_state->m_protocol.m_caller_headers(attempt.m_headers),
      std::move(attempt.m_body)};
  if (attempt.m_failure == AttemptFailure::kFailed) {
    EndAttempt(AttemptHealth::kFailed, BootTime());
    m_buffered_response = std::move(response);
    HandleFailure(AttemptFailure::kFailed);
    return;
  }
  CancelOthers();
  EndAttempt(AttemptHealth::kServed, BootTime());
  CancelHop();
  m_buffered_response = std::move(response);
  SendBufferedResponse();
}

void RouteRelay::EndStream() {
  ForwardHeldEvents();
  BeginStream();
  if (!m_event_splitter.PartialEvent().empty()) {
    WriteToCaller(m_event_splitter.PartialEvent());
  }
  const int status = m_attempt->m_status;
  CancelOthers();
  EndAttempt(AttemptHealth::kServed, BootTime());
  CancelHop();
  WatchResponse(status);
  m_exchange->EndStream();
  Finish("served", status, "");
}

void RouteRelay::EndAttempt(AttemptHealth health, TimePoint now) {
  if (m_attempt->m_delivered_events) {
    ForwardHeldEvents();
  }
  const Attempt attempt = std::move(*m_attempt);
  m_attempt.reset();
  m_last_upstream = attempt.m_upstream;
  const bool measured = health == AttemptHealth::kServed && !m_route.m_streamed;
  ReachabilityMonitor& reachability = *m_state->m_reachability;
  reachability.NoteEnd(attempt.m_call, attempt.m_upstream, health);
  // While this instance may be cut off, failures tell nothing about upstreams.
  m_state->m_pool.NoteEnd(attempt.m_upstream,
                          reachability.IsInDoubt() && IsPathFailure(health)
                              ? AttemptHealth::kAbandoned
                              : health,
                          measured ? now - attempt.m_sent_at : Duration::zero(),
                          Prompt(), attempt.m_data_received, now);
  const bool responded =
      health == AttemptHealth::kServed || health == AttemptHealth::kFailed;
  CrashDetector& crash_detector = *m_state->m_crash_detector;
  if (responded && crash_detector.Suspects().size() > 0) {
    crash_detector.Suspects().NoteServed(SuspectOf(Digest()), now);
  }
  if (responded && attempt.m_status / 100 == 2) {
    crash_detector.NotePartsServed(SharedParts());
  }
  if (health != AttemptHealth::kServed) {
    Log(LogLevel::kInfo, "attempt_ended",
        {{"request", m_request.m_id.str()},
         {"upstream", attempt.m_upstream.str()},
         {"how", std::string(AttemptHealthName(health))},
         {"status", std::int64_t{attempt.m_status}},
         {"after_ms", Milliseconds(now - attempt.m_sent_at)},
         {"time_left_ms", Milliseconds(TimeLeft(now))},
         {"events", std::int64_t{m_event_splitter.Events()}}});
  }
}

void RouteRelay::FailAttempt(AttemptFailure failure, AttemptHealth health) {
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

#include "nutmegd/route_relay.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "libnet/log.h"
#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;

/// Maximum idle time of a connection that is reused. Upstreams close idle
/// connections after some seconds, and a connection lost unnoticed costs an
/// attempt.
constexpr std::chrono::seconds kReuseMaxIdle{2};

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

RouteRelay::RouteRelay(GatewayState* state,
                       std::shared_ptr<net::HttpExchange> exchange,
                       std::function<void()> on_done,
                       std::optional<net::ForwardedRequest> forwarded)
    : m_state(state),
      m_exchange(std::move(exchange)),
      m_on_done(std::move(on_done)),
      m_timer(state->m_loop,
              [this] {
                const auto self = shared_from_this();
                HandleDeadline();
              }),
      m_silence_timer(state->m_loop,
                      [this] {
                        const auto self = shared_from_this();
                        CheckSilence();
                      }),
      m_release_timer(state->m_loop,
                      [this] {
                        const auto self = shared_from_this();
                        ReleaseEarlierAttempts();
                      }),
      m_refusal_timer(state->m_loop,
                      [this] {
                        const auto self = shared_from_this();
                        HandleRefusal();
                      }),
      m_forwarded(std::move(forwarded)) {}

RouteRelay::~RouteRelay() = default;

void RouteRelay::Start() {
  const TimePoint now = BootTime();
  m_arrived_at = now;
  m_deadline = now + std::chrono::seconds(60);
  m_request = m_state->m_protocol.m_read_request(m_exchange->Request());
  ApplyForwarded();
  m_body = m_exchange->TakeBody();
  const Rejection rejection = CheckRequest(now);
  m_rejected = rejection.m_status != 0;
  if (rejection.m_status == kStatusUnavailable && rejection.m_retry_after) {
    RefuseWithRetryAfter(rejection.m_reason, *rejection.m_retry_after);
    return;
  }
  if (rejection.m_status == kStatusUnavailable) {
    Refuse(rejection.m_reason);
    return;
  }
  if (rejection.m_status != 0) {
    RespondWithProblem(rejection.m_status, rejection.m_reason,
                       Duration::zero());
    return;
  }
  const std::weak_ptr<RouteRelay> weak = weak_from_this();
  m_exchange->OnDisconnect([weak] {
    if (const auto self = weak.lock()) {
      self->HandleCallerDisconnected();
    }
  });
  m_exchange->OnDrained([weak] {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    self->m_caller_is_slow = false;
    if (self->m_hop) {
      self->m_state->m_client->Resume(self->m_hop->m_call);
    }
    if (self->m_attempt) {
      self->ResumeReading(*self->m_attempt);
    }
    for (Attempt& attempt : self->m_other_attempts) {
      self->ResumeReading(attempt);
    }
  });
  m_timer.Start(std::max(m_deadline - now, Duration(1)));
  if (IsCountedHere()) {
    m_state->m_allowance.NoteRequest(m_service, now);
  }
  if (m_origin) {
    ContinueStreamOf(*m_origin);
  } else if (IsResumable() && !m_request.m_resume_after.empty()) {
    DispatchResumption();
  } else {
    Dispatch(now);
  }
}

bool RouteRelay::IsEngine() const {
  const ServicePolicy* service = m_configuration->FindService(m_service);
  return service != nullptr && service->m_engine.has_value();
}

const std::vector<PromptPart>* RouteRelay::Prompt() const {
  return m_request.m_prompt.empty() ? nullptr : &m_request.m_prompt;
}

std::vector<PartId> RouteRelay::SharedParts() const {
  std::vector<PartId> parts;
  for (std::size_t index = 0; index + 1 < m_request.m_prompt.size(); ++index) {
    parts.push_back(m_request.m_prompt[index].m_id);
  }
  return parts;
}

RequestDigest RouteRelay::Digest() {
  if (!m_digest) {
    const net::HttpRequest& request = m_exchange->Request();
    std::uint64_t hash = HashText(request.m_method);
    for (const std::string_view part :
         {std::string_view(request.m_target), std::string_view(m_request.m_key),
          m_body == nullptr ? std::string_view() : std::string_view(*m_body)}) {
      hash = HashPair(hash, HashText(part));
    }
    m_digest = RequestDigest(hash);
  }
  return *m_digest;
}

void RouteRelay::Dispatch(TimePoint now) {
  if (!RefreshConfiguration(now) || EndIfRefusedForCrashes() ||
      ForwardIfCutOff(now)) {
    return;
  }
  if (m_progress.m_attempts == 0 &&
      !m_state->m_pool.AdmitRequest(MakeQuery(), now)) {
    EndUnserved(kStatusBadGateway, "request rates of all upstreams reached");
    return;
  }
  SendWithPermits(false, now);
}

void RouteRelay::SendWithPermits(bool rate_was_requested, TimePoint now) {
  UpstreamQuery upstream_query = MakeQuery();
  std::vector<LimitedProcess> wanted =
      m_state->m_pool.PermitsWanted(upstream_query, now);
  const bool of_rate = !wanted.empty() && wanted.front().m_slots == 0;
  if (wanted.empty() || (of_rate && rate_was_requested)) {
    ChooseAndSend(std::move(upstream_query), now);
    return;
  }
  const std::weak_ptr<RouteRelay> weak = weak_from_this();
  m_state->m_request_permit(std::move(wanted), [weak, of_rate] {
    const auto self = weak.lock();
    // A silent upstream may have gone on, or failed, in the meantime.
    if (self == nullptr || self->m_done || self->m_attempt || self->m_ending ||
        self->m_awaits_crash_check) {
      return;
    }
    const TimePoint answered_at = BootTime();
    if (!self->RefreshConfiguration(answered_at)) {
      return;
    }
    if (of_rate) {
      self->SendWithPermits(true, answered_at);
    } else {
      self->ChooseAndSend(self->MakeQuery(), answered_at);
    }
  });
}

UpstreamQuery RouteRelay::MakeQuery() const {
  UpstreamQuery upstream_query;
  upstream_query.m_service = m_service;
  upstream_query.m_prompt = Prompt();
  upstream_query.m_tried = m_tried;
  upstream_query.m_latency_target = m_route.m_latency_target;
  upstream_query.m_priority = m_priority;
  upstream_query.m_origin = m_origin;
  upstream_query.m_homes = m_homes;
  upstream_query.m_data_centre = m_state->m_settings->m_instance.m_data_centre;
  return upstream_query;
}

void RouteRelay::ChooseAndSend(UpstreamQuery upstream_query, TimePoint now) {
  std::optional<UpstreamChoice> chosen =
      m_state->m_pool.Choose(upstream_query, now);
  if (!chosen && !m_tried.empty() && !m_progress.m_may_have_run) {
    // All upstreams were tried and none ran the request: try them again.
    upstream_query.m_tried.clear();
    chosen = m_state->m_pool.Choose(upstream_query, now);
  }
  if (!chosen) {
    EndUnserved(kStatusBadGateway,
                m_tried.empty() ? "no upstream" : "no other upstream");
    return;
  }
  // Retries and resumptions are rare and explain failures; first attempts of
  // new requests are for tracing only.
  const bool is_first =
      m_progress.m_attempts == 0 && m_request.m_resume_after.empty();
  Log(is_first ? LogLevel::kDebug : LogLevel::kInfo, "dispatched",
      {{"request", m_request.m_id.str()},
       {"route", m_route.m_name},
       {"upstream", chosen->m_id.str()},
       {"version", m_state->m_pool.Find(chosen->m_id)->m_version.str()},
       {"resume_after", ResumeAfter()},
       {"resumed_attempt", m_request.m_resumed_attempt.str()},
       {"rank", std::int64_t{chosen->m_rank}},
       {"load", chosen->m_load},
       {"mean_load", chosen->m_mean_load},
       {"load_age_ms", Milliseconds(chosen->m_load_age)},
       {"estimate", chosen->m_estimate},
       {"interpreted", chosen->m_interpreted},
       {"unread_tokens", chosen->m_unread_tokens},
       {"home_over_bound", chosen->m_home_over_bound}});
  Send(*chosen, now);
}

std::string RouteRelay::ResumeAfter() const {
  return m_event_splitter.LastId().value_or(m_request.m_resume_after);
}

net::HttpCall RouteRelay::MakeCall(const RegisteredUpstream& upstream,
                                   TimePoint now) {
  const net::HttpRequest& request = m_exchange->Request();
  const Duration time_left = TimeLeft(now);
  net::ForwardedFields fields;
  fields.m_expected_upstream = upstream.m_id;
  fields.m_time_left = time_left;
  fields.m_customer = m_customer;
  fields.m_priority = m_priority;
  fields.m_engine = IsEngine();
  fields.m_resume_after = ResumeAfter();
  net::HttpCall call;
  call.m_method = request.m_method;
  call.m_endpoint = upstream.m_endpoint;
  call.m_path = request.m_target;
  call.m_headers = m_state->m_protocol.m_upstream_headers(request, fields);
  call.m_body = m_body;
  call.m_connect_timeout = std::min(kUpstreamConnectTimeout, time_left);
  // A silent upstream may go on until another one takes over.
  call.m_head_timeout = time_left;
  call.m_idle_timeout = time_left;
  call.m_total_timeout = time_left;
  call.m_dedicated_connection = !m_route.MayRepeat();
  call.m_reuse_max_idle = kReuseMaxIdle;
  call.m_accept_close_delimited = true;
  return call;
}

net::HttpCallEvents RouteRelay::MakeEvents(AttemptNumber number) {
  // Keeps the relay alive for a callback; null when the attempt has ended.
  const auto lock = [weak = weak_from_this(), number] {
    auto self = weak.lock();
    return self != nullptr && self->BringToFront(number) ? self : nullptr;
  };
  net::HttpCallEvents events;
  events.m_on_send = [lock] {
    if (const auto self = lock()) {
      self->CheckBeforeSend();
    }
  };
  events.m_on_headers = [lock](int status, const net::HeaderMap& headers) {
    if (const auto self = lock()) {
      self->HandleHeaders(status, headers);
    }
  };
  events.m_on_data = [lock](std::string_view data) {
    const auto self = lock();
    return self == nullptr || self->HandleData(data);
  };
  events.m_on_end = [lock](const net::HttpCallResult& result) {
    if (const auto self = lock()) {
      self->HandleEnd(result);
    }
  };
  return events;
}

void RouteRelay::Send(const UpstreamChoice& choice, TimePoint now) {
  const UpstreamId& upstream = choice.m_id;
  const RegisteredUpstream* registration = m_state->m_pool.Find(upstream);
  Attempt attempt(&m_state->m_response_memory);
  attempt.m_upstream = upstream;
  attempt.m_choice = choice;
  attempt.m_start_time_ms = registration->m_start_time_ms;
  attempt.m_origin = OriginOf(*registration);
  attempt.m_endpoint = registration->m_endpoint;
  attempt.m_sent_at = now;
  const Duration time_left = TimeLeft(now);
  const int attempts_left = m_route.m_max_attempts - m_progress.m_attempts - 1;
  attempt.m_head_timeout = FirstByteTimeout(m_route, attempts_left, time_left);
  attempt.m_idle_timeout = IdleTimeout(m_route, attempts_left, time_left);
  m_last_attempt = m_last_attempt.Next();
  attempt.m_number = m_last_attempt;
  attempt.m_last_progress_at = now;
  attempt.m_call = m_state->m_client->Start(MakeCall(*registration, now),
                                            MakeEvents(attempt.m_number));
  m_attempt = std::move(attempt);
  m_silence_timer.Start(m_attempt->m_head_timeout);
  m_state->m_reachability->NoteSent(m_attempt->m_call);
  m_attempted_directly = true;
  ++m_progress.m_attempts;
  m_tried.push_back(upstream);
  if (m_state->m_pool.Limits().IsLimited(
          {HashOf(upstream), registration->m_start_time_ms})) {
    m_state->m_metrics.Count("nutmeg_route_sent_to_limited");
    Log(LogLevel::kDebug, "sent_to_limited",
        {{"upstream", upstream.str()}, {"request", m_request.m_id.str()}});
  }
  m_state->m_pool.NoteSent(upstream, Prompt(), now);
}

}  // namespace nutmeghollow

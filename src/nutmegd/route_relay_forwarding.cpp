// Forwarding of a request to another instance while this one is cut off from
// the upstreams.
#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "libnet/log.h"
#include "libnet/text.h"
#include "nutmegd/route_relay.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

constexpr int kStatusServerError = 500;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
/// A connection to another instance takes milliseconds.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
constexpr std::chrono::seconds kReuseMaxIdle{2};
/// Time after which a request that waits counts as silent when this instance is
/// cut off: connections that are open may live on.
constexpr Duration kMinSilence = std::chrono::milliseconds(200);
/// Instances that are tried before the request is refused.
constexpr std::size_t kMaxInstances = 4;

/// Header fields that concern a single connection.
constexpr std::array<std::string_view, 9> kConnectionFields{
    "connection", "content-length",    "expect",
    "keep-alive", "proxy-connection",  "te",
    "trailer",    "transfer-encoding", "upgrade"};

std::int64_t Milliseconds(Duration duration) {
  return duration.count() / 1000;
}

/// @return lower-case names that are listed in the Connection fields.
std::set<std::string> ConnectionOptions(const net::HeaderMap& headers) {
  std::set<std::string> names;
  const auto [first, last] = headers.equal_range("connection");
  for (auto field = first; field != last; ++field) {
    std::string_view list = field->second;
    while (!list.empty()) {
      const std::size_t end = std::min(list.find(','), list.size());
      names.insert(net::LowerCase(net::Trim(list.substr(0, end))));
      list.remove_prefix(std::min(end + 1, list.size()));
    }
  }
  return names;
}

/// @return the caller's header without the fields that concern its connection.
net::HeaderList HeadersToForward(const net::HeaderMap& headers) {
  const std::set<std::string> options = ConnectionOptions(headers);
  net::HeaderList list;
  for (const auto& [name, value] : headers) {
    const bool of_connection =
        std::find(kConnectionFields.begin(), kConnectionFields.end(), name) !=
        kConnectionFields.end();
    if (!of_connection && !options.contains(name) &&
        name != net::kForwardedField) {
      list.emplace_back(name, value);
    }
  }
  return list;
}

/// @return true for a failure that may be due to the path to the upstream.
bool MayBeOfPath(AttemptFailure failure) {
  return failure == AttemptFailure::kUnreachable ||
         failure == AttemptFailure::kBroken ||
         failure == AttemptFailure::kTimedOut;
}

}  // namespace

void RouteRelay::ApplyForwarded() {
  if (!m_forwarded) {
    return;
  }
  m_request.m_deadline = m_forwarded->m_time_left;
  m_request.m_resume_after = m_forwarded->m_resume_after;
  if (m_request.m_resumed_attempt.empty() &&
      !m_request.m_resume_after.empty()) {
    // The stream was recorded under the request's own id.
    m_request.m_resumed_attempt = m_request.m_id;
  }
  m_origin = m_forwarded->m_origin;
  m_progress.m_attempts = m_forwarded->m_attempts;
  m_progress.m_may_have_run = m_forwarded->m_may_have_run;
  m_state->m_metrics.Count("nutmeg_route_forwarded", "direction=\"received\"");
}

bool RouteRelay::IsCountedHere() const {
  return m_forwarded ? m_forwarded->m_attempts == 0
                     : !m_state->m_reachability->IsCutOff();
}

bool RouteRelay::IsForOtherInstance(int status) const {
  return m_forwarded && status == kStatusUnavailable &&
         (m_rejected || m_state->m_reachability->IsInDoubt());
}

bool RouteRelay::NeedsAllowance() const {
  return m_progress.m_may_have_run || !m_state->m_reachability->IsCutOff();
}

bool RouteRelay::MayForward() const {
  return !m_forwarded && m_state->m_forwarding.m_keys() != nullptr;
}

bool RouteRelay::ForwardIfCutOff(TimePoint now) {
  if (!MayForward()) {
    return false;
  }
  // Only the instance that sent the stream's events recorded its origin.
  const bool origin_unknown = m_stream_forwarded && !m_origin;
  const double share = m_state->m_reachability->DirectShare();
  if (!origin_unknown && (share >= 1 || m_state->Draw(0, 1) < share)) {
    return false;
  }
  const std::optional<InstanceId> instance =
      m_tried_instances.size() < kMaxInstances
          ? m_state->m_forwarding.m_choose(m_tried_instances, m_homes)
          : std::nullopt;
  if (instance) {
    SendToInstance(*instance, now);
    return true;
  }
  if (origin_unknown || !m_tried_instances.empty()) {
    EndUnserved(kStatusBadGateway, "no instance took it");
    return true;
  }
  return false;
}

net::HttpCall RouteRelay::MakeHopCall(const InstanceId& instance,
                                      const std::string& nonce,
                                      TimePoint now) {
  const net::HttpRequest& request = m_exchange->Request();
  net::ForwardedRequest forwarded;
  forwarded.m_sender = m_state->m_settings->m_instance.m_id;
  forwarded.m_receiver = instance;
  forwarded.m_attempts = m_progress.m_attempts;
  forwarded.m_time_left = TimeLeft(now);
  forwarded.m_may_have_run = m_progress.m_may_have_run;
  forwarded.m_resume_after = ResumeAfter();
  forwarded.m_origin = m_origin;
  forwarded.m_sent_at = now;
  forwarded.m_nonce = nonce;
  net::HttpCall call;
  call.m_method = request.m_method;
  call.m_endpoint = m_state->m_forwarding.m_address_of(instance);
  call.m_path = request.m_target;
  call.m_headers = HeadersToForward(request.m_headers);
  call.m_headers.emplace_back(
      net::kForwardedField,
      net::EncodeForwarded(
          *m_state->m_forwarding.m_keys(), forwarded, request.m_method,
          request.m_target,
          m_body == nullptr ? std::string_view() : std::string_view(*m_body)));
  call.m_body = m_body;
  call.m_connect_timeout = std::min(kConnectTimeout, TimeLeft(now));
  call.m_head_timeout = TimeLeft(now);
  call.m_idle_timeout = TimeLeft(now);
  call.m_total_timeout = TimeLeft(now);
  call.m_dedicated_connection = !m_route.MayRepeat();
  call.m_reuse_max_idle = kReuseMaxIdle;
  return call;
}

void RouteRelay::SendToInstance(const InstanceId& instance, TimePoint now) {
  Hop hop(&m_state->m_response_memory);
  hop.m_instance = instance;
  hop.m_nonce = net::MakeForwardingNonce();
  hop.m_sent_at = now;
  hop.m_call = m_state->m_client->Start(MakeHopCall(instance, hop.m_nonce, now),
                                        MakeHopEvents());
  m_hop = std::move(hop);
  m_attempted_directly = false;
  m_tried_instances.push_back(instance);
  ++m_state->m_forwarding.m_active[instance];
  m_state->m_metrics.Count("nutmeg_route_forwarded", "direction=\"sent\"");
  Log(LogLevel::kInfo, "request_forwarded",
      {{"request", m_request.m_id.str()},
       {"route", m_route.m_name},
       {"instance", instance.str()},
       {"attempts", std::int64_t{m_progress.m_attempts}},
       {"time_left_ms", Milliseconds(TimeLeft(now))},
       {"resume_after", ResumeAfter()}});
}

net::HttpCallEvents RouteRelay::MakeHopEvents() {
  const std::weak_ptr<RouteRelay> weak = weak_from_this();
  net::HttpCallEvents events;
  events.m_on_send = [weak] {
    const auto self = weak.lock();
    if (self != nullptr && self->m_hop) {
      self->m_hop->m_sent = true;
      if (self->m_route.m_streamed) {
        self->m_release_timer.Start(kMaxStreamOverlap);
      }
    }
  };
  events.m_on_headers = [weak](int status, const net::HeaderMap& headers) {
    const auto self = weak.lock();
    if (self != nullptr && self->m_hop) {
      self->m_hop->m_status = status;
      self->m_hop->m_headers = headers;
    }
  };
  events.m_on_data = [weak](std::string_view data) {
    const auto self = weak.lock();
    return self == nullptr || self->HandleHopData(data);
  };
  events.m_on_end = [weak](const net::HttpCallResult& result) {
    if (const auto self = weak.lock()) {
      self->HandleHopEnd(result);
    }
  };
  return events;
}

bool RouteRelay::IsHopAuthentic() const {
  const net::FleetKeys* keys = m_state->m_forwarding.m_keys();
  return keys != nullptr &&
         net::IsForwardedResponse(
             *keys, m_hop->m_nonce,
             net::HeaderValue(m_hop->m_headers, net::kForwardedMacField));
}

bool RouteRelay::HandleHopData(std::string_view data) {
  if (m_done || !m_hop) {
    return true;
  }
  if (!IsHopAuthentic()) {
    return true;  // Decided when the response has ended.
  }
  if (!IsHopStream()) {
    if (!m_hop->m_body.Append(data)) {
      FailHop("its response is too large");
    }
    return true;
  }
  if (m_caller_is_slow) {
    return false;
  }
  TakeOverStream();
  const std::string events = m_event_splitter.Take(data);
  if (!events.empty()) {
    BeginForwardedStream();
    WriteToCaller(events);
  }
  if (m_event_splitter.IsOverlong()) {
    FailHop("an event is too large");
  }
  return true;
}

void RouteRelay::TakeOverStream() {
  CancelAttempts(AttemptHealth::kTimedOut);
  if (std::exchange(m_stream_reader, AttemptNumber()) != AttemptNumber()) {
    m_event_splitter.DropPartialEvent();
  }
}

bool RouteRelay::IsHopStream() const {
  return m_route.m_streamed && m_hop->m_status / 100 == 2;
}

net::HeaderList RouteRelay::HopHeaders() const {
  net::HeaderMap headers = m_hop->m_headers;
  headers.erase(net::kForwardedMacField);
  headers.erase(net::kNotTakenField);
  return m_state->m_protocol.m_caller_headers(headers);
}

void RouteRelay::BeginForwardedStream() {
  m_stream_forwarded = true;
  if (!std::exchange(m_progress.m_response_started, true)) {
    m_first_event_at = BootTime();
    m_exchange->BeginStream(m_hop->m_status, HopHeaders());
  }
}

void RouteRelay::HandleHopEnd(const net::HttpCallResult& result) {
  if (m_done || !m_hop) {
    return;
  }
  if (!result.m_may_have_been_sent) {
    TryNextInstance("not connected");
    return;
  }
  const bool complete = result.m_outcome == net::HttpCallOutcome::kComplete;
  if (complete && m_hop->m_headers.contains(net::kNotTakenField)) {
    TryNextInstance("not taken");
    return;
  }
  if (!complete || !IsHopAuthentic() ||
      (IsHopStream() && m_event_splitter.IsInsideEvent())) {
    FailHop("the connection to the instance broke");
    return;
  }
  if (m_progress.m_response_started && !IsHopStream()) {
    FailHop("the instance could not continue the stream");
    return;
  }
  FinishHop();
}

void RouteRelay::FinishHop() {
  const int status = m_hop->m_status;
  const bool streamed = IsHopStream();
  if (streamed) {
    TakeOverStream();
    BeginForwardedStream();
    if (!m_event_splitter.PartialEvent().empty()) {
      WriteToCaller(m_event_splitter.PartialEvent());
    }
  }
  const net::HeaderList headers = HopHeaders();
  std::string body = m_hop->m_body.Release();
  EndHop();
  CancelAttempts(AttemptHealth::kAbandoned);
  WatchResponse(status);
  if (streamed) {
    m_exchange->EndStream();
  } else {
    m_exchange->Respond(status, headers, std::move(body));
  }
  const char* failed = status == kStatusUnavailable ? "refused" : "failed";
  Finish(status < kStatusServerError ? "served" : failed, status, "forwarded");
}

void RouteRelay::LogHopFailure(const char* reason) const {
  Log(LogLevel::kInfo, "forwarded_attempt_ended",
      {{"request", m_request.m_id.str()},
       {"instance", m_hop->m_instance.str()},
       {"reason", std::string(reason)},
       {"status", std::int64_t{m_hop->m_status}},
       {"sent", m_hop->m_sent},
       {"after_ms", Milliseconds(BootTime() - m_hop->m_sent_at)}});
}

void RouteRelay::TryNextInstance(const char* reason) {
  LogHopFailure(reason);
  EndHop();
  if (!m_attempt) {
    Dispatch(BootTime());
  }
}

void RouteRelay::FailHop(const char* reason) {
  LogHopFailure(reason);
  m_progress.m_may_have_run = true;
  ++m_progress.m_attempts;
  CancelHop();
  HandleFailure(AttemptFailure::kBroken);
}

void RouteRelay::EndHop() {
  int& active = m_state->m_forwarding.m_active[m_hop->m_instance];
  if (--active <= 0) {
    m_state->m_forwarding.m_active.erase(m_hop->m_instance);
  }
  m_hop.reset();
}

void RouteRelay::CancelHop() {
  if (m_hop) {
    m_progress.m_may_have_run = m_progress.m_may_have_run || m_hop->m_sent;
    m_state->m_client->Cancel(m_hop->m_call);
    EndHop();
  }
}

bool RouteRelay::HoldFailure(AttemptFailure failure) {
  if (!MayForward() || !m_attempted_directly || !MayBeOfPath(failure)) {
    return false;
  }
  ReachabilityMonitor& monitor = *m_state->m_reachability;
  if (monitor.AwaitsVerdict()) {
    monitor.WhenDecided([weak = weak_from_this(), failure] {
      const auto self = weak.lock();
      if (self != nullptr && !self->m_done) {
        self->HandleFailure(failure);
      }
    });
    return true;
  }
  if (monitor.IsCutOff() && failure == AttemptFailure::kUnreachable) {
    // An attempt on a path that does not exist does not use up the route's.
    m_progress.m_attempts = std::max(0, m_progress.m_attempts - 1);
    m_attempted_directly = false;
  }
  return false;
}

void RouteRelay::HandleCutOff() {
  if (m_done || !MayForward() || !m_attempt || !m_other_attempts.empty() ||
      m_hop || m_attempt->m_status != 0 || m_progress.m_response_started ||
      !m_state->m_forwarding.m_choose(m_tried_instances, m_homes)) {
    return;
  }
  const TimePoint now = BootTime();
  if (m_attempt->m_request_written) {
    if (now - m_attempt->m_sent_at >= kMinSilence) {
      TryAnotherUpstream(AttemptFailure::kTimedOut, now);
    }
    return;
  }
  CancelAttempt(AttemptHealth::kAbandoned);
  HandleFailure(AttemptFailure::kUnreachable);
}

}  // namespace nutmeghollow

// Checks of a relayed request: whether it may be sent, on its arrival, before
// each attempt, and just before the first byte.
#include <algorithm>
#include <string_view>
#include <utility>

#include "libnet/log.h"
#include "libnet/text.h"
#include "nutmegd/route_relay.h"
#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusHeaderTooLarge = 431;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;

/// An unknown route or key is denied only if the configuration was confirmed
/// less than this ago, the time within which a change must be in force.
/// Otherwise the response is 503 with Retry-After.
constexpr Duration kMaxAgeForDenial = std::chrono::milliseconds(2000);
/// The response is sent this long before the caller's deadline or the route's
/// timeout.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(10);

/// Retry-After of a request that another instance can serve at once.
constexpr Duration kRetryElsewhereDelay = std::chrono::milliseconds(50);

constexpr const char* kNotProven = "configuration not proven current";
/// Part of a host or path that is logged.
constexpr std::size_t kMaxLoggedText = 80;

/// @return true when the request's target or a header field could be
/// misinterpreted by an upstream, so that it must not be forwarded.
bool IsMalformed(const net::HttpRequest& request) {
  constexpr unsigned char kDelete = 0x7f;
  const bool bad_target = std::any_of(
      request.m_target.begin(), request.m_target.end(), [](unsigned char byte) {
        return byte <= ' ' || byte == kDelete || byte == '#';
      });
  return bad_target ||
         std::any_of(request.m_headers.begin(), request.m_headers.end(),
                     [](const auto& field) {
                       return net::HasLineBreak(field.first) ||
                              net::HasLineBreak(field.second);
                     });
}

std::string_view PathOf(const std::string& target) {
  return std::string_view(target).substr(0, target.find('?'));
}

std::int64_t Milliseconds(Duration duration) {
  return duration.count() / 1000;
}

}  // namespace

void RouteRelay::LogDenial(int status, TimePoint now) const {
  const auto proof_age = m_state->ProofAge(now);
  const Endpoint& source = m_state->m_proof_source;
  Log(LogLevel::kInfo, "request_denied",
      {{"request", m_request.m_id.str()},
       {"status", std::int64_t{status}},
       {"revision",
        static_cast<std::int64_t>(m_configuration->m_revision.value())},
       {"newest_revision", static_cast<std::int64_t>(
                               m_state->m_freshness.NewestElsewhere().value())},
       {"proof_age_ms", proof_age ? Milliseconds(*proof_age) : -1},
       {"source", source.empty() ? std::string("platform") : source.str()},
       {"host", m_request.m_host.substr(0, kMaxLoggedText)},
       {"path", std::string(PathOf(m_exchange->Request().m_target)
                                .substr(0, kMaxLoggedText))}});
}

RouteRelay::Rejection RouteRelay::Deny(int status,
                                       const char* reason,
                                       const char* unconfirmed_reason,
                                       TimePoint now) const {
  const bool confirmed = m_state->m_freshness.MayDeny(kMaxAgeForDenial, now);
  const int sent = confirmed ? status : kStatusUnavailable;
  LogDenial(sent, now);
  return {sent, confirmed ? reason : unconfirmed_reason};
}

RouteRelay::Rejection RouteRelay::CheckRequest(TimePoint now) {
  m_configuration = m_state->m_configuration;
  if (m_configuration == nullptr) {
    return {kStatusUnavailable, "no configuration yet"};
  }
  const net::HttpRequest& request = m_exchange->Request();
  if (IsMalformed(request)) {
    return {kStatusBadRequest, "malformed target or field"};
  }
  const CallerLimits& limits = m_configuration->m_limits;
  if (request.m_head_bytes >
      static_cast<std::size_t>(limits.m_header.value())) {
    return {kStatusHeaderTooLarge, "header too large"};
  }
  // The server's limit is that of the time at which the request began.
  if (m_body != nullptr &&
      m_body->size() > static_cast<std::size_t>(limits.m_body.value())) {
    return {kStatusTooLarge, "body too large"};
  }
  const HttpRoute* route =
      m_configuration->FindRoute(m_request.m_host, PathOf(request.m_target));
  if (route == nullptr) {
    return Deny(kStatusNotFound, "no such route", "no such route", now);
  }
  m_route = *route;
  const double draw =
      static_cast<double>(HashText(m_request.m_id.str()) >> 11) /
      static_cast<double>(std::uint64_t{1} << 53);
  m_service = ChooseService(m_route, draw);
  Duration timeout = m_route.m_timeout;
  if (m_request.m_deadline) {
    timeout = std::min(timeout, *m_request.m_deadline);
  }
  m_deadline = now + std::max(timeout - kDeadlineMargin, Duration(1));
  if (MayBeCutByDrain(now)) {
    return {kStatusUnavailable, "the instance stops too soon",
            m_state->m_others_ready() ? std::optional(kRetryElsewhereDelay)
                                      : std::nullopt};
  }
  return CheckMayServe(m_route, now);
}

bool RouteRelay::MayBeCutByDrain(TimePoint now) const {
  if (!m_state->m_drain) {
    return false;
  }
  const auto durations = m_state->m_durations.find(m_route.m_name);
  return !m_state->m_drain->MayAccept(now, TimeLeft(now),
                                      durations == m_state->m_durations.end()
                                          ? std::nullopt
                                          : durations->second.UpperBound(),
                                      m_state->m_others_ready());
}

RouteRelay::Rejection RouteRelay::CheckMayServe(const HttpRoute& route,
                                                TimePoint now) {
  m_priority = route.m_priority;
  m_customer = CustomerId();
  m_homes = route.m_homes;
  const CopyUse use = m_state->m_use_of_copies(now);
  if (use == CopyUse::kNone) {
    return {kStatusUnavailable, "tables not proven current",
            kRetryElsewhereDelay};
  }
  const bool needs_key = m_configuration->RequiresKeys() && !route.m_anonymous;
  if (m_request.m_key.empty() && !needs_key) {
    return {};
  }
  // A key that is presented must be valid also where none is needed.
  const CustomerKeys* customer = m_configuration->FindCustomer(m_request.m_key);
  if (customer == nullptr) {
    return Deny(kStatusUnauthorized, "unknown key", kNotProven, now);
  }
  if (use == CopyUse::kAll && m_state->MayServeKeyedRequests(now)) {
    m_customer = customer->m_id;
    m_homes = Intersect(route.m_homes, customer->m_homes);
    m_priority = customer->m_priority.value_or(route.m_priority);
    return {};
  }
  return {kStatusUnavailable, kNotProven};
}

bool RouteRelay::RefreshConfiguration(TimePoint now) {
  m_configuration = m_state->m_configuration;
  const HttpRoute* route = m_configuration->FindRoute(
      m_request.m_host, PathOf(m_exchange->Request().m_target));
  if (route == nullptr) {
    EndUnserved(kStatusBadGateway, "route was removed");
    return false;
  }
  const Rejection rejection = CheckMayServe(*route, now);
  if (rejection.m_status != 0) {
    EndUnserved(kStatusBadGateway, rejection.m_reason);
    return false;
  }
  const bool service_remains =
      std::any_of(route->m_shares.begin(), route->m_shares.end(),
                  [this](const TrafficShare& share) {
                    return share.m_service == m_service;
                  });
  if (!service_remains && m_origin) {
    EndUnserved(kStatusBadGateway, "service was removed from the route");
    return false;
  }
  if (!service_remains) {
    m_service = ChooseService(*route, m_state->Draw(0, 1));
  }
  return true;
}

void RouteRelay::CheckBeforeSend() {
  const TimePoint now = BootTime();
  // The configuration may have been replaced during connection setup.
  m_configuration = m_state->m_configuration;
  const HttpRoute* route = m_configuration->FindRoute(
      m_request.m_host, PathOf(m_exchange->Request().m_target));
  const bool allowed =
      route != nullptr && CheckMayServe(*route, now).m_status == 0;
  const bool late = now - m_attempt->m_sent_at > kUpstreamConnectTimeout;
  const bool takes_requests = m_state->m_pool.TakesRequests(
      MakeQuery(), m_attempt->m_upstream, m_attempt->m_start_time_ms);
  const bool within_rate = m_state->m_pool.MaySend(m_attempt->m_choice);
  if (allowed && takes_requests && within_rate && !late) {
    m_attempt->m_request_written = true;
    if (!m_other_attempts.empty() && m_route.m_streamed) {
      m_release_timer.Start(kMaxStreamOverlap);
    }
    return;
  }
  Log(LogLevel::kInfo, "send_withheld",
      {{"request", m_request.m_id.str()},
       {"upstream", m_attempt->m_upstream.str()},
       {"allowed", allowed},
       {"takes_requests", takes_requests},
       {"within_rate", within_rate},
       {"after_ms", Milliseconds(now - m_attempt->m_sent_at)}});
  CancelAttempt(AttemptHealth::kAbandoned);
  HandleFailure(AttemptFailure::kUnreachable);
}

}  // namespace nutmeghollow

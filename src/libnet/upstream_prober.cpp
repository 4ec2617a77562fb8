#include "libnet/upstream_prober.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace nutmeghollow::net {
namespace {

constexpr Bytes kBodyLimit{4096};
/// IP and TCP headers of the three segments of a probe on an open connection:
/// request, response, and the acknowledgement of the response.
constexpr std::int64_t kSegmentBytes = 3 * 52;
/// Request line, and headers that the client adds.
constexpr std::int64_t kRequestBytes = 60;
constexpr std::int64_t kStatusLineBytes = 19;
constexpr std::int64_t kHeaderSeparatorBytes = 4;
constexpr int kMaxAgeMs = 60000;

/// @return the estimated bytes of a probe on the wire, in both directions.
Bytes WireBytes(const HttpResponse& response) {
  std::int64_t size = kSegmentBytes + kRequestBytes + kStatusLineBytes +
                      static_cast<std::int64_t>(response.m_body.size());
  for (const auto& [name, value] : response.m_headers) {
    size += static_cast<std::int64_t>(name.size() + value.size()) +
            kHeaderSeparatorBytes;
  }
  return Bytes(size);
}

int CountField(const nlohmann::json& body, const char* name, int limit) {
  auto found = body.find(name);
  if (found == body.end() || !found->is_number()) {
    return 0;
  }
  return static_cast<int>(
      std::clamp(found->get<double>(), 0.0, static_cast<double>(limit)));
}

ProbeResult MakeResult(const UpstreamId& upstream,
                       const HttpResponse& response,
                       TimePoint sent_at,
                       TimePoint now) {
  ProbeResult result{.m_upstream = upstream, .m_round_trip = now - sent_at};
  result.m_wire_bytes = WireBytes(response);
  if (response.m_call_result.m_outcome != HttpCallOutcome::kComplete ||
      response.m_status != 200) {
    return result;
  }
  const std::optional<HealthResponse> health = ParseHealth(response.m_body);
  if (!health) {
    return result;
  }
  result.m_ok = true;
  result.m_leaving = health->m_leaving;
  if (health->m_has_load) {
    result.m_report = ProbedLoad{.m_running = health->m_running,
                                 .m_queued = health->m_queued,
                                 .m_taken_at = now - health->m_age,
                                 .m_received_at = now};
  }
  return result;
}

}  // namespace

std::optional<HealthResponse> ParseHealth(std::string_view body) {
  constexpr int kMaxCount = 1 << 20;
  HealthResponse health;
  if (body.empty() || body.front() != '{') {
    return health;
  }
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  auto status = json.find("status");
  health.m_leaving = status != json.end() && *status == "leaving";
  health.m_has_load = json.contains("running");
  health.m_running = CountField(json, "running", kMaxCount);
  health.m_queued = CountField(json, "queued", kMaxCount);
  health.m_age =
      std::chrono::milliseconds(CountField(json, "age_ms", kMaxAgeMs));
  return health;
}

UpstreamProber::UpstreamProber(HttpClient& client,
                               std::function<TimePoint()> now,
                               std::function<void(ProbeResult)> on_result)
    : m_client(client),
      m_now(std::move(now)),
      m_on_result(std::move(on_result)) {}

void UpstreamProber::Probe(const ProbeUpstream& action) {
  HttpCall call;
  call.m_endpoint = action.m_endpoint;
  call.m_path = "/health";
  call.m_connect_timeout = action.m_timeout;
  call.m_head_timeout = action.m_timeout;
  call.m_idle_timeout = action.m_timeout;
  call.m_total_timeout = action.m_timeout;
  const TimePoint sent_at = m_now();
  Fetch(m_client, std::move(call), kBodyLimit,
        [this, upstream = action.m_upstream,
         sent_at](const HttpResponse& response) {
          m_on_result(MakeResult(upstream, response, sent_at, m_now()));
        });
}

}  // namespace nutmeghollow::net

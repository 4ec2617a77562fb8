// Requests to the gateway: callers, entry look-ups, operators; and the planned
// stop.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/log.h"
#include "nutmegd/gateway_impl.h"
#include "nutmegd/route_explanation.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;
using nlohmann::json;

/// Interval between checks whether the drain is complete.
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);
/// Maximum number of addresses in an entry response.
constexpr std::size_t kMaxEntryAddresses = 64;

}  // namespace

bool Gateway::Impl::Ready() const {
  return !m_state.m_drain && m_state.m_configuration != nullptr &&
         m_registrations_read &&
         (!m_state.m_configuration->RequiresKeys() ||
          m_state.MayServeKeyedRequests(BootTime()));
}

bool Gateway::Impl::OthersReady() const {
  const auto& instances = m_directory.Instances();
  return std::any_of(instances.begin(), instances.end(), [&](const auto& one) {
    const EntryInstance& instance = one.second;
    return instance.m_id != m_settings.m_instance.m_id && instance.m_ready &&
           instance.m_alive;
  });
}

std::set<ServiceId> Gateway::Impl::ResumableServices() const {
  return m_state.m_configuration == nullptr
             ? std::set<ServiceId>()
             : m_state.m_configuration->ResumableServices();
}

void Gateway::Impl::HandleReachability(ReachabilityState before,
                                       ReachabilityState state) {
  if (m_told_reach != m_reachability.OwnReach()) {
    m_told_reach = m_reachability.OwnReach();
    m_fleet.SendDigestNow();
  }
  if (state == ReachabilityState::kReturning && state != before) {
    m_state.m_pool.ForgetFailures();
  }
  if (state == ReachabilityState::kCutOff && state != before) {
    // A relay removes itself when it ends.
    const auto relays = m_relays;
    for (const auto& [id, relay] : relays) {
      relay->HandleCutOff();
    }
  }
}

void Gateway::Impl::HandleCaller(const Exchange& exchange) {
  StartRelay(exchange, std::nullopt);
}

void Gateway::Impl::StartRelay(const Exchange& exchange,
                               std::optional<net::ForwardedRequest> forwarded) {
  const std::uint64_t id = ++m_last_relay_id;
  auto relay = std::make_shared<RouteRelay>(
      &m_state, exchange, [this, id] { m_relays.erase(id); },
      std::move(forwarded));
  m_relays.emplace(id, relay);
  relay->Start();
}

void Gateway::Impl::HandleEntry(const Exchange& exchange) {
  const net::HttpRequest& request = exchange->Request();
  if (request.m_path != "/v1/entry") {
    exchange->Respond(404, {{"Content-Type", "text/plain"}}, "unknown path\n");
    return;
  }
  const auto parameter = [&](const char* name) {
    const auto found = request.m_query.find(name);
    return found == request.m_query.end() ? std::string() : found->second;
  };
  EntryInstance* self = m_directory.Find(m_settings.m_instance.m_id);
  if (self != nullptr) {
    self->m_ready = Ready();
    self->m_reach = m_reachability.OwnReach();
  }
  json addresses = json::array();
  for (const Endpoint& endpoint : m_directory.Choose(
           RegionId(parameter("region")),
           DataCentreId(parameter("data_centre")), kMaxEntryAddresses)) {
    addresses.push_back(endpoint.str());
  }
  if (addresses.empty()) {
    addresses.push_back(
        m_settings.m_instance.m_advertised_caller_address.str());
  }
  const json body{{"addresses", addresses},
                  {"keep_seconds", m_settings.m_gateway.m_keep_seconds}};
  exchange->Respond(200, {{"Content-Type", "application/json"}}, body.dump());
}

void Gateway::Impl::HandleOperator(const Exchange& exchange) {
  const std::string& path = exchange->Request().m_path;
  const net::HeaderList text{{"Content-Type", "text/plain"}};
  if (path == "/livez") {
    exchange->Respond(200, text, "ok\n");
  } else if (path == "/readyz") {
    const bool ready = Ready();
    exchange->Respond(ready ? 200 : 503, text, ready ? "ok\n" : "not ready\n");
  } else if (path == "/metrics") {
    exchange->Respond(200, text, m_state.m_metrics.Render());
  } else if (path == kExplainRoutePath) {
    RouteExplanation explanation =
        ExplainRoute(m_state, exchange->Request(), BootTime());
    exchange->Respond(explanation.m_status,
                      {{"Content-Type", "application/json"}},
                      std::move(explanation.m_body));
  } else {
    exchange->Respond(404, text, "unknown path\n");
  }
}

void Gateway::Impl::StartDrain(const char* cause) {
  if (m_state.m_drain) {
    return;
  }
  GatewayDrainParameters parameters;
  parameters.m_grace = m_settings.m_gateway.m_stop_grace;
  parameters.m_entry_ttl =
      std::chrono::seconds(m_settings.m_gateway.m_keep_seconds);
  m_state.m_drain.emplace(BootTime(), parameters);
  Log(LogLevel::kInfo, "drain_started",
      {{"cause", std::string(cause)},
       {"requests", static_cast<std::int64_t>(m_relays.size())},
       {"others_ready", OthersReady()}});
  m_caller_server.CloseAfterResponses();
  m_fleet.SendDigestNow();
  m_instance_rows.RemoveOwnRow();
  m_drain_timer.StartRepeating(kDrainCheckInterval);
}

void Gateway::Impl::CheckDrain() {
  const auto now = BootTime();
  const DrainStep step = m_state.m_drain->Next(
      now, m_relays.size(),
      m_caller_server.OpenRequests() + m_peer_http_server.OpenForwarded());
  if (step == DrainStep::kServe) {
    return;
  }
  m_caller_server.StopListening();
  if (step == DrainStep::kEndRequests || step == DrainStep::kExit) {
    EndRequests(step);
  }
  if (step != DrainStep::kExit) {
    return;
  }
  const Duration elapsed = now - m_state.m_drain->StartedAt();
  Log(LogLevel::kInfo, "stopped",
      {{"cut_responses",
        static_cast<std::int64_t>(m_caller_server.OpenRequests())},
       {"after_ms", elapsed.count() / 1000}});
  m_drain_timer.Stop();
  ev_break(m_loop, EVBREAK_ALL);
}

void Gateway::Impl::EndRequests(DrainStep step) {
  // A relay removes itself when it ends.
  const auto relays = m_relays;
  for (const auto& [id, relay] : relays) {
    const bool at_once = step == DrainStep::kExit;
    if (at_once || !relay->WaitsForCaller()) {
      relay->Stop(at_once);
    }
  }
}

}  // namespace nutmeghollow

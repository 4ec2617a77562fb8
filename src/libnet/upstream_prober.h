/// @file
/// Probes the health of upstreams with `GET /health`.
#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "libnet/http_client.h"
#include "nutmeghollow/actions.h"
#include "nutmeghollow/probing.h"

namespace nutmeghollow::net {

/// Health that an upstream reports about itself.
struct HealthResponse {
  bool m_leaving = false;
  bool m_has_load = false;
  int m_running = 0;
  int m_queued = 0;
  Duration m_age{};  ///< Age of the load figures.
};

/// Parses the body of a health response. Plain services may send any body; one
/// that does not start with `{` only shows that the upstream is up.
/// @return nothing when the body starts with `{` but is not a JSON object.
std::optional<HealthResponse> ParseHealth(std::string_view body);

/// Executes ProbeUpstream actions. Connections stay open between probes.
class UpstreamProber {
 public:
  /// @param client must outlive the prober.
  /// @param now returns the time on the clock of the decision library.
  /// @param on_result called once per probe.
  UpstreamProber(HttpClient& client,
                 std::function<TimePoint()> now,
                 std::function<void(ProbeResult)> on_result);

  /// Starts a probe.
  void Probe(const ProbeUpstream& action);

 private:
  HttpClient& m_client;
  std::function<TimePoint()> m_now;
  std::function<void(ProbeResult)> m_on_result;
};

}  // namespace nutmeghollow::net

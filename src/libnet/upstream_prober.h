/// @file
/// Asks upstreams for their health by `GET /health`.
#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "libnet/http_client.h"
#include "nutmeghollow/actions.h"
#include "nutmeghollow/probing.h"

namespace nutmeghollow::net {

/// What an upstream said about itself.
struct HealthAnswer {
  bool m_leaving = false;
  bool m_has_load = false;
  int m_running = 0;
  int m_queued = 0;
  Duration m_age{};
};

/// Reads the body of a health answer. Plain services may answer with any
/// body; then it only says that the upstream is up.
/// @return nothing when the body claims to be JSON and is not.
std::optional<HealthAnswer> ParseHealth(std::string_view body);

/// Carries out ProbeUpstream actions. Connections stay open between probes.
class UpstreamProber {
 public:
  /// @param client must outlive the prober.
  /// @param now tells the time of the decision library.
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

/// @file
/// Explains to operators where a request would be sent now, without sending it.
#pragma once

#include <string>

#include "libnet/http_server.h"
#include "nutmegd/gateway_state.h"

namespace nutmeghollow {

/// Path of the operator endpoint.
inline constexpr const char* kExplainRoutePath = "/v1/explain-route";

/// Explanation as JSON, with its HTTP status.
struct RouteExplanation {
  int m_status = 200;
  std::string m_body;
};

/// Explains the request that the parameters describe: `host`, `path`, and
/// optionally `prompt` ("ID:TOKENS,...", the ids in hexadecimal), `customer`
/// (its name) and `priority`, which overrides that of route and customer. A
/// route with several services is explained for each. Changes no state; API
/// keys are neither read nor written.
RouteExplanation ExplainRoute(const GatewayState& state,
                              const net::HttpRequest& request,
                              TimePoint now);

}  // namespace nutmeghollow

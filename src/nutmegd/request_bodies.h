/// @file
/// Limits on the request bodies of callers and of other instances.
#pragma once

#include <memory>
#include <string>

#include "libnet/http_server.h"
#include "nutmegd/gateway_state.h"
#include "nutmegd/settings.h"
#include "nutmeghollow/body_memory.h"
#include "nutmeghollow/metrics.h"

namespace nutmeghollow {

/// Bytes of a rejected body that are still read. A caller whose connection is
/// closed while it sends cannot read the response; endless bodies end here.
inline constexpr Bytes kBodyDiscardLimit{64 << 10};

/// Sets the budget for bodies from the settings and the machine's memory,
/// registers its gauges, and lets the system take freed bodies back.
/// @param prefix of the gauges' names, such as "nutmeg_gateway".
void SetUpBodyMemory(const std::shared_ptr<BodyMemory>& memory,
                     MetricsRegistry* metrics,
                     const std::string& prefix,
                     const Settings& settings);

/// Options of the operators' server of a chats' instance. Its bodies have a
/// budget of their own, so that callers cannot use up that of operators.
net::HttpServerOptions WithOperatorBodies(net::HttpServerOptions options);

/// @param per_connection memory of one connection.
/// @return connections that the descriptors and the memory of the process allow
/// to callers.
int CallerConnectionLimit(const Settings& settings, Bytes per_connection);

/// Adds the budget for bodies, the limit that the configuration in force sets,
/// and the responses to requests that the server itself rejects.
/// @param state must outlive the server.
net::HttpServerOptions WithCallerBodies(net::HttpServerOptions options,
                                        const GatewayState& state);

}  // namespace nutmeghollow

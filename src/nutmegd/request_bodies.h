/// @file
/// Limits on the request bodies of callers and of other instances.
#pragma once

#include "libnet/http_server.h"
#include "nutmegd/gateway_state.h"

namespace nutmeghollow {

/// Bytes of a rejected body that are still read. A caller whose connection is
/// closed while it sends cannot read the response; endless bodies end here.
inline constexpr Bytes kBodyDiscardLimit{64 << 10};

/// Adds the limit that the configuration in force sets for bodies, and the
/// responses to requests that the server itself rejects.
/// @param state must outlive the server.
net::HttpServerOptions WithCallerBodies(net::HttpServerOptions options,
                                        const GatewayState& state);

}  // namespace nutmeghollow

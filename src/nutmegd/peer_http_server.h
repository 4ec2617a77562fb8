/// @file
/// Serves HTTP to other instances, on the peer address: the tables, see
/// PeerFeedServer, and requests that other instances forward.
#pragma once

#include <ev.h>

#include <cstddef>
#include <functional>
#include <memory>

#include "libnet/forwarded_request.h"
#include "libnet/http_server.h"
#include "nutmegd/gateway_state.h"
#include "nutmegd/peer_feed.h"

namespace nutmeghollow {

/// Handlers of requests.
struct PeerHttpHooks {
  FleetKeysHook m_keys;
  net::ForwardedRequestReader::ClockOffsets m_clock_offsets;
  std::function<void(const std::shared_ptr<net::HttpExchange>&)> m_feed;
  /// Called with the caller's request, as the sender received it.
  std::function<void(std::shared_ptr<net::HttpExchange>, net::ForwardedRequest)>
      m_forwarded;
};

/// Server on the peer address.
class PeerHttpServer {
 public:
  /// @param self this instance. @param state must outlive this object.
  /// @throws std::runtime_error when the endpoint cannot be listened on.
  PeerHttpServer(struct ev_loop* loop,
                 const Endpoint& endpoint,
                 const InstanceId& self,
                 const GatewayState& state,
                 PeerHttpHooks hooks);

  /// @return the bound port, which the system chooses for port 0.
  int Port() const { return m_server.Port(); }
  /// @return forwarded requests whose response is not written to its end.
  std::size_t OpenForwarded() const { return *m_open; }

 private:
  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);

  PeerHttpHooks m_hooks;
  net::ForwardedRequestReader m_reader;
  std::shared_ptr<std::size_t> m_open = std::make_shared<std::size_t>(0);
  net::HttpServer m_server;
};

}  // namespace nutmeghollow

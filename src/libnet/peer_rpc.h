/// @file
/// Calls between instances by Cap'n Proto RPC over TCP.
///
/// Used for requests that need a reply: configuration changes, reservations at
/// the owner of an upstream, and queries about claims. Both ends of a
/// connection are authenticated with the fleet key before any of these calls.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libnet/fleet_key.h"
#include "libnet/kj_event_port.h"
#include "libnet/kj_stream.h"
#include "nutmeghollow/claims.h"
#include "nutmeghollow/configuration.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// An owner's reply to a reservation request.
struct ReservationReply {
  bool m_granted = false;
  UpstreamId m_alternative;  ///< Another upstream to use; empty if none.
};

/// Handlers of calls from other instances. All of them must be set.
struct PeerServerHooks {
  /// @return the configuration changes after a revision.
  std::function<ConfigurationTransfer(Revision since)> m_fetch_configuration;
  /// Handles a reservation request. The reply may be sent later.
  std::function<void(const InstanceId& from,
                     const UpstreamId& upstream,
                     const RouteId& route,
                     std::function<void(const ReservationReply&)> reply)>
      m_reserve;
  /// @return the status of a claim made by this instance.
  std::function<ClaimQueryStatus(const std::string& row_key,
                                 const std::string& token)>
      m_query_claim;
};

/// Identity of this instance and the keys that authenticate it.
struct PeerIdentity {
  InstanceId m_self;
  FleetKeys m_keys;
  /// Source address "IP:0" of connections to other instances; empty for any.
  Endpoint m_source;
};

/// Limits of the server.
struct PeerServerOptions {
  int m_connection_limit = 1024;
  /// Time within which a new connection must authenticate.
  Duration m_authentication_timeout = std::chrono::seconds(2);
  /// A connection without a call for this long is closed. Opening a connection
  /// transfers more bytes than hours of keepalive.
  Duration m_idle_timeout = std::chrono::hours(1);
  /// Calls after which a connection is closed; the client opens a new one.
  std::uint64_t m_call_limit = 1'000'000;
};

/// Counters of the server.
struct PeerServerCounters {
  std::uint64_t m_accepted = 0;
  std::uint64_t m_refused = 0;          ///< Over the connection limit.
  std::uint64_t m_unauthenticated = 0;  ///< Invalid proof, or none in time.
  std::uint64_t m_calls = 0;
};

/// Serves calls from other instances on the peer address.
class PeerServer {
 public:
  /// @throws std::runtime_error when the address cannot be bound.
  PeerServer(KjLoop& loop,
             const Endpoint& endpoint,
             PeerIdentity identity,
             PeerServerHooks hooks,
             const PeerServerOptions& options = {});
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  const PeerServerCounters& Counters() const;
  /// @return bytes transferred since the start.
  const PeerTraffic& Traffic() const;
  int Connections() const;
  /// @return the bound port, useful when port 0 was requested.
  int Port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// The instance to call.
struct PeerAddress {
  InstanceId m_id;
  Endpoint m_endpoint;
};

/// Why a call failed.
enum class PeerFailure {
  kNone,
  /// No connection, it closed before the reply, or the reply was an error or
  /// invalid.
  kFailed,
  kTimeout,          ///< No reply in time; the connection is closed.
  kUnauthenticated,  ///< One end did not prove that it has the fleet key.
};

/// Result of a call. Failures are passed as values because Boost.LEAF errors
/// cannot propagate through the event loop.
template <typename Value>
struct PeerResult {
  std::optional<Value> m_value;  ///< Unset after a failure.
  PeerFailure m_failure = PeerFailure::kNone;
  std::string m_detail;
};

/// Invoked exactly once per call, always after the call has returned.
template <typename Value>
using PeerCallback = std::function<void(PeerResult<Value>)>;

/// Calls other instances. Keeps one connection open to each called instance.
class PeerClient {
 public:
  PeerClient(KjLoop& loop, PeerIdentity identity);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Fetches the configuration changes after a revision.
  void FetchConfiguration(const PeerAddress& peer,
                          Revision since,
                          Duration timeout,
                          PeerCallback<ConfigurationTransfer> callback);
  /// Requests a reservation from the owner of an upstream.
  void Reserve(const PeerAddress& peer,
               const UpstreamId& upstream,
               const RouteId& route,
               Duration timeout,
               PeerCallback<ReservationReply> callback);
  /// Queries a claimer about one of its claims.
  void QueryClaim(const PeerAddress& peer,
                  const std::string& row_key,
                  const std::string& token,
                  Duration timeout,
                  PeerCallback<ClaimQueryStatus> callback);

  /// @return bytes transferred since the start.
  const PeerTraffic& Traffic() const;
  /// @return the number of open connections.
  std::size_t Connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace nutmeghollow::net

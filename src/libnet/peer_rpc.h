/// @file
/// Calls between instances by Cap'n Proto RPC over TCP.
///
/// Used where a question needs an answer: differences of the configuration,
/// reservations at the owner of an engine, and questions about claims. Each
/// connection is authenticated with the fleet key before any of them.
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

/// The owner's answer to a request for a reservation.
struct ReservationReply {
  bool m_granted = false;
  UpstreamId m_alternative;  ///< Empty when there is none.
};

/// Answers the calls of other instances. All hooks must be set.
struct PeerServerHooks {
  /// @return what the caller lacks after a revision.
  std::function<ConfigurationTransfer(Revision since)> m_fetch_configuration;
  /// Decides on a reservation, now or later.
  std::function<void(const InstanceId& from,
                     const UpstreamId& upstream,
                     const RouteId& route,
                     std::function<void(const ReservationReply&)> reply)>
      m_reserve;
  /// @return what is true of a claim of this instance.
  std::function<ClaimQueryStatus(const std::string& row_key,
                                 const std::string& token)>
      m_query_claim;
};

/// Who this instance is and how it proves it.
struct PeerIdentity {
  InstanceId m_self;
  FleetKeys m_keys;
  /// "IP:0" that connections to others come from; empty for any.
  Endpoint m_source;
};

/// Limits of the server.
struct PeerServerOptions {
  int m_connection_limit = 1024;
  /// Time for a new connection to authenticate.
  Duration m_enter_timeout = std::chrono::seconds(2);
  /// A connection without a call for this long is closed. Opening one costs
  /// more bytes than hours of keepalive.
  Duration m_idle_timeout = std::chrono::hours(1);
  /// Calls after which a connection is closed; the client opens a new one.
  std::uint64_t m_call_limit = 1'000'000;
};

/// Counters of the server.
struct PeerServerCounters {
  std::uint64_t m_accepted = 0;
  std::uint64_t m_refused = 0;          ///< Over the connection limit.
  std::uint64_t m_unauthenticated = 0;  ///< Wrong proof, or none in time.
  std::uint64_t m_calls = 0;
};

/// Serves calls on the peer address.
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
  /// @return bytes moved since the start.
  const PeerTraffic& Traffic() const;
  int Connections() const;
  /// @return the port bound, useful after asking for port 0.
  int Port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Whom to call.
struct PeerAddress {
  InstanceId m_id;
  Endpoint m_endpoint;
};

/// Why a call has no answer.
enum class PeerFailure {
  kNone,
  kBroken,    ///< No connection, or it ended before the answer.
  kTimeout,   ///< No answer in time; the connection is given up.
  kRejected,  ///< One end did not prove that it holds the fleet key.
};

/// The end of a call. Errors cross the loop as values, where the error
/// handling of Boost.LEAF cannot reach.
template <typename Value>
struct PeerResult {
  std::optional<Value> m_value;  ///< Unset after a failure.
  PeerFailure m_failure = PeerFailure::kNone;
  std::string m_detail;
};

/// Called once per call, never before the call returns.
template <typename Value>
using PeerCallback = std::function<void(PeerResult<Value>)>;

/// Calls other instances and keeps one connection to each that it called.
class PeerClient {
 public:
  PeerClient(KjLoop& loop, PeerIdentity identity);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Asks for the configuration changes after a revision.
  void FetchConfiguration(const PeerAddress& peer,
                          Revision since,
                          Duration timeout,
                          PeerCallback<ConfigurationTransfer> callback);
  /// Asks an owner whether a request may be placed at its engine.
  void Reserve(const PeerAddress& peer,
               const UpstreamId& upstream,
               const RouteId& route,
               Duration timeout,
               PeerCallback<ReservationReply> callback);
  /// Asks a claimer about one of its claims.
  void QueryClaim(const PeerAddress& peer,
                  const std::string& row_key,
                  const std::string& token,
                  Duration timeout,
                  PeerCallback<ClaimQueryStatus> callback);

  /// @return bytes moved since the start.
  const PeerTraffic& Traffic() const;
  /// @return open connections.
  std::size_t Connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace nutmeghollow::net

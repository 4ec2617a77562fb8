/// @file
/// Joins the decision library with the other instances: datagrams, and calls
/// in both directions.
#pragma once

#include <ev.h>

#include <functional>
#include <map>
#include <memory>

#include "libnet/kj_event_port.h"
#include "libnet/peer_rpc.h"
#include "libnet/peer_transport.h"
#include "nutmegd/settings.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// Carries out the actions towards peers and fills the inboxes from them.
class PeerLink {
 public:
  /// @param world outlives this object; its membership has started.
  /// @param wake asks for a tick.
  /// @throws std::runtime_error when the peer address cannot be bound.
  PeerLink(struct ev_loop* loop,
           const Settings& settings,
           World* world,
           std::function<void()> wake);

  void Send(const SendDatagram& action);
  void Reserve(const ReserveAtOwner& action);
  void Answer(const SendReservationResponse& action);
  void Fetch(const FetchConfiguration& action);
  void Ask(const QueryClaimer& action);

  /// Notes the bytes that calls moved since the last time in the budget. They
  /// count as configuration while a transfer is under way, else as
  /// reservations, which are nearly all of the rest.
  void NoteTraffic(TimePoint now);

  /// @return datagrams from peers that were rejected.
  const net::PeerTransport& Transport() const { return m_transport; }

 private:
  using ReplyCallback = std::function<void(const net::ReservationReply&)>;

  net::PeerServerHooks MakeServerHooks();
  /// @return where to call an instance; nothing when it is not known.
  std::optional<net::PeerAddress> AddressOf(const InstanceId& id) const;

  World* m_world;
  std::function<void()> m_wake;
  net::KjLoop m_kj_loop;
  net::PeerTransport m_transport;
  net::PeerServer m_server;
  net::PeerClient m_client;
  std::map<ReservationId, ReplyCallback> m_open_reservations;
  std::uint64_t m_last_reservation = 0;
  net::PeerTraffic m_noted_traffic;
  int m_fetches = 0;         ///< Fetches of the configuration under way.
  int m_served_fetches = 0;  ///< Served since traffic was noted.
};

}  // namespace nutmeghollow

/// @file
/// Connects the decision library to the other instances by datagrams and by
/// calls in both directions.
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

/// Executes the actions of the decision library that address peers, and adds
/// what peers send to its inboxes.
class PeerLink {
 public:
  /// @param world must outlive this object; its membership has started.
  /// @param schedule_tick called after each addition to an inbox, to schedule
  /// a tick.
  /// @throws std::runtime_error when the peer address cannot be bound.
  PeerLink(struct ev_loop* loop,
           const Settings& settings,
           World* world,
           std::function<void()> schedule_tick);

  void Send(const SendDatagram& action);
  void Reserve(const ReserveAtOwner& action);
  void RespondToReservation(const SendReservationResponse& action);
  void StartConfigurationFetch(const FetchConfiguration& action);
  void QueryClaim(const QueryClaimer& action);

  /// Adds to the budget the bytes that peer calls have transferred since this
  /// function last ran. They count as configuration when a fetch of the
  /// configuration is in progress or was served in between, else as
  /// reservations, which are nearly all of the remaining traffic.
  void RecordTraffic(TimePoint now);

  /// @return the transport, whose counters include rejected datagrams.
  const net::PeerTransport& Transport() const { return m_transport; }

 private:
  using ReplyCallback = std::function<void(const net::ReservationReply&)>;

  net::PeerServerHooks MakeServerHooks();
  /// @return the address of an instance for calls; nullopt when not known.
  std::optional<net::PeerAddress> AddressOf(const InstanceId& id) const;

  World* m_world;
  std::function<void()> m_schedule_tick;
  net::KjLoop m_kj_loop;
  net::PeerTransport m_transport;
  net::PeerServer m_server;
  net::PeerClient m_client;
  std::map<ReservationId, ReplyCallback> m_open_reservations;
  std::uint64_t m_last_reservation_id = 0;
  net::PeerTraffic m_recorded_traffic;
  int m_fetches = 0;         ///< Fetches of the configuration in progress.
  int m_served_fetches = 0;  ///< Served since traffic was last recorded.
};

}  // namespace nutmeghollow

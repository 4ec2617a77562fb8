#include "nutmegd/peer_link.h"

#include <string>
#include <utility>

namespace nutmeghollow {
namespace {

/// Timeouts of the calls to peers.
constexpr Duration kFetchTimeout = std::chrono::seconds(2);
constexpr Duration kReserveTimeout = std::chrono::milliseconds(500);
constexpr Duration kClaimQueryTimeout = std::chrono::seconds(1);

net::DatagramSeal MakeSeal(const Settings& settings, const World& world) {
  const InstanceId& self = settings.m_instance.m_id;
  return {self, world.m_instances.Find(self)->m_incarnation,
          settings.m_fleet.m_keys};
}

/// Calls use the IP of the peer address as their source, so that peers and
/// firewalls see one address per instance.
net::PeerIdentity MakeIdentity(const Settings& settings) {
  const std::string& own = settings.m_instance.m_peer_address.str();
  net::PeerIdentity identity;
  identity.m_self = settings.m_instance.m_id;
  identity.m_keys = settings.m_fleet.m_keys;
  identity.m_source = Endpoint(own.substr(0, own.rfind(':')) + ":0");
  return identity;
}

}  // namespace

PeerLink::PeerLink(struct ev_loop* loop,
                   const Settings& settings,
                   World* world,
                   std::function<void()> schedule_tick)
    : m_world(world),
      m_schedule_tick(std::move(schedule_tick)),
      m_kj_loop(loop),
      m_transport(loop,
                  settings.m_instance.m_peer_address,
                  MakeSeal(settings, *world),
                  [this](ReceivedDatagram datagram) {
                    m_world->m_membership_inbox.m_datagrams.push_back(
                        std::move(datagram));
                    m_schedule_tick();
                  }),
      m_server(m_kj_loop,
               settings.m_instance.m_peer_address,
               MakeIdentity(settings),
               MakeServerHooks()),
      m_client(m_kj_loop, MakeIdentity(settings)) {}

net::PeerServerHooks PeerLink::MakeServerHooks() {
  net::PeerServerHooks hooks;
  hooks.m_fetch_configuration = [this](Revision since) {
    ++m_served_fetches;
    return MakeTransfer(*m_world, since);
  };
  hooks.m_reserve = [this](const InstanceId& from, const UpstreamId& upstream,
                           const RouteId& route, ReplyCallback reply) {
    const ReservationId id(++m_last_reservation_id);
    m_open_reservations[id] = std::move(reply);
    m_world->m_reservation_inbox.m_requests.push_back(
        {id, from, upstream, route});
    m_schedule_tick();
  };
  hooks.m_query_claim = [this](const std::string& row_key,
                               const std::string& token) {
    return HandleClaimQuery(*m_world, row_key, token);
  };
  return hooks;
}

std::optional<net::PeerAddress> PeerLink::AddressOf(
    const InstanceId& id) const {
  const InstanceRow* row = m_world->m_instances.Find(id);
  if (row == nullptr) {
    return std::nullopt;
  }
  return net::PeerAddress{id, row->m_peer_endpoint};
}

void PeerLink::Send(const SendDatagram& action) {
  m_transport.Send(action.m_to, action.m_endpoint, action.m_payload);
}

void PeerLink::Reserve(const ReserveAtOwner& action) {
  const auto peer = AddressOf(action.m_owner);
  if (!peer) {
    return;  // Placement decides without the owner after its timeout.
  }
  m_client.Reserve(
      *peer, action.m_upstream, action.m_route, kReserveTimeout,
      [this, action](const net::PeerResult<net::ReservationReply>& result) {
        if (!result.m_value) {
          return;
        }
        m_world->m_reservation_inbox.m_responses.push_back(
            {action.m_request, action.m_upstream, result.m_value->m_granted,
             result.m_value->m_alternative});
        m_schedule_tick();
      });
}

void PeerLink::RespondToReservation(const SendReservationResponse& action) {
  auto node = m_open_reservations.extract(action.m_reservation);
  if (!node.empty()) {
    node.mapped()({action.m_granted, action.m_alternative});
  }
}

void PeerLink::StartConfigurationFetch(const FetchConfiguration& action) {
  const auto peer = AddressOf(action.m_from);
  if (!peer) {
    return;  // The configuration system tries another peer after a timeout.
  }
  ++m_fetches;
  m_client.FetchConfiguration(
      *peer, action.m_since, kFetchTimeout,
      [this](net::PeerResult<ConfigurationTransfer> result) {
        --m_fetches;
        if (!result.m_value) {
          return;
        }
        m_world->m_configuration_inbox.m_transfers.push_back(
            std::move(*result.m_value));
        m_schedule_tick();
      });
}

void PeerLink::QueryClaim(const QueryClaimer& action) {
  const auto report = [this,
                       request = action.m_request](ClaimQueryStatus status) {
    m_world->m_claim_inbox.m_claimers.push_back({request, status});
    m_schedule_tick();
  };
  const auto peer = AddressOf(action.m_claimer);
  if (!peer) {
    report(ClaimQueryStatus::kUnreachable);
    return;
  }
  m_client.QueryClaim(
      *peer, action.m_claim_key, action.m_claim_token, kClaimQueryTimeout,
      [report](const net::PeerResult<ClaimQueryStatus>& result) {
        report(result.m_value.value_or(ClaimQueryStatus::kUnreachable));
      });
}

void PeerLink::RecordTraffic(TimePoint now) {
  const net::PeerTraffic& client = m_client.Traffic();
  const net::PeerTraffic& server = m_server.Traffic();
  const std::int64_t sent = client.m_sent + server.m_sent;
  const std::int64_t received = client.m_received + server.m_received;
  if (sent == m_recorded_traffic.m_sent &&
      received == m_recorded_traffic.m_received) {
    return;
  }
  const bool transferring = m_fetches > 0 || m_served_fetches > 0;
  RecordControlBytes(
      *m_world,
      transferring ? ControlClass::kConfiguration : ControlClass::kReservation,
      Bytes(sent - m_recorded_traffic.m_sent),
      Bytes(received - m_recorded_traffic.m_received), now);
  m_recorded_traffic.m_sent = sent;
  m_recorded_traffic.m_received = received;
  m_served_fetches = 0;
}

}  // namespace nutmeghollow

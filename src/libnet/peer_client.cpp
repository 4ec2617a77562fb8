#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/leaf/handle_errors.hpp>
#include <list>
#include <map>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/peer_messages.h"
#include "libnet/peer_rpc.h"
#include "libnet/socket_address.h"

namespace nutmeghollow::net {
namespace {

namespace leaf = boost::leaf;

using detail::AsData;
using detail::FromData;
using detail::FromText;

/// Starts a non-blocking connect.
/// @param source address to bind before connecting; empty for any.
/// @return the descriptor of the connecting socket, or -1 on failure.
int StartConnect(const Endpoint& endpoint, const Endpoint& source) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(address, ParseEndpoint(endpoint));
        SocketAddress from;
        if (!source.empty()) {
          BOOST_LEAF_ASSIGN(from, ParseEndpoint(source));
        }
        const int descriptor =
            socket(address.m_storage.ss_family,
                   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (descriptor < 0) {
          return -1;
        }
        SetPeerSocketOptions(descriptor);
        const bool bound =
            source.empty() || bind(descriptor, from.Get(), from.m_size) == 0;
        if (!bound ||
            (connect(descriptor, address.Get(), address.m_size) != 0 &&
             errno != EINPROGRESS)) {
          close(descriptor);
          return -1;
        }
        return descriptor;
      },
      []() { return -1; });
}

/// @throws kj::Exception when the server's proof is invalid.
void RequireProof(bool valid) {
  KJ_REQUIRE(valid, "server sent an invalid proof");
}

/// @throws kj::Exception when the value is not a status that a claimer sends.
ClaimQueryStatus ParseClaimQueryStatus(int value) {
  KJ_REQUIRE(value < static_cast<int>(ClaimQueryStatus::kUnreachable),
             "unknown claim query status");
  return static_cast<ClaimQueryStatus>(value);
}

/// A connection that starts with the authentication of both ends. Calls wait
/// until it has completed.
class ClientConnection {
 public:
  ClientConnection(struct ev_loop* loop,
                   int descriptor,
                   const PeerIdentity& identity,
                   const PeerAddress& peer,
                   PeerTraffic* traffic)
      : m_endpoint(peer.m_endpoint),
        m_stream(loop, descriptor, traffic),
        m_network(m_stream,
                  capnp::rpc::twoparty::Side::CLIENT,
                  detail::MessageLimits()),
        m_rpc(capnp::makeRpcClient(m_network)),
        m_peer(Authenticate(identity, peer.m_id).fork()),
        m_ended(m_network.onDisconnect()
                    .then([this] { m_broken = true; },
                          [this](kj::Exception&&) { m_broken = true; })
                    .eagerlyEvaluate(nullptr)) {}

  /// @return the RPC interface of the peer, once both ends are authenticated.
  kj::Promise<wire::Peer::Client> Peer() { return m_peer.addBranch(); }
  bool Broken() const { return m_broken; }
  void SetBroken() { m_broken = true; }
  bool AuthenticationFailed() const { return m_authentication_failed; }
  const Endpoint& PeerEndpoint() const { return m_endpoint; }

 private:
  kj::Promise<wire::Peer::Client> Authenticate(const PeerIdentity& identity,
                                               const InstanceId& server) {
    capnp::MallocMessageBuilder builder(4);
    auto vat_id = builder.getRoot<capnp::rpc::twoparty::VatId>();
    vat_id.setSide(capnp::rpc::twoparty::Side::SERVER);
    auto gate = m_rpc.bootstrap(vat_id).castAs<wire::Gate>();
    return gate.challengeRequest().send().then([this, gate, &identity, server](
                                                   auto&& response) mutable {
      return SendProof(gate, identity, server, FromData(response.getNonce()));
    });
  }

  kj::Promise<wire::Peer::Client> SendProof(wire::Gate::Client& gate,
                                            const PeerIdentity& identity,
                                            const InstanceId& server,
                                            std::string server_nonce) {
    const detail::PeerHandshake handshake{
        .m_client = identity.m_self,
        .m_server = server,
        .m_client_nonce = RandomBytes(detail::kNonceSize),
        .m_server_nonce = std::move(server_nonce)};
    const Mac proof = ComputeMac(identity.m_keys.m_keys.front(),
                                 detail::ClientProofText(handshake));
    auto request = gate.enterRequest();
    request.setSender(identity.m_self.str());
    request.setNonce(AsData(handshake.m_client_nonce));
    request.setProof(kj::arrayPtr(proof.data(), proof.size()));
    return request.send().then(
        [this, &identity, handshake](auto&& response) {
          m_authentication_failed =
              !VerifyMac(identity.m_keys, detail::ServerProofText(handshake),
                         FromData(response.getProof()));
          RequireProof(!m_authentication_failed);
          return response.getPeer();
        },
        [this](kj::Exception&& exception) -> wire::Peer::Client {
          // FAILED is an error reply of the server: it did not accept the
          // proof.
          m_authentication_failed =
              exception.getType() == kj::Exception::Type::FAILED;
          kj::throwFatalException(kj::mv(exception));
        });
  }

  Endpoint m_endpoint;
  bool m_broken = false;
  bool m_authentication_failed = false;
  KjStream m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
  kj::ForkedPromise<wire::Peer::Client> m_peer;
  kj::Promise<void> m_ended;
};

/// A call in progress. It ends exactly once: with a reply, an error or a
/// timeout.
struct PendingCall {
  std::shared_ptr<ClientConnection> m_connection;
  kj::Promise<void> m_promise = nullptr;
  std::unique_ptr<Timer> m_timer;
  std::function<void(PeerFailure, const std::string&)> m_on_failure;
};

}  // namespace

class PeerClient::Impl {
 public:
  Impl(KjLoop& loop, PeerIdentity identity)
      : m_loop(loop.Loop()),
        m_identity(std::move(identity)),
        m_cleanup_timer(m_loop, [this] { CleanUp(); }) {}

  /// Starts a call.
  /// @param send sends the request to the peer and returns a promise of the
  ///     reply's value.
  template <typename Value, typename Send>
  void Call(const PeerAddress& peer,
            Duration timeout,
            PeerCallback<Value> callback,
            Send send) {
    const auto call = m_calls.emplace(m_calls.end());
    call->m_on_failure = [callback](PeerFailure failure,
                                    const std::string& detail) {
      callback(PeerResult<Value>{.m_failure = failure, .m_detail = detail});
    };
    call->m_timer =
        std::make_unique<Timer>(m_loop, [this, call] { HandleTimeout(call); });
    call->m_timer->Start(timeout);
    call->m_connection = Connect(peer);
    if (call->m_connection == nullptr) {
      call->m_timer->Start(Duration::zero());
      return;
    }
    call->m_promise =
        call->m_connection->Peer()
            .then([send = std::move(send)](wire::Peer::Client&& remote) {
              return send(remote);
            })
            .then(
                [this, call, callback](Value&& value) {
                  Finish(call);
                  callback(PeerResult<Value>{.m_value = std::move(value)});
                },
                [this, call](kj::Exception&& exception) {
                  HandleError(call, exception);
                })
            .eagerlyEvaluate(nullptr);
  }

  const PeerTraffic& Traffic() const { return m_traffic; }
  std::size_t Connections() const { return m_connections.size(); }

 private:
  using CallList = std::list<PendingCall>;

  /// @return the open connection to a peer, or a new one; null when the
  /// connect cannot be started.
  std::shared_ptr<ClientConnection> Connect(const PeerAddress& peer) {
    auto found = m_connections.find(peer.m_id);
    if (found != m_connections.end() && !found->second->Broken() &&
        found->second->PeerEndpoint() == peer.m_endpoint) {
      return found->second;
    }
    Drop(peer.m_id);
    const int descriptor = StartConnect(peer.m_endpoint, m_identity.m_source);
    if (descriptor < 0) {
      return nullptr;
    }
    auto connection = std::make_shared<ClientConnection>(
        m_loop, descriptor, m_identity, peer, &m_traffic);
    m_connections[peer.m_id] = connection;
    return connection;
  }

  void Drop(const InstanceId& peer) {
    auto found = m_connections.find(peer);
    if (found != m_connections.end()) {
      m_old_connections.push_back(std::move(found->second));
      m_connections.erase(found);
      m_cleanup_timer.Start(Duration::zero());
    }
  }

  /// Ends a call. It is freed by the next cleanup, since this function may run
  /// within one of the call's own callbacks.
  void Finish(CallList::iterator call) {
    call->m_timer->Stop();
    m_ended.splice(m_ended.end(), m_calls, call);
    m_cleanup_timer.Start(Duration::zero());
  }

  void HandleTimeout(CallList::iterator call) {
    const bool connected = call->m_connection != nullptr;
    if (connected) {
      // The peer is unresponsive; the next call opens a new connection.
      call->m_connection->SetBroken();
    }
    call->m_promise = nullptr;  // Discards a late reply.
    Finish(call);
    call->m_on_failure(connected ? PeerFailure::kTimeout : PeerFailure::kFailed,
                       connected ? "timed out" : "cannot start the connection");
  }

  void HandleError(CallList::iterator call, const kj::Exception& exception) {
    call->m_connection->SetBroken();
    const bool unauthenticated = call->m_connection->AuthenticationFailed();
    Finish(call);
    call->m_on_failure(
        unauthenticated ? PeerFailure::kUnauthenticated : PeerFailure::kFailed,
        std::string(exception.getDescription().cStr()));
  }

  /// Frees ended calls and closed connections. The calls come first because
  /// they use the connections.
  void CleanUp() {
    m_ended.clear();
    m_old_connections.clear();
    std::erase_if(m_connections,
                  [](const auto& entry) { return entry.second->Broken(); });
  }

  struct ev_loop* m_loop;
  PeerIdentity m_identity;
  PeerTraffic m_traffic;
  std::map<InstanceId, std::shared_ptr<ClientConnection>> m_connections;
  std::list<std::shared_ptr<ClientConnection>> m_old_connections;
  CallList m_calls;
  CallList m_ended;
  Timer m_cleanup_timer;
};

PeerClient::PeerClient(KjLoop& loop, PeerIdentity identity)
    : m_impl(std::make_unique<Impl>(loop, std::move(identity))) {}

PeerClient::~PeerClient() = default;

void PeerClient::FetchConfiguration(
    const PeerAddress& peer,
    Revision since,
    Duration timeout,
    PeerCallback<ConfigurationTransfer> callback) {
  m_impl->Call<ConfigurationTransfer>(
      peer, timeout, std::move(callback), [since](wire::Peer::Client& remote) {
        auto request = remote.fetchConfigurationRequest();
        request.setSince(since.value());
        return request.send().then([](auto&& response) {
          return detail::ReadTransfer(response.getTransfer());
        });
      });
}

void PeerClient::Reserve(const PeerAddress& peer,
                         const UpstreamId& upstream,
                         const RouteId& route,
                         Duration timeout,
                         PeerCallback<ReservationReply> callback) {
  m_impl->Call<ReservationReply>(
      peer, timeout, std::move(callback),
      [upstream, route](wire::Peer::Client& remote) {
        auto request = remote.reserveRequest();
        request.setUpstream(upstream.str());
        request.setRoute(route.str());
        return request.send().then([](auto&& response) {
          return ReservationReply{
              .m_granted = response.getGranted(),
              .m_alternative = UpstreamId(FromText(response.getAlternative()))};
        });
      });
}

void PeerClient::QueryClaim(const PeerAddress& peer,
                            const std::string& row_key,
                            const std::string& token,
                            Duration timeout,
                            PeerCallback<ClaimQueryStatus> callback) {
  m_impl->Call<ClaimQueryStatus>(
      peer, timeout, std::move(callback),
      [row_key, token](wire::Peer::Client& remote) {
        auto request = remote.askClaimRequest();
        request.setRowKey(row_key);
        request.setToken(token);
        return request.send().then([](auto&& response) {
          return ParseClaimQueryStatus(response.getAnswer());
        });
      });
}

const PeerTraffic& PeerClient::Traffic() const {
  return m_impl->Traffic();
}

std::size_t PeerClient::Connections() const {
  return m_impl->Connections();
}

}  // namespace nutmeghollow::net

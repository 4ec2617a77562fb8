#include <capnp/rpc-twoparty.h>
#include <sys/socket.h>
#include <unistd.h>

#include <limits>
#include <list>
#include <stdexcept>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/peer_messages.h"
#include "libnet/peer_rpc.h"
#include "libnet/socket_address.h"

namespace nutmeghollow::net {
namespace {

using detail::AsData;
using detail::FromData;
using detail::FromText;

/// Bytes that a client may send before it has authenticated.
constexpr std::uint64_t kMaxUnauthenticatedBytes = 16 * 1024;
/// Words of calls in flight on one connection.
constexpr std::uint64_t kMaxInFlightWords = 64 * 1024;
/// Connections accepted in one iteration of the event loop.
constexpr int kMaxAcceptsPerIteration = 32;
constexpr std::size_t kMaxHandshakeIdBytes = 1024;
/// Time for the error reply to reach an unauthenticated client before its
/// connection is closed.
constexpr Duration kRejectionCloseDelay = std::chrono::milliseconds(50);

struct ServerState {
  PeerIdentity m_identity;
  PeerServerHooks m_hooks;
  PeerServerOptions m_options;
  PeerServerCounters m_counters;
  PeerTraffic m_traffic;
};

/// State of a connection, shared by its capabilities.
struct ConnectionState {
  InstanceId m_client;
  bool m_authenticated = false;
  std::uint64_t m_calls = 0;
  std::function<void()> m_on_activity;
  std::function<void()> m_on_invalid_proof;
};

class PeerImpl final : public wire::Peer::Server {
 public:
  PeerImpl(ServerState& server, std::shared_ptr<ConnectionState> connection)
      : m_server(server), m_connection(std::move(connection)) {}

 protected:
  kj::Promise<void> fetchConfiguration(
      FetchConfigurationContext context) override {
    RecordCall();
    const Revision since(context.getParams().getSince());
    detail::WriteTransfer(context.getResults().initTransfer(),
                          m_server.m_hooks.m_fetch_configuration(since));
    return kj::READY_NOW;
  }

  kj::Promise<void> reserve(ReserveContext context) override {
    RecordCall();
    auto params = context.getParams();
    const UpstreamId upstream(FromText(params.getUpstream()));
    const RouteId route(FromText(params.getRoute()));
    auto pending = kj::newPromiseAndFulfiller<ReservationReply>();
    // A std::function must be copyable, which the fulfiller is not.
    auto fulfiller =
        std::make_shared<kj::Own<kj::PromiseFulfiller<ReservationReply>>>(
            kj::mv(pending.fulfiller));
    m_server.m_hooks.m_reserve(m_connection->m_client, upstream, route,
                               [fulfiller](const ReservationReply& reply) {
                                 (*fulfiller)->fulfill(ReservationReply(reply));
                               });
    return pending.promise.then([context](ReservationReply&& reply) mutable {
      context.getResults().setGranted(reply.m_granted);
      context.getResults().setAlternative(reply.m_alternative.str());
    });
  }

  kj::Promise<void> askClaim(AskClaimContext context) override {
    RecordCall();
    auto params = context.getParams();
    const ClaimQueryStatus status = m_server.m_hooks.m_query_claim(
        FromText(params.getRowKey()), FromText(params.getToken()));
    context.getResults().setAnswer(static_cast<std::uint8_t>(status));
    return kj::READY_NOW;
  }

 private:
  void RecordCall() {
    ++m_server.m_counters.m_calls;
    ++m_connection->m_calls;
    m_connection->m_on_activity();
  }

  ServerState& m_server;
  std::shared_ptr<ConnectionState> m_connection;
};

class GateImpl final : public wire::Gate::Server {
 public:
  GateImpl(ServerState& server, std::shared_ptr<ConnectionState> connection)
      : m_server(server),
        m_connection(std::move(connection)),
        m_nonce(RandomBytes(detail::kNonceSize)) {}

 protected:
  kj::Promise<void> challenge(ChallengeContext context) override {
    context.getResults().setNonce(AsData(m_nonce));
    return kj::READY_NOW;
  }

  kj::Promise<void> enter(EnterContext context) override {
    auto params = context.getParams();
    const detail::PeerHandshake handshake{
        .m_client = InstanceId(FromText(params.getSender())),
        .m_server = m_server.m_identity.m_self,
        .m_client_nonce = FromData(params.getNonce()),
        .m_server_nonce = std::exchange(m_nonce, {})};
    const bool nonce_used = handshake.m_server_nonce.empty();
    if (nonce_used || handshake.m_client.str().size() > kMaxHandshakeIdBytes ||
        !VerifyMac(m_server.m_identity.m_keys,
                   detail::ClientProofText(handshake),
                   FromData(params.getProof()))) {
      m_connection->m_on_invalid_proof();
      return KJ_EXCEPTION(FAILED, "wrong proof");
    }
    m_connection->m_client = handshake.m_client;
    m_connection->m_authenticated = true;
    m_connection->m_on_activity();
    const Mac proof = ComputeMac(m_server.m_identity.m_keys.m_keys.front(),
                                 detail::ServerProofText(handshake));
    auto results = context.getResults();
    results.setProof(kj::arrayPtr(proof.data(), proof.size()));
    results.setPeer(kj::heap<PeerImpl>(m_server, m_connection));
    return kj::READY_NOW;
  }

 private:
  ServerState& m_server;
  std::shared_ptr<ConnectionState> m_connection;
  std::string m_nonce;
};

/// A connection accepted from a client.
class ServerConnection {
 public:
  ServerConnection(struct ev_loop* loop,
                   int descriptor,
                   ServerState& server,
                   std::function<void()> on_end)
      : m_server(server),
        m_on_end(std::move(on_end)),
        m_state(std::make_shared<ConnectionState>()),
        m_stream(loop, descriptor, &server.m_traffic),
        m_network(m_stream,
                  capnp::rpc::twoparty::Side::SERVER,
                  detail::MessageLimits()),
        m_rpc(capnp::makeRpcServer(m_network,
                                   kj::heap<GateImpl>(server, m_state))),
        m_timer(loop, [this] { HandleTimeout(); }),
        m_ended(m_network.onDisconnect()
                    .then([this] { m_on_end(); },
                          [this](kj::Exception&&) { m_on_end(); })
                    .eagerlyEvaluate(nullptr)) {
    m_rpc.setFlowLimit(kMaxInFlightWords);
    m_stream.SetReceiveLimit(kMaxUnauthenticatedBytes);
    m_state->m_on_activity = [this] { HandleActivity(); };
    m_state->m_on_invalid_proof = [this] { HandleInvalidProof(); };
    m_timer.Start(server.m_options.m_authentication_timeout);
  }
  ~ServerConnection() {
    m_state->m_on_activity = [] {};
  }
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

 private:
  void HandleActivity() {
    m_stream.SetReceiveLimit(std::numeric_limits<std::uint64_t>::max());
    m_timer.Start(m_state->m_calls >= m_server.m_options.m_call_limit
                      ? Duration::zero()
                      : m_server.m_options.m_idle_timeout);
  }

  void HandleInvalidProof() {
    if (!m_state->m_authenticated && !m_proof_rejected) {
      m_proof_rejected = true;
      ++m_server.m_counters.m_unauthenticated;
      m_timer.Start(kRejectionCloseDelay);
    }
  }

  void HandleTimeout() {
    if (!m_state->m_authenticated && !m_proof_rejected) {
      ++m_server.m_counters.m_unauthenticated;
    }
    m_on_end();
  }

  ServerState& m_server;
  std::function<void()> m_on_end;
  std::shared_ptr<ConnectionState> m_state;
  bool m_proof_rejected = false;
  KjStream m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
  Timer m_timer;
  kj::Promise<void> m_ended;
};

}  // namespace

class PeerServer::Impl {
 public:
  Impl(KjLoop& loop,
       const Endpoint& endpoint,
       PeerIdentity identity,
       PeerServerHooks hooks,
       const PeerServerOptions& options)
      : m_loop(loop.Loop()),
        m_state{.m_identity = std::move(identity),
                .m_hooks = std::move(hooks),
                .m_options = options},
        m_descriptor(BindSocket(endpoint, SOCK_STREAM)),
        m_cleanup_timer(m_loop, [this] { m_ended.clear(); }),
        m_watcher(m_loop, m_descriptor, EV_READ, [this](int) { AcceptAll(); }) {
  }

  ~Impl() { close(m_descriptor); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  const ServerState& State() const { return m_state; }
  int Connections() const { return static_cast<int>(m_connections.size()); }
  int Descriptor() const { return m_descriptor; }

 private:
  using ConnectionList = std::list<std::unique_ptr<ServerConnection>>;

  void AcceptAll() {
    for (int i = 0; i < kMaxAcceptsPerIteration; ++i) {
      const int descriptor =
          accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (descriptor < 0) {
        return;
      }
      if (Connections() >= m_state.m_options.m_connection_limit) {
        ++m_state.m_counters.m_refused;
        close(descriptor);
        continue;
      }
      SetPeerSocketOptions(descriptor);
      ++m_state.m_counters.m_accepted;
      const auto entry = m_connections.insert(m_connections.end(), nullptr);
      *entry = std::make_unique<ServerConnection>(
          m_loop, descriptor, m_state, [this, entry] { End(entry); });
    }
  }

  /// Removes a connection. It is freed later, since this function may run
  /// within one of the connection's own callbacks.
  void End(ConnectionList::iterator entry) {
    if (*entry == nullptr) {
      return;
    }
    m_ended.push_back(std::move(*entry));
    m_connections.erase(entry);
    m_cleanup_timer.Start(Duration::zero());
  }

  struct ev_loop* m_loop;
  ServerState m_state;
  int m_descriptor;
  ConnectionList m_connections;
  ConnectionList m_ended;
  Timer m_cleanup_timer;
  DescriptorWatcher m_watcher;
};

PeerServer::PeerServer(KjLoop& loop,
                       const Endpoint& endpoint,
                       PeerIdentity identity,
                       PeerServerHooks hooks,
                       const PeerServerOptions& options)
    : m_impl(std::make_unique<Impl>(loop,
                                    endpoint,
                                    std::move(identity),
                                    std::move(hooks),
                                    options)) {}

PeerServer::~PeerServer() = default;

const PeerServerCounters& PeerServer::Counters() const {
  return m_impl->State().m_counters;
}

const PeerTraffic& PeerServer::Traffic() const {
  return m_impl->State().m_traffic;
}

int PeerServer::Connections() const {
  return m_impl->Connections();
}

int PeerServer::Port() const {
  SocketAddress address;
  address.m_size = sizeof(address.m_storage);
  getsockname(m_impl->Descriptor(),
              reinterpret_cast<sockaddr*>(&address.m_storage), &address.m_size);
  const auto* ip4 = reinterpret_cast<const sockaddr_in*>(&address.m_storage);
  return ntohs(ip4->sin_port);  // Same offset in sockaddr_in and sockaddr_in6.
}

}  // namespace nutmeghollow::net

#include "libnet/peer_rpc.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

#include "libnet/event_loop.h"
#include "libnet/socket_address.h"

namespace nutmeghollow::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const InstanceId kServerId("inst-server");
const InstanceId kClientId("inst-client");
const Endpoint kAnyPort("127.0.0.1:0");

FleetKeys Keys(char fill) {
  return FleetKeys{{std::string(32, fill)}};
}

ConfigurationTransfer SampleTransfer() {
  return {.m_revision = Revision(9),
          .m_whole = true,
          .m_changes = {{Revision(8), {ObjectKind::kRoute, "r"}, "{\"a\":1}"},
                        {Revision(9), {ObjectKind::kCustomer, "c"}, {}}}};
}

class PeerRpc : public ::testing::Test {
 protected:
  PeerRpc() : m_loop(ev_loop_new(0)), m_kj_loop(m_loop) {
    m_hooks.m_fetch_configuration = [](Revision) { return SampleTransfer(); };
    m_hooks.m_reserve = [this](const InstanceId& from, const UpstreamId& id,
                               const RouteId&, auto reply) {
      m_reservation_from = from;
      if (id == UpstreamId("silent")) {
        m_late_reply = reply;
      } else {
        reply({.m_granted = id == UpstreamId("free"),
               .m_alternative = UpstreamId("other")});
      }
    };
    m_hooks.m_query_claim = [](const std::string& key, const std::string&) {
      return key == "mine" ? ClaimQueryStatus::kNotDispatched
                           : ClaimQueryStatus::kForeignToken;
    };
  }

  void StartServer(const PeerServerOptions& options = {}) {
    m_server = std::make_unique<PeerServer>(m_kj_loop, kAnyPort,
                                            PeerIdentity{kServerId, Keys('k')},
                                            m_hooks, options);
  }

  PeerAddress ServerAddress() const {
    return {kServerId,
            Endpoint("127.0.0.1:" + std::to_string(m_server->Port()))};
  }

  /// Runs the loop until a condition holds, for at most 20 seconds.
  bool RunUntil(const std::function<bool()>& condition) {
    const TimePoint limit = BootTime() + seconds(20);
    Timer wake(m_loop, [] {});
    wake.StartRepeating(milliseconds(5));
    while (!condition() && BootTime() < limit) {
      ev_run(m_loop, EVRUN_ONCE);
    }
    return condition();
  }

  /// Requests a reservation and waits for the result.
  PeerResult<ReservationReply> Reserve(PeerClient& client,
                                       const PeerAddress& peer,
                                       const char* upstream,
                                       Duration timeout = seconds(10)) {
    std::optional<PeerResult<ReservationReply>> result;
    client.Reserve(peer, UpstreamId(upstream), RouteId("r"), timeout,
                   [&result](auto received) { result = std::move(received); });
    EXPECT_FALSE(result.has_value());
    EXPECT_TRUE(RunUntil([&result] { return result.has_value(); }));
    return std::move(result).value_or(PeerResult<ReservationReply>{});
  }

  int OpenSocket() const {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(m_server->Port()));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)),
              0);
    return descriptor;
  }

  struct ev_loop* m_loop;
  KjLoop m_kj_loop;
  PeerServerHooks m_hooks;
  std::unique_ptr<PeerServer> m_server;
  InstanceId m_reservation_from;
  std::function<void(const ReservationReply&)> m_late_reply;
};

TEST_F(PeerRpc, CarriesEachKindOfCallOverOneConnection) {
  StartServer();
  PeerClient client(m_kj_loop, {kClientId, Keys('k')});
  std::optional<ConfigurationTransfer> transfer;
  client.FetchConfiguration(
      ServerAddress(), Revision(3), seconds(10),
      [&transfer](auto result) { transfer = std::move(result.m_value); });
  std::optional<ClaimQueryStatus> claim;
  client.QueryClaim(ServerAddress(), "mine", "token", seconds(10),
                    [&claim](auto result) { claim = result.m_value; });
  const auto granted = Reserve(client, ServerAddress(), "free");
  const auto refused = Reserve(client, ServerAddress(), "full");
  ASSERT_TRUE(RunUntil([&] { return transfer && claim; }));
  EXPECT_EQ(transfer->m_revision, Revision(9));
  EXPECT_TRUE(transfer->m_whole);
  ASSERT_EQ(transfer->m_changes.size(), 2U);
  EXPECT_EQ(transfer->m_changes[0].m_key, (ObjectKey{ObjectKind::kRoute, "r"}));
  EXPECT_EQ(transfer->m_changes[0].m_json, "{\"a\":1}");
  EXPECT_EQ(transfer->m_changes[1].m_json, std::nullopt);
  EXPECT_EQ(claim, ClaimQueryStatus::kNotDispatched);
  ASSERT_TRUE(granted.m_value && refused.m_value);
  EXPECT_TRUE(granted.m_value->m_granted);
  EXPECT_FALSE(refused.m_value->m_granted);
  EXPECT_EQ(refused.m_value->m_alternative, UpstreamId("other"));
  EXPECT_EQ(m_reservation_from, kClientId);
  EXPECT_EQ(m_server->Counters().m_accepted, 1U);
  EXPECT_GT(client.Traffic().m_sent, 0);
}

TEST_F(PeerRpc, CarriesAFullConfigurationOfTheDesignSize) {
  m_hooks.m_fetch_configuration = [](Revision) {
    ConfigurationTransfer transfer{.m_revision = Revision(5000),
                                   .m_whole = true};
    for (std::uint64_t i = 0; i < 2500; ++i) {
      transfer.m_changes.push_back({Revision(i),
                                    {ObjectKind::kCustomer, std::to_string(i)},
                                    std::string(500, 'x')});
    }
    return transfer;
  };
  StartServer();
  PeerClient client(m_kj_loop, {kClientId, Keys('k')});
  std::optional<PeerResult<ConfigurationTransfer>> result;
  client.FetchConfiguration(
      ServerAddress(), Revision(0), seconds(10),
      [&result](auto received) { result = std::move(received); });
  ASSERT_TRUE(RunUntil([&] { return result.has_value(); }));
  ASSERT_TRUE(result->m_value) << result->m_detail;
  EXPECT_EQ(result->m_value->m_changes.size(), 2500U);
}

struct UnauthenticatedCase {
  const char* m_name;
  char m_key;
  InstanceId m_expected_server;
};

class Unauthenticated
    : public PeerRpc,
      public ::testing::WithParamInterface<UnauthenticatedCase> {};

TEST_P(Unauthenticated, IsRejected) {
  StartServer();
  PeerClient client(m_kj_loop, {kClientId, Keys(GetParam().m_key)});
  PeerAddress address = ServerAddress();
  address.m_id = GetParam().m_expected_server;
  const auto result = Reserve(client, address, "free");
  EXPECT_EQ(result.m_failure, PeerFailure::kUnauthenticated) << result.m_detail;
  EXPECT_TRUE(m_reservation_from.empty());
  EXPECT_TRUE(RunUntil([this] { return m_server->Connections() == 0; }));
  EXPECT_EQ(m_server->Counters().m_unauthenticated, 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Unauthenticated,
    ::testing::Values(UnauthenticatedCase{"OtherKey", 'z', kServerId},
                      UnauthenticatedCase{"ProofForAnotherServer", 'k',
                                          InstanceId("inst-other")}),
    [](const auto& info) { return info.param.m_name; });

TEST_F(PeerRpc, TimesOutOnAnUnresponsivePeerAndOpensANewConnection) {
  StartServer();
  PeerClient client(m_kj_loop, {kClientId, Keys('k')});
  const auto silent =
      Reserve(client, ServerAddress(), "silent", milliseconds(300));
  EXPECT_EQ(silent.m_failure, PeerFailure::kTimeout);
  // A late reply must not be delivered.
  m_late_reply({.m_granted = true});
  const auto next = Reserve(client, ServerAddress(), "free");
  EXPECT_TRUE(next.m_value);
  EXPECT_EQ(m_server->Counters().m_accepted, 2U);
}

TEST_F(PeerRpc, ReconnectsAfterTheServerRestarted) {
  StartServer();
  const PeerAddress address = ServerAddress();
  PeerClient client(m_kj_loop, {kClientId, Keys('k')});
  EXPECT_TRUE(Reserve(client, address, "free").m_value);
  m_server.reset();
  EXPECT_EQ(Reserve(client, address, "free").m_failure, PeerFailure::kFailed);
  m_server =
      std::make_unique<PeerServer>(m_kj_loop, address.m_endpoint,
                                   PeerIdentity{kServerId, Keys('k')}, m_hooks);
  EXPECT_TRUE(Reserve(client, address, "free").m_value);
}

struct UnreachableCase {
  const char* m_name;
  const char* m_endpoint;
};

class Unreachable : public PeerRpc,
                    public ::testing::WithParamInterface<UnreachableCase> {};

TEST_P(Unreachable, ReportsAFailedCall) {
  PeerClient client(m_kj_loop, {kClientId, Keys('k')});
  const auto result =
      Reserve(client, {kServerId, Endpoint(GetParam().m_endpoint)}, "free");
  EXPECT_EQ(result.m_failure, PeerFailure::kFailed);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Unreachable,
    ::testing::Values(UnreachableCase{"NothingListens", "127.0.0.1:1"},
                      UnreachableCase{"NotAnEndpoint", "nowhere"}),
    [](const auto& info) { return info.param.m_name; });

TEST_F(PeerRpc, ClosesConnectionsThatDoNotAuthenticate) {
  StartServer({.m_authentication_timeout = milliseconds(100)});
  const int descriptor = OpenSocket();
  EXPECT_TRUE(RunUntil([this] { return m_server->Connections() == 1; }));
  EXPECT_TRUE(RunUntil([this] { return m_server->Connections() == 0; }));
  EXPECT_EQ(m_server->Counters().m_unauthenticated, 1U);
  close(descriptor);
}

TEST_F(PeerRpc, SurvivesRandomBytes) {
  StartServer();
  std::mt19937_64 random(3);
  for (int i = 0; i < 100; ++i) {
    std::string noise(1 + random() % 400, '\0');
    for (char& byte : noise) {
      byte = static_cast<char>(random());
    }
    const int descriptor = OpenSocket();
    EXPECT_GT(send(descriptor, noise.data(), noise.size(), MSG_NOSIGNAL), 0);
    close(descriptor);
    ev_run(m_loop, EVRUN_NOWAIT);
  }
  EXPECT_TRUE(RunUntil([this] { return m_server->Connections() == 0; }));
  PeerClient client(m_kj_loop, {kClientId, Keys('k')});
  EXPECT_TRUE(Reserve(client, ServerAddress(), "free").m_value);
}

TEST_F(PeerRpc, ClosesUnauthenticatedConnectionsAboveTheReceiveLimit) {
  StartServer();
  const int descriptor = OpenSocket();
  // Start of a well-formed message with one segment of 64 KiB.
  std::string message(8 + 64 * 1024, '\0');
  message[5] = '\x20';
  EXPECT_GT(send(descriptor, message.data(), message.size(), MSG_NOSIGNAL), 0);
  EXPECT_TRUE(RunUntil([this] { return m_server->Connections() == 1; }));
  EXPECT_TRUE(RunUntil([this] { return m_server->Connections() == 0; }));
  close(descriptor);
}

TEST_F(PeerRpc, RefusesConnectionsAboveItsLimit) {
  StartServer({.m_connection_limit = 1});
  const int descriptor = OpenSocket();
  EXPECT_TRUE(RunUntil([this] { return m_server->Connections() == 1; }));
  PeerClient client(m_kj_loop, {kClientId, Keys('k')});
  const auto result = Reserve(client, ServerAddress(), "free");
  EXPECT_EQ(result.m_failure, PeerFailure::kFailed);
  EXPECT_EQ(m_server->Counters().m_refused, 1U);
  close(descriptor);
}

}  // namespace
}  // namespace nutmeghollow::net

// Tests of following the platform's tables through another instance, over
// loopback.
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "nutmegd/peer_feed.h"
#include "nutmegd/peer_feed_format.h"
#include "nutmegd/peer_http_server.h"
#include "nutmegd/table_follower_for_test.h"

namespace nutmeghollow {
namespace {

using net::FeedRow;
using net::FeedStatus;
using net::FeedVersion;
using std::chrono::milliseconds;

/// Follows the table through the follower of the base class, over loopback.
class PeerFeedTest : public TableFollowerTest {
 protected:
  void SetUp() override {
    TableFollowerTest::SetUp();
    m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 3)});
    RunFor(milliseconds(5));
    m_client = std::make_unique<net::HttpClient>(m_loop);
    m_server = std::make_unique<PeerFeedServer>(
        m_loop, [this] { return &m_server_keys; });
    m_server->Add("table", m_follower.get());
    m_http_server = std::make_unique<PeerHttpServer>(
        m_loop, Endpoint("127.0.0.1:0"), InstanceId("i"), m_state,
        PeerHttpHooks{
            .m_keys = [this] { return &m_server_keys; },
            .m_clock_offsets = [](const InstanceId&) { return std::nullopt; },
            .m_feed =
                [this](const std::shared_ptr<net::HttpExchange>& exchange) {
                  m_server->Handle(exchange);
                },
            .m_forwarded = [](auto, auto) { FAIL() << "not forwarded"; }});
    const Endpoint address("127.0.0.1:" +
                           std::to_string(m_http_server->Port()));
    m_readers = {address};
    m_peer = MakePeerFeed(m_loop, *m_client, m_direct.Hooks(),
                          {.m_keys = [this] { return &m_client_keys; },
                           .m_readers = [this] { return m_readers; }});
  }

  void TearDown() override {
    m_peer = {};
    m_http_server.reset();
    m_server.reset();
    m_client.reset();
    TableFollowerTest::TearDown();
  }

  void RequestChanges(std::uint64_t after) {
    m_requested_at = net::BootTime();
    m_peer.m_wait_changes(
        "table", FeedVersion(after), milliseconds(300), milliseconds(600),
        [this](net::FeedResult result) { m_result = std::move(result); });
  }

  void RequestNewerRows(std::uint64_t after) {
    m_peer.m_read_copy(
        "table", FeedVersion(after), milliseconds(600),
        [this](net::FeedResult result) { m_result = std::move(result); });
  }

  net::FleetKeys m_server_keys{{std::string(32, 'k')}};
  net::FleetKeys m_client_keys{{std::string(32, 'k')}};
  GatewayState m_state;
  std::unique_ptr<net::HttpClient> m_client;
  std::unique_ptr<PeerFeedServer> m_server;
  std::unique_ptr<PeerHttpServer> m_http_server;
  ScriptedFeed m_direct;
  std::vector<Endpoint> m_readers;
  net::RowFeed m_peer;
  TimePoint m_requested_at{};
  std::optional<net::FeedResult> m_result;
};

TEST_F(PeerFeedTest, ReceivesChangesWithAConfirmationNoLaterThanTheReaders) {
  RequestChanges(5);
  RunFor(milliseconds(50));
  EXPECT_FALSE(m_result) << "there are no changes yet";
  const TimePoint before = net::BootTime();
  m_feed.Respond(FeedStatus::kDone, 6, {Row("b", 6)});
  m_server->RespondToPending("table");
  RunUntil([this] { return m_result.has_value(); });
  ASSERT_TRUE(m_result);
  ASSERT_EQ(m_result->m_status, FeedStatus::kDone);
  ASSERT_EQ(m_result->m_rows.size(), 1U);
  EXPECT_EQ(m_result->m_rows[0].m_key, "b");
  EXPECT_EQ(m_result->m_version, FeedVersion(6));
  ASSERT_TRUE(m_result->m_confirmed_at);
  EXPECT_LE(*m_result->m_confirmed_at, m_follower->ConfirmedAt());
  EXPECT_LT(*m_result->m_confirmed_at, before);
  EXPECT_EQ(m_direct.m_waits, 0);
}

// Failure: instances of two builds run side by side during a release; one that
// does not know compressed responses must still get those that it can read.
TEST_F(PeerFeedTest, RespondsToAnOlderBuildWithoutCompression) {
  m_feed.Respond(FeedStatus::kDone, 6, {Row("b", 6)});
  const std::string path = "/feed?table=table&after=5&nonce=0011";
  const auto mac_of = [this](const std::string& text) {
    return HexMac(m_client_keys, text);
  };
  net::HttpCall call;
  call.m_endpoint = m_readers.front();
  call.m_path = path;
  call.m_headers = {{kMacHeader, mac_of(path)}};
  std::optional<net::HttpResponse> response;
  net::Fetch(*m_client, std::move(call), Bytes(1 << 20),
             [&](net::HttpResponse got) { response = std::move(got); });
  RunUntil([&] { return response.has_value(); });
  ASSERT_TRUE(response);
  EXPECT_EQ(response->m_status, 200);
  EXPECT_EQ(net::HeaderValue(response->m_headers, kOffsetHeader), "");
  EXPECT_EQ(net::HeaderValue(response->m_headers, kMacHeader),
            mac_of("0011" + response->m_body));
  const net::FeedResult result =
      DeserializeRows(response->m_body, net::BootTime());
  ASSERT_EQ(result.m_rows.size(), 1U);
  EXPECT_EQ(result.m_rows[0].m_key, "b");
}

TEST_F(PeerFeedTest, ReceivesMissedChangesAtOnce) {
  m_feed.Respond(FeedStatus::kDone, 6, {Row("b", 6)});
  RequestChanges(5);
  RunUntil([this] { return m_result.has_value(); });
  ASSERT_TRUE(m_result);
  EXPECT_EQ(m_result->m_rows.size(), 1U);
}

// Failure: no source had the changes that an instance missed, so that it stayed
// on its copy while the platform refused it.
TEST_F(PeerFeedTest, ReceivesTheWholeTableWhenItsChangesAreNotRetained) {
  RequestChanges(4);
  RunUntil([this] { return m_result.has_value(); });
  ASSERT_TRUE(m_result);
  EXPECT_EQ(m_result->m_status, FeedStatus::kDone);
  EXPECT_TRUE(m_result->m_is_whole);
  EXPECT_EQ(m_result->m_source, m_readers.front());
  ASSERT_EQ(m_result->m_rows.size(), 1U);
  EXPECT_EQ(m_result->m_rows[0].m_key, "a");
  EXPECT_LE(*m_result->m_confirmed_at, m_follower->ConfirmedAt());
  EXPECT_EQ(m_direct.m_waits, 0);
  m_result.reset();
  m_feed.Respond(FeedStatus::kDone, 6, {Row("b", 6)});
  RequestChanges(5);
  RunUntil([this] { return m_result.has_value(); });
  ASSERT_TRUE(m_result);
  EXPECT_FALSE(m_result->m_is_whole);
  EXPECT_EQ(m_result->m_rows.size(), 1U);
}

// Failure: after a row from a copy, whose version was not a new one for the
// table, followers got the response packed before.
TEST_F(PeerFeedTest, SendsRowsThatCameFromACopy) {
  RequestChanges(4);
  RunUntil([this] { return m_result.has_value(); });
  ASSERT_TRUE(m_result);
  RequestCopy();
  m_feed.m_copies.front()({FeedStatus::kDone,
                           {{"a", "newer", FeedVersion(5), false}},
                           FeedVersion(5),
                           "",
                           {}});
  m_result.reset();
  RequestChanges(4);
  RunUntil([this] { return m_result.has_value(); });
  ASSERT_TRUE(m_result);
  ASSERT_EQ(m_result->m_rows.size(), 1U);
  EXPECT_EQ(m_result->m_rows[0].m_value, "newer");
}

// Failure: during an outage of the platform, an instance did not give its newer
// rows to those that had not got them before.
TEST_F(PeerFeedTest, GivesNewerRowsWhileThePlatformRefusesIt) {
  m_feed.Respond(FeedStatus::kDone, 6, {Row("a", 6)});
  RunFor(milliseconds(5));
  m_feed.Respond(FeedStatus::kUnknown);
  ASSERT_FALSE(m_follower->IsCurrent());
  m_peer = MakePeerFeed(m_loop, *m_client, m_direct.Hooks(),
                        {.m_keys = [this] { return &m_client_keys; },
                         .m_readers = [this] { return m_readers; },
                         .m_newer = [this](auto) { return m_readers; }});
  RequestNewerRows(0);
  RunUntil([this] { return m_result.has_value(); });
  ASSERT_TRUE(m_result);
  ASSERT_EQ(m_result->m_status, FeedStatus::kDone);
  ASSERT_EQ(m_result->m_rows.size(), 1U);
  EXPECT_EQ(m_result->m_rows[0].m_version, FeedVersion(6));
  EXPECT_LE(*m_result->m_confirmed_at, m_follower->ConfirmedAt());
}

// Failure: newer rows were requested of two instances only, and the other ones
// not before a delay that doubled with each request.
TEST_F(PeerFeedTest, RequestsNewerRowsOfAllInstancesThatHaveThem) {
  const Endpoint source = m_readers.front();
  m_readers = {Endpoint("127.0.0.1:1"), Endpoint("127.0.0.1:2"),
               Endpoint("127.0.0.1:3"), source};
  m_peer = MakePeerFeed(m_loop, *m_client, m_direct.Hooks(),
                        {.m_keys = [this] { return &m_client_keys; },
                         .m_readers = [] { return std::vector<Endpoint>(); },
                         .m_newer = [this](auto) { return m_readers; }});
  RequestNewerRows(0);
  RunUntil([this] { return m_result.has_value(); });
  ASSERT_TRUE(m_result);
  ASSERT_EQ(m_result->m_status, FeedStatus::kDone);
  EXPECT_EQ(m_result->m_source, source);
}

TEST_F(PeerFeedTest, ReadsTheWholeTableFromAReaderWhenThePlatformRefuses) {
  m_peer.m_read_all("table", milliseconds(600), [this](net::FeedResult result) {
    m_result = std::move(result);
  });
  EXPECT_FALSE(m_result) << "the platform is asked first";
  m_direct.Respond(FeedStatus::kRejected);
  RunUntil([this] { return m_result.has_value(); });
  ASSERT_TRUE(m_result);
  EXPECT_EQ(m_result->m_status, FeedStatus::kDone);
  EXPECT_EQ(m_result->m_version, FeedVersion(5));
  EXPECT_EQ(m_result->m_rows.size(), 1U);
}

// Failure: an older copy of the first reader ended the search for a newer one.
TEST_F(PeerFeedTest, DoesNotReadAnOlderWholeTable) {
  RequestChanges(5);
  m_feed.Respond(FeedStatus::kDone, 6, {Row("b", 6)});
  m_server->RespondToPending("table");
  RunUntil([this] { return m_result.has_value(); });
  ASSERT_TRUE(m_result);
  m_readers.clear();
  m_result.reset();
  RequestChanges(6);
  m_direct.Respond(FeedStatus::kDone, 9);
  ASSERT_TRUE(m_result);
  m_readers = {Endpoint("127.0.0.1:" + std::to_string(m_http_server->Port()))};
  m_result.reset();
  m_peer.m_read_all("table", milliseconds(600), [this](net::FeedResult result) {
    m_result = std::move(result);
  });
  m_direct.Respond(FeedStatus::kRejected);
  RunUntil([this] { return m_result.has_value(); });
  ASSERT_TRUE(m_result);
  EXPECT_NE(m_result->m_status, FeedStatus::kDone);
}

TEST_F(PeerFeedTest, ReportsTheFailureOfAWholeReadWhenThereIsNoReader) {
  m_readers.clear();
  m_peer.m_read_all("table", milliseconds(600), [this](net::FeedResult result) {
    m_result = std::move(result);
  });
  m_direct.Respond(FeedStatus::kRejected);
  ASSERT_TRUE(m_result);
  EXPECT_EQ(m_result->m_status, FeedStatus::kRejected);
}

TEST_F(PeerFeedTest, UsesThePlatformWhenTheReaderHasLostIt) {
  RequestChanges(5);
  RunFor(milliseconds(20));
  m_feed.Respond(FeedStatus::kUnknown);
  RunUntil([this] { return m_direct.m_waits > 0; });
  EXPECT_EQ(m_direct.m_waits, 1);
}

TEST_F(PeerFeedTest, UsesThePlatformWhenTheReaderIsSilent) {
  RequestChanges(5);
  RunUntil([this] { return m_direct.m_waits > 0; });
  EXPECT_EQ(m_direct.m_waits, 1);
}

TEST_F(PeerFeedTest, UsesThePlatformOnceTheReaderIsNoLongerOne) {
  RequestChanges(5);
  RunFor(milliseconds(20));
  EXPECT_EQ(m_direct.m_waits, 0);
  m_readers = {Endpoint("127.0.0.1:9")};
  RunFor(milliseconds(100));
  EXPECT_EQ(m_direct.m_waits, 1);
  EXPECT_EQ(m_direct.m_wait, Duration::zero());
  m_feed.Respond(FeedStatus::kDone, 6, {Row("b", 6)});
  m_server->RespondToPending("table");
  RunFor(milliseconds(20));
  EXPECT_FALSE(m_result) << "a response after the change of readers";
  m_direct.Respond(FeedStatus::kDone, 6);
  ASSERT_TRUE(m_result);
  EXPECT_GT(m_result->m_confirmed_at, m_requested_at);
}

TEST_F(PeerFeedTest, DoesNotTrustPeersWithAnotherKey) {
  m_client_keys.m_keys = {std::string(32, 'x')};
  m_feed.Respond(FeedStatus::kDone, 6, {Row("b", 6)});
  RequestChanges(5);
  RunUntil([this] { return m_direct.m_waits > 0; });
  EXPECT_FALSE(m_result);
  EXPECT_EQ(m_direct.m_waits, 1);
}

}  // namespace
}  // namespace nutmeghollow

// Responses of a reader that break off or have no valid status: the changes of
// a table must come whole from a reader, or from the platform.
#include "nutmegd/peer_feed.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "libnet/scripted_server_for_test.h"
#include "libnet/text.h"

namespace nutmeghollow {
namespace {

using net::FeedStatus;
using nlohmann::json;
using std::chrono::milliseconds;

class PeerFeedResponses : public net::ScriptedServerTest {
 protected:
  PeerFeedResponses() {
    net::RowFeed direct;
    direct.m_wait_changes = [this](const std::string&, net::FeedVersion,
                                   Duration, Duration,
                                   const net::FeedCallback& callback) {
      ++m_direct_calls;
      callback({FeedStatus::kDone, {}, net::FeedVersion(5), "", {}});
    };
    m_feed = MakePeerFeed(
        m_loop, *m_client, direct,
        {.m_keys = [this] { return &m_keys; },
         .m_readers =
             [this] { return std::vector<Endpoint>{m_server.Address()}; }});
  }
  ~PeerFeedResponses() override { m_feed = {}; }

  /// @return the body of a reader's response with one row.
  static std::string Body() {
    const std::vector<std::uint8_t> value{'v'};
    const std::vector<std::uint8_t> packed = json::to_msgpack(
        {std::uint64_t{6},
         std::int64_t{0},
         {{std::string("key"), json::binary(value), std::uint64_t{6}, false}}});
    return {packed.begin(), packed.end()};
  }

  /// @return the header field that authenticates the response to a request.
  std::string Fields(const std::string& request) const {
    const std::size_t begin = request.find("nonce=") + 6;
    const std::string nonce =
        request.substr(begin, request.find_first_of(" &", begin) - begin);
    const net::Mac mac = net::ComputeMac(m_keys.m_keys.front(), nonce + Body());
    return "nutmeg-mac: " +
           net::ToHex({reinterpret_cast<const char*>(mac.data()), mac.size()}) +
           "\r\n";
  }

  net::FeedResult Wait() {
    std::optional<net::FeedResult> result;
    m_feed.m_wait_changes(
        "table", net::FeedVersion(5), milliseconds(100), milliseconds(300),
        [&result](net::FeedResult received) { result = std::move(received); });
    RunUntil([&result] { return result.has_value(); });
    return result.value_or(net::FeedResult());
  }

  void ExpectFromPlatform(const std::string& name) {
    m_direct_calls = 0;
    const net::FeedResult result = Wait();
    EXPECT_EQ(m_direct_calls, 1) << name;
    EXPECT_EQ(result.m_status, FeedStatus::kDone) << name;
    EXPECT_TRUE(result.m_rows.empty()) << name;
  }

  net::FleetKeys m_keys{{std::string(32, 'k')}};
  int m_direct_calls = 0;
  net::RowFeed m_feed;
};

TEST_F(PeerFeedResponses, WholeOnesAreUsed) {
  m_script = [this](const std::string& request) {
    return net::ReplyWithStatus("200", Fields(request), Body());
  };
  const net::FeedResult result = Wait();
  EXPECT_EQ(result.m_status, FeedStatus::kDone);
  EXPECT_EQ(result.m_rows.size(), 1U);
  EXPECT_EQ(m_direct_calls, 0);
}

TEST_F(PeerFeedResponses, PartsAreNotUsed) {
  const std::size_t count = net::TruncatedReplies("", Body()).size();
  for (std::size_t index = 0; index < count; ++index) {
    std::string name;
    m_script = [&](const std::string& request) {
      const net::FaultyReply faulty =
          net::TruncatedReplies(Fields(request), Body())[index];
      name = faulty.m_name;
      return faulty.m_reply;
    };
    ExpectFromPlatform(name);
  }
}

TEST_F(PeerFeedResponses, InvalidStatusesAreNotUsed) {
  std::vector<std::string> statuses = net::InvalidStatuses();
  statuses.emplace_back("4100");  // Not 410, which ends the copy of a table.
  for (const std::string& status : statuses) {
    m_script = [&](const std::string& request) {
      return net::ReplyWithStatus(status, Fields(request), Body());
    };
    ExpectFromPlatform(status);
  }
}

/// A 410 that breaks off must not make the follower read the table again.
TEST_F(PeerFeedResponses, ATruncatedGoneIsNotUsed) {
  for (const char* reply :
       {"HTTP/1.1 410 Gone\r\nContent-Length: 5\r\n\r\ngo",
        "HTTP/1.0 410 Gone\r\n\r\n", "HTTP/1.1 410 Gone\r\nConte"}) {
    m_reply = {reply, net::ScriptedReply::ConnectionAction::kClose};
    ExpectFromPlatform(reply);
  }
}

}  // namespace
}  // namespace nutmeghollow

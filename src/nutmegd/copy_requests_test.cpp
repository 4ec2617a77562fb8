#include "nutmegd/copy_requests.h"

#include "nutmegd/table_follower_for_test.h"

namespace nutmeghollow {
namespace {

using net::FeedStatus;
using net::FeedVersion;
using std::chrono::milliseconds;

class CopyRequestsTest : public TableFollowerTest {
 protected:
  void SetUp() override {
    TableFollowerTest::SetUp();
    m_feed.Respond(FeedStatus::kDone, 3, {Row("a", 2)});
    m_requests = std::make_unique<CopyRequests>(
        m_loop, m_follower.get(), milliseconds(20),
        CopyRequestHooks{.m_is_outdated = [this] { return m_is_outdated; },
                         .m_after = [] { return FeedVersion(3); },
                         .m_log = [this] { ++m_logged; }});
  }

  void TearDown() override {
    m_requests.reset();
    TableFollowerTest::TearDown();
  }

  void Fail() {
    ASSERT_FALSE(m_feed.m_copies.empty());
    const net::FeedCallback callback = m_feed.m_copies.front();
    m_feed.m_copies.pop_front();
    callback({FeedStatus::kUnknown, {}, {}, "silent", {}});
  }

  bool m_is_outdated = true;
  int m_logged = 0;
  std::unique_ptr<CopyRequests> m_requests;
};

TEST_F(CopyRequestsTest, WaitForTheFeedFirst) {
  m_requests->NoteNewer();
  EXPECT_TRUE(m_feed.m_copies.empty());
  m_is_outdated = false;  // The change has arrived.
  RunFor(milliseconds(60));
  EXPECT_EQ(m_logged, 0);
}

// Failure: the delay doubled after requests that no instance answered, up to
// eight seconds, in which one that could answer was not asked.
TEST_F(CopyRequestsTest, AreRepeatedWithinASecondWhileNoInstanceAnswers) {
  m_requests->NoteNewer();
  for (int request = 1; request <= 5; ++request) {
    const TimePoint begin = net::BootTime();
    RunUntil([this] { return !m_feed.m_copies.empty(); });
    ASSERT_EQ(m_logged, request);
    EXPECT_LT(net::BootTime() - begin, milliseconds(1500));
    EXPECT_EQ(m_feed.m_copy_after, FeedVersion(3));
    Fail();
  }
}

TEST_F(CopyRequestsTest, DoNotOverlap) {
  m_requests->NoteNewer();
  RunUntil([this] { return !m_feed.m_copies.empty(); });
  m_requests->NoteNewer();
  RunFor(milliseconds(300));
  EXPECT_EQ(m_feed.m_copies.size(), 1U);
}

TEST_F(CopyRequestsTest, EndWhenTheRowsAreHere) {
  m_requests->NoteNewer();
  RunUntil([this] { return !m_feed.m_copies.empty(); });
  m_is_outdated = false;
  m_feed.RespondWithNewerRows(5, {Row("a", 5)});
  RunFor(milliseconds(300));
  EXPECT_EQ(m_logged, 1);
  EXPECT_EQ(m_seen, "+a +a ");
}

}  // namespace
}  // namespace nutmeghollow

#include "nutmegd/checked_feed.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "libnet/event_loop.h"

namespace nutmeghollow {
namespace {

using net::FeedEra;
using net::FeedResult;
using net::FeedRow;
using net::FeedStatus;
using net::FeedVersion;
using net::MakeFeedVersion;

constexpr Duration kTimeout = std::chrono::seconds(1);

/// A feed that answers at once with the results set, and records its calls.
class CheckedFeedTest : public testing::Test {
 protected:
  CheckedFeedTest() {
    net::RowFeed feed;
    feed.m_read_all = [this](const std::string&, Duration,
                             const net::FeedCallback& callback) {
      m_calls += "read ";
      callback(m_read);
    };
    feed.m_wait_changes = [this](const std::string&, FeedVersion, Duration,
                                 Duration, const net::FeedCallback& callback) {
      m_calls += "wait ";
      callback(m_read);
    };
    feed.m_write = [this](const net::FeedWrite&, Duration,
                          const net::FeedCallback& callback) {
      callback(m_write);
    };
    feed.m_compare = [this](const std::string&, const std::vector<FeedRow>&,
                            Duration, const net::FeedCallback& callback) {
      m_calls += "compare ";
      callback(m_compare);
    };
    m_feed = MakeCheckedFeed(
        std::move(feed),
        {.m_probe_table = "instances",
         .m_probe_key = "self",
         .m_floor = &m_floor,
         .m_fails_elsewhere = [this] { return m_fails_elsewhere; },
         .m_metrics = &m_metrics});
  }

  static FeedResult Done(FeedVersion version) {
    return {FeedStatus::kDone, {{"a", "x", version}}, version, "", {}};
  }
  static FeedVersion Version(std::uint64_t version, std::uint16_t era = 0) {
    return MakeFeedVersion(FeedEra(era), version);
  }

  FeedResult Read() {
    FeedResult read;
    m_feed.m_read_all("table", kTimeout,
                      [&](FeedResult result) { read = std::move(result); });
    return read;
  }
  FeedResult Wait(FeedVersion after) {
    FeedResult read;
    m_feed.m_wait_changes("table", after, Duration::zero(), kTimeout,
                          [&](FeedResult result) { read = std::move(result); });
    return read;
  }

  PositionFloor m_floor;
  MetricsRegistry m_metrics;
  FeedResult m_read;
  FeedResult m_write;
  FeedResult m_compare;
  bool m_fails_elsewhere = false;
  std::string m_calls;
  net::RowFeed m_feed;
};

// Failure: the whole table replaced newer rows that came from elsewhere.
TEST_F(CheckedFeedTest, ReportsAnOutdatedResponseWithoutItsRows) {
  m_floor.NoteElsewhere(169, net::BootTime());
  m_read = Done(Version(135));
  EXPECT_EQ(Read().m_status, FeedStatus::kOutdated);
  EXPECT_TRUE(Wait(Version(135)).m_rows.empty());
  m_read = Done(Version(169));
  EXPECT_EQ(Read().m_status, FeedStatus::kDone);
}

TEST_F(CheckedFeedTest, KnowsTheVersionsOfWrites) {
  m_write = Done(Version(169));
  m_feed.m_write({"other", "row", "x", std::nullopt}, kTimeout,
                 [](const FeedResult&) {});
  m_read = Done(Version(168));
  EXPECT_EQ(Read().m_status, FeedStatus::kOutdated);
}

// Failure: nobody knew that the reads were behind after the history was lost.
TEST_F(CheckedFeedTest, SendsATransactionBeforeTheNextReadAfterALossOfHistory) {
  m_read = Done(Version(135));
  Read();
  m_read.m_status = FeedStatus::kHistoryNotRetained;
  Wait(Version(135));
  m_compare = Done(Version(169));
  m_read = Done(Version(135));
  EXPECT_EQ(Read().m_status, FeedStatus::kOutdated);
  EXPECT_EQ(m_calls, "read wait compare read ");
}

TEST_F(CheckedFeedTest, ReadsOnWhenTheTransactionIsNotAnswered) {
  m_read.m_status = FeedStatus::kUnknown;
  Read();
  m_read = Done(Version(135));
  EXPECT_EQ(Read().m_status, FeedStatus::kDone);
  EXPECT_EQ(Read().m_status, FeedStatus::kDone);
  EXPECT_EQ(m_calls, "read compare read read ") << "one transaction in a while";
}

TEST_F(CheckedFeedTest, UsesResponsesAgainAfterAWrongPosition) {
  m_floor.NoteElsewhere(1'000'000, net::BootTime());
  m_read = Done(Version(135));
  EXPECT_EQ(Read().m_status, FeedStatus::kOutdated);
  m_compare = Done(Version(135));
  EXPECT_EQ(Read().m_status, FeedStatus::kDone);
}

// Failure: the reader that replaced one whose waits were cut had seen no fault.
TEST_F(CheckedFeedTest, SendsTransactionsWhileTheStoreFailsElsewhere) {
  m_read = Done(Version(135));
  Read();
  m_fails_elsewhere = true;
  m_compare = Done(Version(169));
  EXPECT_EQ(Read().m_status, FeedStatus::kOutdated);
  EXPECT_EQ(m_calls, "read compare read ");
}

// Failure: changes of a later era were missed, since its versions had passed
// the one after which they were requested.
TEST_F(CheckedFeedTest, ReportsTheHistoryAsLostInALaterEra) {
  m_read = Done(Version(169));
  Read();
  m_read = Done(Version(200, 1));
  EXPECT_EQ(Wait(Version(169)).m_status, FeedStatus::kHistoryNotRetained);
  EXPECT_EQ(Read().m_status, FeedStatus::kDone);
  m_read = Done(Version(300));
  EXPECT_EQ(Read().m_status, FeedStatus::kOutdated) << "of the earlier era";
}

TEST_F(CheckedFeedTest, DoesNotCompareRowsOfAnEarlierEra) {
  m_compare = Done(Version(20, 1));
  FeedStatus status = FeedStatus::kDone;
  m_feed.m_compare("table", {{"a", "x", Version(10)}}, kTimeout,
                   [&](const FeedResult& result) { status = result.m_status; });
  EXPECT_EQ(status, FeedStatus::kHistoryNotRetained);
}

}  // namespace
}  // namespace nutmeghollow

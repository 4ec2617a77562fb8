// Tests of gateway components: retry allowance, event splitter, configuration
// freshness and entry directory.
#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "nutmeghollow/configuration_freshness.h"
#include "nutmeghollow/entry_directory.h"
#include "nutmeghollow/event_stream.h"
#include "nutmeghollow/retry_allowance.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration since_start) {
  return TimePoint(seconds(100)) + since_start;
}

int TakeUntilRefused(RetryAllowance& allowance, Duration at) {
  int taken = 0;
  while (allowance.Take(ServiceId("s"), At(at))) {
    ++taken;
  }
  return taken;
}

struct AllowanceCase {
  int m_instances;
  int m_requests;
  int m_repeats;
};

class Allowance : public testing::TestWithParam<AllowanceCase> {};

TEST_P(Allowance, StaysUnderTheFleetsBoundWhenEveryInstanceUsesItsShare) {
  RetryAllowance allowance({.m_ratio = 0.2, .m_slack = 54});
  allowance.SetInstances(GetParam().m_instances);
  for (int index = 0; index < GetParam().m_requests; ++index) {
    allowance.NoteRequest(ServiceId("s"), At({}));
  }
  const int taken = TakeUntilRefused(allowance, seconds(1));
  EXPECT_EQ(taken, GetParam().m_repeats);
  EXPECT_LE(taken * GetParam().m_instances,
            0.2 * GetParam().m_requests * GetParam().m_instances + 54);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Allowance,
                         testing::Values(AllowanceCase{1, 0, 43},
                                         AllowanceCase{7, 0, 6},
                                         AllowanceCase{7, 100, 22},
                                         AllowanceCase{90, 10, 2}));

TEST(RetryAllowance, IsNotUsedUpByRetriesThatWereNotSent) {
  RetryAllowance allowance({.m_ratio = 0, .m_slack = 10});
  const ServiceId service("s");
  for (int count = 0; count < 100; ++count) {
    ASSERT_TRUE(allowance.Take(service, TimePoint()));
    allowance.Return(service);
  }
}

TEST(RetryAllowance, IsReplenishedAfterTheWindow) {
  RetryAllowance allowance({.m_ratio = 0, .m_slack = 10});
  EXPECT_EQ(TakeUntilRefused(allowance, seconds(0)), 8);
  EXPECT_EQ(TakeUntilRefused(allowance, seconds(9)), 0);
  EXPECT_EQ(TakeUntilRefused(allowance, seconds(11)), 8);
}

struct SplitCase {
  const char* m_first;
  const char* m_second;
  const char* m_whole;  ///< Bytes relayed after both chunks.
  const char* m_last_id;
  int m_events;
};

class Split : public testing::TestWithParam<SplitCase> {};

TEST_P(Split, RelaysCompleteEventsOnly) {
  EventSplitter splitter;
  std::string whole = splitter.Take(GetParam().m_first);
  whole += splitter.Take(GetParam().m_second);
  EXPECT_EQ(whole, GetParam().m_whole);
  EXPECT_EQ(splitter.LastId().value_or(""), GetParam().m_last_id);
  EXPECT_EQ(splitter.Events(), GetParam().m_events);
  EXPECT_EQ(whole + splitter.PartialEvent(),
            std::string(GetParam().m_first) + GetParam().m_second);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Split,
    testing::Values(SplitCase{"id: 1\ndata: a\n", "\nid: 2\nda",
                              "id: 1\ndata: a\n\n", "1", 1},
                    SplitCase{"id:1\ndata:a\n\nid:2\ndata:b\n\n", "",
                              "id:1\ndata:a\n\nid:2\ndata:b\n\n", "2", 2},
                    SplitCase{"id: 7\r\ndata: a\r\n\r", "\n",
                              "id: 7\r\ndata: a\r\n\r\n", "7", 1},
                    SplitCase{"data: a\n\n", "", "data: a\n\n", "", 1},
                    SplitCase{": x\n\n", "data: a\n\n", ": x\n\ndata: a\n\n",
                              "", 1},
                    SplitCase{"data: a\r\n\r\ndata: b\n", "\n",
                              "data: a\r\n\r\ndata: b\n\n", "", 2},
                    SplitCase{"id: 3\rdata: a\r\rid: 4\rda", "ta: b\r\r",
                              "id: 3\rdata: a\r\rid: 4\rdata: b\r\r", "4", 2},
                    SplitCase{"data: a\n\r\ndata: b\r\n", "\ndata: c",
                              "data: a\n\r\ndata: b\r\n\n", "", 2},
                    SplitCase{"", "", "", "", 0}));

struct StreamEndCase {
  const char* m_stream;
  bool m_inside_event;
};

class StreamEndsAt : public testing::TestWithParam<StreamEndCase> {};

TEST_P(StreamEndsAt, TellsAStreamCutInsideAnEventFromACompleteOne) {
  EventSplitter splitter;
  splitter.Take(GetParam().m_stream);
  EXPECT_EQ(splitter.IsInsideEvent(), GetParam().m_inside_event)
      << GetParam().m_stream;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    StreamEndsAt,
    testing::Values(StreamEndCase{"", false},
                    StreamEndCase{"data: a\n\n", false},
                    StreamEndCase{"data: a\r\n\r\n", false},
                    StreamEndCase{"data: a\r\r", false},
                    StreamEndCase{"data: a\n\n\n", false},
                    StreamEndCase{"data: a\n\n: bye\n", false},
                    StreamEndCase{"data: a\n\nid: 2", true},
                    StreamEndCase{"data: a\n\nid: 2\n", true},
                    StreamEndCase{"data: a\n\nid: 2\r\n", true},
                    StreamEndCase{"data: a\n\n: x\ndata: b\n", true},
                    StreamEndCase{"data: a\n\n: by", true},
                    StreamEndCase{"data: a\n", true},
                    StreamEndCase{"d", true}));

TEST(EventSplitter, DiscardsAPartialEventBeforeAStreamIsResumed) {
  EventSplitter splitter;
  splitter.Take("id: 1\ndata: a\n\nid: 2\nda");
  splitter.DropPartialEvent();
  EXPECT_EQ(splitter.Take("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

// An event without a terminator must not be searched from its start for each
// chunk received: that is quadratic in its length.
TEST(EventSplitter, DetectsAnUnterminatedEventInLinearTime) {
  EventSplitter splitter;
  const std::string piece(1000, 'x');
  const auto started = std::chrono::steady_clock::now();
  // A search from the start for each piece would read 20 GB in total.
  std::size_t taken = 0;
  for (; taken < (std::size_t{6} << 20); taken += piece.size()) {
    EXPECT_EQ(splitter.IsOverlong(), taken > kMaxEventBytes);
    EXPECT_TRUE(splitter.Take(piece).empty());
  }
  EXPECT_LT(std::chrono::steady_clock::now() - started, seconds(2));
  EXPECT_EQ(splitter.Take("\n\n").size(), taken + 2);
  EXPECT_FALSE(splitter.IsOverlong());
}

TEST(ConfigurationFreshness, AgesFromTheTimeOfItsRequest) {
  ConfigurationFreshness freshness;
  EXPECT_FALSE(freshness.Within(seconds(5), At({})));
  freshness.Confirm(At(seconds(1)));
  freshness.Confirm(At(milliseconds(500)));  // Late reply to an older request.
  EXPECT_TRUE(freshness.Within(seconds(5), At(milliseconds(5900))));
  EXPECT_FALSE(freshness.Within(seconds(5), At(milliseconds(6000))));
}

EntryInstance Entry(const char* name, const char* data_centre, bool ready) {
  return {InstanceId(name),   Endpoint(name), DataCentreId(data_centre),
          RegionId("region"), ready,          true};
}

TEST(EntryDirectory, ChoosesNearbyReadyInstances) {
  EntryDirectory directory;
  EXPECT_TRUE(directory.Choose({}, {}, 8).empty());
  directory.Put(Entry("a", "one", true));
  directory.Put(Entry("b", "two", true));
  directory.Put(Entry("c", "two", false));
  const auto choose = [&](const char* data_centre) {
    return directory.Choose(RegionId("region"), DataCentreId(data_centre), 8);
  };
  EXPECT_EQ(choose("one"), std::vector<Endpoint>{Endpoint("a")});
  EXPECT_EQ(choose("two"), std::vector<Endpoint>{Endpoint("b")});
  EXPECT_EQ(choose("three").size(), 2U);
  directory.Find(InstanceId("b"))->m_alive = false;
  EXPECT_EQ(choose("two"), std::vector<Endpoint>{Endpoint("a")});
  directory.Find(InstanceId("a"))->m_ready = false;
  EXPECT_EQ(choose("two").size(), 2U);  // Alive instances, ready or not.
}

// Failure: after the table of instances was read again, silent instances
// counted as alive, and no instance as one with a newer configuration.
TEST(EntryDirectory, KeepsWhatAnInstanceReportedWhenItsRowIsReadAgain) {
  EntryDirectory directory;
  directory.PutRow(Entry("a", "east", true));
  EntryInstance* known = directory.Find(InstanceId("a"));
  ASSERT_NE(known, nullptr);
  known->m_alive = false;
  known->m_revision = Revision(7);
  directory.PutRow(Entry("a", "west", true));
  EXPECT_FALSE(known->m_alive);
  EXPECT_EQ(known->m_revision, Revision(7));
  EXPECT_EQ(known->m_data_centre, DataCentreId("west"));
  EntryInstance moved = Entry("a", "west", true);
  moved.m_caller_endpoint = Endpoint("elsewhere:1");
  directory.PutRow(moved);
  EXPECT_TRUE(known->m_alive);
  EXPECT_EQ(known->m_revision, Revision());
}

TEST(EntryDirectory, LeavesOutInstancesThatAreCutOffWhileOthersServe) {
  EntryDirectory directory;
  directory.Put(Entry("a", "one", true));
  directory.Put(Entry("b", "two", true));
  const auto choose = [&](const char* data_centre) {
    return directory.Choose(RegionId("region"), DataCentreId(data_centre), 8);
  };
  directory.Find(InstanceId("a"))->m_reach = UpstreamReach::kCutOff;
  EXPECT_EQ(choose("one"), std::vector<Endpoint>{Endpoint("b")});
  directory.Find(InstanceId("b"))->m_reach = UpstreamReach::kCutOff;
  EXPECT_EQ(choose("one"), std::vector<Endpoint>{Endpoint("a")});
  directory.Find(InstanceId("b"))->m_reach = UpstreamReach::kReached;
  directory.Find(InstanceId("b"))->m_ready = false;
  EXPECT_EQ(choose("one"), std::vector<Endpoint>{Endpoint("a")});
}

}  // namespace
}  // namespace nutmeghollow

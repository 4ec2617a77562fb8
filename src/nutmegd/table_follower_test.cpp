// Tests of following the platform's tables directly, with an in-memory feed.
#include "nutmegd/table_follower.h"

#include "nutmegd/table_follower_for_test.h"

namespace nutmeghollow {
namespace {

using net::FeedRow;
using net::FeedStatus;
using net::FeedVersion;
using std::chrono::milliseconds;

TEST_F(TableFollowerTest, AbandonsARequestWhenThePlatformRespondsToOthers) {
  m_feed.Respond(FeedStatus::kDone, 3, {Row("a", 3)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  m_follower->RetryIfLost();
  RunFor(milliseconds(20));
  EXPECT_EQ(m_feed.m_waits, 1) << "no request has failed";
  EXPECT_GT(m_feed.m_wait, Duration::zero());
  m_feed.Respond(FeedStatus::kUnknown);
  RunUntil([this] { return m_feed.m_waits == 2; });
  // This request gets no response.
  m_follower->RetryIfLost();
  RunUntil([this] { return m_feed.m_waits == 3; });
  EXPECT_EQ(m_feed.m_waits, 3);
  EXPECT_EQ(m_feed.m_wait, Duration::zero());
  ASSERT_EQ(m_feed.m_pending.size(), 2U);
  m_feed.Respond(FeedStatus::kUnknown);  // Response to the abandoned request.
  EXPECT_FALSE(m_follower->IsCurrent());
  m_feed.Respond(FeedStatus::kDone, 4, {Row("b", 4)});
  EXPECT_TRUE(m_follower->IsCurrent());
  EXPECT_EQ(m_seen, "+a lost back +b ");
}

TEST_F(TableFollowerTest, ReadsAllOnceAndThenWaitsForChanges) {
  m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 3), Row("b", 5)});
  RunFor(milliseconds(5));
  EXPECT_EQ(m_feed.m_after, FeedVersion(5));
  m_feed.Respond(FeedStatus::kDone, 7, {Removed("a", 6), Row("c", 7)});
  RunFor(milliseconds(5));
  EXPECT_EQ(m_seen, "+a +b -a +c ");
  EXPECT_EQ(m_feed.m_reads, 1);
  EXPECT_EQ(m_feed.m_after, FeedVersion(7));
  EXPECT_EQ(m_confirmations, 2);
}

TEST_F(TableFollowerTest, ReadsAllAgainWhenTheHistoryIsNotRetained) {
  m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 3), Row("b", 5)});
  RunFor(milliseconds(5));
  m_feed.Respond(FeedStatus::kHistoryNotRetained);
  RunFor(milliseconds(5));
  m_feed.Respond(FeedStatus::kDone, 20, {Row("b", 5), Row("d", 20)});
  EXPECT_EQ(m_feed.m_reads, 2);
  EXPECT_EQ(m_seen, "+a +b +b +d -a ");
}

TEST_F(TableFollowerTest, RemovesRowsThatAreMissingFromACopyOfAnotherInstance) {
  m_feed.Respond(FeedStatus::kDone, 3, {Row("a", 3), Row("b", 2)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  m_feed.RespondWithCopy(6, {Row("a", 5)});
  RunUntil([this] { return m_feed.m_waits == 2; });
  EXPECT_EQ(m_seen, "+a +b +a -b ");
  EXPECT_EQ(m_feed.m_after, FeedVersion(6));
  EXPECT_FALSE(m_follower->Retains(FeedVersion(5)));
}

// Failure: a copy that is older than the own one takes rows back.
TEST_F(TableFollowerTest, DoesNotUseAnOlderCopyOfAnotherInstance) {
  m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 5)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  m_feed.RespondWithCopy(4, {Row("a", 3)});
  RunUntil([this] { return m_feed.m_waits == 2; });
  EXPECT_EQ(m_seen, "+a lost ");
  EXPECT_EQ(m_confirmations, 1);
  EXPECT_EQ(m_feed.m_after, FeedVersion(5));
}

// Failure: responses of the platform without the change hid it until the next
// one.
TEST_F(TableFollowerTest, TakesNewerRowsFromACopyAndGoesOn) {
  m_feed.Respond(FeedStatus::kDone, 3, {Row("a", 2), Row("b", 3)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  m_feed.Respond(FeedStatus::kDone, 7);
  RunUntil([this] { return m_feed.m_waits == 2; });
  const int confirmations = m_confirmations;
  RequestCopy();
  m_feed.RespondWithNewerRows(6, {Row("a", 5), Row("b", 3), Row("removed", 1)});
  EXPECT_EQ(m_seen, "+a +b +a ");
  EXPECT_EQ(m_confirmations, confirmations);
  EXPECT_EQ(m_follower->Version(), FeedVersion(7));
  EXPECT_EQ(m_follower->ChangesAfter(FeedVersion(4)).m_rows.size(), 1U);
  EXPECT_EQ(m_feed.m_waits, 2) << "the request in progress stays";
}

// Failure: no rows were requested of other instances while the table was read
// again, which does not end while the platform is away.
TEST_F(TableFollowerTest, TakesNewerRowsWhileTheTableCannotBeReadAgain) {
  m_feed.Respond(FeedStatus::kDone, 3, {Row("a", 2)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  m_feed.Respond(FeedStatus::kHistoryNotRetained);
  RequestCopy();
  m_feed.RespondWithNewerRows(6, {Row("a", 5)});
  EXPECT_EQ(m_seen, "+a +a ");
}

// Failure: rows from a copy were dropped when another table was read again.
TEST_F(TableFollowerTest, TakesNewerRowsThatArriveAfterARetry) {
  m_feed.Respond(FeedStatus::kDone, 3, {Row("a", 2)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  m_feed.Respond(FeedStatus::kUnknown);
  RequestCopy();
  m_follower->RetryIfLost();
  m_feed.RespondWithNewerRows(6, {Row("a", 5)});
  EXPECT_EQ(m_seen, "+a lost +a ");
}

struct NewerRowsCase {
  const char* m_name;
  bool m_is_whole;
  std::vector<FeedRow> m_rows;
  const char* m_seen;
};

class NewerRows : public TableFollowerTest,
                  public testing::WithParamInterface<NewerRowsCase> {};

// Failure: rows that were added or removed did not reach an instance whose
// reads failed, since copies changed the rows that it had only.
TEST_P(NewerRows, AreAddedAndRemoved) {
  m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 2), Row("b", 5)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  RequestCopy();
  m_feed.RespondWithNewerRows(9, GetParam().m_rows, GetParam().m_is_whole);
  EXPECT_EQ(m_seen, "+a +b " + std::string(GetParam().m_seen));
  EXPECT_EQ(m_follower->Version(), FeedVersion(5)) << "it is not confirmed";
  EXPECT_EQ(m_follower->IncludedVersion(), FeedVersion(9));
}

INSTANTIATE_TEST_SUITE_P(
    Copies,
    NewerRows,
    testing::Values(
        NewerRowsCase{"Added", false, {{"c", "x", FeedVersion(8)}}, "+c "},
        NewerRowsCase{"Removed",
                      false,
                      {{"a", "", FeedVersion(9), true}},
                      "-a "},
        NewerRowsCase{"RemovedBeforeItCame",
                      false,
                      {{"c", "", FeedVersion(9), true}},
                      ""},
        NewerRowsCase{"RemovedHereLater",
                      false,
                      {{"c", "x", FeedVersion(4)}},
                      ""},
        NewerRowsCase{"Older", false, {{"b", "x", FeedVersion(4)}}, ""},
        NewerRowsCase{"MissingInTheWholeTable",
                      true,
                      {{"b", "value", FeedVersion(5)}},
                      "-a "}),
    [](const auto& info) { return std::string(info.param.m_name); });

// Failure: a response that was older than the rows from a copy took them back.
TEST_F(TableFollowerTest, KeepsRowsOfACopyAfterAnOlderResponse) {
  m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 2), Row("b", 3)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  RequestCopy();
  m_feed.RespondWithNewerRows(9, {Row("a", 8), Removed("b", 9)});
  m_feed.Respond(FeedStatus::kDone, 7, {Row("a", 6), Row("b", 7)});
  EXPECT_EQ(m_seen, "+a +b +a -b ");
  EXPECT_EQ(m_follower->Version(), FeedVersion(7));
  RunUntil([this] { return m_feed.m_waits == 2; });
  m_feed.Respond(FeedStatus::kDone, 9, {Row("a", 8), Removed("b", 9)});
  EXPECT_EQ(m_follower->Version(), FeedVersion(9));
}

// Failure: a whole table that was older than the rows from a copy took them
// from the history, so that they were neither given to others nor kept here.
TEST_F(TableFollowerTest, KeepsRowsOfACopyAfterAnOlderWholeTable) {
  m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 2), Row("b", 3)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  RequestCopy();
  m_feed.RespondWithNewerRows(9, {Row("a", 8), Removed("b", 9)});
  m_feed.RespondWithCopy(7, {Row("a", 6), Row("b", 3)});
  EXPECT_EQ(m_seen, "+a +b +a -b ");
  EXPECT_EQ(m_follower->ChangesAfter(FeedVersion(7)).m_rows.size(), 2U);
  RunUntil([this] { return m_feed.m_waits == 2; });
  m_feed.RespondWithCopy(8, {Row("a", 8), Row("b", 3)});
  EXPECT_EQ(m_seen, "+a +b +a -b +a ");
}

// Failure: rows of a copy that came through a reader were taken back by the
// next reader, which did not have them.
TEST_F(TableFollowerTest, KeepsRowsThatAReaderHasFromACopy) {
  m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 2)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  m_feed.RespondWithChanges(5, {Row("a", 9)});
  RunUntil([this] { return m_feed.m_waits == 2; });
  m_feed.RespondWithChanges(7, {Row("a", 6)});
  EXPECT_EQ(m_seen, "+a +a ");
  EXPECT_EQ(m_follower->Version(), FeedVersion(7));
}

// Failure: rows that a reader had from a copy were not given on to those who
// follow the table through this instance.
TEST_F(TableFollowerTest, RetainsRowsThatAReaderHasFromACopy) {
  m_feed.RespondWithCopy(5, {Row("a", 9), Row("b", 4)});
  EXPECT_EQ(m_follower->Version(), FeedVersion(5));
  const auto changes = m_follower->ChangesAfter(FeedVersion(5)).m_rows;
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].m_version, FeedVersion(9));
}

// Failure: an instance that had not read the table took a copy of another one,
// and used it without a bound, since it had no age.
TEST_F(TableFollowerTest, RequestsNoCopyBeforeTheTableHasBeenRead) {
  bool is_read = true;
  m_follower->RequestCopy(FeedVersion(), [&](bool read) { is_read = read; });
  EXPECT_FALSE(is_read);
  EXPECT_TRUE(m_feed.m_copies.empty());
}

// Failure: after the platform came back from an older copy, rows that it no
// longer has stayed in use.
TEST_F(TableFollowerTest, ReadsAllAgainWhenTheVersionIsBelowThatOfACopy) {
  m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 5)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  RequestCopy();
  m_feed.RespondWithNewerRows(9, {Row("a", 9)});
  m_feed.Respond(FeedStatus::kDone, 5);
  RunUntil([this] { return m_feed.m_waits == 2; });
  m_feed.Respond(FeedStatus::kDone, 6);
  EXPECT_EQ(m_feed.m_reads, 2);
  m_feed.Respond(FeedStatus::kDone, 6, {Row("a", 5)});
  EXPECT_EQ(m_follower->IncludedVersion(), FeedVersion(6));
  EXPECT_EQ(m_seen, "+a +a +a ");
}

// Failure: after the platform came back from an older copy, others were given
// the changes that it had lost.
TEST_F(TableFollowerTest, RetainsNoChangesThatThePlatformHasLost) {
  m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 5)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  m_feed.Respond(FeedStatus::kDone, 9, {Row("a", 8), Row("b", 9)});
  RunUntil([this] { return m_feed.m_waits == 2; });
  m_feed.Respond(FeedStatus::kDone, 6);
  m_feed.Respond(FeedStatus::kDone, 6, {Row("a", 5)});
  EXPECT_EQ(m_follower->ChangesAfter(FeedVersion(6)).m_rows.size(), 0U);
  EXPECT_EQ(m_follower->AllRows().m_rows.size(), 1U);
}

TEST_F(TableFollowerTest, KeepsARowThatIsNewerThanInACopyOfAnotherInstance) {
  m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 5)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  m_feed.RespondWithCopy(5, {Row("a", 3), Row("b", 4)});
  EXPECT_EQ(m_seen, "+a +b ");
}

// Failure: a response of the platform that was older than the copy renewed its
// proof.
TEST_F(TableFollowerTest, ReadsAllAgainWhenTheVersionWentBack) {
  m_feed.Respond(FeedStatus::kDone, 9, {Row("a", 9)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  m_feed.Respond(FeedStatus::kDone, 4);
  EXPECT_EQ(m_confirmations, 1);
  EXPECT_EQ(m_feed.m_reads, 2);
  m_feed.Respond(FeedStatus::kDone, 4, {Row("a", 3)});
  RunUntil([this] { return m_feed.m_waits == 2; });
  EXPECT_EQ(m_confirmations, 2);
  EXPECT_EQ(m_feed.m_after, FeedVersion(4));
}

// Failure: an older configuration that was written right after a newer one hid
// the newer one from instances that follow the table through this one.
TEST_F(TableFollowerTest, GivesOthersTheRowThatIsInUse) {
  m_feed.Respond(FeedStatus::kDone, 3, {Row("a", 3)});
  RunUntil([this] { return m_feed.m_waits == 1; });
  m_feed.Respond(FeedStatus::kDone, 6,
                 {Row("a", 5), {"a", kUnusedValue, FeedVersion(6), false}});
  const std::vector<FeedRow> rows =
      m_follower->ChangesAfter(FeedVersion(3)).m_rows;
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(rows[0].m_value, "value");
  EXPECT_EQ(rows[0].m_version, FeedVersion(5));
  EXPECT_EQ(m_follower->AllRows().m_rows[0].m_value, "value");
}

TEST_F(TableFollowerTest, RetriesAfterAFailureAndReportsIt) {
  m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 3)});
  RunFor(milliseconds(5));
  m_feed.Respond(FeedStatus::kUnknown);
  EXPECT_FALSE(m_follower->IsCurrent());
  RunFor(milliseconds(20));
  m_feed.Respond(FeedStatus::kRejected);
  RunFor(milliseconds(20));
  m_feed.Respond(FeedStatus::kDone, 6, {Row("b", 6)});
  EXPECT_TRUE(m_follower->IsCurrent());
  EXPECT_EQ(m_seen, "+a lost back +b ");
}

TEST_F(TableFollowerTest, RetainsChangesForOtherFollowers) {
  m_feed.Respond(FeedStatus::kDone, 5, {Row("a", 3)});
  RunFor(milliseconds(5));
  m_feed.Respond(FeedStatus::kDone, 7, {Row("b", 6), Removed("a", 7)});
  EXPECT_EQ(m_follower->ChangesAfter(FeedVersion(5)).m_rows.size(), 2U);
  EXPECT_EQ(m_follower->ChangesAfter(FeedVersion(6)).m_rows.size(), 1U);
  EXPECT_EQ(m_follower->ChangesAfter(FeedVersion(7)).m_rows.size(), 0U);
  EXPECT_EQ(m_follower->ChangesAfter(FeedVersion(4)).m_status,
            FeedStatus::kHistoryNotRetained);
}

// Failure: up to 512 changes were kept with their whole values, several of one
// row, such as all versions of a configuration of hundreds of kilobytes.
TEST_F(TableFollowerTest, RetainsOneChangeOfEachRow) {
  m_feed.Respond(FeedStatus::kDone, 1, {Row("a", 1)});
  RunFor(milliseconds(5));
  for (std::uint64_t version = 2; version < 6; ++version) {
    m_feed.Respond(FeedStatus::kDone, version, {Row("a", version)});
    RunUntil([&] { return m_feed.m_after == FeedVersion(version); });
  }
  m_feed.Respond(FeedStatus::kDone, 7, {Row("b", 6), Removed("b", 7)});
  const auto rows = m_follower->ChangesAfter(FeedVersion(1)).m_rows;
  ASSERT_EQ(rows.size(), 2U);
  EXPECT_EQ(rows[0].m_key, "a");
  EXPECT_EQ(rows[0].m_version, FeedVersion(5));
  EXPECT_EQ(rows[1].m_key, "b");
  EXPECT_EQ(rows[1].m_version, FeedVersion(7));
  EXPECT_TRUE(rows[1].m_removed);
  EXPECT_EQ(m_follower->ChangesAfter(FeedVersion(5)).m_rows.size(), 1U);
}

}  // namespace
}  // namespace nutmeghollow

#include "nutmeghollow/configuration_system.h"

#include <gtest/gtest.h>

#include "libnutmeg/configuration_fleet_for_test.h"

namespace nutmeghollow {
namespace {

constexpr auto kPriority = ObjectKind::kPriority;

std::string Rank(int rank) {
  return R"({"rank":)" + std::to_string(rank) + "}";
}

int RankAt(ConfigurationFleetForTest& fleet, int index, const char* id) {
  const auto& rows = fleet.At(index).m_priorities;
  auto found = rows.find(PriorityId(id));
  return found == rows.end() ? -1 : found->second.m_rank;
}

ConfigurationChange Change(int revision, const char* id, int rank) {
  return {Revision(revision), {kPriority, id}, Rank(rank)};
}

struct TransferCase {
  const char* m_name;
  ConfigurationTransfer m_transfer;
  int m_revision;  ///< Revision after the transfer; it is 10 before.
  int m_rank;      ///< Rank of priority "a" afterwards; -1 when absent.
};

class TransferTest : public testing::TestWithParam<TransferCase> {};

TEST_P(TransferTest, IsAppliedOnlyForHigherRevisionsWithoutGap) {
  World world;
  ApplyTransfer(world, {Revision(10), true, {}, {Change(10, "a", 1)}},
                TimePoint{});
  const std::uint64_t generation = world.m_configuration.m_generation;
  const bool adopted = ApplyTransfer(world, GetParam().m_transfer, TimePoint{});
  EXPECT_EQ(adopted, GetParam().m_revision > 10);
  EXPECT_EQ(world.m_configuration.m_generation > generation, adopted);
  EXPECT_EQ(world.m_configuration.m_revision, Revision(GetParam().m_revision));
  const auto found = world.m_priorities.find(PriorityId("a"));
  EXPECT_EQ(found == world.m_priorities.end() ? -1 : found->second.m_rank,
            GetParam().m_rank);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    TransferTest,
    testing::Values(
        TransferCase{"Next",
                     {Revision(11), false, Revision(10), {Change(11, "a", 2)}},
                     11,
                     2},
        TransferCase{
            "OverlapsOwn",
            {Revision(11),
             false,
             Revision(8),
             {Change(9, "a", 7), Change(10, "a", 8), Change(11, "b", 2)}},
            11,
            1},
        TransferCase{"Gap",
                     {Revision(12), false, Revision(11), {Change(12, "a", 2)}},
                     10,
                     1},
        TransferCase{"GapInside",
                     {Revision(13),
                      false,
                      Revision(10),
                      {Change(11, "a", 2), Change(13, "a", 3)}},
                     11,
                     2},
        TransferCase{"Old",
                     {Revision(9), true, {}, {Change(9, "a", 5)}},
                     10,
                     1},
        TransferCase{"Same",
                     {Revision(10), true, {}, {Change(10, "a", 5)}},
                     10,
                     1},
        TransferCase{"Deletion",
                     {Revision(11),
                      false,
                      Revision(10),
                      {{Revision(11), {kPriority, "a"}, std::nullopt}}},
                     11,
                     -1},
        TransferCase{"WholeWithoutIt",
                     {Revision(20), true, {}, {Change(15, "b", 5)}},
                     20,
                     -1}),
    [](const auto& info) { return info.param.m_name; });

TEST(Gossip, CarriesTheNewestChanges) {
  const GossipMessage sent{
      .m_revision = Revision(12),
      .m_changes = {Change(11, "a", 2),
                    {Revision(12), {kPriority, "b"}, std::nullopt}}};
  const std::optional<GossipMessage> received =
      DecodeGossip(EncodeGossip(sent));
  ASSERT_TRUE(received);
  ASSERT_EQ(received->m_changes.size(), 2U);
  for (int index = 0; index < 2; ++index) {
    EXPECT_EQ(received->m_changes[index].m_revision,
              sent.m_changes[index].m_revision);
    EXPECT_EQ(received->m_changes[index].m_key, sent.m_changes[index].m_key);
    EXPECT_EQ(received->m_changes[index].m_json, sent.m_changes[index].m_json);
  }
}

TEST(ApplyTransfer, KeepsRuntimeStateOfRemainingRows) {
  World world;
  auto transfer = [](int revision, const char* upstream, const char* weight) {
    return ConfigurationTransfer{
        Revision(revision),
        true,
        {},
        {{Revision(revision),
          {ObjectKind::kUpstream, "e"},
          std::string(R"({"address":")") + upstream + R"(","weight":)" +
              weight + "}"},
         {Revision(revision), {ObjectKind::kCustomer, "c"}, "{}"}}};
  };
  const TimePoint later(seconds(9));
  ApplyTransfer(world, transfer(1, "127.0.0.1:1", "1"), TimePoint{});
  UpstreamRow& row = *world.m_upstreams.Find(UpstreamId("e"));
  row.m_local_running = 4;
  row.m_status = UpstreamStatus::kEjected;
  row.m_report = ProbedLoad{.m_running = 7};
  world.m_customers[CustomerId("c")].m_running = 3;

  ApplyTransfer(world, transfer(2, "127.0.0.1:1", "2"), later);
  EXPECT_EQ(row.m_weight, 2);
  EXPECT_EQ(row.m_status, UpstreamStatus::kEjected);
  EXPECT_EQ(row.m_report->m_running, 7);
  EXPECT_EQ(world.m_customers[CustomerId("c")].m_running, 3);

  ApplyTransfer(world, transfer(3, "127.0.0.1:2", "2"), later);
  EXPECT_EQ(row.m_status, UpstreamStatus::kUsable);
  EXPECT_FALSE(row.m_report);
  EXPECT_EQ(row.m_local_running, 4);
  EXPECT_EQ(row.m_slow_start_since, later);
}

// Failure: after a token had moved from b to a, an instance that applied the
// whole configuration, a before b, answered 401 to it.
TEST(ApplyTransfer, KeepsATokenThatMovedToAnEarlierCustomer) {
  const auto customer = [](int revision, const char* id, char digit) {
    return ConfigurationChange{
        Revision(revision),
        {ObjectKind::kCustomer, id},
        R"({"token_digests":[")" + std::string(64, digit) + R"("]})"};
  };
  World world;
  ApplyTransfer(world,
                {Revision(11),
                 true,
                 {},
                 {customer(10, "a", '1'), customer(11, "b", '2')}},
                TimePoint{});
  ApplyTransfer(world,
                {Revision(13),
                 true,
                 {},
                 {customer(12, "a", '2'), customer(13, "b", '3')}},
                TimePoint{});
  const auto& by_token = world.m_configuration.m_customers_by_token;
  ASSERT_TRUE(by_token.contains(std::string(64, '2')));
  EXPECT_EQ(by_token.at(std::string(64, '2')), CustomerId("a"));
  EXPECT_FALSE(by_token.contains(std::string(64, '1')));
}

TEST(MakeTransfer, ReturnsTheChangesWhileTheyAreRetained) {
  World world;
  world.m_configuration_state.m_parameters.m_recent_change_limit = 3;
  ApplyTransfer(world, {Revision(10), true, {}, {Change(10, "a", 1)}},
                TimePoint{});
  for (int revision = 11; revision <= 15; ++revision) {
    ApplyTransfer(world,
                  {Revision(revision),
                   false,
                   Revision(revision - 1),
                   {Change(revision, "b", revision)}},
                  TimePoint{});
  }
  EXPECT_EQ(MakeTransfer(world, Revision(15)).m_changes.size(), 0U);
  EXPECT_EQ(MakeTransfer(world, Revision(12)).m_changes.size(), 3U);
  EXPECT_FALSE(MakeTransfer(world, Revision(12)).m_whole);
  EXPECT_TRUE(MakeTransfer(world, Revision(11)).m_whole);
  EXPECT_EQ(MakeTransfer(world, Revision()).m_changes.size(), 2U);
}

class FleetTest : public testing::Test {
 protected:
  void Set(int index, const char* command, const char* id, int rank) {
    const OperatorReply reply =
        m_fleet.Execute(index, SetCommand(command, kPriority, id, Rank(rank)));
    ASSERT_EQ(reply.m_result, OperatorResult::kAccepted);
  }
  void ExpectOnAllInstances(const char* id, int rank) {
    for (int index = 0; index < m_fleet.size(); ++index) {
      EXPECT_EQ(RankAt(m_fleet, index, id), rank) << "instance " << index;
    }
  }

  ConfigurationFleetForTest m_fleet{7};
};

TEST_F(FleetTest, AChangeReachesAllInstancesWithinTwoSeconds) {
  Set(3, "c1", "a", 1);
  m_fleet.Run(seconds(2));
  ExpectOnAllInstances("a", 1);
  EXPECT_TRUE(ReportInForce(m_fleet.At(0), Revision(1)).m_waiting.empty());
  Set(5, "c2", "a", 2);
  m_fleet.Run(seconds(2));
  ExpectOnAllInstances("a", 2);
  EXPECT_GT(m_fleet.m_incremental_transfers, 0);
}

TEST_F(FleetTest, FewInstancesPollTheTableService) {
  Set(0, "c1", "a", 1);
  m_fleet.Run(seconds(2));
  m_fleet.m_reads = 0;
  m_fleet.Run(seconds(60));
  const int pollers =
      m_fleet.At(0).m_configuration_state.m_parameters.m_pollers;
  EXPECT_LE(m_fleet.m_reads, pollers * 61);
  EXPECT_GE(m_fleet.m_reads, pollers * 55);
}

TEST_F(FleetTest, AnInstanceStartsFromPeersWhileTheTableServiceIsDown) {
  Set(0, "c1", "a", 1);
  m_fleet.Run(seconds(2));
  m_fleet.m_outage = true;
  m_fleet.Restart(4);
  EXPECT_FALSE(m_fleet.At(4).m_configuration.Ready());
  m_fleet.Run(seconds(2));
  EXPECT_TRUE(m_fleet.At(4).m_configuration.Ready());
  ExpectOnAllInstances("a", 1);
}

TEST_F(FleetTest, WithoutPeersAndTableServiceAnInstanceIsNotReady) {
  Set(0, "c1", "a", 1);
  m_fleet.m_outage = true;
  for (int index = 0; index < 7; ++index) {
    m_fleet.Restart(index);
  }
  m_fleet.Run(seconds(10));
  EXPECT_FALSE(m_fleet.At(2).m_configuration.Ready());
  m_fleet.m_outage = false;
  m_fleet.Run(seconds(3));
  ExpectOnAllInstances("a", 1);
}

TEST_F(FleetTest, AnObjectDeletedWhileAnInstanceWasPausedStaysDeleted) {
  for (const bool far : {false, true}) {
    SCOPED_TRACE(far);
    const std::string suffix = far ? "far" : "near";
    Set(0, ("set" + suffix).c_str(), "gone", 1);
    m_fleet.Run(seconds(2));
    m_fleet.m_paused.insert(6);
    ASSERT_EQ(
        m_fleet.Execute(1, DeleteCommand("delete" + suffix, kPriority, "gone"))
            .m_result,
        OperatorResult::kAccepted);
    for (int change = 0; far && change < 20; ++change) {
      Set(2, ("more" + std::to_string(change)).c_str(), "b", change);
    }
    for (int index = 0; far && index < 6; ++index) {
      // Peers no longer retain the single changes.
      m_fleet.At(index).m_configuration.m_recent_changes.clear();
    }
    m_fleet.m_paused.clear();
    m_fleet.Run(seconds(3));
    ExpectOnAllInstances("gone", -1);
  }
  EXPECT_GT(m_fleet.m_full_transfers, 0);
}

TEST_F(FleetTest, AnInstanceWithoutPeersIsIsolatedUntilTheTableServiceReturns) {
  Set(0, "c1", "a", 1);
  m_fleet.Run(seconds(2));
  for (int other = 0; other < 6; ++other) {
    m_fleet.m_cut.insert({other, 6});
  }
  m_fleet.Run(seconds(40));
  EXPECT_FALSE(m_fleet.At(6).m_configuration.m_isolated);  // Has the store.
  m_fleet.m_no_store = {6};
  m_fleet.Run(seconds(25));
  EXPECT_FALSE(m_fleet.At(6).m_configuration.m_isolated);
  m_fleet.Run(seconds(10));
  EXPECT_TRUE(m_fleet.At(6).m_configuration.m_isolated);
  EXPECT_FALSE(m_fleet.At(0).m_configuration.m_isolated);
  m_fleet.m_no_store.clear();
  m_fleet.Run(seconds(2));
  EXPECT_FALSE(m_fleet.At(6).m_configuration.m_isolated);
}

TEST_F(FleetTest, APartitionThatReachesTheTableServiceReceivesChanges) {
  Set(0, "c1", "a", 1);
  for (int left = 0; left < 3; ++left) {
    for (int right = 3; right < 7; ++right) {
      m_fleet.m_cut.insert({left, right});
    }
  }
  m_fleet.Run(seconds(10));
  Set(0, "c2", "a", 2);
  m_fleet.Run(seconds(10));
  // Without messages from the other side, an instance of this side polls.
  ExpectOnAllInstances("a", 2);
}

TEST_F(FleetTest, ASnapshotReadDuringChangesIsConsistent) {
  for (int index = 0; index < 7; ++index) {
    m_fleet.At(index).m_configuration_state.m_parameters.m_scan_limit = 2;
  }
  for (int object = 0; object < 9; ++object) {
    const std::string id = "p" + std::to_string(object);
    Set(0, id.c_str(), id.c_str(), 0);
  }
  for (int other = 0; other < 6; ++other) {
    m_fleet.m_cut.insert({other, 6});
  }
  m_fleet.Restart(6);
  m_fleet.At(6).m_configuration_state.m_parameters.m_scan_limit = 2;
  for (int object = 0; object < 9; ++object) {
    const std::string id = "p" + std::to_string(8 - object);
    Set(0, ("again" + id).c_str(), id.c_str(), 7);
  }
  m_fleet.Run(seconds(5));
  EXPECT_EQ(m_fleet.At(6).m_configuration.m_revision, Revision(18));
  for (int object = 0; object < 9; ++object) {
    EXPECT_EQ(RankAt(m_fleet, 6, ("p" + std::to_string(object)).c_str()), 7);
  }
}

}  // namespace
}  // namespace nutmeghollow

#include "nutmeghollow/gossip.h"

#include <gtest/gtest.h>

#include <random>

#include "libnutmeg/fleet_for_test.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

GossipMessage FullMessage() {
  GossipMessage message{.m_kind = GossipKind::kPingRequest,
                        .m_probe = 77,
                        .m_target = InstanceId("target"),
                        .m_incarnation = Incarnation(1700000000000),
                        .m_leaving = true,
                        .m_want_details = true,
                        .m_revision = Revision(12),
                        .m_highest_seen = Revision(13),
                        .m_member_digest = 99,
                        .m_loads_complete = true};
  message.m_members = {
      {InstanceId("plain"), Incarnation(3), InstanceStatus::kSuspect, {}},
      {InstanceId("whole"), Incarnation(4), InstanceStatus::kLeaving,
       MemberDetails{Endpoint("1.2.3.4:1"), Endpoint("1.2.3.4:2"),
                     DataCentreId("dc"), RegionId("r")}}};
  message.m_confirmations = {{NameHash(5), Revision(11)}};
  message.m_verdicts = {
      {NameHash(6), 1, ProbeVerdict::kLeaving, 40, 31, milliseconds(240)}};
  message.m_loads = {{NameHash(7), 9}};
  message.m_demands = {{NameHash(8), 3, 4, 2.25}};
  message.m_suspects = {
      {RequestDigest(10), {NameHash(6), NameHash(7)}, true, seconds(60)}};
  return message;
}

TEST(GossipCodec, KeepsEveryField) {
  const GossipMessage in = FullMessage();
  const std::optional<GossipMessage> out = DecodeGossip(EncodeGossip(in));
  ASSERT_TRUE(out);
  EXPECT_EQ(out->m_kind, in.m_kind);
  EXPECT_EQ(out->m_probe, in.m_probe);
  EXPECT_EQ(out->m_target, in.m_target);
  EXPECT_EQ(out->m_incarnation, in.m_incarnation);
  EXPECT_TRUE(out->m_leaving);
  EXPECT_TRUE(out->m_want_details);
  EXPECT_EQ(out->m_revision, in.m_revision);
  EXPECT_EQ(out->m_highest_seen, in.m_highest_seen);
  EXPECT_EQ(out->m_member_digest, in.m_member_digest);
  EXPECT_TRUE(out->m_loads_complete);
  ASSERT_EQ(out->m_members.size(), 2U);
  EXPECT_EQ(out->m_members[0].m_status, InstanceStatus::kSuspect);
  EXPECT_FALSE(out->m_members[0].m_details);
  EXPECT_EQ(out->m_members[1].m_details->m_data_centre, DataCentreId("dc"));
  EXPECT_EQ(out->m_confirmations.at(0).m_revision, Revision(11));
  const VerdictEntry& verdict = out->m_verdicts.at(0);
  EXPECT_EQ(verdict.m_slot, 1);
  EXPECT_EQ(verdict.m_verdict, ProbeVerdict::kLeaving);
  EXPECT_EQ(verdict.m_running, 40);
  EXPECT_EQ(verdict.m_queued, 31);
  EXPECT_EQ(verdict.m_age, milliseconds(240));
  EXPECT_EQ(out->m_loads.at(0).m_running, 9);
  EXPECT_DOUBLE_EQ(out->m_demands.at(0).m_rate, 2.25);
  EXPECT_EQ(out->m_suspects.at(0).m_crashed_upstreams.size(), 2U);
  EXPECT_TRUE(out->m_suspects.at(0).m_quarantined);
  EXPECT_EQ(out->m_suspects.at(0).m_time_left, seconds(60));
}

// Malformed payloads, decoded directly or received as datagrams, must neither
// crash the process nor change the status of the own instance.
TEST(GossipCodec, SurvivesTruncatedChangedAndRandomPayloads) {
  const std::string whole = EncodeGossip(FullMessage());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    DecodeGossip(std::string_view(whole).substr(0, size));
  }
  std::mt19937_64 random(5);
  for (int i = 0; i < 50000; ++i) {
    std::string payload = whole;
    if (i % 2 == 0) {
      payload.assign(random() % kGossipPayloadLimit, '\0');
      for (char& byte : payload) {
        byte = static_cast<char>(random());
      }
    }
    for (int changes = 0; changes < 3 && !payload.empty(); ++changes) {
      payload[random() % payload.size()] = static_cast<char>(random());
    }
    DecodeGossip(payload);
  }
  FleetForTest fleet(1, 1, 1);
  World& world = fleet.At(0);
  for (int i = 0; i < 2000; ++i) {
    std::string payload = whole;
    payload[random() % payload.size()] = static_cast<char>(random());
    world.m_membership_inbox.m_datagrams.push_back(
        {InstanceId("inst-1"), payload, Endpoint("127.0.0.1:1")});
  }
  fleet.Run(seconds(1));
  EXPECT_EQ(world.m_instances.Find(world.m_instances.m_self)->m_status,
            InstanceStatus::kAlive);
}

/// Time in which entries reach all instances of a simulated fleet.
class Spreading : public ::testing::TestWithParam<int> {
 protected:
  Spreading() : m_fleet(GetParam(), 4, 11) {
    for (auto& [id, world] : m_fleet.Worlds()) {
      for (const char* name : {"u-1", "u-2"}) {
        const UpstreamId upstream(name);
        world->m_upstreams.m_rows[upstream].m_id = upstream;
      }
      const CustomerId customer("band");
      world->m_customers[customer].m_id = customer;
    }
    m_fleet.Run(seconds(20));
  }

  /// @return the time until a condition holds on every instance.
  Duration TimeUntilAll(const std::function<bool(World&)>& condition) {
    return m_fleet.RunUntil(seconds(60), [&] {
      for (auto& [id, world] : m_fleet.Worlds()) {
        if (!condition(*world)) {
          return false;
        }
      }
      return true;
    });
  }

  FleetForTest m_fleet;
};

TEST_P(Spreading, OfARevisionAndItsConfirmations) {
  World& origin = m_fleet.At(0);
  origin.m_configuration.m_revision = Revision(5);
  const Duration received = TimeUntilAll([](World& world) {
    return std::max(world.m_configuration.m_highest_seen,
                    world.m_configuration.m_revision) == Revision(5);
  });
  EXPECT_LT(received, seconds(2));
  for (auto& [id, world] : m_fleet.Worlds()) {
    world->m_configuration.m_revision = Revision(5);
  }
  const Duration confirmed = m_fleet.RunUntil(seconds(60), [&origin] {
    for (const auto& [id, row] : origin.m_instances.m_rows) {
      if (row.m_revision != Revision(5)) {
        return false;
      }
    }
    return true;
  });
  EXPECT_LT(confirmed, seconds(19));
}

TEST_P(Spreading, OfAQuarantine) {
  const RequestDigest digest(123);
  SuspectRow& row = m_fleet.At(1).m_suspects[digest];
  row.m_digest = digest;
  row.m_crashed_upstreams = {UpstreamId("u-1"), UpstreamId("u-2")};
  row.m_quarantined = true;
  row.m_expires_at = m_fleet.Now() + std::chrono::minutes(10);
  const Duration received = TimeUntilAll([digest](World& world) {
    auto found = world.m_suspects.find(digest);
    return found != world.m_suspects.end() && found->second.m_quarantined &&
           found->second.m_crashed_upstreams.size() == 2;
  });
  EXPECT_LT(received, seconds(3));
}

TEST_P(Spreading, OfLoadsToTheOwner) {
  for (auto& [id, world] : m_fleet.Worlds()) {
    world->m_upstreams.m_rows[UpstreamId("u-1")].m_owner = FleetForTest::Id(2);
  }
  World& owner = m_fleet.At(2);
  const UpstreamId upstream("u-1");
  const InstanceId sender = FleetForTest::Id(1);
  for (int running : {7, 3, 0}) {
    m_fleet.At(1).m_upstreams.m_rows[upstream].m_local_running = running;
    const Duration received_after = m_fleet.RunUntil(seconds(30), [&] {
      auto loads = owner.m_peers.m_loads.find(upstream);
      if (loads == owner.m_peers.m_loads.end() ||
          !loads->second.contains(sender)) {
        return running == 0;
      }
      return loads->second[sender].m_running == running;
    });
    EXPECT_LT(received_after, milliseconds(500)) << running;
  }
}

using SpreadingInASmallFleet = Spreading;

TEST_P(SpreadingInASmallFleet, OfDemand) {
  m_fleet.At(0).m_customers[CustomerId("band")].m_running = 12;
  const Duration received_after = m_fleet.RunUntil(seconds(60), [this] {
    auto& demands = m_fleet.At(3).m_peers.m_demands[CustomerId("band")];
    return demands[FleetForTest::Id(0)].m_running == 12;
  });
  EXPECT_LT(received_after, seconds(15));
}

INSTANTIATE_TEST_SUITE_P(FleetSizes, Spreading, ::testing::Values(7, 30));
INSTANTIATE_TEST_SUITE_P(FleetSizes,
                         SpreadingInASmallFleet,
                         ::testing::Values(7));

}  // namespace
}  // namespace nutmeghollow

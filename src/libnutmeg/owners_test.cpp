#include "nutmeghollow/owners.h"

#include <gtest/gtest.h>

#include "libnutmeg/placement_fixture.h"

namespace nutmeghollow {
namespace {

std::map<InstanceId, int> CountByInstance(
    const std::map<UpstreamId, InstanceId>& owners) {
  std::map<InstanceId, int> counts;
  for (const auto& [upstream, instance] : owners) {
    ++counts[instance];
  }
  return counts;
}

int CountMoved(const std::map<UpstreamId, InstanceId>& before,
               const std::map<UpstreamId, InstanceId>& after) {
  int moved = 0;
  for (const auto& [upstream, instance] : before) {
    moved += after.at(upstream) == instance ? 0 : 1;
  }
  return moved;
}

struct OwnerCase {
  const char* m_name;
  int m_engines;
  int m_instances;
  int m_lost;  ///< Instances that become dead or leave.
};

class OwnerShares : public testing::TestWithParam<OwnerCase> {};

TEST_P(OwnerShares, AreEvenAndMoveLittle) {
  const OwnerCase& test = GetParam();
  PlacementFixture fixture(test.m_engines, test.m_instances);
  const auto before = ComputeOwners(fixture.m_world);
  ASSERT_EQ(before.size(), static_cast<std::size_t>(test.m_engines));
  const int share = (test.m_engines + test.m_instances - 1) / test.m_instances;
  for (const auto& [instance, count] : CountByInstance(before)) {
    EXPECT_LE(count, share);
  }
  int orphaned = 0;
  for (int index = 0; index < test.m_lost; ++index) {
    const InstanceId id(fmt::format("instance-{:03}", index));
    fixture.m_world.m_instances.m_rows.at(id).m_status =
        index % 2 == 0 ? InstanceStatus::kDead : InstanceStatus::kLeaving;
    orphaned += CountByInstance(before)[id];
  }
  const auto after = ComputeOwners(fixture.m_world);
  for (const auto& [upstream, instance] : after) {
    EXPECT_TRUE(instance >=
                InstanceId(fmt::format("instance-{:03}", test.m_lost)));
  }
  EXPECT_LE(CountMoved(before, after), 2 * orphaned + 1);
}

INSTANTIATE_TEST_SUITE_P(Tables,
                         OwnerShares,
                         testing::Values(OwnerCase{"Today", 12, 7, 0},
                                         OwnerCase{"TodayOneLost", 12, 7, 1},
                                         OwnerCase{"TodayThreeLost", 12, 7, 3},
                                         OwnerCase{"DesignSize", 760, 360, 16}),
                         [](const auto& info) {
                           return std::string(info.param.m_name);
                         });

TEST(Owners, AreInTheDataCentreOfTheEngine) {
  PlacementFixture fixture(12, 7);
  const std::vector<DataCentreId> centres{DataCentreId("a"), DataCentreId("b"),
                                          DataCentreId("c")};
  int index = 0;
  for (auto& [id, row] : fixture.m_world.m_instances.m_rows) {
    row.m_data_centre = centres[index++ % 3];
  }
  for (auto& [id, row] : fixture.m_world.m_upstreams.m_rows) {
    row.m_data_centre = centres[index++ % 3];
  }
  for (const auto& [upstream, instance] : ComputeOwners(fixture.m_world)) {
    EXPECT_EQ(fixture.m_world.m_upstreams.Find(upstream)->m_data_centre,
              fixture.m_world.m_instances.Find(instance)->m_data_centre);
  }
}

/// Status of the owner of a chat's home engine, and whether an entry lookup
/// returns it.
struct EntryCase {
  const char* m_name;
  InstanceStatus m_owner;
  bool m_first;  ///< The owner is returned first; otherwise not at all.
};

class Entries : public testing::TestWithParam<EntryCase> {};

TEST_P(Entries, NameTheOwnerWhileItIsAlive) {
  PlacementFixture fixture(12, 7);
  UpdateOwners(fixture.m_world, fixture.m_now);
  const ChatKey chat(77);
  const UpstreamId engine = EntryEngine(fixture.m_world, fixture.Route(), chat);
  const InstanceId owner = fixture.m_world.m_upstreams.Find(engine)->m_owner;
  fixture.m_world.m_instances.m_rows.at(owner).m_status = GetParam().m_owner;
  const EntryLookupResult lookup =
      ChooseEntry(fixture.m_world, chat, RouteId("model"), fixture.m_now);
  ASSERT_EQ(lookup.m_addresses.size(), 3U);
  const Endpoint address(owner.str() + ":80");
  EXPECT_EQ(lookup.m_addresses[0] == address, GetParam().m_first);
  if (!GetParam().m_first) {
    for (const Endpoint& other : lookup.m_addresses) {
      EXPECT_NE(other, address);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Tables,
    Entries,
    testing::Values(EntryCase{"Alive", InstanceStatus::kAlive, true},
                    EntryCase{"Suspect", InstanceStatus::kSuspect, false},
                    EntryCase{"Leaving", InstanceStatus::kLeaving, false},
                    EntryCase{"Dead", InstanceStatus::kDead, false}),
    [](const auto& info) { return std::string(info.param.m_name); });

TEST(Entries, NeverNameLeavingOrDeadInstances) {
  PlacementFixture fixture(2, 2);
  for (auto& [id, row] : fixture.m_world.m_instances.m_rows) {
    row.m_status = InstanceStatus::kLeaving;
  }
  const EntryLookupResult lookup =
      ChooseEntry(fixture.m_world, std::nullopt, std::nullopt, fixture.m_now);
  EXPECT_TRUE(lookup.m_addresses.empty());
}

TEST(Entries, AreAlikeOnInstancesThatDisagreeAboutAnother) {
  // Guards against chats that move without need when instances disagree on
  // membership: marking one of seven instances dead changes the lookups of at
  // most three times its share of the chats.
  PlacementFixture fixture(12, 7);
  UpdateOwners(fixture.m_world, fixture.m_now);
  std::map<std::uint64_t, Endpoint> first;
  const auto look_up = [&](std::uint64_t chat) {
    return ChooseEntry(fixture.m_world, ChatKey(chat), RouteId("model"),
                       fixture.m_now)
        .m_addresses[0];
  };
  for (std::uint64_t chat = 1; chat <= 700; ++chat) {
    first[chat] = look_up(chat);
  }
  fixture.m_world.m_instances.m_rows.at(InstanceId("instance-003")).m_status =
      InstanceStatus::kDead;
  UpdateOwners(fixture.m_world, fixture.m_now + std::chrono::seconds(1));
  int moved = 0;
  for (const auto& [chat, address] : first) {
    moved += look_up(chat) == address ? 0 : 1;
  }
  EXPECT_LE(moved, 3 * 700 / 7);
}

}  // namespace
}  // namespace nutmeghollow

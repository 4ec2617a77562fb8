#include "nutmeghollow/send_rules.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("service");
const DataCentreId kNorth("north");
const DataCentreId kSouth("south");

TimePoint At(Duration since_start) {
  return TimePoint(seconds(100)) + since_start;
}

RegisteredUpstream Registration(const std::string& id,
                                const DataCentreId& data_centre) {
  RegisteredUpstream upstream;
  upstream.m_id = UpstreamId(id);
  upstream.m_service = kService;
  upstream.m_endpoint = Endpoint("10.0.0.1:80");
  upstream.m_data_centre = data_centre;
  upstream.m_slots = 8;
  return upstream;
}

/// Puts the upstreams n0, n1, n2 of the north and s0, s1, s2 of the south into
/// a pool.
void PutUpstreams(UpstreamPool& pool) {
  for (const char* index : {"0", "1", "2"}) {
    pool.Put(Registration(std::string("n") + index, kNorth), At({}));
    pool.Put(Registration(std::string("s") + index, kSouth), At({}));
  }
  pool.SetRegions({{kNorth, RegionId("r1")}, {kSouth, RegionId("r2")}});
}

UpstreamQuery MakeQuery() {
  UpstreamQuery query;
  query.m_service = kService;
  query.m_latency_target = milliseconds(800);
  return query;
}

/// @return the first letters of the upstreams chosen for many requests.
std::set<char> ChosenPlaces(UpstreamPool& pool, const UpstreamQuery& query) {
  std::set<char> places;
  for (int round = 0; round < 40; ++round) {
    const auto choice = pool.Choose(query, At({}));
    if (choice) {
      places.insert(choice->m_id.str().front());
    }
  }
  return places;
}

struct RestrictionCase {
  const char* m_name;
  std::function<void(UpstreamPool&, UpstreamQuery&)> m_change;
  std::set<char> m_places;
};
class Restriction : public testing::TestWithParam<RestrictionCase> {};

// Guards against requests that reach an evacuated data centre or a region
// outside the homes of their route, and against restrictions that keep requests
// from other upstreams.
TEST_P(Restriction, DecidesWhereRequestsGo) {
  UpstreamPool pool;
  PutUpstreams(pool);
  UpstreamQuery query = MakeQuery();
  GetParam().m_change(pool, query);
  EXPECT_EQ(ChosenPlaces(pool, query), GetParam().m_places);
  for (const UpstreamId& id : pool.Ids()) {
    EXPECT_EQ(pool.TakesRequests(query, id, 0),
              GetParam().m_places.contains(id.str().front()))
        << id.str();
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Restriction,
    testing::Values(
        RestrictionCase{"None",
                        [](UpstreamPool&, UpstreamQuery&) {},
                        {'n', 's'}},
        RestrictionCase{"Evacuated",
                        [](UpstreamPool& pool, UpstreamQuery&) {
                          pool.BeginEvacuation(kNorth);
                        },
                        {'s'}},
        RestrictionCase{"EvacuationEnded",
                        [](UpstreamPool& pool, UpstreamQuery&) {
                          pool.BeginEvacuation(kNorth);
                          pool.EndEvacuation(kNorth);
                        },
                        {'n', 's'}},
        RestrictionCase{"SecondEvacuation",
                        [](UpstreamPool& pool, UpstreamQuery&) {
                          pool.BeginEvacuation(kNorth);
                          pool.BeginEvacuation(kSouth);
                          pool.EndEvacuation(kNorth);
                        },
                        {'n'}},
        RestrictionCase{"AllEvacuated",
                        [](UpstreamPool& pool, UpstreamQuery&) {
                          pool.BeginEvacuation(kNorth);
                          pool.BeginEvacuation(kSouth);
                        },
                        {}},
        RestrictionCase{"OtherDataCentreEvacuated",
                        [](UpstreamPool& pool, UpstreamQuery&) {
                          pool.BeginEvacuation(DataCentreId("west"));
                        },
                        {'n', 's'}},
        RestrictionCase{"UnusableNames",
                        [](UpstreamPool& pool, UpstreamQuery&) {
                          EXPECT_FALSE(pool.BeginEvacuation(DataCentreId("")));
                          EXPECT_FALSE(pool.BeginEvacuation(
                              DataCentreId(std::string(201, 'x'))));
                        },
                        {'n', 's'}},
        RestrictionCase{"HomeRegion",
                        [](UpstreamPool&, UpstreamQuery& query) {
                          query.m_homes = MakeHomeRegions({RegionId("r2")});
                        },
                        {'s'}},
        RestrictionCase{"HomeRegionIsEvacuated",
                        [](UpstreamPool& pool, UpstreamQuery& query) {
                          query.m_homes = MakeHomeRegions({RegionId("r2")});
                          pool.BeginEvacuation(kSouth);
                        },
                        {}},
        RestrictionCase{"UnknownRegionsAreOutside",
                        [](UpstreamPool& pool, UpstreamQuery& query) {
                          query.m_homes = MakeHomeRegions({RegionId("r1")});
                          pool.SetRegions({{kSouth, RegionId("r1")}});
                        },
                        {'s'}}),
    [](const auto& info) { return info.param.m_name; });

TEST(SendRules, KeepEvacuatedEnginesOutOfTheSpreadOfAHotChat) {
  UpstreamPool pool;
  PutUpstreams(pool);
  pool.SetLoadAge(milliseconds(500));
  pool.BeginEvacuation(kNorth);
  const std::vector<PromptPart> prompt{{PartId(1), Tokens(9000)},
                                       {PartId(2), Tokens(10)}};
  UpstreamQuery query = MakeQuery();
  query.m_prompt = &prompt;
  for (int round = 0; round < 300; ++round) {
    const TimePoint now = At(milliseconds(2 * round));
    const auto choice = pool.Choose(query, now);
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->m_id.str().front(), 's');
    pool.NoteSent(choice->m_id, &prompt, now);
    pool.NoteEnd(choice->m_id, AttemptHealth::kServed, milliseconds(10),
                 &prompt, true, now);
  }
}

TEST(SendRules, LeaveRequestsInProgressAloneAndCountThem) {
  UpstreamPool pool;
  PutUpstreams(pool);
  pool.NoteSent(UpstreamId("n1"), nullptr, At({}));
  pool.BeginEvacuation(kNorth);
  EXPECT_EQ(pool.Active(UpstreamId("n1")), 1);
  EXPECT_EQ(pool.UseOf(kNorth).m_upstreams, 3);
  EXPECT_EQ(pool.UseOf(kNorth).m_active, 1);
  EXPECT_EQ(pool.EvacuatedUpstreams(), 3);
  EXPECT_EQ(pool.Accepting(At({})).size(), 3U);
}

struct HomesCase {
  const char* m_name;
  std::vector<const char*> m_route;
  std::vector<const char*> m_customer;
  std::set<std::string> m_allowed;  ///< Of r1, r2, r3 and an unknown region.
};
class Homes : public testing::TestWithParam<HomesCase> {};

TEST_P(Homes, OfRouteAndCustomerBothBind) {
  const auto homes = [](const std::vector<const char*>& names) {
    std::vector<RegionId> regions;
    regions.reserve(names.size());
    for (const char* name : names) {
      regions.emplace_back(name);
    }
    return MakeHomeRegions(regions);
  };
  const HomeRegions both =
      Intersect(homes(GetParam().m_route), homes(GetParam().m_customer));
  std::set<std::string> allowed;
  for (const char* region : {"r1", "r2", "r3", ""}) {
    if (Allows(both, RegionId(region))) {
      allowed.insert(region);
    }
  }
  EXPECT_EQ(allowed, GetParam().m_allowed);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Homes,
    testing::Values(HomesCase{"Neither", {}, {}, {"r1", "r2", "r3", ""}},
                    HomesCase{"Route", {"r1", "r2"}, {}, {"r1", "r2"}},
                    HomesCase{"Customer", {}, {"r3"}, {"r3"}},
                    HomesCase{"Both", {"r1", "r2"}, {"r2", "r3"}, {"r2"}},
                    HomesCase{"NothingInCommon", {"r1"}, {"r2"}, {}}),
    [](const auto& info) { return info.param.m_name; });

struct ObstacleCase {
  SendObstacle m_obstacle;
  bool m_lasting;
};
class Obstacle : public testing::TestWithParam<ObstacleCase> {};

TEST_P(Obstacle, HasANameAndMayLast) {
  EXPECT_EQ(IsLasting(GetParam().m_obstacle), GetParam().m_lasting);
  EXPECT_STRNE(SendObstacleName(GetParam().m_obstacle), "unknown");
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Obstacle,
    testing::Values(ObstacleCase{SendObstacle::kNone, false},
                    ObstacleCase{SendObstacle::kLeaving, true},
                    ObstacleCase{SendObstacle::kEvacuated, true},
                    ObstacleCase{SendObstacle::kOutsideHomes, true},
                    ObstacleCase{SendObstacle::kOtherOrigin, true},
                    ObstacleCase{SendObstacle::kAlreadyTried, false},
                    ObstacleCase{SendObstacle::kRefusing, false},
                    ObstacleCase{SendObstacle::kNeedsPermit, false},
                    ObstacleCase{SendObstacle::kNeedsLease, false},
                    ObstacleCase{SendObstacle::kBackingOff, false}));

}  // namespace
}  // namespace nutmeghollow

#include "nutmeghollow/store_access.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kMiddle = 0.5;

struct FleetCase {
  int m_instances;
  int m_max_calls_per_second;  ///< Of all instances together.
};

class RefusedFleet : public testing::TestWithParam<FleetCase> {};

// Failure: while the store refused instances, each of them called it again
// every 50 ms for each table, 400 times a second at 81 instances. The bounds
// are 40 calls a second, 25% more for the variation; where the longest spacing
// applies, half a call a second for each instance, likewise.
TEST_P(RefusedFleet, MakesABoundedNumberOfCalls) {
  constexpr int kTables = 3;
  constexpr int kSeconds = 9;
  std::mt19937 random(1);
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<StoreAccess> fleet(
      static_cast<std::size_t>(GetParam().m_instances));
  for (StoreAccess& access : fleet) {
    access.SetInstances(GetParam().m_instances);
    access.NoteFailure(TimePoint(), draw(random));
  }
  int calls = 0;
  for (TimePoint now; now < TimePoint(seconds(kSeconds));
       now += milliseconds(50)) {
    for (StoreAccess& access : fleet) {
      for (int table = 0; table < kTables; ++table) {
        if (access.MayCall(now, draw(random))) {
          ++calls;
          access.NoteFailure(now, draw(random));
        }
      }
    }
  }
  EXPECT_LE(calls, GetParam().m_max_calls_per_second * kSeconds);
  EXPECT_GT(calls, 0);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         RefusedFleet,
                         testing::Values(FleetCase{7, 50},
                                         FleetCase{81, 51},
                                         FleetCase{360, 225}));

TEST(StoreAccess, AllowsAnyCallUnlessTheLastReadFailed) {
  StoreAccess access;
  EXPECT_TRUE(access.MayCall(TimePoint(), kMiddle));
  EXPECT_TRUE(access.MayCall(TimePoint(), kMiddle));
  access.NoteFailure(TimePoint(), kMiddle);
  EXPECT_FALSE(access.MayCall(TimePoint(), kMiddle));
  access.NoteSuccess();
  EXPECT_TRUE(access.MayCall(TimePoint(), kMiddle));
  EXPECT_FALSE(access.Fails(TimePoint()));
}

// Failure: an instance that the store refuses stayed elected, and the others
// of its data centre queried the store themselves.
TEST(StoreAccess, PausesTheElectionAfterAFailure) {
  StoreAccess access;
  access.NoteFailure(TimePoint(), kMiddle);
  EXPECT_TRUE(access.Fails(TimePoint(seconds(9))));
  EXPECT_FALSE(access.Fails(TimePoint(seconds(10))));
}

}  // namespace
}  // namespace nutmeghollow

#include "nutmeghollow/priority_demand.h"

#include <gtest/gtest.h>

namespace nutmeghollow {
namespace {

struct DemandCase {
  double m_capacity;  ///< Of 30 requests per second, ten of each priority.
  int m_priority;
  double m_share;
};
class PriorityDemandShare : public ::testing::TestWithParam<DemandCase> {};

TEST_P(PriorityDemandShare, LeavesCapacityToTheMoreUrgent) {
  PriorityDemand demand;
  const TimePoint start{std::chrono::seconds(100)};
  for (int request = 0; request < 60; ++request) {
    demand.Note(request % 3, start + std::chrono::milliseconds(request * 33));
  }
  EXPECT_NEAR(demand.ServedShare(GetParam().m_priority, GetParam().m_capacity,
                                 start + std::chrono::milliseconds(1980)),
              GetParam().m_share, 0.11);
}
INSTANTIATE_TEST_SUITE_P(Table,
                         PriorityDemandShare,
                         testing::Values(DemandCase{40, 0, 1},
                                         DemandCase{40, 2, 1},
                                         DemandCase{15, 0, 1},
                                         DemandCase{15, 1, 0.5},
                                         DemandCase{15, 2, 0.125},
                                         DemandCase{6, 0, 1},
                                         DemandCase{6, 1, 0.05},
                                         DemandCase{6, 2, 0.05}));

}  // namespace
}  // namespace nutmeghollow

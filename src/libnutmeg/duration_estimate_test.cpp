#include "nutmeghollow/duration_estimate.h"

#include <gtest/gtest.h>

#include <vector>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

struct EstimateCase {
  std::vector<int> m_durations_ms;  ///< Repeated 20 times.
  int m_least_ms;
  int m_most_ms;
};
class Estimate : public ::testing::TestWithParam<EstimateCase> {};

TEST_P(Estimate, IsAboveMostDurations) {
  DurationEstimate estimate;
  EXPECT_FALSE(estimate.UpperBound());
  for (int round = 0; round < 20; ++round) {
    for (const int duration : GetParam().m_durations_ms) {
      estimate.Note(milliseconds(duration));
    }
  }
  EXPECT_GE(*estimate.UpperBound(), milliseconds(GetParam().m_least_ms));
  EXPECT_LE(*estimate.UpperBound(), milliseconds(GetParam().m_most_ms));
}
INSTANTIATE_TEST_SUITE_P(
    Table,
    Estimate,
    testing::Values(EstimateCase{{100}, 100, 110},
                    EstimateCase{{100, 300}, 300, 700},
                    EstimateCase{{1500, 2500, 2000}, 2500, 4000}));

}  // namespace
}  // namespace nutmeghollow

#include "nutmeghollow/load_estimate.h"

#include <gtest/gtest.h>

#include <numeric>
#include <string>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

struct LevelCase {
  std::string m_name;
  std::vector<KnownLoad> m_loads;
  double m_arrivals;
  std::vector<double> m_probabilities;
};

class Interpretation : public testing::TestWithParam<LevelCase> {};

/// Guards against sending everything to the upstream that was idle in old data,
/// and against ignoring data that is fresh.
TEST_P(Interpretation, SendsWhatEachLacksToTheCommonLevel) {
  const LevelCase& param = GetParam();
  const auto probabilities = InterpretLoads(param.m_loads, param.m_arrivals);
  ASSERT_EQ(probabilities.size(), param.m_probabilities.size());
  for (std::size_t index = 0; index < probabilities.size(); ++index) {
    EXPECT_NEAR(probabilities[index], param.m_probabilities[index], 1e-9);
  }
  const double sum =
      std::accumulate(probabilities.begin(), probabilities.end(), 0.0);
  EXPECT_NEAR(sum, param.m_loads.empty() ? 0.0 : 1.0, 1e-9);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Interpretation,
    testing::Values(
        LevelCase{"None", {}, 10, {}},
        LevelCase{"FreshDataLeastLoad", {{3, 1}, {1, 1}, {2, 1}}, 0, {0, 1, 0}},
        LevelCase{"FewArrivals", {{9, 1}, {0, 1}, {2, 1}}, 4, {0, 0.75, 0.25}},
        LevelCase{"ManyArrivalsNearlyEqual",
                  {{0, 1}, {10, 1}},
                  990,
                  {500.0 / 990, 490.0 / 990}},
        LevelCase{"ByCapacity", {{0, 6}, {0, 2}}, 8, {0.75, 0.25}},
        LevelCase{"LoadForEachUnitOfCapacity",
                  {{6, 6}, {0, 2}},
                  10,
                  {0.6, 0.4}},
        LevelCase{"EqualLoads", {{2, 1}, {2, 1}}, 0, {0.5, 0.5}}),
    [](const auto& info) { return info.param.m_name; });

struct ArrivalCase {
  double m_requests;
  Duration m_age;
  Duration m_mean;
  std::optional<double> m_arrivals;
};

class Arrivals : public testing::TestWithParam<ArrivalCase> {};

TEST_P(Arrivals, FollowLittlesLaw) {
  const ArrivalCase& param = GetParam();
  const auto arrivals =
      ExpectedArrivals(param.m_requests, param.m_age, param.m_mean);
  ASSERT_EQ(arrivals.has_value(), param.m_arrivals.has_value());
  if (arrivals) {
    EXPECT_NEAR(*arrivals, *param.m_arrivals, 1e-9);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Arrivals,
    testing::Values(ArrivalCase{4.5, milliseconds(300), milliseconds(15), 90.0},
                    ArrivalCase{0, milliseconds(300), milliseconds(15), 0.0},
                    ArrivalCase{5, milliseconds(-10), milliseconds(15), 0.0},
                    ArrivalCase{5, milliseconds(300), milliseconds(0),
                                std::nullopt}));

struct DrawCase {
  std::vector<double> m_probabilities;
  double m_point;
  std::size_t m_index;
};

class Draw : public testing::TestWithParam<DrawCase> {};

/// Guards against drawing an upstream that has no probability.
TEST_P(Draw, FollowsTheProbabilities) {
  EXPECT_EQ(DrawIndex(GetParam().m_probabilities, GetParam().m_point),
            GetParam().m_index);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Draw,
                         testing::Values(DrawCase{{0, 0.5, 0.5}, 0.0, 1},
                                         DrawCase{{0, 0.5, 0.5}, 0.49, 1},
                                         DrawCase{{0, 0.5, 0.5}, 0.5, 2},
                                         DrawCase{{0.5, 0.49, 0}, 0.999, 1}));

struct FactorCase {
  std::optional<WorkFactor> m_stated;
  Duration m_age;
  double m_factor;
};

class Factor : public testing::TestWithParam<FactorCase> {};

/// Guards against avoiding an upstream because it was slow long ago.
TEST_P(Factor, LosesWeightWithAge) {
  EXPECT_NEAR(AgedWorkFactor(GetParam().m_stated, GetParam().m_age),
              GetParam().m_factor, 1e-9);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Factor,
    testing::Values(FactorCase{std::nullopt, milliseconds(0), 1.0},
                    FactorCase{WorkFactor(2.5), milliseconds(0), 2.5},
                    FactorCase{WorkFactor(2.5), milliseconds(500), 1.75},
                    FactorCase{WorkFactor(2.5), milliseconds(1000), 1.0},
                    FactorCase{WorkFactor(0.5), milliseconds(500), 0.75},
                    FactorCase{WorkFactor(2.5), milliseconds(-5), 2.5}));

}  // namespace
}  // namespace nutmeghollow

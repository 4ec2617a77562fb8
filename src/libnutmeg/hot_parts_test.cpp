#include "nutmeghollow/hot_parts.h"

#include <gtest/gtest.h>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

constexpr PartId kHot{7};
constexpr std::size_t kEngines = 160;

TimePoint At(int ms) {
  return TimePoint(std::chrono::seconds(100)) + milliseconds(ms);
}

struct SpreadCase {
  const char* m_name;
  int m_hot;     ///< Requests of the chat.
  int m_others;  ///< Requests of other chats, one each.
  std::size_t m_spread;
};

class Spread : public testing::TestWithParam<SpreadCase> {};

TEST_P(Spread, FollowsTheChatsShareOfTheRequests) {
  HotPartTracker parts({.m_load_fraction = 0.5, .m_min_requests = 10});
  for (int index = 0; index < GetParam().m_hot; ++index) {
    parts.Note(kHot, At(index));
  }
  for (int index = 0; index < GetParam().m_others; ++index) {
    parts.Note(PartId(1000 + static_cast<std::uint64_t>(index)), At(index));
  }
  EXPECT_EQ(parts.Spread(kHot, kEngines), GetParam().m_spread);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Spread,
                         testing::Values(SpreadCase{"Unknown", 0, 0, 1},
                                         SpreadCase{"TooFewRequests", 9, 0, 1},
                                         SpreadCase{"Usual", 10, 9990, 1},
                                         SpreadCase{"ATenth", 100, 900, 32},
                                         SpreadCase{"All", 100, 0, kEngines}),
                         [](const auto& info) { return info.param.m_name; });

TEST(HotPartTracker, IgnoresRequestsOlderThanTheWindow) {
  HotPartTracker parts({.m_window = milliseconds(1000), .m_min_requests = 10});
  for (int index = 0; index < 20; ++index) {
    parts.Note(kHot, At(index));
  }
  EXPECT_GT(parts.Spread(kHot, kEngines), 1U);
  parts.Note(PartId(1), At(600));
  EXPECT_GT(parts.Spread(kHot, kEngines), 1U);
  parts.Note(PartId(1), At(1200));
  EXPECT_EQ(parts.Spread(kHot, kEngines), 1U);
}

TEST(HotPartTracker, ReturnsTheRateOfTheWindow) {
  HotPartTracker parts({.m_window = milliseconds(2000)});
  for (int index = 0; index < 30; ++index) {
    parts.Note(kHot, At(index * 100));
  }
  EXPECT_NEAR(parts.Rate(kHot, At(2900)), 10.0, 1.0);
  EXPECT_EQ(parts.Rate(PartId(1), At(2900)), 0);
}

}  // namespace
}  // namespace nutmeghollow

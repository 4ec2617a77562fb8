#include "nutmeghollow/prompt_mix.h"

#include <gtest/gtest.h>

#include <string>

namespace nutmeghollow {
namespace {

struct MixCase {
  std::string m_name;
  int m_short_urgent;  ///< Of 10 requests.
  int m_long;
  bool m_is_mixed;
};

class Mix : public testing::TestWithParam<MixCase> {};

/// Guards against leaving engines idle for a class that a service lacks.
TEST_P(Mix, IsRecognisedByTheSharesOfBothClasses) {
  PromptMix mix;
  for (int count = 0; count < 400; ++count) {
    const int kind = count * 7 % 10;
    if (kind < GetParam().m_short_urgent) {
      mix.Note(0, 1500);
    } else if (kind < GetParam().m_short_urgent + GetParam().m_long) {
      mix.Note(2, 10512);
    } else {
      mix.Note(1, 2000);
    }
  }
  EXPECT_EQ(mix.IsMixed(), GetParam().m_is_mixed);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Mix,
                         testing::Values(MixCase{"BothClasses", 3, 3, true},
                                         MixCase{"NoUrgent", 0, 5, false},
                                         MixCase{"NoLong", 4, 0, false},
                                         MixCase{"FewUrgent", 1, 3, false},
                                         MixCase{"MostlyUrgent", 8, 2, false}),
                         [](const auto& info) { return info.param.m_name; });

TEST(PromptMix, ClassesDependOnRankAndLength) {
  PromptMix mix;
  mix.Note(1, 1000);
  mix.Note(2, 1000);
  EXPECT_EQ(mix.ClassOf(1, 500), PromptClass::kShortUrgent);
  EXPECT_EQ(mix.ClassOf(1, 5000), PromptClass::kOther);
  EXPECT_EQ(mix.ClassOf(2, 5000), PromptClass::kLong);
  EXPECT_EQ(mix.ClassOf(2, 500), PromptClass::kOther);
}

}  // namespace
}  // namespace nutmeghollow

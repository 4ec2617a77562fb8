#include "nutmeghollow/answer_memory.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace nutmeghollow {
namespace {

constexpr std::size_t kKilobyte = 1 << 10;
constexpr ResponseMemoryParameters kParameters{.m_total = 1000 * kKilobyte,
                                               .m_most = 800 * kKilobyte,
                                               .m_least = 2 * kKilobyte};

/// @return bytes that an answer without an end holds when it is cut.
std::size_t Fill(BufferedBody& body) {
  const std::string piece(kKilobyte, 'x');
  while (body.Append(piece)) {
  }
  return body.size();
}

struct ManyCase {
  int m_answers;
  std::size_t m_least;  ///< Bytes that each one may hold.
  std::size_t m_most;   ///< Bytes of all together.
};

class ManyAnswers : public testing::TestWithParam<ManyCase> {};

TEST_P(ManyAnswers, ShareTheMemoryAndKeepAPlaceForSmallOnes) {
  ResponseMemoryBudget memory(kParameters);
  std::vector<BufferedBody> bodies;
  for (int index = 0; index < GetParam().m_answers; ++index) {
    bodies.emplace_back(&memory);
    EXPECT_GE(Fill(bodies.back()), GetParam().m_least);
  }
  EXPECT_LE(memory.Held(), GetParam().m_most);
  bodies.clear();
  EXPECT_EQ(memory.Held(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ManyAnswers,
    testing::Values(ManyCase{1, 499 * kKilobyte, 800 * kKilobyte},
                    ManyCase{8, 2 * kKilobyte, 1000 * kKilobyte},
                    ManyCase{100, 2 * kKilobyte, 1200 * kKilobyte}));

TEST(BufferedBody, IsCountedOnceWhereverItMoves) {
  ResponseMemoryBudget memory(kParameters);
  BufferedBody first(&memory);
  ASSERT_TRUE(first.Append("abc"));
  BufferedBody second(std::move(first));
  BufferedBody third(&memory);
  ASSERT_TRUE(third.Append("de"));
  third = std::move(second);
  EXPECT_EQ(memory.Held(), 5U);  // The other body goes with its new owner.
  EXPECT_EQ(third.Release(), "abc");
  EXPECT_EQ(memory.Held(), 2U);
}

}  // namespace
}  // namespace nutmeghollow

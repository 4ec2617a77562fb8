#include "nutmeghollow/body_memory.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kKilobyte = 1 << 10;
/// Large bodies may use 768 KiB of it.
constexpr BodyMemoryParameters kParameters{.m_total = 1024 * kKilobyte,
                                           .m_small = 64 * kKilobyte,
                                           .m_stall = milliseconds(1000)};

struct OtherBody {
  std::size_t m_kilobytes;
  int m_progress_ms;  ///< Time of its latest progress.
  bool m_complete = false;
};

struct ReserveCase {
  const char* m_name;
  std::vector<OtherBody> m_others;
  std::size_t m_kilobytes;  ///< That another body needs at 2,000 ms.
  bool m_granted;
  std::vector<std::size_t> m_dropped;  ///< Indices in m_others, in order.
};

class BodyMemoryCases : public testing::TestWithParam<ReserveCase> {};

// Guards against bodies beyond the budget, and against the wrong body giving
// way.
TEST_P(BodyMemoryCases, DecidesWhoGetsMemory) {
  const TimePoint start{};
  BodyMemory memory(kParameters);
  std::vector<std::size_t> dropped;
  std::size_t expected = 0;
  for (std::size_t index = 0; index < GetParam().m_others.size(); ++index) {
    const OtherBody& other = GetParam().m_others[index];
    const BodyId id =
        memory.Open([&dropped, index] { dropped.push_back(index); }, start);
    ASSERT_TRUE(memory.Reserve(id, other.m_kilobytes * kKilobyte, start));
    memory.NoteProgress(id, start + milliseconds(other.m_progress_ms));
    if (other.m_complete) {
      memory.Complete(id);
    }
    expected += other.m_kilobytes;
  }
  const BodyId id = memory.Open([] { FAIL() << "dropped"; }, start);
  EXPECT_EQ(memory.Reserve(id, GetParam().m_kilobytes * kKilobyte,
                           start + milliseconds(2000)),
            GetParam().m_granted);
  EXPECT_EQ(dropped, GetParam().m_dropped);
  for (const std::size_t index : dropped) {
    expected -= GetParam().m_others[index].m_kilobytes;
  }
  expected += GetParam().m_granted ? GetParam().m_kilobytes : 0;
  EXPECT_EQ(memory.Reserved(), expected * kKilobyte);
  EXPECT_EQ(memory.Dropped(),
            static_cast<std::int64_t>(GetParam().m_dropped.size()));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BodyMemoryCases,
    testing::Values(
        ReserveCase{"Empty", {}, 768, true, {}},
        ReserveCase{"LargerThanTheBudget", {}, 769, false, {}},
        ReserveCase{"SmallOnesHaveTheRest", {{768, 2000}}, 64, true, {}},
        ReserveCase{"LargeOnesDoNot", {{768, 2000, true}}, 65, false, {}},
        ReserveCase{"StalledLongestFirst",
                    {{300, 900}, {100, 500}, {360, 1500}},
                    100,
                    true,
                    {1}},
        ReserveCase{"StalledAtTheLimit",
                    {{300, 1000}, {460, 1001}},
                    100,
                    true,
                    {0}},
        ReserveCase{"LargestOfThoseWithProgress",
                    {{300, 1500}, {460, 1500}},
                    100,
                    true,
                    {1}},
        ReserveCase{"SeveralGiveWay",
                    {{300, 10}, {460, 20}},
                    700,
                    true,
                    {0, 1}},
        ReserveCase{"EqualOnesStay",
                    {{384, 1500}, {384, 1500}},
                    384,
                    false,
                    {}},
        ReserveCase{"CompleteOnesStay",
                    {{384, 0, true}, {384, 0, true}},
                    100,
                    false,
                    {}}),
    [](const auto& test) { return test.param.m_name; });

// Guards against a default budget that callers inside the limits use up: 500
// bodies of 72,000 bytes on a machine of 160 MB.
TEST(BodyMemory, HoldsTheBodiesOfUsualCallers) {
  BodyMemory memory;
  for (int index = 0; index < 500; ++index) {
    const BodyId id = memory.Open([] { FAIL() << "dropped"; }, TimePoint());
    EXPECT_TRUE(memory.Reserve(id, 72'000, TimePoint()));
  }
}

// Guards against memory that stays reserved after the body is gone.
TEST(BodyReservation, EndsWithItsLastOwner) {
  const auto memory = std::make_shared<BodyMemory>(kParameters);
  BodyReservation moved;
  {
    BodyReservation body(
        memory, [] {}, TimePoint());
    ASSERT_TRUE(body.Reserve(100, TimePoint()));
    moved = std::move(body);
  }
  EXPECT_EQ(memory->Reserved(), 100U);
  moved = BodyReservation();
  EXPECT_EQ(memory->Reserved(), 0U);
}

TEST(BodyReservation, GrantsAllWithoutABudget) {
  BodyReservation body(
      nullptr, [] {}, TimePoint());
  EXPECT_TRUE(body.Reserve(std::size_t{1} << 40, TimePoint()));
}

}  // namespace
}  // namespace nutmeghollow

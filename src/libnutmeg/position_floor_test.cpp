#include "nutmeghollow/position_floor.h"

#include <gtest/gtest.h>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

TimePoint After(int time_ms) {
  return kStart + milliseconds(time_ms);
}

TEST(PositionFloor, ConcernsCallsThatWereSentLater) {
  PositionFloor floor;
  floor.NoteOwn(135, After(0));
  floor.NoteElsewhere(169, After(1000));
  EXPECT_FALSE(floor.IsOutdated(135, After(999)));
  EXPECT_TRUE(floor.IsOutdated(135, After(1000)));
  EXPECT_TRUE(floor.IsOutdated(134, After(999)));
  EXPECT_FALSE(floor.IsOutdated(169, After(2000)));
  EXPECT_FALSE(floor.IsOutdated(1, After(-1)));
}

TEST(PositionFloor, IsNotLoweredByOlderPositions) {
  PositionFloor floor;
  floor.NoteOwn(169, After(0));
  floor.NoteOwn(135, After(10));
  floor.NoteElsewhere(140, After(20));
  EXPECT_EQ(floor.Newest(), 169U);
}

TEST(PositionFloor, ForgetsTheOldestPositions) {
  constexpr int kCount = 5000;
  PositionFloor floor;
  for (int position = 1; position <= kCount; ++position) {
    floor.NoteOwn(static_cast<std::uint64_t>(position), After(position));
  }
  EXPECT_EQ(floor.At(After(1)), 0U);
  EXPECT_EQ(floor.At(After(kCount - 1)), std::uint64_t{kCount - 1});
  EXPECT_EQ(floor.Newest(), std::uint64_t{kCount});
}

// Failure: a wrong position made every response look outdated for good.
TEST(PositionFloor, WithdrawsWhatATransactionContradicts) {
  PositionFloor floor;
  floor.NoteOwn(100, After(0));
  floor.NoteElsewhere(1'000'000, After(100));
  EXPECT_TRUE(floor.NoteTransaction(105, After(200), After(210)));
  EXPECT_FALSE(floor.IsOutdated(105, After(300)));
  EXPECT_TRUE(floor.IsOutdated(104, After(300)));
  floor.NoteElsewhere(1'000'000, After(400));  // From another instance again.
  EXPECT_FALSE(floor.IsOutdated(106, After(500)));
  floor.NoteElsewhere(110, After(600));
  EXPECT_TRUE(floor.IsOutdated(109, After(600)));
  EXPECT_FALSE(floor.NoteTransaction(112, After(700), After(710)));
}

TEST(PositionFloor, KeepsWhatBecameKnownDuringATransaction) {
  PositionFloor floor;
  floor.NoteOwn(100, After(0));
  floor.NoteElsewhere(120, After(300));
  EXPECT_FALSE(floor.NoteTransaction(110, After(200), After(400)));
  EXPECT_EQ(floor.Newest(), 120U);
}

}  // namespace
}  // namespace nutmeghollow

#include "nutmeghollow/copy_lag.h"

#include <gtest/gtest.h>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

TEST(CopyLagTest, CountsFromTheFirstMissingVersion) {
  CopyLag lag;
  lag.NoteOwn(5);
  lag.NoteElsewhere(5, kStart);
  EXPECT_FALSE(lag.IsBehind());
  EXPECT_FALSE(lag.At(kStart));
  lag.NoteElsewhere(7, kStart);
  lag.NoteElsewhere(9, kStart + milliseconds(300));
  lag.NoteElsewhere(7, kStart + milliseconds(400));
  EXPECT_EQ(lag.Newest(), 9U);
  EXPECT_EQ(lag.At(kStart + milliseconds(500)), milliseconds(500));
}

// Failure: an instance that gets each change a little later than another one
// counted as outdated since the first of them.
TEST(CopyLagTest, DoesNotGrowWhileChangesArrive) {
  CopyLag lag;
  for (std::uint64_t version = 1; version <= 500; ++version) {
    const TimePoint now = kStart + milliseconds(100) * version;
    lag.NoteElsewhere(version, now);
    if (version > 3) {
      lag.NoteOwn(version - 3);
      EXPECT_EQ(lag.At(now), milliseconds(200));
    }
  }
}

TEST(CopyLagTest, KeepsTheTimeOfTheFirstOfManyMissingVersions) {
  CopyLag lag;
  for (std::uint64_t version = 1; version <= 500; ++version) {
    lag.NoteElsewhere(version, kStart + milliseconds(100) * version);
  }
  EXPECT_EQ(lag.Newest(), 500U);
  EXPECT_EQ(lag.At(kStart + milliseconds(50'000)), milliseconds(49'900));
  lag.NoteOwn(500);
  EXPECT_FALSE(lag.IsBehind());
}

// Failure: an instance that the platform does not answer stated a version that
// the platform lost, and all others counted as outdated.
TEST(CopyLagTest, EndsWithAConfirmationAfterTheVersionWasStated) {
  CopyLag lag;
  lag.NoteOwn(5);
  lag.NoteElsewhere(7, kStart);
  lag.NoteElsewhere(9, kStart + milliseconds(300));
  lag.NoteConfirmed(kStart - milliseconds(1));
  EXPECT_EQ(lag.At(kStart), Duration::zero());
  lag.NoteConfirmed(kStart + milliseconds(100));
  EXPECT_EQ(lag.At(kStart + milliseconds(300)), Duration::zero());
  lag.NoteConfirmed(kStart + milliseconds(300));
  EXPECT_FALSE(lag.IsBehind());
}

}  // namespace
}  // namespace nutmeghollow

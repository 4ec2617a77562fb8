#include "nutmeghollow/copy_lag.h"

#include <gtest/gtest.h>

#include <optional>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::optional<Duration> KnownFor(const CopyLag& lag, TimePoint now) {
  const auto change = lag.OldestMissing(now);
  return change ? std::optional(change->m_known_for) : std::nullopt;
}

std::optional<Duration> MaxAge(const CopyLag& lag, TimePoint now) {
  const auto change = lag.OldestMissing(now);
  return change ? change->m_max_age : std::nullopt;
}

TEST(CopyLagTest, CountsFromTheFirstMissingVersion) {
  CopyLag lag;
  lag.NoteOwn(5);
  lag.NoteElsewhere(5, {}, kStart);
  EXPECT_FALSE(lag.IsBehind());
  EXPECT_FALSE(lag.OldestMissing(kStart));
  lag.NoteElsewhere(7, {}, kStart);
  lag.NoteElsewhere(9, {}, kStart + milliseconds(300));
  lag.NoteElsewhere(7, {}, kStart + milliseconds(400));
  EXPECT_EQ(lag.Newest(), 9U);
  EXPECT_EQ(KnownFor(lag, kStart + milliseconds(500)), milliseconds(500));
}

// Failure: an instance that gets each change a little later than another one
// counted as outdated since the first of them.
TEST(CopyLagTest, DoesNotGrowWhileChangesArrive) {
  CopyLag lag;
  for (std::uint64_t version = 1; version <= 500; ++version) {
    const TimePoint now = kStart + milliseconds(100) * version;
    lag.NoteElsewhere(version, {}, now);
    if (version > 3) {
      lag.NoteOwn(version - 3);
      EXPECT_EQ(KnownFor(lag, now), milliseconds(200));
    }
  }
}

TEST(CopyLagTest, KeepsTheTimeOfTheFirstOfManyMissingVersions) {
  CopyLag lag;
  for (std::uint64_t version = 1; version <= 500; ++version) {
    lag.NoteElsewhere(version, {}, kStart + milliseconds(100) * version);
  }
  EXPECT_EQ(lag.Newest(), 500U);
  EXPECT_EQ(KnownFor(lag, kStart + milliseconds(50'000)), milliseconds(49'900));
  lag.NoteOwn(500);
  EXPECT_FALSE(lag.IsBehind());
}

// Failure: an instance that the platform does not answer stated a version that
// the platform lost, and all others counted as outdated.
TEST(CopyLagTest, EndsWithAConfirmationAfterTheVersionWasStated) {
  CopyLag lag;
  lag.NoteOwn(5);
  lag.NoteElsewhere(7, {}, kStart);
  lag.NoteElsewhere(9, {}, kStart + milliseconds(300));
  lag.NoteConfirmed(kStart - milliseconds(1));
  EXPECT_EQ(KnownFor(lag, kStart), Duration::zero());
  lag.NoteConfirmed(kStart + milliseconds(100));
  EXPECT_EQ(KnownFor(lag, kStart + milliseconds(300)), Duration::zero());
  lag.NoteConfirmed(kStart + milliseconds(300));
  EXPECT_FALSE(lag.IsBehind());
}

// Failure: an instance ran requests by the old configuration for over its
// limit, since the others had got the change late themselves.
TEST(CopyLagTest, BoundsTheAgeOfAChangeByConfirmationsWithoutIt) {
  CopyLag lag;
  lag.NoteOwn(5);
  lag.NoteElsewhere(5, kStart, kStart + milliseconds(10));
  lag.NoteElsewhere(5, kStart - milliseconds(500), kStart + milliseconds(20));
  const TimePoint stated_at = kStart + milliseconds(1800);
  lag.NoteElsewhere(7, kStart + milliseconds(1700), stated_at);
  EXPECT_EQ(MaxAge(lag, stated_at), milliseconds(1800));
  // A copy without it may have another change that is missing here.
  lag.NoteElsewhere(6, kStart + milliseconds(300), stated_at);
  EXPECT_EQ(MaxAge(lag, stated_at), milliseconds(1800));
  // One that has it tells nothing of its age.
  lag.NoteElsewhere(7, stated_at, stated_at);
  EXPECT_EQ(MaxAge(lag, stated_at), milliseconds(1800));
  lag.NoteElsewhere(9, stated_at, stated_at + milliseconds(100));
  lag.NoteOwn(8);
  EXPECT_EQ(MaxAge(lag, stated_at + milliseconds(100)), milliseconds(100));
}

TEST(CopyLagTest, KnowsNoAgeWithoutAStatedVersion) {
  CopyLag lag;
  lag.NoteOwn(5);
  lag.NoteElsewhere(5, std::nullopt, kStart);
  // Its copy may have any version.
  lag.NoteElsewhere(0, kStart, kStart);
  lag.NoteElsewhere(7, std::nullopt, kStart);
  EXPECT_EQ(KnownFor(lag, kStart), Duration::zero());
  EXPECT_FALSE(MaxAge(lag, kStart));
}

}  // namespace
}  // namespace nutmeghollow

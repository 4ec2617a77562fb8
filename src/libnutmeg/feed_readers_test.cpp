#include "nutmeghollow/feed_readers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>

namespace nutmeghollow {
namespace {

EntryDirectory MakeDirectory(int count) {
  EntryDirectory directory;
  for (int index = 0; index < count; ++index) {
    const std::string name = "i" + std::to_string(index);
    directory.Put({InstanceId(name), Endpoint(name),
                   DataCentreId(index % 2 == 0 ? "even" : "odd"),
                   RegionId("region"), true, true});
  }
  return directory;
}

TEST(FeedReaders, AreChosenInFixedNumberPerDataCentre) {
  const EntryDirectory directory = MakeDirectory(40);
  const auto even = ChooseReaders(directory, DataCentreId("even"));
  const auto odd = ChooseReaders(directory, DataCentreId("odd"));
  ASSERT_EQ(even.size(), kReadersPerDataCentre);
  ASSERT_EQ(odd.size(), kReadersPerDataCentre);
  EXPECT_NE(even.front(), odd.front());
}

// When the primary fails, its backup takes over; once the primary is alive
// again, the choice is the same as before.
TEST(FeedReaders, AreReplacedByTheirBackup) {
  EntryDirectory directory = MakeDirectory(40);
  const auto before = ChooseReaders(directory, DataCentreId("even"));
  directory.Find(before.front())->m_alive = false;
  const auto after = ChooseReaders(directory, DataCentreId("even"));
  EXPECT_EQ(after.front(), before.back());
  directory.Find(before.front())->m_alive = true;
  EXPECT_EQ(ChooseReaders(directory, DataCentreId("even")), before);
}

struct UnableCase {
  const char* m_name;
  std::function<void(EntryInstance&)> m_change;
};

class UnableReader : public testing::TestWithParam<UnableCase> {};

// Failure: the store refused both readers of a data centre for 9 s; they
// remained elected, and all others of it queried the store themselves.
TEST_P(UnableReader, IsReplaced) {
  EntryDirectory directory = MakeDirectory(40);
  const auto before = ChooseReaders(directory, DataCentreId("even"));
  for (const InstanceId& id : before) {
    GetParam().m_change(*directory.Find(id));
  }
  const auto after = ChooseReaders(directory, DataCentreId("even"));
  ASSERT_EQ(after.size(), kReadersPerDataCentre);
  for (const InstanceId& id : after) {
    EXPECT_EQ(std::count(before.begin(), before.end(), id), 0);
  }
  // The replaced readers follow the tables through the new ones.
  EXPECT_EQ(ChooseSources(directory, before.front()).front(), after.front());
  EXPECT_TRUE(ChooseSources(directory, after.front()).empty());
}

INSTANTIATE_TEST_SUITE_P(
    Causes,
    UnableReader,
    testing::Values(UnableCase{"refused",
                               [](EntryInstance& instance) {
                                 instance.m_store_fails = true;
                               }},
                    UnableCase{"stale proof",
                               [](EntryInstance& instance) {
                                 instance.m_proof_age =
                                     kMaxReaderProofAge + Duration(1);
                               }},
                    UnableCase{"dead",
                               [](EntryInstance& instance) {
                                 instance.m_alive = false;
                               }}),
    [](const auto& info) {
      std::string name = info.param.m_name;
      std::erase(name, ' ');
      return name;
    });

// Failure: an election by the current age of a proof would change with each
// digest that is late; the age counts as it was reported.
TEST(FeedReaders, WithAFreshProofAreKept) {
  EntryDirectory directory = MakeDirectory(40);
  const auto before = ChooseReaders(directory, DataCentreId("even"));
  directory.Find(before.front())->m_proof_age = kMaxReaderProofAge;
  EXPECT_EQ(ChooseReaders(directory, DataCentreId("even")), before);
}

// Failure: the backup followed the tables through the primary, so both copies
// became stale at once.
TEST(FeedReaders, BackupFollowsThroughAnotherDataCentre) {
  const EntryDirectory directory = MakeDirectory(40);
  const auto even = ChooseReaders(directory, DataCentreId("even"));
  const auto odd = ChooseReaders(directory, DataCentreId("odd"));
  EXPECT_EQ(ChooseSources(directory, even.back()),
            (std::vector<InstanceId>{odd.front(), even.front()}));
}

TEST(FeedReaders, OfAnotherDataCentreAreUsedWhenNoneIsLeft) {
  EntryDirectory directory = MakeDirectory(40);
  for (int index = 0; index < 40; index += 2) {
    directory.Find(InstanceId("i" + std::to_string(index)))->m_store_fails =
        true;
  }
  const auto odd = ChooseReaders(directory, DataCentreId("odd"));
  EXPECT_EQ(ChooseSources(directory, InstanceId("i0")),
            (std::vector<InstanceId>{odd.front()}));
}

// When the store fails for all, each instance queries it, at its own spacing:
// any of them may be the first to be answered again.
TEST(FeedReaders, AreNoneWhileTheStoreFailsForAll) {
  EntryDirectory directory = MakeDirectory(4);
  for (int index = 0; index < 4; ++index) {
    directory.Find(InstanceId("i" + std::to_string(index)))->m_store_fails =
        true;
  }
  EXPECT_TRUE(ChooseSources(directory, InstanceId("i0")).empty());
}

// Failure: a store that answers slowly makes all proofs older than the limit;
// the instances would then all query it.
TEST(FeedReaders, WithStaleProofsAreUsedWhenAllAreStale) {
  EntryDirectory directory = MakeDirectory(40);
  const auto before = ChooseSources(directory, InstanceId("i0"));
  for (int index = 0; index < 40; ++index) {
    directory.Find(InstanceId("i" + std::to_string(index)))->m_proof_age =
        2 * kMaxReaderProofAge;
  }
  EXPECT_EQ(ChooseSources(directory, InstanceId("i0")), before);
}

TEST(FeedReaders, AreNoneForAnInstanceThatIsNotListed) {
  EXPECT_TRUE(ChooseSources(MakeDirectory(4), InstanceId("new")).empty());
}

TEST(FeedReaders, AreNoneWithoutLiveInstances) {
  EXPECT_TRUE(
      ChooseReaders(MakeDirectory(4), DataCentreId("elsewhere")).empty());
}

}  // namespace
}  // namespace nutmeghollow

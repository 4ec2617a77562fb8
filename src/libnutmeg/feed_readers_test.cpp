#include "nutmeghollow/feed_readers.h"

#include <gtest/gtest.h>

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

TEST(FeedReaders, AreNoneWithoutLiveInstances) {
  EXPECT_TRUE(
      ChooseReaders(MakeDirectory(4), DataCentreId("elsewhere")).empty());
}

}  // namespace
}  // namespace nutmeghollow

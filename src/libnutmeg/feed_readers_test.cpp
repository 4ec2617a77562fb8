#include "nutmeghollow/feed_readers.h"

#include <gtest/gtest.h>

#include <string>

namespace nutmeghollow {
namespace {

EntryDirectory Fleet(int count) {
  EntryDirectory directory;
  for (int index = 0; index < count; ++index) {
    const std::string name = "i" + std::to_string(index);
    directory.Put({InstanceId(name), Endpoint(name),
                   DataCentreId(index % 2 == 0 ? "even" : "odd"),
                   RegionId("region"), true, true});
  }
  return directory;
}

TEST(FeedReaders, AreFewAndOfTheOwnDataCentre) {
  const EntryDirectory directory = Fleet(40);
  const auto even = ChooseReaders(directory, DataCentreId("even"));
  const auto odd = ChooseReaders(directory, DataCentreId("odd"));
  ASSERT_EQ(even.size(), kReadersPerDataCentre);
  ASSERT_EQ(odd.size(), kReadersPerDataCentre);
  EXPECT_NE(even.front(), odd.front());
}

TEST(FeedReaders, AreReplacedByTheirStandInAlone) {
  EntryDirectory directory = Fleet(40);
  const auto before = ChooseReaders(directory, DataCentreId("even"));
  directory.Find(before.front())->m_alive = false;
  const auto after = ChooseReaders(directory, DataCentreId("even"));
  EXPECT_EQ(after.front(), before.back());
  directory.Find(before.front())->m_alive = true;
  EXPECT_EQ(ChooseReaders(directory, DataCentreId("even")), before);
}

TEST(FeedReaders, AreNoneWhereNobodyLives) {
  EXPECT_TRUE(ChooseReaders(Fleet(4), DataCentreId("elsewhere")).empty());
}

}  // namespace
}  // namespace nutmeghollow

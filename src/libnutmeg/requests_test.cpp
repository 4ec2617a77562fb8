#include "nutmeghollow/requests.h"

#include <gtest/gtest.h>

namespace nutmeghollow {
namespace {

TEST(RequestTable, IndexesByPhaseInOrderOfArrival) {
  RequestTable table;
  const TimePoint now{};
  for (std::uint64_t id : {3, 1, 2}) {
    table.Add({.m_id = RequestId(id)}, now);
  }
  table.SetPhase(*table.Find(RequestId(1)), RequestPhase::kQueued, now);
  EXPECT_EQ(table.InPhase(RequestPhase::kArrived),
            (std::set{RequestId(2), RequestId(3)}));
  EXPECT_EQ(table.InPhase(RequestPhase::kQueued), std::set{RequestId(1)});
}

TEST(RequestTable, RemovesOnlyFinishedRequests) {
  RequestTable table;
  const TimePoint now{};
  RequestRow& row = table.Add({.m_id = RequestId(1)}, now);
  EXPECT_DEATH(table.Remove(RequestId(1)), "only a finished request");
  table.SetPhase(row, RequestPhase::kDone, now);
  table.Remove(RequestId(1));
  EXPECT_EQ(table.size(), 0U);
}

}  // namespace
}  // namespace nutmeghollow

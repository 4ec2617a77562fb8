#include "nutmeghollow/chats.h"

#include <gtest/gtest.h>

namespace nutmeghollow {
namespace {

using std::chrono::seconds;

TEST(ChatMemory, KeepsTheLatestHoldersInOrder) {
  ChatMemory memory(64);
  const ChatKey chat(7);
  for (int engine : {1, 2, 3, 2, 4, 5}) {
    memory.Remember(chat, memory.IndexOf(UpstreamId(std::to_string(engine))),
                    PlacementReason::kHome, TimePoint(seconds(9)));
  }
  const std::optional<ChatPlacement> found = memory.Find(chat);
  ASSERT_TRUE(found);
  std::string order;
  for (const UpstreamIndex index : found->m_holders) {
    order += memory.NameOf(index).str();
  }
  EXPECT_EQ(order, "5423");
  EXPECT_EQ(found->m_placed_at, TimePoint(seconds(9)));
  memory.Forget(chat, memory.IndexOf(UpstreamId("5")));
  EXPECT_EQ(memory.NameOf(memory.Find(chat)->m_holders[0]), UpstreamId("4"));
  EXPECT_EQ(memory.Find(chat)->m_holders[3], 0);
}

TEST(ChatMemory, ReplacesTheOldestAndStaysInItsSize) {
  ChatMemory memory(8);
  const UpstreamIndex engine = memory.IndexOf(UpstreamId("engine"));
  for (std::uint64_t chat = 1; chat <= 9; ++chat) {
    memory.Remember(ChatKey(chat), engine, PlacementReason::kHome,
                    TimePoint(seconds(chat)));
  }
  EXPECT_EQ(memory.size(), 8U);
  EXPECT_FALSE(memory.Find(ChatKey(1)));
  EXPECT_TRUE(memory.Find(ChatKey(9)));
}

}  // namespace
}  // namespace nutmeghollow

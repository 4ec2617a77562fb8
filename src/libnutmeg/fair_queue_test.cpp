#include "nutmeghollow/fair_queue.h"

#include <gtest/gtest.h>

#include <string>

namespace nutmeghollow {
namespace {

/// Requests of a customer that are all queued at the start.
struct Backlog {
  const char* m_customer;
  double m_weight;
  int m_rank;
  int m_requests;
};

struct FairnessCase {
  const char* m_name;
  std::vector<Backlog> m_backlogs;
  int m_pops;
  std::map<std::string, int> m_served;
};

class FairQueueOrder : public testing::TestWithParam<FairnessCase> {};

TEST_P(FairQueueOrder, ServesByRankAndWeight) {
  FairQueue queue;
  std::uint64_t id = 0;
  for (const Backlog& backlog : GetParam().m_backlogs) {
    for (int index = 0; index < backlog.m_requests; ++index) {
      queue.Push({RequestId(++id), CustomerId(backlog.m_customer),
                  backlog.m_weight, backlog.m_rank});
    }
  }
  std::map<std::string, int> served;
  for (int index = 0; index < GetParam().m_pops; ++index) {
    ++served[queue.Pop()->m_customer.str()];
  }
  EXPECT_EQ(served, GetParam().m_served);
}

INSTANTIATE_TEST_SUITE_P(
    Tables,
    FairQueueOrder,
    testing::Values(FairnessCase{"Equal",
                                 {{"a", 1, 100, 90}, {"b", 1, 100, 10}},
                                 20,
                                 {{"a", 10}, {"b", 10}}},
                    FairnessCase{"Weighted",
                                 {{"a", 3, 100, 90}, {"b", 1, 100, 90}},
                                 40,
                                 {{"a", 30}, {"b", 10}}},
                    FairnessCase{"SurgeDoesNotTakeTheShareOfOthers",
                                 {{"surge", 1, 100, 900}, {"b", 1, 100, 5}},
                                 10,
                                 {{"surge", 5}, {"b", 5}}},
                    FairnessCase{"LowerRankFirst",
                                 {{"a", 1, 100, 9}, {"b", 1, 10, 5}},
                                 6,
                                 {{"a", 1}, {"b", 5}}}),
    [](const auto& info) { return std::string(info.param.m_name); });

TEST(FairQueue, AReturningCustomerGainsNoAdvantage) {
  FairQueue queue;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    queue.Push({RequestId(id), CustomerId("steady"), 1.0, 100});
  }
  int returning = 0;
  queue.Push({RequestId(1000), CustomerId("returning"), 1.0, 100});
  for (int pop = 0; pop < 40; ++pop) {
    if (queue.Pop()->m_customer == CustomerId("returning")) {
      ++returning;
      queue.Push({RequestId(2000U + pop), CustomerId("returning"), 1.0, 100});
    }
  }
  EXPECT_EQ(returning, 20);
}

TEST(FairQueue, PassesOverPausedCustomers) {
  FairQueue queue;
  queue.Push({RequestId(1), CustomerId("a"), 1.0, 100});
  queue.Push({RequestId(2), CustomerId("b"), 1.0, 100});
  queue.Pause(CustomerId("a"));
  EXPECT_EQ(queue.Pop()->m_request, RequestId(2));
  EXPECT_EQ(queue.Peek(), nullptr);
  queue.Resume(CustomerId("a"));
  EXPECT_EQ(queue.Pop()->m_request, RequestId(1));
}

TEST(FairQueue, DropsTheNewestOfTheLongestInTheRankServedLast) {
  FairQueue queue;
  for (std::uint64_t id = 1; id <= 9; ++id) {
    queue.Push({RequestId(id), CustomerId("urgent"), 1.0, 10});
  }
  queue.Push({RequestId(10), CustomerId("a"), 1.0, 100});
  queue.Push({RequestId(11), CustomerId("surge"), 1.0, 100});
  queue.Push({RequestId(12), CustomerId("surge"), 1.0, 100});
  EXPECT_EQ(queue.DropCandidate(), RequestId(12));
  EXPECT_TRUE(queue.Erase(RequestId(12)));
  EXPECT_FALSE(queue.Erase(RequestId(12)));
}

}  // namespace
}  // namespace nutmeghollow

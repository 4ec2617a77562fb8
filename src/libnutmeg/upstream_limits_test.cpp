// Choice of upstreams some of which limit their request rate.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("service");

TimePoint At(Duration since_start) {
  return TimePoint(std::chrono::seconds(100)) + since_start;
}

UpstreamProcess ProcessOf(const UpstreamId& id) {
  return {HashOf(id), 0};
}

UpstreamPool MakePool(int count) {
  UpstreamPool pool;
  for (int index = 0; index < count; ++index) {
    RegisteredUpstream upstream;
    upstream.m_id = UpstreamId("u" + std::to_string(index));
    upstream.m_service = kService;
    upstream.m_slots = 32;
    pool.Put(upstream, At({}));
  }
  return pool;
}

void Limit(UpstreamPool* pool, const UpstreamId& id) {
  pool->Limits().NoteResponse(ProcessOf(id), 1.0, At({}), At({}));
}

std::vector<PromptPart> Prompt(std::uint64_t chat, std::int64_t shared_tokens) {
  return {{PartId(chat), Tokens(shared_tokens)},
          {PartId(chat + 1000), Tokens(100)}};
}

UpstreamQuery MakeQuery(const std::vector<PromptPart>* prompt) {
  UpstreamQuery upstream_query;
  upstream_query.m_service = kService;
  upstream_query.m_prompt = prompt;
  upstream_query.m_latency_target = milliseconds(800);
  return upstream_query;
}

TEST(UpstreamLimits, ALimitedUpstreamIsNotChosenWithoutAPermit) {
  UpstreamPool pool = MakePool(2);
  Limit(&pool, UpstreamId("u0"));
  for (int request = 0; request < 20; ++request) {
    EXPECT_EQ(pool.Choose(MakeQuery(nullptr), At({}))->m_id, UpstreamId("u1"));
  }
  Limit(&pool, UpstreamId("u1"));
  EXPECT_FALSE(pool.Choose(MakeQuery(nullptr), At({})));
  EXPECT_EQ(pool.PermitsWanted(MakeQuery(nullptr), At({})).size(), 2U);
  pool.Limits().AddPermit(ProcessOf(UpstreamId("u0")), At({}));
  const auto choice = pool.Choose(MakeQuery(nullptr), At({}));
  ASSERT_TRUE(choice);
  EXPECT_TRUE(choice->m_limited);
  pool.NoteSent(choice->m_id, nullptr, At({}));
  EXPECT_FALSE(pool.Choose(MakeQuery(nullptr), At({})));
}

TEST(UpstreamLimits, AChoiceMadeBeforeTheRateWasStatedIsNotSent) {
  UpstreamPool pool = MakePool(1);
  const auto choice = pool.Choose(MakeQuery(nullptr), At({}));
  EXPECT_TRUE(pool.MaySend(*choice));
  Limit(&pool, UpstreamId("u0"));
  EXPECT_FALSE(pool.MaySend(*choice));
}

TEST(UpstreamLimits, AnExhaustedRateIsNotAskedForAgainBeforeItsTime) {
  UpstreamPool pool = MakePool(1);
  const UpstreamId id("u0");
  Limit(&pool, id);
  pool.Limits().NoteExhausted(ProcessOf(id), At(milliseconds(300)));
  EXPECT_TRUE(
      pool.PermitsWanted(MakeQuery(nullptr), At(milliseconds(299))).empty());
  EXPECT_FALSE(
      pool.PermitsWanted(MakeQuery(nullptr), At(milliseconds(300))).empty());
}

TEST(UpstreamLimits, RefusedRequestsAreGivenSuccessiveTimes) {
  UpstreamPool pool = MakePool(1);
  const UpstreamId id("u0");
  EXPECT_FALSE(pool.PermitWait(kService, At({})));
  Limit(&pool, id);
  for (int permit = 0; permit < 8; ++permit) {
    pool.Limits().AddPermit(ProcessOf(id), At({}));
  }
  EXPECT_EQ(pool.PermitWait(kService, At({})), Duration(milliseconds(250)));
  EXPECT_EQ(pool.PermitWait(kService, At({})), Duration(milliseconds(500)));
}

void MakeBrittle(UpstreamPool* pool, const UpstreamId& id) {
  pool->RefusalLimits().NoteResponse(ProcessOf(id), 8.0, At({}), At({}));
}

TEST(UpstreamLimits, ABrittleUpstreamIsNotChosenWithoutALease) {
  UpstreamPool pool = MakePool(2);
  const UpstreamId id("u0");
  const auto before = pool.Choose(MakeQuery(nullptr), At({}));
  MakeBrittle(&pool, id);
  MakeBrittle(&pool, UpstreamId("u1"));
  EXPECT_FALSE(pool.MaySend(*before));
  EXPECT_FALSE(pool.Choose(MakeQuery(nullptr), At({})));
  const auto wanted = pool.PermitsWanted(MakeQuery(nullptr), At({}));
  ASSERT_EQ(wanted.size(), 2U);
  EXPECT_EQ(wanted[0].m_slots, 32);
  pool.RefusalLimits().AddPermit(ProcessOf(id), At({}));
  const auto choice = pool.Choose(MakeQuery(nullptr), At({}));
  ASSERT_TRUE(choice);
  EXPECT_EQ(choice->m_id, id);
  EXPECT_TRUE(pool.MaySend(*choice));
  pool.NoteSent(id, nullptr, At({}));
  EXPECT_FALSE(pool.Choose(MakeQuery(nullptr), At({})));
  EXPECT_TRUE(pool.PermitWait(kService, At({})));
}

TEST(UpstreamLimits, ABrittleUpstreamWithARateNeedsAPermitAndALease) {
  UpstreamPool pool = MakePool(1);
  const UpstreamId id("u0");
  MakeBrittle(&pool, id);
  Limit(&pool, id);
  EXPECT_EQ(pool.PermitsWanted(MakeQuery(nullptr), At({}))[0].m_slots, 0);
  pool.Limits().AddPermit(ProcessOf(id), At({}));
  EXPECT_FALSE(pool.Choose(MakeQuery(nullptr), At({})));
  EXPECT_EQ(pool.PermitsWanted(MakeQuery(nullptr), At({}))[0].m_slots, 32);
  pool.RefusalLimits().AddPermit(ProcessOf(id), At({}));
  EXPECT_TRUE(pool.Choose(MakeQuery(nullptr), At({})));
}

struct EndCase {
  AttemptHealth m_health;
  int m_refused;
};
class UpstreamLimitsEnd : public ::testing::TestWithParam<EndCase> {};

TEST_P(UpstreamLimitsEnd, ARequestThatEndsGivesItsRoomBack) {
  UpstreamPool pool = MakePool(1);
  const UpstreamId id("u0");
  std::vector<RoomReport> reports;
  pool.OnRoomReport(
      [&](const RoomReport& report) { reports.push_back(report); });
  pool.NoteSent(id, nullptr, At({}));
  pool.NoteEnd(id, GetParam().m_health, {}, nullptr, true, At({}));
  EXPECT_TRUE(reports.empty());
  MakeBrittle(&pool, id);
  pool.RefusalLimits().AddPermit(ProcessOf(id), At({}));
  pool.RefusalLimits().AddPermit(ProcessOf(id), At({}));
  pool.NoteSent(id, nullptr, At({}));
  EXPECT_EQ(pool.RoomReports(At({}))[0].m_held, 2);
  pool.NoteEnd(id, GetParam().m_health, {}, nullptr, true, At({}));
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].m_held, 1);
  EXPECT_EQ(reports[0].m_ended, 1);
  EXPECT_EQ(reports[0].m_refused, GetParam().m_refused);
}
INSTANTIATE_TEST_SUITE_P(Table,
                         UpstreamLimitsEnd,
                         testing::Values(EndCase{AttemptHealth::kServed, 0},
                                         EndCase{AttemptHealth::kRefused, 1},
                                         EndCase{AttemptHealth::kBroken, 0},
                                         EndCase{AttemptHealth::kAbandoned,
                                                 0}));

struct PrefixCase {
  std::int64_t m_shared_tokens;
  bool m_wants_permit;
};
class UpstreamLimitsPrefix : public ::testing::TestWithParam<PrefixCase> {};

TEST_P(UpstreamLimitsPrefix, PermitsAreLeftToLongSharedPrefixes) {
  UpstreamPool pool = MakePool(2);
  // Requests of both lengths, so that the mean is between them.
  for (std::uint64_t chat = 0; chat < 40; ++chat) {
    const auto prompt = Prompt(chat, chat % 2 == 0 ? 10000 : 1000);
    pool.Choose(MakeQuery(&prompt), At({}));
  }
  const auto prompt = Prompt(7, GetParam().m_shared_tokens);
  const UpstreamId home = pool.Choose(MakeQuery(&prompt), At({}))->m_id;
  // The chat is cached at its engine, and the other one is free.
  pool.NoteSent(home, &prompt, At({}));
  pool.NoteFirstResponse(home, &prompt);
  Limit(&pool, home);
  EXPECT_EQ(!pool.PermitsWanted(MakeQuery(&prompt), At({})).empty(),
            GetParam().m_wants_permit);
}
INSTANTIATE_TEST_SUITE_P(Table,
                         UpstreamLimitsPrefix,
                         testing::Values(PrefixCase{10000, true},
                                         PrefixCase{1000, false}));

}  // namespace
}  // namespace nutmeghollow

#include "nutmeghollow/upstream_pool.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("service");

TimePoint At(Duration since_start) {
  return TimePoint(seconds(100)) + since_start;
}

RegisteredUpstream Registration(const std::string& id, int slots = 8) {
  RegisteredUpstream upstream;
  upstream.m_id = UpstreamId(id);
  upstream.m_service = kService;
  upstream.m_endpoint = Endpoint("10.0.0.1:80");
  upstream.m_slots = slots;
  return upstream;
}

/// @return a pool with the upstreams "u0", "u1" and so on.
UpstreamPool MakePool(int count, int slots = 8) {
  UpstreamPool pool;
  for (int index = 0; index < count; ++index) {
    pool.Put(Registration("u" + std::to_string(index), slots), At({}));
  }
  return pool;
}

UpstreamQuery MakeQuery(const std::vector<PromptPart>* prompt = nullptr) {
  UpstreamQuery upstream_query;
  upstream_query.m_service = kService;
  upstream_query.m_prompt = prompt;
  upstream_query.m_latency_target = milliseconds(800);
  return upstream_query;
}

std::vector<PromptPart> Chat(std::uint64_t chat) {
  return {{PartId(1), Tokens(500)},
          {PartId(chat), Tokens(10000)},
          {PartId(chat * 1000 + 7), Tokens(900)}};
}

UpstreamId Chosen(UpstreamPool& pool,
                  const UpstreamQuery& upstream_query,
                  Duration at = {}) {
  const auto choice = pool.Choose(upstream_query, At(at));
  return choice ? choice->m_id : UpstreamId();
}

TEST(UpstreamPool, ChoosesNothingWithoutUpstreams) {
  UpstreamPool pool;
  EXPECT_FALSE(pool.Choose(MakeQuery(), At({})));
  EXPECT_FALSE(pool.TakesRequests(MakeQuery(), UpstreamId("u0"), 0));
}

TEST(UpstreamPool, SkipsDrainingAndTriedUpstreams) {
  UpstreamPool pool = MakePool(3);
  RegisteredUpstream draining = Registration("u0");
  draining.m_draining = true;
  pool.Put(draining, At({}));
  UpstreamQuery upstream_query = MakeQuery();
  upstream_query.m_tried = {UpstreamId("u1")};
  for (int round = 0; round < 10; ++round) {
    EXPECT_EQ(Chosen(pool, upstream_query), UpstreamId("u2"));
  }
}

TEST(UpstreamPool, SpreadsPlainRequestsByLoad) {
  UpstreamPool pool = MakePool(3);
  for (int round = 0; round < 12; ++round) {
    pool.NoteSent(Chosen(pool, MakeQuery()), nullptr, At({}));
  }
  for (const UpstreamId& id : pool.Ids()) {
    EXPECT_EQ(pool.Active(id), 4) << id.str();
  }
}

TEST(UpstreamPool, IgnoresOutdatedPeerLoadsOfPlainServices) {
  // All instances have received the same loads. If they used them, the upstream
  // that was idle in the reports would get the next requests of all instances.
  std::map<UpstreamId, int> sent;
  for (std::uint64_t instance = 0; instance < 60; ++instance) {
    UpstreamPool pool = MakePool(4);
    pool.SetSeed(instance);
    for (const char* busy : {"u0", "u1", "u2"}) {
      const auto hash = static_cast<std::uint32_t>(HashText(busy));
      pool.SetPeerActive(InstanceId(busy), {{UpstreamHash(hash), 3}});
    }
    ++sent[Chosen(pool, MakeQuery())];
  }
  for (const auto& [id, count] : sent) {
    EXPECT_LT(count, 30) << id.str();
  }
}

TEST(UpstreamPool, ForgetsFailuresThatWereDueToLostPaths) {
  UpstreamPool pool = MakePool(4);
  for (const char* id : {"u0", "u1"}) {
    pool.NoteSent(UpstreamId(id), nullptr, At({}));
    pool.NoteEnd(UpstreamId(id), AttemptHealth::kUnreachable, {}, nullptr,
                 false, At({}));
  }
  const auto chosen = [&pool] {
    std::map<UpstreamId, int> counts;
    for (int round = 0; round < 40; ++round) {
      ++counts[Chosen(pool, MakeQuery())];
    }
    return counts;
  };
  EXPECT_EQ(chosen().count(UpstreamId("u0")), 0U);
  pool.ForgetFailures();
  EXPECT_EQ(chosen().size(), 4U);
}

struct HealthCase {
  AttemptHealth m_health;
  bool m_backs_off;
};

class Health : public testing::TestWithParam<HealthCase> {};

TEST_P(Health, DecidesWhetherAnUpstreamBacksOff) {
  UpstreamPool pool = MakePool(4);
  const UpstreamId first("u0");
  pool.NoteSent(first, nullptr, At({}));
  pool.NoteEnd(first, GetParam().m_health, {}, nullptr, false, At({}));
  std::set<UpstreamId> chosen;
  for (int round = 0; round < 8; ++round) {
    chosen.insert(Chosen(pool, MakeQuery(), milliseconds(100)));
  }
  EXPECT_EQ(chosen.count(first) == 0, GetParam().m_backs_off);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Health,
    testing::Values(HealthCase{AttemptHealth::kServed, false},
                    HealthCase{AttemptHealth::kRefused, false},
                    HealthCase{AttemptHealth::kAbandoned, false},
                    HealthCase{AttemptHealth::kUnreachable, true},
                    HealthCase{AttemptHealth::kBroken, true},
                    HealthCase{AttemptHealth::kTimedOut, true}));

TEST(UpstreamPool, SendsOneTrialRequestAfterTheBackoff) {
  UpstreamPool pool = MakePool(3);
  const UpstreamId first("u0");
  pool.NoteSent(first, nullptr, At({}));
  pool.NoteEnd(first, AttemptHealth::kUnreachable, {}, nullptr, false, At({}));
  const Duration later = milliseconds(400);
  int trials = 0;
  for (int round = 0; round < 9; ++round) {
    const UpstreamId id = Chosen(pool, MakeQuery(), later);
    pool.NoteSent(id, nullptr, At(later));
    trials += id == first ? 1 : 0;
  }
  EXPECT_EQ(trials, 1);
}

TEST(UpstreamPool, IgnoresBackoffWhenMostUpstreamsBackOff) {
  UpstreamPool pool = MakePool(3);
  for (const UpstreamId& id : pool.Ids()) {
    pool.NoteSent(id, nullptr, At({}));
    pool.NoteEnd(id, AttemptHealth::kBroken, {}, nullptr, false, At({}));
  }
  EXPECT_FALSE(Chosen(pool, MakeQuery()).empty());
}

TEST(UpstreamPool, SendsLessToAnUpstreamThatFailsItsRequests) {
  UpstreamPool pool = MakePool(2);
  std::map<UpstreamId, int> sent;
  for (int round = 0; round < 200; ++round) {
    const UpstreamId id = Chosen(pool, MakeQuery());
    ++sent[id];
    pool.NoteSent(id, nullptr, At({}));
    const bool fails = id == UpstreamId("u0") && sent[id] % 2 == 0;
    pool.NoteEnd(id, fails ? AttemptHealth::kFailed : AttemptHealth::kServed,
                 milliseconds(30), nullptr, true, At({}));
  }
  EXPECT_LT(sent[UpstreamId("u0")] * 4, sent[UpstreamId("u1")]);
}

TEST(UpstreamPool, KeepsAChatAtOneEngineOnEveryInstance) {
  UpstreamPool one = MakePool(12, 64);
  UpstreamPool other = MakePool(12, 64);
  for (std::uint64_t chat = 100; chat < 130; ++chat) {
    const auto prompt = Chat(chat);
    EXPECT_EQ(Chosen(one, MakeQuery(&prompt)),
              Chosen(other, MakeQuery(&prompt)));
  }
}

TEST(UpstreamPool, PrefersTheEngineThatAnotherInstanceUsedForTheChat) {
  UpstreamPool pool = MakePool(12, 64);
  const auto prompt = Chat(42);
  const UpstreamId home = Chosen(pool, MakeQuery(&prompt));
  const UpstreamId other(home == UpstreamId("u3") ? "u4" : "u3");
  pool.NotePeerPlacement(
      {PartId(42),
       UpstreamHash(static_cast<std::uint32_t>(HashText(other.str())))},
      At({}));
  EXPECT_EQ(Chosen(pool, MakeQuery(&prompt)), other);
}

TEST(UpstreamPool, AvoidsTheHomeEngineAboveTheLoadBound) {
  UpstreamPool pool = MakePool(12, 64);
  const auto prompt = Chat(42);
  const UpstreamId home = Chosen(pool, MakeQuery(&prompt));
  std::vector<ActiveRequests> active{
      {UpstreamHash(static_cast<std::uint32_t>(HashText(home.str()))), 20}};
  pool.SetPeerActive(InstanceId("peer"), active);
  EXPECT_NE(Chosen(pool, MakeQuery(&prompt)), home);
  pool.ClearPeerActive(InstanceId("peer"));
  EXPECT_EQ(Chosen(pool, MakeQuery(&prompt)), home);
}

TEST(UpstreamPool, KeepsLoadsUnderTheBoundWithOneHotChat) {
  UpstreamPool pool = MakePool(12, 64);
  const auto hot = Chat(42);
  for (int round = 0; round < 240; ++round) {
    const auto cold = Chat(1000 + static_cast<std::uint64_t>(round % 60));
    const auto& prompt = round % 3 == 0 ? hot : cold;
    pool.NoteSent(Chosen(pool, MakeQuery(&prompt)), &prompt, At({}));
  }
  for (const UpstreamId& id : pool.Ids()) {
    EXPECT_LE(pool.Active(id), 2 * 240 / 12 + 3) << id.str();
  }
}

TEST(UpstreamPool, ResetsCachedPartsOfARestartedUpstream) {
  UpstreamPool pool = MakePool(12, 64);
  const auto prompt = Chat(42);
  const UpstreamId home = Chosen(pool, MakeQuery(&prompt));
  const UpstreamId other(home == UpstreamId("u3") ? "u4" : "u3");
  pool.NoteSent(other, &prompt, At({}));
  ASSERT_EQ(Chosen(pool, MakeQuery(&prompt)), other);
  RegisteredUpstream restarted = Registration(other.str(), 64);
  restarted.m_start_time_ms = 5;
  pool.Put(restarted, At({}));
  EXPECT_EQ(Chosen(pool, MakeQuery(&prompt)), home);
}

struct LeavingCase {
  const char* m_name;
  /// Events, in order, about the process with the start time 0.
  std::vector<std::function<void(UpstreamPool&)>> m_steps;
  bool m_takes_requests;
};

class LeavingUpstream : public testing::TestWithParam<LeavingCase> {};

TEST_P(LeavingUpstream, TakesNoNewRequests) {
  UpstreamPool pool = MakePool(1);
  for (const auto& step : GetParam().m_steps) {
    step(pool);
  }
  EXPECT_EQ(pool.Choose(MakeQuery(), At({})).has_value(),
            GetParam().m_takes_requests);
}

void ReportLeaving(UpstreamPool& pool) {
  pool.NoteLeaving({HashOf(UpstreamId("u0")), 0}, At({}));
}
void RegisterAgain(UpstreamPool& pool) {
  pool.Put(Registration("u0"), At({}));
}
void RegisterAsDraining(UpstreamPool& pool) {
  RegisteredUpstream draining = Registration("u0");
  draining.m_draining = true;
  pool.Put(draining, At({}));
}
void RemoveRegistration(UpstreamPool& pool) {
  pool.Remove(UpstreamId("u0"));
}
void RegisterRestarted(UpstreamPool& pool) {
  RegisteredUpstream restarted = Registration("u0");
  restarted.m_start_time_ms = 5;
  pool.Put(restarted, At({}));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LeavingUpstream,
    testing::Values(
        LeavingCase{"BySelf", {ReportLeaving}, false},
        LeavingCase{"ByRegistration", {RegisterAsDraining}, false},
        LeavingCase{"AStaleRowChangesNothing",
                    {ReportLeaving, RegisterAgain},
                    false},
        LeavingCase{"AStaleReadChangesNothing",
                    {RegisterAsDraining, RegisterAgain},
                    false},
        LeavingCase{"AReappearingRowChangesNothing",
                    {ReportLeaving, RemoveRegistration, RegisterAgain},
                    false},
        LeavingCase{"ReportedBeforeRegistration",
                    {RemoveRegistration, ReportLeaving, RegisterAgain},
                    false},
        LeavingCase{"ARestartedProcessIsDifferent",
                    {ReportLeaving, RegisterRestarted},
                    true},
        LeavingCase{"LateReportOfTheOldProcess",
                    {RegisterRestarted, ReportLeaving},
                    true}),
    [](const auto& info) { return info.param.m_name; });

TEST(UpstreamPool, ReportsLeavingProcessesForALimitedTime) {
  UpstreamPool pool = MakePool(1);
  ReportLeaving(pool);
  EXPECT_EQ(pool.LeavingToReport(9, At(seconds(2))).size(), 1U);
  EXPECT_TRUE(pool.LeavingToReport(0, At(seconds(2))).empty());
  EXPECT_TRUE(pool.LeavingToReport(9, At(seconds(4))).empty());
  UpstreamPool other = MakePool(1);
  RegisterAsDraining(other);  // Other instances read the registration too.
  EXPECT_TRUE(other.LeavingToReport(9, At({})).empty());
}

TEST(UpstreamPool, SkipsARefusingUpstreamForTheStatedTime) {
  UpstreamPool pool = MakePool(2);
  pool.NoteRefusal(UpstreamId("u0"), 0, seconds(2), At({}));
  EXPECT_FALSE(pool.RefusedFor(kService, At({})));
  for (int round = 0; round < 20; ++round) {
    EXPECT_EQ(Chosen(pool, MakeQuery(), milliseconds(1900)), UpstreamId("u1"));
  }
  // Without an alternative, one trial request may be sent to it in the second
  // half of the refusal time.
  UpstreamQuery upstream_query = MakeQuery();
  upstream_query.m_tried = {UpstreamId("u1")};
  EXPECT_FALSE(pool.Choose(upstream_query, At(milliseconds(900))));
  EXPECT_EQ(Chosen(pool, upstream_query, milliseconds(1100)), UpstreamId("u0"));
  pool.NoteSent(UpstreamId("u0"), nullptr, At(milliseconds(1100)));
  EXPECT_FALSE(pool.Choose(upstream_query, At(milliseconds(1200))));
  EXPECT_EQ(Chosen(pool, upstream_query, seconds(2)), UpstreamId("u0"));
}

TEST(UpstreamPool, ReadmitsARefusingUpstreamThatServes) {
  UpstreamPool pool = MakePool(1);
  pool.NoteRefusal(UpstreamId("u0"), 0, seconds(60), At({}));
  pool.NoteSent(UpstreamId("u0"), nullptr, At(seconds(40)));
  pool.NoteEnd(UpstreamId("u0"), AttemptHealth::kServed, {}, nullptr, true,
               At(seconds(41)));
  EXPECT_TRUE(pool.Choose(MakeQuery(), At(seconds(41))));
}

TEST(UpstreamPool, ReturnsHowLongAllUpstreamsRefuse) {
  UpstreamPool pool = MakePool(3);
  pool.NoteRefusal(UpstreamId("u0"), 0, seconds(9), At({}));
  pool.NoteRefusal(UpstreamId("u1"), 0, seconds(4), At({}));
  // A refusal by another process of u2.
  pool.NoteRefusal(UpstreamId("u2"), 7, seconds(1), At({}));
  EXPECT_FALSE(pool.RefusedFor(kService, At({})));
  pool.NoteLeaving({HashOf(UpstreamId("u2")), 0}, At({}));
  EXPECT_EQ(pool.RefusedFor(kService, At(seconds(1))), Duration(seconds(3)));
  EXPECT_FALSE(pool.RefusedFor(ServiceId("none"), At({})));
}

TEST(UpstreamPool, AddsUpTheRequestsInProgressOfPeers) {
  UpstreamPool pool = MakePool(2, 4);
  const UpstreamHash first = HashOf(UpstreamId("u0"));
  const UpstreamHash second = HashOf(UpstreamId("u1"));
  const auto used_slots = [&pool] {
    return pool.OccupancyOf(kService, At({})).m_used_slots;
  };
  pool.SetPeerActive(InstanceId("a"), {{first, 2}, {second, 1}});
  pool.SetPeerActive(InstanceId("b"), {{first, 3}});
  EXPECT_DOUBLE_EQ(used_slots(), 6);
  pool.SetPeerActive(InstanceId("a"), {{second, 4}});
  EXPECT_DOUBLE_EQ(used_slots(), 7);
  pool.ClearPeerActive(InstanceId("b"));
  pool.ClearPeerActive(InstanceId("b"));
  EXPECT_DOUBLE_EQ(used_slots(), 4);
  pool.ClearPeerActive(InstanceId("a"));
  EXPECT_DOUBLE_EQ(used_slots(), 0);
}

TEST(UpstreamPool, StatesTheBoundAndTheAgeOfLoadsBehindAChoice) {
  UpstreamPool pool = MakePool(2, 4);
  pool.SetLoadAge(milliseconds(300));
  pool.NoteSent(UpstreamId("u0"), nullptr, At({}));
  pool.NoteSent(UpstreamId("u1"), nullptr, At({}));
  const auto prompt = Chat(1);
  const auto choice = pool.Choose(MakeQuery(&prompt), At({}));
  EXPECT_DOUBLE_EQ(choice->m_mean_load, 1);
  EXPECT_DOUBLE_EQ(choice->m_bound, 4);
  EXPECT_EQ(choice->m_load_age, Duration(milliseconds(300)));
  EXPECT_FALSE(choice->m_spread);
}

TEST(UpstreamPool, CountsSlotsAndLoads) {
  UpstreamPool pool = MakePool(2, 4);
  pool.NoteSent(UpstreamId("u0"), nullptr, At({}));
  pool.NoteLoad(UpstreamId("u1"), {3, 1, 4}, At({}));
  const auto occupancy = pool.OccupancyOf(kService, At({}));
  EXPECT_DOUBLE_EQ(occupancy.m_total_slots, 8);
  EXPECT_DOUBLE_EQ(occupancy.m_used_slots, 5);
}

TEST(UpstreamPool, LeavingAndRefusingUpstreamsGetNoChecks) {
  UpstreamPool pool = MakePool(3);
  pool.NoteLeaving({HashOf(UpstreamId("u0")), 0}, At({}));
  pool.NoteRefusal(UpstreamId("u1"), 0, seconds(2), At({}));
  const auto ids = [&](Duration at) {
    std::set<UpstreamId> accepting;
    for (const RegisteredUpstream& upstream : pool.Accepting(At(at))) {
      accepting.insert(upstream.m_id);
    }
    return accepting;
  };
  EXPECT_EQ(ids(seconds(1)), std::set{UpstreamId("u2")});
  EXPECT_EQ(ids(seconds(3)), (std::set{UpstreamId("u1"), UpstreamId("u2")}));
}

}  // namespace
}  // namespace nutmeghollow

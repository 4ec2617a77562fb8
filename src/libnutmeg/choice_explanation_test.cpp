#include "nutmeghollow/choice_explanation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("service");
const TimePoint kNow(seconds(100));

std::vector<PromptPart> Chat(std::uint64_t chat) {
  return {{PartId(chat), Tokens(900)}, {PartId(chat + 1), Tokens(90)}};
}

RegisteredUpstream Registration(const std::string& id) {
  RegisteredUpstream upstream;
  upstream.m_id = UpstreamId(id);
  upstream.m_service = kService;
  upstream.m_endpoint = Endpoint("10.0.0.1:80");
  upstream.m_data_centre = DataCentreId("dc-" + id);
  upstream.m_start_time_ms = 7;
  upstream.m_slots = 8;
  return upstream;
}

UpstreamPool MakePool() {
  UpstreamPool pool;
  for (const char* id : {"u0", "u1", "u2", "u3"}) {
    pool.Put(Registration(id), kNow);
  }
  RegisteredUpstream other = Registration("other");
  other.m_service = ServiceId("other");
  pool.Put(other, kNow);
  return pool;
}

UpstreamQuery MakeQuery(const std::vector<PromptPart>* prompt = nullptr) {
  UpstreamQuery upstream_query;
  upstream_query.m_service = kService;
  upstream_query.m_prompt = prompt;
  upstream_query.m_latency_target = milliseconds(800);
  return upstream_query;
}

const UpstreamExplanation& Of(const ChoiceExplanation& explanation,
                              const std::string& id) {
  const auto found = std::find_if(
      explanation.m_upstreams.begin(), explanation.m_upstreams.end(),
      [&](const auto& one) { return one.m_id == UpstreamId(id); });
  EXPECT_NE(found, explanation.m_upstreams.end()) << id;
  return *found;
}

struct ObstacleCase {
  const char* m_name;
  std::function<void(UpstreamPool&, UpstreamQuery&)> m_cause;
  SendObstacle m_obstacle;
  bool m_is_candidate = false;
  std::optional<Duration> m_ends_after;
};

class ExplainedObstacle : public ::testing::TestWithParam<ObstacleCase> {};

/// An upstream that gets no requests must be listed with the reason.
TEST_P(ExplainedObstacle, IsThatOfTheRules) {
  UpstreamPool pool = MakePool();
  UpstreamQuery upstream_query = MakeQuery();
  GetParam().m_cause(pool, upstream_query);
  const ChoiceExplanation explanation =
      pool.ExplainChoice(upstream_query, kNow);
  ASSERT_EQ(explanation.m_upstreams.size(), 4U);
  const UpstreamExplanation& one = Of(explanation, "u0");
  EXPECT_EQ(one.m_verdict.m_obstacle, GetParam().m_obstacle);
  EXPECT_EQ(one.m_candidate.has_value(), GetParam().m_is_candidate);
  EXPECT_EQ(one.m_verdict.m_until.has_value(),
            GetParam().m_ends_after.has_value());
  if (GetParam().m_ends_after && one.m_verdict.m_until) {
    EXPECT_EQ(*one.m_verdict.m_until, kNow + *GetParam().m_ends_after);
  }
  ASSERT_TRUE(explanation.m_choice);
  EXPECT_NE(explanation.m_choice->m_id, UpstreamId("u0"));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ExplainedObstacle,
    ::testing::Values(
        ObstacleCase{"Leaving",
                     [](UpstreamPool& pool, UpstreamQuery&) {
                       pool.NoteLeaving({HashOf(UpstreamId("u0")), 7}, kNow);
                     },
                     SendObstacle::kLeaving},
        ObstacleCase{"Evacuated",
                     [](UpstreamPool& pool, UpstreamQuery&) {
                       pool.BeginEvacuation(DataCentreId("dc-u0"));
                     },
                     SendObstacle::kEvacuated},
        ObstacleCase{
            "OutsideHomes",
            [](UpstreamPool& pool, UpstreamQuery& upstream_query) {
              pool.SetRegions({{DataCentreId("dc-u0"), RegionId("a")},
                               {DataCentreId("dc-u1"), RegionId("b")}});
              upstream_query.m_homes = MakeHomeRegions({RegionId("b")});
            },
            SendObstacle::kOutsideHomes},
        ObstacleCase{"AlreadyTried",
                     [](UpstreamPool&, UpstreamQuery& upstream_query) {
                       upstream_query.m_tried = {UpstreamId("u0")};
                     },
                     SendObstacle::kAlreadyTried},
        ObstacleCase{"Refusing",
                     [](UpstreamPool& pool, UpstreamQuery&) {
                       pool.NoteRefusal(UpstreamId("u0"), 7, seconds(3), kNow);
                     },
                     SendObstacle::kRefusing, false, seconds(3)},
        ObstacleCase{"NeedsPermit",
                     [](UpstreamPool& pool, UpstreamQuery&) {
                       pool.Limits().NoteResponse({HashOf(UpstreamId("u0")), 7},
                                                  1.0, kNow, kNow);
                     },
                     SendObstacle::kNeedsPermit, true},
        ObstacleCase{"BackingOff",
                     [](UpstreamPool& pool, UpstreamQuery&) {
                       pool.NoteSent(UpstreamId("u0"), nullptr, kNow);
                       pool.NoteEnd(UpstreamId("u0"),
                                    AttemptHealth::kUnreachable, {}, nullptr,
                                    false, kNow - milliseconds(1));
                     },
                     SendObstacle::kBackingOff, true,
                     UpstreamPoolParameters().m_min_backoff - milliseconds(1)}),
    [](const auto& info) { return info.param.m_name; });

/// The explanation must name the upstream that the next request gets, and must
/// not change it.
TEST(ChoiceExplanation, NamesTheNextChoiceAndChangesNothing) {
  for (const bool engines : {false, true}) {
    UpstreamPool pool = MakePool();
    pool.SetSeed(3);
    for (std::uint64_t round = 0; round < 40; ++round) {
      const std::vector<PromptPart> prompt = Chat(round % 5);
      const UpstreamQuery upstream_query =
          MakeQuery(engines ? &prompt : nullptr);
      const ChoiceExplanation first = pool.ExplainChoice(upstream_query, kNow);
      const ChoiceExplanation again = pool.ExplainChoice(upstream_query, kNow);
      const auto choice = pool.Choose(upstream_query, kNow);
      ASSERT_TRUE(first.m_choice && again.m_choice && choice) << round;
      EXPECT_EQ(first.m_choice->m_id, choice->m_id) << round;
      EXPECT_EQ(again.m_choice->m_id, choice->m_id) << round;
      if (round % 3 != 0) {
        pool.NoteSent(choice->m_id, upstream_query.m_prompt, kNow);
      }
    }
  }
}

TEST(ChoiceExplanation, HasLoadsWithTheirAgesAndColdTimes) {
  UpstreamPool pool = MakePool();
  pool.NoteSent(UpstreamId("u1"), nullptr, kNow);
  pool.NoteLoad(UpstreamId("u1"), {5, 2, 8}, kNow);
  pool.NoteCold(UpstreamId("u2"), 7, seconds(4), kNow);
  pool.SetLoadAge(milliseconds(300));
  const ChoiceExplanation explanation =
      pool.ExplainChoice(MakeQuery(), kNow + milliseconds(100));
  const UpstreamExplanation& loaded = Of(explanation, "u1");
  EXPECT_EQ(loaded.m_load, 7);
  EXPECT_EQ(loaded.m_active, 1);
  EXPECT_EQ(loaded.m_report_age, milliseconds(100));
  EXPECT_FALSE(Of(explanation, "u0").m_report_age);
  EXPECT_EQ(Of(explanation, "u2").m_cold_for, milliseconds(3900));
  EXPECT_EQ(loaded.m_cold_for, Duration::zero());
  const auto cold = pool.ColdUpstreams(kNow + milliseconds(100));
  ASSERT_EQ(cold.size(), 1U);
  EXPECT_EQ(cold[0].first, UpstreamId("u2"));
  EXPECT_EQ(cold[0].second, milliseconds(3900));
  EXPECT_EQ(explanation.m_peer_load_age, milliseconds(300));
}

TEST(ChoiceExplanation, HasNoChoiceWhenAllAreEvacuated) {
  UpstreamPool pool = MakePool();
  for (const char* id : {"u0", "u1", "u2", "u3"}) {
    pool.BeginEvacuation(DataCentreId(std::string("dc-") + id));
  }
  const ChoiceExplanation explanation = pool.ExplainChoice(MakeQuery(), kNow);
  EXPECT_FALSE(explanation.m_choice);
  EXPECT_EQ(explanation.m_upstreams.size(), 4U);
}

}  // namespace
}  // namespace nutmeghollow

#include "nutmeghollow/admission.h"

#include <gtest/gtest.h>

#include "libnutmeg/placement_fixture.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A route with two engines of capacity two, all of it in use.
class AdmissionTest : public testing::Test {
 protected:
  AdmissionTest() : m_fixture(2) {
    for (int index = 0; index < 2; ++index) {
      m_fixture.Engine(index).m_capacity = 2;
    }
    for (std::uint64_t chat = 1; chat <= 4; ++chat) {
      m_running.push_back(&m_fixture.Send(chat));
    }
  }

  PlacementFixture m_fixture;
  std::vector<RequestRow*> m_running;
};

TEST_F(AdmissionTest, WaitsWhileAllEnginesAreFull) {
  RequestRow& waiting = m_fixture.Send(5);
  EXPECT_EQ(waiting.m_phase, RequestPhase::kQueued);
  EXPECT_EQ(m_fixture.Customer().m_queued, 1);
  m_fixture.End(*m_running[0]);
  EXPECT_TRUE(m_fixture.m_world.m_tick_again);
  m_fixture.Run();
  EXPECT_EQ(waiting.m_phase, RequestPhase::kPlaced);
  EXPECT_EQ(m_fixture.Customer().m_queued, 0);
}

TEST_F(AdmissionTest, RefusesAtTheDeadline) {
  m_fixture.Route().m_queue_deadline = seconds(3);
  RequestRow& waiting = m_fixture.Send(5);
  m_fixture.Advance(milliseconds(2999));
  EXPECT_EQ(waiting.m_phase, RequestPhase::kQueued);
  m_fixture.Advance(milliseconds(1));
  EXPECT_EQ(waiting.m_phase, RequestPhase::kRefused);
  EXPECT_EQ(waiting.m_refusal, Refusal::kQueueDeadline);
  EXPECT_GT(waiting.m_retry_after, Duration::zero());
  EXPECT_EQ(m_fixture.Customer().m_queued, 0);
  EXPECT_TRUE(m_fixture.m_world.m_admission.m_deadlines.empty());
}

TEST_F(AdmissionTest, ShedsTheSurgingCustomerFirst) {
  m_fixture.AddCustomer("surge");
  m_fixture.Route().m_queue_limit = 4;
  std::vector<RequestRow*> surge;
  for (std::uint64_t chat = 10; chat < 14; ++chat) {
    surge.push_back(&m_fixture.Send(chat, "surge"));
  }
  RequestRow& other = m_fixture.Send(20, "band");
  EXPECT_EQ(other.m_phase, RequestPhase::kQueued);
  EXPECT_EQ(surge.back()->m_phase, RequestPhase::kRefused);
  EXPECT_EQ(surge.back()->m_refusal, Refusal::kQueueFull);
  m_fixture.End(*m_running[0]);
  m_fixture.Run();
  m_fixture.End(*m_running[1]);
  m_fixture.Run();
  EXPECT_EQ(other.m_phase, RequestPhase::kPlaced);
}

TEST_F(AdmissionTest, RemovesRequestsThatEndedElsewhere) {
  RequestRow& waiting = m_fixture.Send(5);
  m_fixture.End(waiting);
  m_fixture.Run();
  EXPECT_EQ(m_fixture.Customer().m_queued, 0);
  EXPECT_TRUE(m_fixture.m_world.m_admission.m_waiting.empty());
  EXPECT_TRUE(m_fixture.m_world.m_admission.m_busy.empty());
}

TEST_F(AdmissionTest, PlacesRequestAgainAfterAFailedAttempt) {
  RequestRow& row = *m_running[0];
  const UpstreamId failed = row.m_upstream;
  ReleasePlacement(m_fixture.m_world, row, m_fixture.m_now);
  row.m_tried.insert(failed);
  m_fixture.m_world.m_requests.SetPhase(row, RequestPhase::kQueued,
                                        m_fixture.m_now);
  m_fixture.Run();
  EXPECT_EQ(row.m_phase, RequestPhase::kAdmitted) << "the other one is full";
  m_fixture.End(
      *(m_running[1]->m_upstream == failed ? m_running[2] : m_running[1]));
  m_fixture.Run();
  EXPECT_EQ(m_fixture.Customer().m_queued + m_fixture.Customer().m_running, 3);
}

struct RefusalCase {
  const char* m_name;
  std::function<void(PlacementFixture&)> m_change;
  Refusal m_refusal;
};

class ArrivalRefusal : public testing::TestWithParam<RefusalCase> {};

TEST_P(ArrivalRefusal, HasTheExpectedReason) {
  PlacementFixture fixture(2);
  GetParam().m_change(fixture);
  fixture.Send(1);
  RequestRow& row = fixture.Send(2);
  fixture.Advance(seconds(11));
  EXPECT_EQ(row.m_phase, RequestPhase::kRefused);
  EXPECT_EQ(row.m_refusal, GetParam().m_refusal);
}

INSTANTIATE_TEST_SUITE_P(
    Tables,
    ArrivalRefusal,
    testing::Values(
        RefusalCase{"UnknownRoute", [](auto& f) { f.m_world.m_routes.clear(); },
                    Refusal::kUnknownRoute},
        RefusalCase{"RouteWithoutEngines",
                    [](auto& f) { f.Route().m_upstreams.clear(); },
                    Refusal::kNoUpstream},
        RefusalCase{"AllEnginesEjected",
                    [](auto& f) {
                      f.Engine(0).m_status = UpstreamStatus::kEjected;
                      f.Engine(1).m_status = UpstreamStatus::kLeaving;
                    },
                    Refusal::kNoUpstream},
        RefusalCase{"RateLimit",
                    [](auto& f) { f.Customer().m_rate_limit = 0.5; },
                    Refusal::kCustomerLimit},
        RefusalCase{"ConcurrencyLimit",
                    [](auto& f) { f.Customer().m_concurrency_limit = 1; },
                    Refusal::kQueueDeadline}),
    [](const auto& info) { return std::string(info.param.m_name); });

}  // namespace
}  // namespace nutmeghollow

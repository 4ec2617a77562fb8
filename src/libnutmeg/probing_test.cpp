#include "nutmeghollow/probing.h"

#include <gtest/gtest.h>

#include <set>

#include "libnutmeg/fleet_for_test.h"
#include "libnutmeg/probe_assignment.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kUsable = UpstreamStatus::kUsable;
constexpr auto kSuspect = UpstreamStatus::kSuspect;
constexpr auto kEjected = UpstreamStatus::kEjected;
constexpr auto kLeaving = UpstreamStatus::kLeaving;

/// State of a simulated upstream.
struct FakeUpstream {
  bool m_up = true;
  bool m_leaving = false;
  int m_running = 0;
};

class Probing : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  static constexpr int kEngines = 12;

  Probing() : m_fleet(7, 3, GetParam()) {
    RouteRow route{.m_id = RouteId("model")};
    for (int i = 0; i < kEngines; ++i) {
      m_upstreams[Engine(i)] = {};
      route.m_upstreams.push_back(Engine(i));
    }
    for (auto& [id, world] : m_fleet.Worlds()) {
      world->m_routes[route.m_id] = route;
      for (const auto& [upstream, fake] : m_upstreams) {
        world->m_upstreams.m_rows[upstream] = UpstreamRow{.m_id = upstream};
      }
    }
    m_fleet.m_action_handler = [this](World& world, const Action& action) {
      if (const auto* probe = std::get_if<ProbeUpstream>(&action)) {
        Answer(world, *probe);
      }
    };
    m_fleet.Run(seconds(20));
  }

  static UpstreamId Engine(int index) {
    return UpstreamId("engine-" + std::to_string(index));
  }

  void Answer(World& world, const ProbeUpstream& probe) {
    ++m_probes;
    const FakeUpstream& fake = m_upstreams.at(probe.m_upstream);
    const InstanceId self = world.m_instances.m_self;
    ProbeResult result{.m_upstream = probe.m_upstream,
                       .m_ok = fake.m_up && !m_cut_off.contains(self),
                       .m_leaving = fake.m_leaving,
                       .m_wire_bytes = Bytes(420)};
    if (result.m_ok) {
      result.m_report = ProbedLoad{.m_running = fake.m_running,
                                   .m_taken_at = m_fleet.Now(),
                                   .m_received_at = m_fleet.Now()};
    }
    world.m_probing_inbox.m_results.push_back(result);
  }

  const UpstreamRow& RowAt(int viewer, int engine) {
    return *m_fleet.At(viewer).m_upstreams.Find(Engine(engine));
  }

  bool AllSee(int engine, UpstreamStatus status) {
    for (int viewer = 0; viewer < 7; ++viewer) {
      if (RowAt(viewer, engine).m_status != status) {
        return false;
      }
    }
    return true;
  }

  /// @return the time until an engine has a status on every instance.
  Duration TimeUntil(int engine, UpstreamStatus status) {
    return m_fleet.RunUntil(
        seconds(60), [this, engine, status] { return AllSee(engine, status); });
  }

  std::map<UpstreamId, FakeUpstream> m_upstreams;
  std::set<InstanceId> m_cut_off;  ///< Instances that cannot reach upstreams.
  int m_probes = 0;
  FleetForTest m_fleet;
};

TEST_P(Probing, AssignsTwoInstancesInDifferentDataCentres) {
  const auto chosen = detail::ChooseProbers(m_fleet.At(0));
  ASSERT_EQ(chosen.size(), static_cast<std::size_t>(kEngines));
  std::map<InstanceId, int> count;
  for (const auto& [id, probers] : chosen) {
    const auto& instances = m_fleet.At(0).m_instances;
    EXPECT_NE(instances.Find(probers[0])->m_data_centre,
              instances.Find(probers[1])->m_data_centre);
    ++count[probers[0]];
    ++count[probers[1]];
  }
  for (const auto& [id, probes] : count) {
    EXPECT_LE(probes, 2 * kEngines / 7 + 2);
  }
  for (int viewer = 1; viewer < 7; ++viewer) {
    EXPECT_EQ(detail::ChooseProbers(m_fleet.At(viewer)), chosen);
  }
}

TEST_P(Probing, TheOwnerIsOneOfTheProbers) {
  World& world = m_fleet.At(0);
  world.m_upstreams.Find(Engine(4))->m_owner = FleetForTest::Id(6);
  EXPECT_EQ(detail::ChooseProbers(world).at(Engine(4))[0], FleetForTest::Id(6));
}

TEST_P(Probing, SpreadsLoadReports) {
  m_upstreams[Engine(3)].m_running = 17;
  const Duration elapsed = m_fleet.RunUntil(seconds(30), [this] {
    for (int viewer = 0; viewer < 7; ++viewer) {
      const auto& report = RowAt(viewer, 3).m_report;
      if (!report || report->m_running != 17) {
        return false;
      }
    }
    return true;
  });
  EXPECT_LT(elapsed, seconds(8));
}

TEST_P(Probing, ALeavingUpstreamIsKnownWithinThreeSeconds) {
  for (int engine = 0; engine < kEngines; ++engine) {
    m_upstreams[Engine(engine)].m_leaving = true;
    EXPECT_LT(TimeUntil(engine, kLeaving), seconds(3)) << engine;
    m_upstreams[Engine(engine)].m_leaving = false;
    m_fleet.Run(seconds(6));
  }
}

/// Owners of engines receive reservation requests from their peers for each
/// request, and are probers too. The received bytes can keep their control
/// budget overdrawn, which must not delay probes beyond m_budget_wait.
TEST_P(Probing, ALeavingUpstreamIsKnownInTimeWithAnExhaustedBudget) {
  m_upstreams[Engine(3)].m_leaving = true;
  const TimePoint start = m_fleet.Now();
  while (!AllSee(3, kLeaving) && m_fleet.Now() - start < seconds(10)) {
    for (auto& [id, world] : m_fleet.Worlds()) {
      RecordControlBytes(*world, ControlClass::kReservation, Bytes(0),
                         Bytes(400), m_fleet.Now());
    }
    m_fleet.Run(milliseconds(100));
  }
  EXPECT_LT(m_fleet.Now() - start, seconds(3));
}

TEST_P(Probing, EjectsAFailedUpstreamAndReadmitsItWithSlowStart) {
  m_upstreams[Engine(5)].m_up = false;
  EXPECT_LT(TimeUntil(5, kEjected), seconds(8));
  m_upstreams[Engine(5)].m_up = true;
  EXPECT_LT(TimeUntil(5, kUsable), seconds(8));
  EXPECT_TRUE(RowAt(0, 5).m_slow_start_since);
  m_fleet.Run(seconds(12));
  EXPECT_FALSE(RowAt(0, 5).m_slow_start_since);
}

TEST_P(Probing, EjectsAtMostTheLimit) {
  for (int engine = 0; engine < kEngines; ++engine) {
    m_upstreams[Engine(engine)].m_up = engine < 2;
  }
  m_fleet.Run(seconds(20));
  for (int viewer = 0; viewer < 7; ++viewer) {
    int ejected = 0;
    for (int engine = 0; engine < kEngines; ++engine) {
      ejected += RowAt(viewer, engine).m_status == kEjected ? 1 : 0;
    }
    EXPECT_EQ(ejected, kEngines / 2);
  }
}

TEST_P(Probing, AnInstanceThatReachesNoUpstreamDetectsALocalFault) {
  m_cut_off.insert(FleetForTest::Id(2));
  m_fleet.Run(seconds(30));
  EXPECT_TRUE(m_fleet.At(2).m_probing.m_local_fault);
  for (int engine = 0; engine < kEngines; ++engine) {
    EXPECT_TRUE(AllSee(engine, kUsable) || RowAt(2, engine).m_status != kUsable)
        << engine;
    EXPECT_NE(RowAt(0, engine).m_status, kEjected);
  }
  m_cut_off.clear();
  m_fleet.Run(seconds(10));
  EXPECT_FALSE(m_fleet.At(2).m_probing.m_local_fault);
}

TEST_P(Probing, TrafficEvidenceMakesAnUpstreamSuspectLocally) {
  World& world = m_fleet.At(1);
  for (int i = 0; i < 3; ++i) {
    EXPECT_NE(RowAt(1, 7).m_status, kSuspect);
    NoteTrafficEvidence(world, Engine(7), false, m_fleet.Now());
  }
  const int before = m_probes;
  m_fleet.Run(FleetForTest::kStep);
  EXPECT_EQ(RowAt(1, 7).m_status, kSuspect);
  // Its own probe reaches the upstream, so the requests were at fault.
  m_fleet.Run(seconds(2));
  EXPECT_GT(m_probes, before);
  EXPECT_EQ(RowAt(1, 7).m_status, kUsable);
}

TEST_P(Probing, AnUpstreamUnreachableFromOneInstanceIsEjectedThereOnly) {
  World& world = m_fleet.At(1);
  m_cut_off.insert(FleetForTest::Id(1));
  for (int i = 0; i < 3; ++i) {
    NoteTrafficEvidence(world, Engine(7), false, m_fleet.Now());
  }
  m_fleet.Run(seconds(5));
  EXPECT_EQ(RowAt(1, 7).m_status, kEjected);
  EXPECT_NE(RowAt(0, 7).m_status, kEjected);
}

TEST_P(Probing, CostsLittleAndKeepsToTheBudget) {
  const int before = m_probes;
  for (auto& [id, world] : m_fleet.Worlds()) {
    world->m_budget.m_peak_second = 0;
  }
  m_fleet.Run(seconds(60));
  const double per_second = (m_probes - before) / 60.0;
  EXPECT_LT(per_second, 2.0 * kEngines / 2.0);
  EXPECT_GT(per_second, 2.0 * kEngines / 3.0);
  for (auto& [id, world] : m_fleet.Worlds()) {
    EXPECT_LE(world->m_budget.m_longest_excess, seconds(2));
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Probing, ::testing::Values(1, 2));

}  // namespace
}  // namespace nutmeghollow

// Cost of control traffic for one instance, at several fleet sizes. One real
// world runs; its peers and upstreams are scripted. An iteration is one second
// of simulated time.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <random>

#include "libnutmeg/fleet_for_test.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr int kTicksPerSecond = 50;
constexpr int kDataCentres = 5;
constexpr int kCustomersPerMessage = 8;

InstanceId PeerId(int index) {
  return InstanceId("nl-midden-" + std::to_string(index));
}

UpstreamId EngineId(int index) {
  return UpstreamId("engine-" + std::to_string(index));
}

/// One world with scripted peers and upstreams.
class ScriptedFleet {
 public:
  ScriptedFleet(int instances, int upstreams)
      : m_instances(instances), m_upstreams(upstreams) {
    m_world.m_hooks.m_random = [this] { return m_random(); };
    m_world.m_hooks.m_wall_time = [this] {
      return WallTime(m_now.time_since_epoch() / std::chrono::milliseconds(1));
    };
    InstanceRow self;
    self.m_id = PeerId(0);
    self.m_peer_endpoint = Endpoint("10.0.0.1:7000");
    self.m_data_centre = DataCentreId("dc-0");
    StartMembership(m_world, self, m_now);
    RouteRow route{.m_id = RouteId("model")};
    for (int i = 0; i < upstreams; ++i) {
      UpstreamRow row{.m_id = EngineId(i)};
      row.m_owner = PeerId(i % instances);
      row.m_endpoint = Endpoint("10.1.0.1:8000");
      m_world.m_upstreams.m_rows[row.m_id] = row;
      route.m_upstreams.push_back(row.m_id);
    }
    m_world.m_routes[route.m_id] = route;
    for (int i = 1; i < instances; ++i) {
      AnnouncePeer(i);
    }
    for (int second = 0; second < 30; ++second) {
      RunSecond();
    }
  }

  void RunSecond() {
    for (int tick = 0; tick < kTicksPerSecond; ++tick) {
      m_now += kTickPeriod;
      if (tick == kTicksPerSecond / 2 && m_instances > 1) {
        Receive(RandomPeer(), FilledMessage(GossipKind::kPing));
      }
      ChangeLoads();
      for (const Action& action : Tick(m_world, m_now)) {
        Answer(action);
      }
    }
  }

  World& GetWorld() { return m_world; }

  std::int64_t ControlBytes() const {
    std::int64_t bytes = 0;
    for (const ControlCounters& counters : m_world.m_budget.m_counters) {
      bytes += counters.m_bytes_sent + counters.m_bytes_received;
    }
    return bytes;
  }

 private:
  void AnnouncePeer(int index) {
    GossipMessage message{.m_incarnation = Incarnation(1)};
    message.m_members.push_back(
        {PeerId(index), Incarnation(1), InstanceStatus::kAlive,
         MemberDetails{
             Endpoint("10.0.0.2:80"), Endpoint("10.0.0.2:7000"),
             DataCentreId("dc-" + std::to_string(index % kDataCentres)),
             RegionId("region")}});
    Receive(PeerId(index), message);
  }

  InstanceId RandomPeer() {
    return PeerId(1 + static_cast<int>(m_random() % (m_instances - 1)));
  }

  /// @return a message with as many entries as those of a busy peer.
  GossipMessage FilledMessage(GossipKind kind) {
    GossipMessage message{
        .m_kind = kind, .m_probe = 1, .m_incarnation = Incarnation(1)};
    const int entries = std::min(m_upstreams / 4, 60);
    for (int i = 0; i < entries; ++i) {
      const int engine = static_cast<int>(m_random() % m_upstreams);
      message.m_verdicts.push_back(
          {.m_upstream = HashName(EngineId(engine).str()),
           .m_slot = static_cast<int>(m_random() % 2),
           .m_running = static_cast<int>(m_random() % 40),
           .m_age = std::chrono::milliseconds(m_random() % 3000)});
    }
    for (int i = 0; i < kCustomersPerMessage; ++i) {
      message.m_demands.push_back(
          {.m_customer = HashName(std::to_string(i)), .m_running = i});
    }
    return message;
  }

  void Receive(const InstanceId& from, const GossipMessage& message) {
    m_world.m_membership_inbox.m_datagrams.push_back(
        {from, EncodeGossip(message), Endpoint("10.0.0.2:7000")});
  }

  void ChangeLoads() {
    for (int i = 0; i < 4; ++i) {
      const int engine = static_cast<int>(m_random() % m_upstreams);
      m_world.m_upstreams.Find(EngineId(engine))->m_local_running =
          static_cast<int>(m_random() % 3);
    }
  }

  void Answer(const Action& action) {
    if (const auto* datagram = std::get_if<SendDatagram>(&action)) {
      const auto sent = DecodeGossip(datagram->m_payload);
      if (sent->m_kind == GossipKind::kPing) {
        GossipMessage ack = FilledMessage(GossipKind::kAck);
        ack.m_probe = sent->m_probe;
        Receive(datagram->m_to, ack);
      }
    } else if (const auto* probe = std::get_if<ProbeUpstream>(&action)) {
      m_world.m_probing_inbox.m_results.push_back(
          {.m_upstream = probe->m_upstream,
           .m_ok = true,
           .m_report =
               ProbedLoad{.m_running = static_cast<int>(m_random() % 40),
                          .m_taken_at = m_now,
                          .m_received_at = m_now},
           .m_wire_bytes = Bytes(420)});
    }
  }

  int m_instances;
  int m_upstreams;
  std::mt19937_64 m_random{1};
  TimePoint m_now{std::chrono::hours(1)};
  World m_world;
};

void ControlOfOneInstance(benchmark::State& state) {
  const auto before = static_cast<double>(mallinfo2().uordblks);
  ScriptedFleet fleet(static_cast<int>(state.range(0)),
                      static_cast<int>(state.range(1)));
  const std::int64_t bytes_before = fleet.ControlBytes();
  for (auto _ : state) {
    fleet.RunSecond();
  }
  const auto seconds = static_cast<double>(state.iterations());
  state.counters["bytes_per_s"] =
      static_cast<double>(fleet.ControlBytes() - bytes_before) / seconds;
  state.counters["peak_bytes_per_s"] =
      static_cast<double>(fleet.GetWorld().m_budget.m_peak_second);
  state.counters["heap_kB"] =
      (static_cast<double>(mallinfo2().uordblks) - before) / 1024.0;
}

BENCHMARK(ControlOfOneInstance)
    ->ArgNames({"instances", "upstreams"})
    ->Args({7, 16})
    ->Args({90, 190})
    ->Args({180, 380})
    ->Args({360, 760})
    ->Iterations(300)
    ->Unit(benchmark::kMillisecond);

/// Seven real worlds with 16 upstreams under changing load.
/// Also reports the mean age of the peers' loads, for owners and for other
/// instances.
void SevenInstances(benchmark::State& state) {
  constexpr int kUpstreams = 16;
  FleetForTest fleet(7, 3, 1);
  std::mt19937_64 random(2);
  for (auto& [id, world] : fleet.Worlds()) {
    for (int i = 0; i < kUpstreams; ++i) {
      world->m_upstreams.m_rows[EngineId(i)] =
          UpstreamRow{.m_id = EngineId(i), .m_owner = FleetForTest::Id(i % 7)};
    }
  }
  fleet.m_action_handler = [&](World& world, const Action& action) {
    if (const auto* probe = std::get_if<ProbeUpstream>(&action)) {
      world.m_probing_inbox.m_results.push_back(
          {.m_upstream = probe->m_upstream,
           .m_ok = true,
           .m_report = ProbedLoad{.m_running = static_cast<int>(random() % 40),
                                  .m_taken_at = fleet.Now(),
                                  .m_received_at = fleet.Now()},
           .m_wire_bytes = Bytes(420)});
    }
  };
  fleet.Run(std::chrono::seconds(20));
  for (auto& [id, world] : fleet.Worlds()) {
    world->m_budget.m_peak_second = 0;
  }
  std::array<double, 2> age_sum{};
  std::array<double, 2> ages{};
  double bytes = 0;
  for (auto _ : state) {
    for (int step = 0; step < 10; ++step) {
      fleet.Run(std::chrono::milliseconds(100));
      for (auto& [id, world] : fleet.Worlds()) {
        UpstreamRow& row =
            *world->m_upstreams.Find(EngineId(static_cast<int>(random() % 16)));
        row.m_local_running = static_cast<int>(random() % 8);
        for (const auto& [upstream, loads] : world->m_peers.m_loads) {
          const bool owner = world->m_upstreams.Find(upstream)->m_owner == id;
          for (const auto& [peer, load] : loads) {
            age_sum[owner ? 0 : 1] +=
                std::chrono::duration<double>(fleet.Now() - load.m_received_at)
                    .count();
            ages[owner ? 0 : 1] += 1;
          }
        }
      }
    }
    for (auto& [id, world] : fleet.Worlds()) {
      bytes += static_cast<double>(world->m_budget.m_last_second);
    }
  }
  std::int64_t peak = 0;
  for (auto& [id, world] : fleet.Worlds()) {
    peak = std::max(peak, world->m_budget.m_peak_second);
  }
  state.counters["bytes_per_s"] =
      bytes / 7.0 / static_cast<double>(state.iterations());
  state.counters["peak_bytes_per_s"] = static_cast<double>(peak);
  state.counters["owner_age_s"] = age_sum[0] / ages[0];
  state.counters["other_age_s"] = age_sum[1] / ages[1];
}

BENCHMARK(SevenInstances)->Iterations(120)->Unit(benchmark::kMillisecond);

void IdleTick(benchmark::State& state) {
  ScriptedFleet fleet(360, 760);
  TimePoint now = fleet.GetWorld().m_budget.m_filled_at;
  for (auto _ : state) {
    benchmark::DoNotOptimize(Tick(fleet.GetWorld(), now));
  }
}

BENCHMARK(IdleTick);

}  // namespace
}  // namespace nutmeghollow

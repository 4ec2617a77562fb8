// Cost of configuration handling, up to the sizes that the project is designed
// for.
#include <benchmark/benchmark.h>
#include <fmt/core.h>

#include <malloc.h>

#include "libnutmeg/configuration_fleet_for_test.h"

namespace nutmeghollow {
namespace {

constexpr int kRouteCount = 9;

std::string CustomerJson(int index) {
  return fmt::format(
      R"({{"token_digests":["{:064x}"],"priority":"p1","weight":1.5,)"
      R"("concurrency_limit":40,"rate_limit":12.5}})",
      index);
}

std::string UpstreamJson(int index) {
  return fmt::format(
      R"({{"kind":"engine","address":"10.0.{}.{}:8000","data_centre":"dc{}",)"
      R"("region":"r{}","weight":1,"capacity":64,"wanted":{{"model":"m{}"}}}})",
      index / 250, index % 250, index % 5, index % 2, index % kRouteCount);
}

std::string RouteJson(int route, int upstreams) {
  std::string list;
  for (int index = route; index < upstreams; index += kRouteCount) {
    list += fmt::format(R"({}"engine-{}")", list.empty() ? "" : ",", index);
  }
  return fmt::format(R"({{"upstreams":[{}],"bound":1.25}})", list);
}

ConfigurationTransfer MakeConfiguration(int customers, int upstreams) {
  ConfigurationTransfer transfer{.m_revision = Revision(100), .m_whole = true};
  auto add = [&](ObjectKind kind, std::string id, std::string json) {
    transfer.m_changes.push_back(
        {Revision(100), {kind, std::move(id)}, std::move(json)});
  };
  add(ObjectKind::kPriority, "p1", R"({"rank":1})");
  for (int index = 0; index < upstreams; ++index) {
    add(ObjectKind::kUpstream, fmt::format("engine-{}", index),
        UpstreamJson(index));
  }
  for (int route = 0; route < kRouteCount; ++route) {
    add(ObjectKind::kRoute, fmt::format("model-{}", route),
        RouteJson(route, upstreams));
  }
  for (int index = 0; index < customers; ++index) {
    add(ObjectKind::kCustomer, fmt::format("customer-{}", index),
        CustomerJson(index));
  }
  return transfer;
}

std::size_t TransferBytes(const ConfigurationTransfer& transfer) {
  std::size_t bytes = 0;
  for (const ConfigurationChange& change : transfer.m_changes) {
    bytes += sizeof(std::uint64_t) + 1 + change.m_key.m_id.size() +
             change.m_json.value_or("").size();
  }
  return bytes;
}

void ApplyWhole(benchmark::State& state) {
  const ConfigurationTransfer transfer = MakeConfiguration(
      static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
  for (auto _ : state) {
    World world;
    ApplyTransfer(world, transfer, TimePoint{});
    benchmark::DoNotOptimize(world);
  }
  World world;
  const struct mallinfo2 heap_before = mallinfo2();
  ApplyTransfer(world, transfer, TimePoint{});
  const struct mallinfo2 heap_after = mallinfo2();
  state.counters["transfer_bytes"] =
      static_cast<double>(TransferBytes(transfer));
  state.counters["heap_bytes"] =
      static_cast<double>(heap_after.uordblks - heap_before.uordblks);
}
BENCHMARK(ApplyWhole)
    ->Args({10, 15})
    ->Args({350, 190})
    ->Args({1400, 760})
    ->Unit(benchmark::kMicrosecond);

/// Applies one change of a customer, an upstream or a route to the largest
/// configuration.
void ApplyChange(benchmark::State& state) {
  World world;
  ApplyTransfer(world, MakeConfiguration(1400, 760), TimePoint{});
  const ObjectKey keys[] = {{ObjectKind::kCustomer, "customer-7"},
                            {ObjectKind::kUpstream, "engine-7"},
                            {ObjectKind::kRoute, "model-7"}};
  const std::string objects[] = {CustomerJson(7), UpstreamJson(7),
                                 RouteJson(7, 760)};
  const auto kind = static_cast<std::size_t>(state.range(0));
  std::size_t bytes = 0;
  for (auto _ : state) {
    const Revision since = world.m_configuration.m_revision;
    const ConfigurationTransfer transfer{
        .m_revision = since.Next(),
        .m_since = since,
        .m_changes = {{since.Next(), keys[kind], objects[kind]}}};
    ApplyTransfer(world, transfer, TimePoint{});
    bytes = TransferBytes(MakeTransfer(world, since));
  }
  state.counters["transfer_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(ApplyChange)->Arg(0)->Arg(1)->Arg(2)->Unit(benchmark::kMicrosecond);

/// Runs a tick in which no work is due.
void IdleTick(benchmark::State& state) {
  ConfigurationFleetForTest fleet(static_cast<int>(state.range(0)));
  World& world = fleet.At(0);
  ApplyTransfer(world, MakeConfiguration(1400, 760), TimePoint{});
  world.m_configuration_state.m_next_poll = TimePoint::max();
  world.m_lease.m_next_step = TimePoint::max();
  TimePoint now{};
  for (auto _ : state) {
    now += std::chrono::microseconds(300);
    RunConfiguration(world, now);
    RunPlannedChanges(world, now);
    RunOperatorCommands(world, now);
    RunLease(world, now);
    RunOrders(world, now);
    world.m_actions.clear();
  }
}
BENCHMARK(IdleTick)->Arg(7)->Arg(360);

/// Counts the reads and writes of the table service per second by an idle
/// fleet.
void FleetAtRest(benchmark::State& state) {
  ConfigurationFleetForTest fleet(static_cast<int>(state.range(0)));
  const char* engine = R"({"address":"127.0.0.1:1","wanted":{"model":"m"}})";
  fleet.Execute(0, SetCommand("c", ObjectKind::kUpstream, "e", engine));
  fleet.Run(seconds(15));
  fleet.m_reads = 0;
  fleet.m_store.m_commits = 0;
  constexpr int kSeconds = 60;
  for (auto _ : state) {
    fleet.Run(seconds(kSeconds), milliseconds(100));
  }
  const double total = static_cast<double>(state.iterations()) * kSeconds;
  state.counters["reads_per_second"] = fleet.m_reads / total;
  state.counters["writes_per_second"] = fleet.m_store.m_commits / total;
}
BENCHMARK(FleetAtRest)->Arg(7)->Arg(60)->Iterations(1);

}  // namespace
}  // namespace nutmeghollow

// Benchmarks of placement decisions, owner assignment and the chat memory.

#include <benchmark/benchmark.h>

#include "libnutmeg/placement_fixture.h"
#include "nutmeghollow/owners.h"

namespace nutmeghollow {
namespace {

constexpr int kCustomers = 1400;

/// A request from its arrival in the queue to its end, in a fleet of 760
/// engines. Arguments: engines of the route, mean load.
void BM_Decision(benchmark::State& state) {
  const auto engines = static_cast<int>(state.range(0));
  const auto load = static_cast<int>(state.range(1));
  PlacementFixture fixture(engines, 360);
  for (int index = engines; index < 760; ++index) {
    fixture.AddUpstream(fmt::format("other-{:03}", index));
  }
  std::vector<std::string> customers;
  for (int index = 0; index < kCustomers; ++index) {
    customers.push_back(fmt::format("customer-{:04}", index));
    fixture.AddCustomer(customers.back());
  }
  for (int index = 0; index < engines; ++index) {
    ChangeRunning(fixture.m_world, fixture.Engine(index), load, fixture.m_now);
  }
  fixture.m_world.m_placement_parameters.m_reservations = false;
  fixture.Run();
  std::uint64_t number = 0;
  for (auto _ : state) {
    fixture.m_now += std::chrono::microseconds(100);
    ++number;
    RequestRow& row =
        fixture.Send(number % 50000 + 1, customers[number % kCustomers]);
    fixture.End(row);
  }
}
BENCHMARK(BM_Decision)
    ->ArgNames({"engines", "load"})
    ->Args({12, 8})
    ->Args({84, 8})
    ->Args({84, 143})
    ->Args({250, 143})
    ->Args({760, 143})
    ->Unit(benchmark::kMicrosecond);

/// One run without requests: the fixed cost of each tick.
void BM_IdleRun(benchmark::State& state) {
  PlacementFixture fixture(760, 360);
  fixture.Run();
  for (auto _ : state) {
    fixture.m_now += std::chrono::milliseconds(1);
    fixture.Run();
  }
}
BENCHMARK(BM_IdleRun)->Unit(benchmark::kMicrosecond);

/// End of a request and admission of the next one from a queue. Argument:
/// length of the queue.
void BM_QueuedAdmission(benchmark::State& state) {
  PlacementFixture fixture(84);
  for (int index = 0; index < 84; ++index) {
    fixture.Engine(index).m_capacity = 1;
  }
  const auto waiting = static_cast<int>(state.range(0));
  fixture.Route().m_queue_limit = waiting * 2;
  fixture.Route().m_queue_deadline = std::chrono::hours(1);
  std::deque<RequestRow*> requests;
  std::uint64_t chat = 0;
  for (int index = 0; index < waiting + 84; ++index) {
    requests.push_back(&fixture.Arrive(++chat));
  }
  fixture.Run();
  for (auto _ : state) {
    fixture.m_now += std::chrono::microseconds(100);
    fixture.End(*requests.front());
    requests.pop_front();
    requests.push_back(&fixture.Send(++chat));
  }
}
BENCHMARK(BM_QueuedAdmission)->Arg(10)->Arg(100)->Arg(1000);

/// Assignment of owners to all engines. Arguments: engines, instances.
void BM_ComputeOwners(benchmark::State& state) {
  const PlacementFixture fixture(static_cast<int>(state.range(0)),
                                 static_cast<int>(state.range(1)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(ComputeOwners(fixture.m_world));
  }
}
BENCHMARK(BM_ComputeOwners)
    ->Args({12, 7})
    ->Args({190, 90})
    ->Args({380, 180})
    ->Args({760, 360})
    ->Unit(benchmark::kMillisecond);

/// An entry lookup. Arguments: engines of the route, instances.
void BM_ChooseEntry(benchmark::State& state) {
  PlacementFixture fixture(static_cast<int>(state.range(0)),
                           static_cast<int>(state.range(1)));
  UpdateOwners(fixture.m_world, fixture.m_now);
  std::uint64_t chat = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(ChooseEntry(fixture.m_world, ChatKey(++chat),
                                         RouteId("model"), fixture.m_now));
  }
}
BENCHMARK(BM_ChooseEntry)
    ->Args({12, 7})
    ->Args({84, 360})
    ->Unit(benchmark::kMicrosecond);

/// Finds and stores chats; the counters give the number of stored chats and the
/// bytes of an entry. Argument: distinct chats.
void BM_ChatMemory(benchmark::State& state) {
  ChatMemory memory;
  const UpstreamIndex engine = memory.IndexOf(UpstreamId("engine"));
  const auto chats = static_cast<std::uint64_t>(state.range(0));
  std::uint64_t chat = 0;
  for (auto _ : state) {
    const ChatKey key(chat++ % chats * 0x9e3779b97f4a7c15U + 1);
    benchmark::DoNotOptimize(memory.Find(key));
    memory.Remember(key, engine, PlacementReason::kHome,
                    TimePoint(std::chrono::seconds(chat)));
  }
  state.counters["remembered"] = static_cast<double>(memory.size());
  state.counters["entry_bytes"] =
      static_cast<double>(ChatMemory::EntrySize().value());
}
BENCHMARK(BM_ChatMemory)->Arg(11112)->Arg(100000)->Arg(200000);

}  // namespace
}  // namespace nutmeghollow

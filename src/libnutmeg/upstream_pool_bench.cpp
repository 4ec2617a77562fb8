// Benchmark of choosing an upstream, by the numbers of instances and upstreams.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

void ChooseUpstream(benchmark::State& state) {
  const auto instances = static_cast<int>(state.range(0));
  const auto upstreams = static_cast<int>(state.range(1));
  UpstreamPool pool;
  std::vector<ActiveRequests> active;
  for (int index = 0; index < upstreams; ++index) {
    RegisteredUpstream upstream;
    upstream.m_id = UpstreamId("engine-" + std::to_string(index));
    upstream.m_service = ServiceId("s");
    upstream.m_slots = 32;
    pool.Put(upstream, kNow);
    if (index < 5) {
      active.push_back({HashOf(upstream.m_id), 1});
    }
  }
  for (int index = 0; index < instances; ++index) {
    pool.SetPeerActive(InstanceId("i" + std::to_string(index)), active);
  }
  const std::vector<PromptPart> prompt{{PartId(1), Tokens(500)},
                                       {PartId(2), Tokens(10000)},
                                       {PartId(3), Tokens(1300)}};
  UpstreamQuery upstream_query;
  upstream_query.m_service = ServiceId("s");
  upstream_query.m_prompt = &prompt;
  upstream_query.m_latency_target = std::chrono::milliseconds(800);
  for (auto _ : state) {
    benchmark::DoNotOptimize(pool.Choose(upstream_query, kNow));
  }
}
BENCHMARK(ChooseUpstream)
    ->Args({7, 12})
    ->Args({91, 65})
    ->Args({295, 167})
    ->Args({360, 760})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace nutmeghollow

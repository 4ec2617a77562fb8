// Cost of checking a relayed stream for its end marker.
#include <benchmark/benchmark.h>

#include <string>

#include "libnet/stream_end.h"

namespace nutmeghollow::net {
namespace {

void WatchPart(benchmark::State& state) {
  StreamEnd end;
  const std::string part(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto _ : state) {
    end.Append(part);
    benchmark::DoNotOptimize(end);
  }
}
BENCHMARK(WatchPart)->Arg(200)->Arg(16384);

}  // namespace
}  // namespace nutmeghollow::net

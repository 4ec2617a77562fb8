// CPU time of the decision library per request, with none and with many other
// requests in progress.
#include <benchmark/benchmark.h>

#include "flow_world.h"
#include "table_store.h"

namespace nutmeghollow {
namespace {

using Kind = AttemptEventKind;

/// Adds requests whose responses are being relayed.
void Fill(FlowWorld& flow, std::int64_t count) {
  flow.m_world.m_routes[RouteId("model")].m_queue_limit = 1 << 20;
  for (std::int64_t number = 0; number < count; ++number) {
    NewRequest request = flow.Chat(static_cast<std::uint64_t>(number));
    request.m_timeout = std::chrono::hours(1000);
    const RequestId id = flow.Submit(request);
    flow.Settle();
    flow.Report(id, Kind::kBytesSent);
    flow.Report(id, Kind::kHeaders);
  }
  flow.m_actions.clear();
}

/// A tick without events.
void IdleTick(benchmark::State& state) {
  FlowWorld flow;
  Fill(flow, state.range(0));
  for (auto _ : state) {
    flow.m_now += Duration(1);
    benchmark::DoNotOptimize(Tick(flow.m_world, flow.m_now));
  }
}
BENCHMARK(IdleTick)->Arg(0)->Arg(100)->Arg(5000);

/// A streamed chat from arrival to its end, in five ticks.
void Chat(benchmark::State& state) {
  FlowWorld flow;
  Fill(flow, state.range(0));
  std::uint64_t digest = 1 << 20;
  for (auto _ : state) {
    flow.m_now += Duration(10);
    const RequestId id = flow.Submit(flow.Chat(++digest));
    flow.Settle();
    flow.Report(id, Kind::kBytesSent);
    flow.Report(id, Kind::kHeaders);
    AttemptEvent bytes;
    bytes.m_kind = Kind::kResponseBytes;
    bytes.m_bytes = 100;
    flow.Report(id, bytes);
    flow.Report(id, Kind::kComplete);
    flow.m_actions.clear();
  }
}
BENCHMARK(Chat)->Arg(0)->Arg(100)->Arg(5000);

/// Only the systems of request flow: intake, quarantine, claims, request flow,
/// drain.
void FlowSystemsIdle(benchmark::State& state) {
  FlowWorld flow;
  Fill(flow, state.range(0));
  for (auto _ : state) {
    flow.m_now += Duration(1);
    RunRequestIntake(flow.m_world, flow.m_now);
    RunQuarantine(flow.m_world, flow.m_now);
    RunClaims(flow.m_world, flow.m_now);
    RunRequestFlow(flow.m_world, flow.m_now);
    RunDrain(flow.m_world, flow.m_now);
  }
}
BENCHMARK(FlowSystemsIdle)->Arg(0)->Arg(5000);

/// A claimed order: insert, dispatch, recording and end of the response.
void ClaimedOrder(benchmark::State& state) {
  FlowWorld flow;
  TableStore store;
  int number = 0;
  for (auto _ : state) {
    flow.m_now += std::chrono::milliseconds(10);
    const RequestId id =
        flow.Submit(flow.Order("POST", std::to_string(++number)));
    flow.Settle();
    while (store.CarryOut(flow)) {
      flow.Settle();
    }
    flow.Report(id, Kind::kBytesSent);
    flow.Report(id, Kind::kComplete);
    while (store.CarryOut(flow)) {
      flow.Settle();
    }
    flow.m_actions.clear();
    if (number % 1000 == 0) {
      store.m_rows.clear();
    }
  }
  const ClaimCounters& counters = flow.m_world.m_claims.m_counters;
  const auto claims = static_cast<double>(counters.m_claims);
  state.counters["rows_written"] =
      static_cast<double>(counters.m_writes) / claims;
  state.counters["commits"] = static_cast<double>(counters.m_commits) / claims;
  state.counters["reads"] = static_cast<double>(counters.m_reads) / claims;
}
BENCHMARK(ClaimedOrder);

/// Orders that arrive in the same tick and share transactions.
void ClaimedOrdersTogether(benchmark::State& state) {
  FlowWorld flow;
  TableStore store;
  int number = 0;
  std::vector<RequestId> ids;
  for (auto _ : state) {
    flow.m_now += std::chrono::seconds(1);
    ids.clear();
    for (std::int64_t index = 0; index < state.range(0); ++index) {
      ids.push_back(flow.Submit(flow.Order("POST", std::to_string(++number))));
    }
    flow.Settle();
    while (store.CarryOut(flow)) {
      flow.Settle();
    }
    for (RequestId id : ids) {
      const RequestRow* row = flow.m_world.m_requests.Find(id);
      for (Kind kind : {Kind::kBytesSent, Kind::kComplete}) {
        flow.m_world.m_request_inbox.m_attempts.push_back(
            {id, row->m_attempt, kind});
      }
    }
    flow.Settle();
    while (store.CarryOut(flow)) {
      flow.Settle();
    }
    flow.m_actions.clear();
    store.m_rows.clear();
  }
  const ClaimCounters& counters = flow.m_world.m_claims.m_counters;
  const auto claims = static_cast<double>(counters.m_claims);
  state.counters["commits"] = static_cast<double>(counters.m_commits) / claims;
  state.counters["reads"] = static_cast<double>(counters.m_reads) / claims;
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(ClaimedOrdersTogether)->Arg(8)->Arg(32);

}  // namespace
}  // namespace nutmeghollow

// Simulates one hot chat on hundreds of instances that receive each other's
// loads with a delay of seconds. Guards against overload of single engines:
// with outdated loads, many instances choose the same engine at once.
//
// The load: 160 engines and the three kinds of streams of the users' largest
// load specification; one chat sends half of the requests of the long kind.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {
namespace {

constexpr int kEngines = 160;
constexpr double kLengthMs = 14'000;
/// Placements count from this time on; before it, the loads ramp up.
constexpr double kSteadyMs = 8'000;
constexpr double kHotShare = 0.5;
/// Users' bound on an engine's load: kBound times the mean plus kBoundSlack.
constexpr double kBound = 2.0;
constexpr double kBoundSlack = 3.0;
constexpr double kPeriodPerPeerMs = 10;

struct Kind {
  double m_per_second;
  std::int64_t m_chat_tokens;
  int m_chats;
  double m_run_time_ms;
};

constexpr Kind kKinds[] = {{285, 10000, 562, 1700},
                           {218, 580, 643, 1250},
                           {386, 1700, 506, 120}};

struct Ending {
  double m_at_ms;
  std::size_t m_instance;
  int m_engine;
  std::vector<PromptPart> m_prompt;
  bool operator>(const Ending& other) const { return m_at_ms > other.m_at_ms; }
};

class SpreadFleet {
 public:
  SpreadFleet(std::size_t instances, bool spreads, unsigned seed)
      : m_random(seed),
        m_pools(instances, UpstreamPool(ParametersOf(spreads))),
        m_next_digest(instances),
        m_running(kEngines) {
    m_period_ms = std::max(200.0, kPeriodPerPeerMs * instances);
    for (std::size_t index = 0; index < instances; ++index) {
      UpstreamPool& pool = m_pools[index];
      pool.SetSeed(m_random());
      pool.SetLoadAge(Duration(static_cast<std::int64_t>(m_period_ms * 1e3)));
      m_next_digest[index] = m_period_ms * Unit();
      for (int engine = 0; engine < kEngines; ++engine) {
        RegisteredUpstream upstream;
        upstream.m_id = IdOf(engine);
        upstream.m_service = ServiceId("s");
        upstream.m_slots = 32;
        pool.Put(upstream, At(0));
      }
    }
  }

  /// Runs the simulation; results are in the members below.
  void Simulate() {
    double next[std::size(kKinds)];
    for (std::size_t kind = 0; kind < std::size(kKinds); ++kind) {
      next[kind] = Gap(kKinds[kind]);
    }
    while (true) {
      const std::size_t kind = static_cast<std::size_t>(
          std::min_element(std::begin(next), std::end(next)) - next);
      const double now = next[kind];
      if (now >= kLengthMs) {
        return;
      }
      next[kind] += Gap(kKinds[kind]);
      EndUntil(now);
      ExchangeDigestsUntil(now);
      Send(kKinds[kind], kind == 0, now);
    }
  }

  int m_counted = 0;
  int m_over_bound = 0;
  double m_recomputed_tokens = 0;

 private:
  static UpstreamPoolParameters ParametersOf(bool spreads) {
    UpstreamPoolParameters parameters;
    if (!spreads) {
      parameters.m_max_fresh_load_age = std::chrono::hours(1);
    }
    return parameters;
  }
  static UpstreamId IdOf(int engine) {
    return UpstreamId("e" + std::to_string(engine));
  }
  static TimePoint At(double ms) {
    return TimePoint(std::chrono::seconds(100)) +
           Duration(static_cast<std::int64_t>(ms * 1e3));
  }
  double Unit() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  double Gap(const Kind& kind) {
    return std::exponential_distribution<double>(kind.m_per_second /
                                                 1000)(m_random);
  }

  void EndUntil(double now) {
    while (!m_endings.empty() && m_endings.top().m_at_ms <= now) {
      const Ending& ending = m_endings.top();
      UpstreamPool& pool = m_pools[ending.m_instance];
      pool.NoteFirstResponse(IdOf(ending.m_engine), &ending.m_prompt);
      pool.NoteEnd(IdOf(ending.m_engine), AttemptHealth::kServed, {},
                   &ending.m_prompt, true, At(ending.m_at_ms));
      --m_running[static_cast<std::size_t>(ending.m_engine)];
      --m_total_running;
      m_endings.pop();
    }
  }

  void ExchangeDigestsUntil(double now) {
    for (std::size_t from = 0; from < m_pools.size(); ++from) {
      if (m_next_digest[from] > now) {
        continue;
      }
      m_next_digest[from] += m_period_ms;
      const auto active = m_pools[from].ActiveByUpstream();
      const auto placements = m_pools[from].TakePlacements();
      const InstanceId name("i" + std::to_string(from));
      for (std::size_t to = 0; to < m_pools.size(); ++to) {
        if (to == from) {
          continue;
        }
        m_pools[to].SetPeerActive(name, active);
        for (const PartPlacement& placement : placements) {
          m_pools[to].NotePeerPlacement(placement, At(now));
        }
      }
    }
  }

  void Send(const Kind& kind, bool may_be_hot, double now) {
    const auto base = static_cast<std::uint64_t>(&kind - kKinds + 1) * 100'000;
    const bool hot = may_be_hot && Unit() < kHotShare;
    const std::uint64_t chat =
        hot ? 0 : 1 + m_random() % static_cast<std::uint64_t>(kind.m_chats);
    const std::vector<PromptPart> prompt{
        {PartId(base), Tokens(400)},
        {PartId(base + chat + 1), Tokens(kind.m_chat_tokens)},
        {PartId(++m_last_unique_part), Tokens(500)}};
    UpstreamQuery upstream_query;
    upstream_query.m_service = ServiceId("s");
    upstream_query.m_prompt = &prompt;
    upstream_query.m_latency_target = std::chrono::milliseconds(800);
    const std::size_t instance = m_random() % m_pools.size();
    const auto choice = m_pools[instance].Choose(upstream_query, At(now));
    m_pools[instance].NoteSent(choice->m_id, &prompt, At(now));
    const int engine = std::stoi(choice->m_id.str().substr(1));
    int& running = m_running[static_cast<std::size_t>(engine)];
    if (now >= kSteadyMs) {
      ++m_counted;
      m_over_bound +=
          running > kBound * m_total_running / kEngines + kBoundSlack ? 1 : 0;
    }
    const std::uint64_t part = base + chat + 1;
    const bool computed_here =
        !m_computed.insert(part * kEngines + static_cast<std::uint64_t>(engine))
             .second;
    if (!computed_here && !m_computed_once.insert(part).second) {
      m_recomputed_tokens += static_cast<double>(kind.m_chat_tokens);
    }
    ++running;
    ++m_total_running;
    m_endings.push({now + kind.m_run_time_ms, instance, engine, prompt});
  }

  std::mt19937_64 m_random;
  std::vector<UpstreamPool> m_pools;
  std::vector<double> m_next_digest;
  std::vector<int> m_running;
  int m_total_running = 0;
  double m_period_ms = 0;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_endings;
  std::set<std::uint64_t> m_computed;
  std::set<std::uint64_t> m_computed_once;
  std::uint64_t m_last_unique_part = 1'000'000'000;
};

struct SpreadCase {
  std::size_t m_instances;
  unsigned m_seed;
};

class HotChat : public testing::TestWithParam<SpreadCase> {};

TEST_P(HotChat, IsSpreadBeforeItsEnginesAreTooFull) {
  double over[2];
  double recomputed_tokens[2];
  for (const bool spreads : {false, true}) {
    SpreadFleet fleet(GetParam().m_instances, spreads, GetParam().m_seed);
    fleet.Simulate();
    over[spreads] = static_cast<double>(fleet.m_over_bound) / fleet.m_counted;
    recomputed_tokens[spreads] = fleet.m_recomputed_tokens;
    std::printf(
        "%zu instances, %s: %.4f sent above the bound, %.2fM tokens "
        "recomputed\n",
        GetParam().m_instances, spreads ? "spread" : "by loads alone",
        over[spreads], fleet.m_recomputed_tokens / 1e6);
  }
  // The users' bound: at most 3 of 100 requests may go to an engine above
  // 2 x mean + 3.
  EXPECT_LE(over[1], 0.03);
  EXPECT_LE(over[1], over[0]);
  // The prefix of the hot chat is computed once at each of its engines, which
  // are at most half of all.
  EXPECT_LE(recomputed_tokens[1] - recomputed_tokens[0],
            0.5 * kEngines * static_cast<double>(kKinds[0].m_chat_tokens));
}

INSTANTIATE_TEST_SUITE_P(Table,
                         HotChat,
                         testing::Values(SpreadCase{120, 1},
                                         SpreadCase{295, 2}));

}  // namespace
}  // namespace nutmeghollow

// Seeded random simulations of one instance that receives all the traffic of a
// route. Guards against lost prefix reuse and loads above the bound, also
// during a surge of one customer and while engines are ejected and return.

#include <gtest/gtest.h>

#include <cmath>
#include <queue>
#include <set>

#include "libnutmeg/placement_fixture.h"

namespace nutmeghollow {
namespace {

using Seconds = std::chrono::duration<double>;

/// Settings of a run: chats that return after pauses, on engines that never
/// evict prefixes.
struct RunSettings {
  std::string m_policy = "bounded";
  int m_seed = 1;
  int m_engines = 12;
  int m_chats = 6000;
  double m_pause_seconds = 20.0;
  double m_end_of_chat = 0.1;  ///< Probability that a chat ends after a turn.
  int m_turns = 40000;
  /// One customer doubles the traffic during the middle third of the turns.
  bool m_surge = false;
  int m_churned_engines = 0;
};

/// Result of a run.
struct RunResult {
  double m_reuse = 0.0;  ///< Share of returning bytes with a cached prefix.
  double m_worst_load = 0.0;  ///< Highest load / mean, for a mean >= 4.
  int m_above_bound = 0;      ///< Samples with a load above the bound.
  int m_samples = 0;
  double m_wait_mean = 0, m_wait_p95 = 0;
};

class RandomRun {
 public:
  explicit RandomRun(const RunSettings& settings)
      : m_settings(settings),
        m_fixture(settings.m_engines, 1, settings.m_seed) {
    m_fixture.m_world.m_placement_parameters.m_policy = settings.m_policy;
    m_fixture.AddCustomer("surge");
    for (int chat = 0; chat < settings.m_chats; ++chat) {
      const double delay = Uniform() * settings.m_pause_seconds;
      m_events.push({After(delay), NewChat(), 0, false});
    }
  }

  RunResult Run() {
    while (m_turns < m_settings.m_turns) {
      const Event event = m_events.top();
      m_events.pop();
      m_fixture.m_now = event.m_at;
      if (event.m_is_end) {
        EndTurn(event);
      } else {
        StartTurn(event);
      }
      Churn();
      Surge();
      m_fixture.Run();
      RecordPlacements();
      Sample();
    }
    m_result.m_reuse = m_hits / std::max(1.0, m_returning);
    return m_result;
  }

 private:
  struct Event {
    TimePoint m_at;
    std::uint64_t m_chat = 0;
    std::uint64_t m_request = 0;
    bool m_is_end = false;
    bool operator<(const Event& other) const { return m_at > other.m_at; }
  };

  double Uniform() {
    return std::uniform_real_distribution<double>()(m_fixture.m_random);
  }
  double Exponential(double mean) { return -mean * std::log(1.0 - Uniform()); }
  TimePoint After(double seconds) {
    return m_fixture.m_now +
           std::chrono::duration_cast<Duration>(Seconds(seconds));
  }
  std::uint64_t NewChat() { return m_fixture.m_random(); }

  /// Half of the chats are long, most of the others short and some labels.
  static bool IsLong(std::uint64_t chat) { return chat % 8 < 4; }
  static bool IsLabel(std::uint64_t chat) { return chat % 8 == 7; }
  static Bytes BodySize(std::uint64_t chat) {
    if (IsLong(chat)) {
      return Bytes(static_cast<std::int64_t>(7000 + chat % 23000));
    }
    return Bytes(IsLabel(chat) ? 300 : 1800);
  }
  double ServiceSeconds(std::uint64_t chat) {
    if (IsLong(chat)) {
      return 1.0 + 0.8 * Uniform();
    }
    return IsLabel(chat) ? 0.15 : 0.3 + 0.2 * Uniform();
  }

  void StartTurn(const Event& event) {
    NewRequest request;
    request.m_id = RequestId(++m_last_request);
    request.m_chat = ChatKey(event.m_chat);
    request.m_route = RouteId("model");
    request.m_customer =
        CustomerId(m_surge_chats.contains(event.m_chat) ? "surge" : "band");
    const int kind = static_cast<int>(event.m_chat % 8);
    if (kind == 7 || kind < 3) {
      request.m_body_size = Bytes(kind == 7 ? 300 : 1800);
    } else {
      request.m_body_size =
          Bytes(static_cast<std::int64_t>(7000 + event.m_chat % 23000));
    }
    request.m_first_turn = !m_seen.contains(event.m_chat);
    m_fixture.Arrive(request);
    m_unplaced.insert(m_last_request);
    ++m_turns;
  }

  void RecordPlacements() {
    for (auto next = m_unplaced.begin(); next != m_unplaced.end();) {
      RequestRow& row = *m_fixture.m_world.m_requests.Find(RequestId(*next));
      if (row.m_phase != RequestPhase::kPlaced) {
        ++next;
        continue;
      }
      const std::uint64_t chat = row.m_request.m_chat.value();
      if (m_seen.contains(chat)) {
        const auto bytes =
            static_cast<double>(row.m_request.m_body_size.value());
        m_returning += bytes;
        m_hits += m_cached[row.m_upstream].contains(chat) ? bytes : 0.0;
      }
      m_seen.insert(chat);
      m_cached[row.m_upstream].insert(chat);
      m_events.push({After((chat % 8 == 7  ? 0.15
                            : chat % 8 < 3 ? 0.3 + 0.2 * Uniform()
                                           : 1.0 + 0.8 * Uniform())),
                     chat, *next, true});
      next = m_unplaced.erase(next);
    }
  }

  void EndTurn(const Event& event) {
    m_fixture.End(
        *m_fixture.m_world.m_requests.Find(RequestId(event.m_request)));
    const bool in_surge = m_surge_chats.contains(event.m_chat);
    if (in_surge && !m_surging) {
      return;
    }
    std::uint64_t chat = event.m_chat;
    if (Uniform() < m_settings.m_end_of_chat) {
      chat = NewChat();
      if (in_surge) {
        m_surge_chats.insert(chat);
      }
    }
    m_events.push(
        {After(Exponential(m_settings.m_pause_seconds)), chat, 0, false});
  }

  /// Doubles the number of chats during the middle third of the turns; the new
  /// chats belong to one customer.
  void Surge() {
    const int third = m_settings.m_turns / 3;
    const bool surging =
        m_settings.m_surge && m_turns > third && m_turns < 2 * third;
    if (surging && !m_surging) {
      for (int index = 0; index < m_settings.m_chats; ++index) {
        const std::uint64_t chat = NewChat();
        m_surge_chats.insert(chat);
        m_events.push({After(Uniform()), chat, 0, false});
      }
    }
    m_surging = surging;
  }

  /// Ejects engines after a third of the turns and returns them, with empty
  /// caches, after two thirds.
  void Churn() {
    const int third = m_settings.m_turns / 3;
    const bool ejected = m_turns > third && m_turns < 2 * third;
    if (ejected == m_ejected) {
      return;
    }
    m_ejected = ejected;
    for (int index = 0; index < m_settings.m_churned_engines; ++index) {
      UpstreamRow& engine = m_fixture.Engine(index);
      engine.m_status =
          ejected ? UpstreamStatus::kEjected : UpstreamStatus::kUsable;
      if (!ejected) {
        engine.m_slow_start_since = m_fixture.m_now;
        m_cached[engine.m_id].clear();
      }
    }
  }

  /// Compares the highest load with the mean. Engines in slow start are left
  /// out, because they do not receive their full share yet.
  void Sample() {
    double total = 0.0;
    double highest = 0.0;
    int usable = 0;
    for (const auto& [id, row] : m_fixture.m_world.m_upstreams.m_rows) {
      const double slow_start_factor = SlowStartFactor(
          m_fixture.m_world.m_load_parameters, row, m_fixture.m_now);
      if (row.m_status == UpstreamStatus::kUsable && slow_start_factor == 1.0) {
        ++usable;
        total += row.m_local_running;
        highest = std::max<double>(highest, row.m_local_running);
      }
    }
    const double mean = total / usable;
    if (mean < 4.0) {
      return;
    }
    ++m_result.m_samples;
    m_result.m_worst_load = std::max(m_result.m_worst_load, highest / mean);
    const double limit = std::ceil(m_fixture.Route().m_bound * mean - 1e-9);
    m_result.m_above_bound += highest > limit ? 1 : 0;
  }

  RunSettings m_settings;
  PlacementFixture m_fixture;
  std::priority_queue<Event> m_events;
  std::set<std::uint64_t> m_unplaced;
  std::set<std::uint64_t> m_seen;
  std::set<std::uint64_t> m_surge_chats;
  std::map<UpstreamId, std::set<std::uint64_t>> m_cached;
  std::uint64_t m_last_request = 0;
  double m_hits = 0.0;
  double m_returning = 0.0;
  int m_turns = 0;
  bool m_surging = false;
  bool m_ejected = false;
  RunResult m_result;
};

/// Settings of a run and the required result.
struct RunCase {
  const char* m_name;
  RunSettings m_settings;
  double m_min_reuse;
};

class BoundedPolicy : public testing::TestWithParam<RunCase> {};

TEST_P(BoundedPolicy, KeepsReuseAndBound) {
  const RunResult result = RandomRun(GetParam().m_settings).Run();
  RecordProperty("reuse", fmt::format("{:.4f}", result.m_reuse));
  RecordProperty("worst", fmt::format("{:.3f}", result.m_worst_load));
  EXPECT_GT(result.m_samples, 1000);
  EXPECT_GE(result.m_reuse, GetParam().m_min_reuse);
  EXPECT_EQ(result.m_above_bound, 0) << "worst " << result.m_worst_load;
}

INSTANTIATE_TEST_SUITE_P(
    RandomRun,
    BoundedPolicy,
    testing::Values(RunCase{"Steady", {}, 0.97},
                    RunCase{"Surge", {.m_surge = true}, 0.97},
                    RunCase{"ChurnOfOne", {.m_churned_engines = 1}, 0.90},
                    RunCase{"ChurnOfThree", {.m_churned_engines = 3}, 0.90}),
    [](const auto& info) { return std::string(info.param.m_name); });

class Baseline : public testing::TestWithParam<const char*> {};

TEST_P(Baseline, IsWorseThanBounded) {
  const RunSettings settings{.m_chats = 2000, .m_turns = 20000};
  RunSettings baseline = settings;
  baseline.m_policy = GetParam();
  const RunResult bounded = RandomRun(settings).Run();
  const RunResult other = RandomRun(baseline).Run();
  EXPECT_GT(bounded.m_reuse, other.m_reuse + 0.3);
}

INSTANTIATE_TEST_SUITE_P(
    RandomRun,
    Baseline,
    testing::Values("random", "least_loaded", "two_choices"),
    [](const auto& info) { return std::string(info.param); });

}  // namespace
}  // namespace nutmeghollow

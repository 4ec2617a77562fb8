// Plays the exchange of loads between the instances of fleets of 7 to 360.
// Guards against loads that grow old, and cost that grows, with the fleet.
#include "nutmeghollow/load_exchange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "nutmeghollow/fleet_digest.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

constexpr double kTickMs = 5;
constexpr double kRoundMs = 200;
constexpr double kStartSpreadMs = 300;
constexpr int kDataCentres = 5;
/// Instances of each data centre with ten times the link of the others.
constexpr std::size_t kFastPerDataCentre = 3;
/// Bytes of a datagram beside its payload: IP and UDP headers, seal, id.
constexpr std::size_t kDatagramOverhead = 28 + 36 + 20;

TimePoint At(double ms) {
  return TimePoint(std::chrono::seconds(100)) +
         Duration(static_cast<std::int64_t>(ms * 1e3));
}

InstanceId InstanceOf(std::size_t index) {
  return InstanceId("i" + std::to_string(index));
}

std::size_t IndexOf(const InstanceId& id) {
  return std::stoul(id.str().substr(1));
}

EntryInstance MakeInstance(std::size_t index) {
  const bool fast = index / kDataCentres < kFastPerDataCentre;
  return {.m_id = InstanceOf(index),
          .m_data_centre = DataCentreId(std::to_string(index % kDataCentres)),
          .m_link_mbps = fast ? 200.0 : 20.0};
}

EntryDirectory MakeDirectory(std::size_t instances) {
  EntryDirectory directory;
  for (std::size_t index = 0; index < instances; ++index) {
    directory.Put(MakeInstance(index));
  }
  return directory;
}

/// @return the relay of the data centre of the instances 0, 5 and so on.
std::size_t RelayOf(const EntryDirectory& directory) {
  return IndexOf(ChooseLoadRelays(directory).begin()->second.front());
}

/// Instances whose messages are delivered in the next tick.
class Fleet {
 public:
  explicit Fleet(std::size_t instances)
      : m_directory(MakeDirectory(instances)),
        m_pools(instances),
        m_next_round_ms(instances),
        m_bytes(instances),
        m_silent(instances) {
    for (std::size_t index = 0; index < instances; ++index) {
      m_next_round_ms[index] =
          std::uniform_real_distribution<double>(0, kStartSpreadMs)(m_random);
      m_exchanges.emplace_back(
          InstanceOf(index), &m_directory, &m_pools[index],
          [this, index](const InstanceId& to, const LoadMessage& message) {
            Send(index, IndexOf(to), message);
          });
    }
  }

  /// Registers upstreams at all instances.
  void AddUpstreams(std::size_t count) {
    for (UpstreamPool& pool : m_pools) {
      for (std::size_t index = 0; index < count; ++index) {
        RegisteredUpstream upstream;
        upstream.m_id = UpstreamId("u" + std::to_string(index));
        upstream.m_service = ServiceId("s");
        pool.Put(upstream, At(0));
      }
    }
  }
  void Sent(std::size_t instance, std::size_t upstream) {
    m_pools[instance].NoteSent(UpstreamId("u" + std::to_string(upstream)),
                               nullptr, At(m_now_ms));
  }

  /// @param each called before each tick.
  void RunFor(
      double ms,
      const std::function<void()>& each = [] {}) {
    const double until = m_now_ms + ms;
    for (; m_now_ms < until; m_now_ms += kTickMs) {
      each();
      for (const InFlight& sent : std::exchange(m_in_flight, {})) {
        if (!m_silent[sent.m_to]) {
          m_exchanges[sent.m_to].Handle(InstanceOf(sent.m_from), sent.m_message,
                                        At(m_now_ms));
        }
      }
      for (std::size_t index = 0; index < m_exchanges.size(); ++index) {
        if (m_next_round_ms[index] <= m_now_ms) {
          m_next_round_ms[index] += kRoundMs;
          StartRound(index);
        }
      }
    }
  }

  /// @return requests in progress at an upstream as an instance knows them.
  int Known(std::size_t instance, std::size_t upstream) const {
    const UpstreamHash hash =
        HashOf(UpstreamId("u" + std::to_string(upstream)));
    for (const ActiveRequests& entry : m_pools[instance].FleetActive()) {
      if (entry.m_upstream == hash) {
        return entry.m_count;
      }
    }
    return 0;
  }

  std::size_t size() const { return m_exchanges.size(); }
  LoadExchange& operator[](std::size_t index) { return m_exchanges[index]; }

  double m_loss = 0;
  std::mt19937_64 m_random{7};
  EntryDirectory m_directory;
  std::vector<UpstreamPool> m_pools;
  std::vector<double> m_next_round_ms;
  std::vector<double> m_bytes;  ///< Sent and received by each instance.
  std::vector<bool> m_silent;   ///< Frozen, cut off or dead.
  double m_now_ms = 0;

 private:
  struct InFlight {
    std::size_t m_from;
    std::size_t m_to;
    LoadMessage m_message;
  };

  void StartRound(std::size_t index) {
    if (m_silent[index]) {
      return;
    }
    m_exchanges[index].StartRound(At(m_now_ms));
    for (std::size_t to = 0;
         m_exchanges[index].IsFlat() && to < m_exchanges.size(); ++to) {
      if (to != index && !m_silent[to]) {
        m_exchanges[to].NoteDigest(
            InstanceOf(index), m_pools[index].ActiveByUpstream(), At(m_now_ms));
      }
    }
  }

  void Send(std::size_t from, std::size_t to, const LoadMessage& message) {
    FleetDigest digest;
    digest.m_events_only = true;
    digest.m_load = message;
    const auto bytes = static_cast<double>(
        EncodeDigest(digest, At(m_now_ms)).size() + kDatagramOverhead);
    m_bytes[from] += bytes;
    m_bytes[to] += bytes;
    if (std::uniform_real_distribution<double>(0, 1)(m_random) >= m_loss) {
      m_in_flight.push_back({from, to, message});
    }
  }

  std::deque<LoadExchange> m_exchanges;
  std::vector<InFlight> m_in_flight;
};

class FleetSizes : public testing::TestWithParam<std::size_t> {};

TEST_P(FleetSizes, LoadsAreYoungerThanHalfASecondAtUse) {
  // Each instance counts up at an upstream of its own, so that a count tells
  // when it was taken.
  const std::size_t instances = GetParam();
  Fleet fleet(instances);
  fleet.m_loss = 0.01;
  fleet.AddUpstreams(instances);
  std::vector<double> ages;
  int sent = 0;
  fleet.RunFor(3000, [&] {
    for (; sent * 10 <= fleet.m_now_ms; ++sent) {
      for (std::size_t index = 0; index < instances; ++index) {
        fleet.Sent(index, index);
      }
    }
    const std::size_t user = fleet.m_random() % instances;
    const std::size_t other = fleet.m_random() % instances;
    if (fleet.m_now_ms > 2000 && user != other) {
      ages.push_back(10.0 * (sent - fleet.Known(user, other)));
    }
  });
  std::sort(ages.begin(), ages.end());
  const double median = ages[ages.size() / 2];
  const double p95 = ages[ages.size() * 95 / 100];
  std::printf("%zu instances: age of a load %.0f ms, 95th percentile %.0f ms\n",
              instances, median, p95);
  EXPECT_LE(p95, 500);
}

TEST_P(FleetSizes, ControlBytesAreBounded) {
  constexpr std::size_t kUpstreams = 208;
  constexpr int kActive = 5;
  constexpr double kSeconds = 3;
  Fleet fleet(GetParam());
  fleet.AddUpstreams(kUpstreams);
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    for (int count = 0; count < kActive; ++count) {
      fleet.Sent(index, fleet.m_random() % kUpstreams);
    }
  }
  fleet.RunFor(1000);
  std::fill(fleet.m_bytes.begin(), fleet.m_bytes.end(), 0);
  fleet.RunFor(kSeconds * 1000);
  double reporter = 0;
  double relay = 0;
  int relays = 0;
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    double& most = fleet[index].IsRelay() ? relay : reporter;
    most = std::max(most, fleet.m_bytes[index] / kSeconds);
    relays += fleet[index].IsRelay() ? 1 : 0;
  }
  std::printf("%zu instances: %.1f kB/s at most, %.1f kB/s at %d relays\n",
              fleet.size(), reporter / 1e3, relay / 1e3, relays);
  constexpr double kMaxBytesPerSecond = 8'000;
  constexpr double kMaxRelayBytesPerSecond = 0.05 * 200e6 / 8;
  EXPECT_LE(reporter, kMaxBytesPerSecond);
  EXPECT_LE(relay, kMaxRelayBytesPerSecond);
}

TEST_P(FleetSizes, EveryInstanceKnowsTheExactLoadsAtRest) {
  constexpr std::size_t kUpstreams = 400;
  Fleet fleet(GetParam());
  fleet.AddUpstreams(kUpstreams);
  std::map<std::size_t, int> sent;
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    for (int count = 0; count < 8; ++count) {
      const std::size_t upstream = fleet.m_random() % kUpstreams;
      fleet.Sent(index, upstream);
      ++sent[upstream];
    }
  }
  fleet.RunFor(1500);
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    int wrong = 0;
    for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream) {
      wrong += fleet.Known(index, upstream) != sent[upstream] ? 1 : 0;
    }
    EXPECT_EQ(wrong, 0) << index;
  }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         FleetSizes,
                         testing::Values(7, 20, 21, 91, 295, 360));

TEST(LoadExchange, ReplacesARelayThatFallsSilent) {
  Fleet fleet(91);
  fleet.AddUpstreams(1);
  fleet.RunFor(1000);
  const std::size_t reporter = 90;
  ASSERT_FALSE(fleet[reporter].IsRelay());
  const InstanceId relay = fleet[reporter].Relay();
  fleet.m_silent[IndexOf(relay)] = true;
  // Two missed responses, and a round until the next one responds.
  fleet.RunFor(4 * kRoundMs);
  EXPECT_NE(fleet[reporter].Relay(), relay);
  fleet.Sent(0, 0);
  fleet.RunFor(3 * kRoundMs);
  EXPECT_EQ(fleet.Known(reporter, 0), 1);
}

TEST(LoadExchange, DropsTheLoadsOfAnInstanceThatFallsSilent) {
  Fleet fleet(91);
  fleet.AddUpstreams(1);
  const std::size_t reporter = 90;
  fleet.Sent(reporter, 0);
  fleet.RunFor(1000);
  EXPECT_EQ(fleet.Known(0, 0), 1);
  EXPECT_EQ(fleet.Known(89, 0), 1);
  fleet.m_silent[reporter] = true;
  fleet.RunFor(2000);
  EXPECT_EQ(fleet.Known(0, 0), 0);
  EXPECT_EQ(fleet.Known(89, 0), 0);
}

TEST(LoadExchange, DoesNotCountLoadsTwiceAfterAChangeOfRelay) {
  Fleet fleet(91);
  fleet.AddUpstreams(1);
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    fleet.Sent(index, 0);
  }
  fleet.RunFor(1000);
  const std::size_t reporter = 90;
  fleet.m_silent[IndexOf(fleet[reporter].Relay())] = true;
  const double changed_at = fleet.m_now_ms;
  int most = 0;
  fleet.RunFor(3000, [&] {
    if (fleet.m_now_ms > changed_at + 1600) {
      most = std::max(most, fleet.Known(reporter, 0));
    }
  });
  EXPECT_EQ(most, 90);
}

TEST(LoadExchange, RespondsToReportsOnlyAsARelay) {
  const EntryDirectory directory = MakeDirectory(91);
  for (const std::size_t index : {RelayOf(directory), std::size_t{90}}) {
    UpstreamPool pool;
    int responses = 0;
    LoadExchange exchange(
        InstanceOf(index), &directory, &pool,
        [&](const InstanceId& /*to*/, const LoadMessage& message) {
          responses += message.m_kind == LoadMessageKind::kOthers ? 1 : 0;
        });
    exchange.StartRound(At(0));
    LoadMessage report;
    report.m_last = UpstreamHash(UINT32_MAX);
    EXPECT_TRUE(exchange.Handle(InstanceOf(89), report, At(0)));
    EXPECT_EQ(responses, exchange.IsRelay() ? 1 : 0);
    EXPECT_EQ(exchange.IsRelay(), index == RelayOf(directory)) << index;
  }
}

struct RelayCase {
  std::size_t m_instances;
  std::size_t m_relays_per_data_centre;
};

class LoadRelays : public testing::TestWithParam<RelayCase> {};

TEST_P(LoadRelays, AreTheFastestOfEachDataCentre) {
  const auto relays = ChooseLoadRelays(MakeDirectory(GetParam().m_instances));
  EXPECT_EQ(relays.size(),
            GetParam().m_relays_per_data_centre == 0 ? 0U : kDataCentres);
  for (const auto& [data_centre, ids] : relays) {
    EXPECT_EQ(ids.size(), GetParam().m_relays_per_data_centre);
    for (const InstanceId& id : ids) {
      EXPECT_LT(IndexOf(id) / kDataCentres, kFastPerDataCentre) << id.str();
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LoadRelays,
                         testing::Values(RelayCase{7, 0},
                                         RelayCase{20, 0},
                                         RelayCase{21, 1},
                                         RelayCase{91, 1},
                                         RelayCase{295, 3}));

struct MalformedCase {
  const char* m_name;
  std::uint32_t m_first;
  std::uint32_t m_last;
  std::vector<ActiveRequests> m_active;
};

class MalformedLoad : public testing::TestWithParam<MalformedCase> {};

TEST_P(MalformedLoad, IsIgnored) {
  Fleet fleet(91);
  fleet.AddUpstreams(1);
  fleet.RunFor(600);
  const std::size_t relay = RelayOf(fleet.m_directory);
  ASSERT_TRUE(fleet[relay].IsRelay());
  const std::size_t before = fleet[relay].Sources();
  LoadMessage message;
  message.m_first = UpstreamHash(GetParam().m_first);
  message.m_last = UpstreamHash(GetParam().m_last);
  message.m_active = GetParam().m_active;
  EXPECT_FALSE(
      fleet[relay].Handle(InstanceId("new"), message, At(fleet.m_now_ms)));
  EXPECT_EQ(fleet[relay].Sources(), before);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    MalformedLoad,
    testing::Values(
        MalformedCase{"RangeReversed", 9, 3, {}},
        MalformedCase{"BelowTheRange", 5, 9, {{UpstreamHash(4), 1}}},
        MalformedCase{"AboveTheRange", 5, 9, {{UpstreamHash(10), 1}}},
        MalformedCase{"NotSorted",
                      0,
                      9,
                      {{UpstreamHash(5), 1}, {UpstreamHash(3), 1}}}),
    [](const auto& info) { return info.param.m_name; });

}  // namespace
}  // namespace nutmeghollow

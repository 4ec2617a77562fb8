#include "nutmeghollow/lease.h"

#include <gtest/gtest.h>

#include "libnutmeg/configuration_fleet_for_test.h"

namespace nutmeghollow {
namespace {

/// Simulated engines that carry out orders; some do not enforce fencing.
class EnginesForTest {
 public:
  struct Engine {
    bool m_enforces = true;
    std::string m_state = "{}";
    FencingNumber m_fencing;
    int m_orders = 0;
    int m_loading_reads = 0;  ///< Results that still report loading.
  };

  explicit EnginesForTest(ConfigurationFleetForTest& fleet) : m_fleet(fleet) {
    fleet.m_on_action = [this](int index, const Action& action) {
      if (const auto* order = std::get_if<SendOrder>(&action)) {
        OnOrder(index, *order);
      } else if (const auto* read = std::get_if<ReadEngineState>(&action)) {
        Reply(index, read->m_upstream, OrderStatus::kSucceeded);
      } else if (std::holds_alternative<CloseOrderConnections>(action)) {
        ++m_close_count[index];
      }
    };
  }

  std::map<UpstreamId, Engine> m_engines;
  std::map<int, int> m_close_count;
  std::map<FencingNumber, int> m_sender;  ///< Sending instance by number.
  std::vector<std::pair<Duration, UpstreamId>> m_sent;
  std::size_t m_max_loading = 0;

 private:
  void OnOrder(int index, const SendOrder& order) {
    EXPECT_LT(TimePoint(m_fleet.m_now), order.m_not_after);
    EXPECT_TRUE(HoldsLease(m_fleet.At(index), TimePoint(m_fleet.m_now)));
    EXPECT_EQ(m_sender.emplace(order.m_fencing, index).first->second, index);
    m_sent.emplace_back(m_fleet.m_now, order.m_upstream);
    Engine& engine = m_engines[order.m_upstream];
    ++engine.m_orders;
    if (engine.m_enforces && order.m_fencing < engine.m_fencing) {
      Reply(index, order.m_upstream, OrderStatus::kStaleFencing);
      return;
    }
    engine.m_fencing = order.m_fencing;
    engine.m_state = order.m_wanted_state;
    Reply(index, order.m_upstream, OrderStatus::kSucceeded);
    std::size_t loading = 0;
    for (const auto& [id, row] : m_fleet.At(index).m_orders.m_rows) {
      loading += row.m_stage == OrderStage::kLoading ? 1 : 0;
    }
    m_max_loading = std::max(m_max_loading, loading);
  }

  void Reply(int index, const UpstreamId& upstream, OrderStatus status) {
    Engine& engine = m_engines[upstream];
    std::string state = engine.m_state;
    if (engine.m_loading_reads > 0) {
      --engine.m_loading_reads;
      state = R"({"model":"loading"})";
    }
    m_fleet.At(index).m_orders.m_results.push_back({upstream, status, state});
  }

  ConfigurationFleetForTest& m_fleet;
};

class LeaseTest : public testing::Test {
 protected:
  void SetUp() override { AddEngine("e0", true, "m1"); }

  void AddEngine(const std::string& id, bool enforces, const char* model) {
    m_engines.m_engines[UpstreamId(id)].m_enforces = enforces;
    const OperatorReply reply = m_fleet.Execute(
        0, SetCommand("set" + id + model, ObjectKind::kUpstream, id,
                      std::string(R"({"address":"127.0.0.1:1",)") +
                          R"("enforces_fencing":)" +
                          (enforces ? "true" : "false") +
                          R"(,"wanted":{"model":")" + model + R"("}})"));
    ASSERT_EQ(reply.m_result, OperatorResult::kAccepted);
  }

  bool Holds(int index) {
    return HoldsLease(m_fleet.At(index), TimePoint(m_fleet.m_now));
  }
  /// Expects at most one holder among the running instances.
  /// @return index of the lease holder, or -1 if there is none.
  int Holder() {
    int holder = -1;
    for (int index = 0; index < m_fleet.size(); ++index) {
      if (!m_fleet.m_paused.contains(index) && Holds(index)) {
        EXPECT_EQ(holder, -1) << "two holders";
        holder = index;
      }
    }
    return holder;
  }
  std::string State(const char* id) {
    return m_engines.m_engines[UpstreamId(id)].m_state;
  }
  FencingNumber Fencing(int index) {
    return m_fleet.At(index).m_lease.m_fencing;
  }

  ConfigurationFleetForTest m_fleet{4};
  EnginesForTest m_engines{m_fleet};
};

TEST_F(LeaseTest, OneInstanceHoldsLeaseAndSendsOrders) {
  m_fleet.Run(seconds(5));
  const int holder = Holder();
  ASSERT_GE(holder, 0);
  EXPECT_EQ(State("e0"), R"({"model":"m1"})");
  AddEngine("e0", true, "m2");
  m_fleet.Run(seconds(3));
  EXPECT_EQ(State("e0"), R"({"model":"m2"})");
  m_fleet.Run(seconds(60));
  EXPECT_EQ(Holder(), holder);
  EXPECT_EQ(m_fleet.At(holder).m_lease.m_acquisitions, 1U);
  EXPECT_EQ(m_engines.m_sent.size(), 2U);  // One for each wanted state.
}

TEST_F(LeaseTest, PausedHolderDropsLeaseBeforeOtherActions) {
  m_fleet.Run(seconds(5));
  const int holder = Holder();
  const FencingNumber fencing = Fencing(holder);
  m_fleet.m_paused.insert(holder);
  m_fleet.Run(seconds(20));
  const int next = Holder();
  ASSERT_GE(next, 0);
  EXPECT_GT(Fencing(next), fencing);
  // A holder that resumes must not act on the expired lease.
  EXPECT_FALSE(Holds(holder));
  const int closed = m_engines.m_close_count[holder];
  m_fleet.m_paused.clear();
  m_fleet.Run(milliseconds(20));
  EXPECT_EQ(m_engines.m_close_count[holder], closed + 1);
  EXPECT_FALSE(Holds(holder));
  m_fleet.Run(seconds(30));
  EXPECT_GE(Holder(), 0);
}

TEST_F(LeaseTest, ShortGapBetweenTicksDropsLease) {
  m_fleet.Run(seconds(5));
  const int holder = Holder();
  const FencingNumber fencing = Fencing(holder);
  m_fleet.m_paused.insert(holder);
  m_fleet.Run(milliseconds(1500));
  m_fleet.m_paused.clear();
  m_fleet.Run(milliseconds(20));
  EXPECT_FALSE(Holds(holder));
  m_fleet.Run(seconds(5));
  EXPECT_EQ(Holder(), holder);
  EXPECT_GT(Fencing(holder), fencing);
}

TEST_F(LeaseTest, LostRenewalRepliesDoNotEndLease) {
  m_fleet.Run(seconds(5));
  const int holder = Holder();
  m_fleet.m_lost_reply_share = 1;
  m_fleet.Run(seconds(60));
  EXPECT_EQ(Holder(), holder);
  EXPECT_EQ(m_fleet.At(holder).m_lease.m_losses, 0U);
}

TEST_F(LeaseTest, LostAcquisitionReplyIsResolvedByReadingTheRow) {
  m_fleet.m_lost_reply_share = 1;
  m_fleet.Run(seconds(5));
  EXPECT_GE(Holder(), 0);
}

TEST_F(LeaseTest, LeaseExpiresDuringStoreOutage) {
  m_fleet.Run(seconds(5));
  const int holder = Holder();
  m_fleet.m_outage = true;
  m_fleet.Run(seconds(10));
  EXPECT_EQ(Holder(), -1);
  EXPECT_GE(m_engines.m_close_count[holder], 1);
  m_fleet.m_outage = false;
  m_fleet.Run(seconds(10));
  EXPECT_GE(Holder(), 0);
}

TEST_F(LeaseTest, PartitionedHolderIsReplacedWithoutOverlap) {
  m_fleet.Run(seconds(5));
  const int holder = Holder();
  m_fleet.m_no_store = {holder};
  for (int turn = 0; turn < 1500; ++turn) {
    m_fleet.Run(milliseconds(20));
    Holder();  // Expects at most one holder.
  }
  EXPECT_NE(Holder(), holder);
  EXPECT_GE(Holder(), 0);
}

TEST_F(LeaseTest, DrainingHolderReleasesLease) {
  m_fleet.Run(seconds(5));
  const int holder = Holder();
  m_fleet.At(holder).m_draining = true;
  m_fleet.Run(seconds(7));
  EXPECT_NE(Holder(), holder);
  EXPECT_GE(Holder(), 0);
}

TEST_F(LeaseTest, OrdersToEnginesWithoutFencingWaitForOldLeaseToExpire) {
  AddEngine("ignores", false, "m1");
  m_fleet.Run(seconds(40));
  EXPECT_EQ(State("ignores"), R"({"model":"m1"})");
  const int holder = Holder();
  m_fleet.m_paused.insert(holder);
  m_engines.m_engines[UpstreamId("ignores")].m_state = "{}";
  while (Holder() < 0) {
    m_fleet.Run(milliseconds(20));
  }
  const Duration acquired = m_fleet.m_now;
  const int successor = Holder();
  m_fleet.Run(seconds(30));
  ASSERT_EQ(Holder(), successor);
  EXPECT_EQ(State("ignores"), R"({"model":"m1"})");
  const World& world = m_fleet.At(successor);
  EXPECT_GE(m_engines.m_sent.back().first - acquired,
            world.m_lease.m_parameters.m_duration +
                world.m_orders.m_parameters.m_order_timeout);
}

TEST_F(LeaseTest, StaleFencingNumberIsRejected) {
  m_engines.m_engines[UpstreamId("e0")].m_fencing = FencingNumber(9);
  m_fleet.Run(seconds(20));
  const int holder = Holder();
  ASSERT_GE(holder, 0);
  EXPECT_GT(m_fleet.At(holder).m_orders.m_refused, 0U);
  EXPECT_EQ(State("e0"), "{}");
}

TEST_F(LeaseTest, ConcurrentLoadsAreLimited) {
  for (int engine = 1; engine < 12; ++engine) {
    const std::string id = "e" + std::to_string(engine);
    m_engines.m_engines[UpstreamId(id)].m_loading_reads = 3;
    AddEngine(id, true, "m1");
  }
  m_fleet.Run(seconds(60));
  for (const auto& [id, engine] : m_engines.m_engines) {
    EXPECT_EQ(engine.m_state, R"({"model":"m1"})") << id.str();
  }
  EXPECT_LE(m_engines.m_max_loading, OrderParameters().m_max_concurrent_loads);
  EXPECT_GT(m_engines.m_max_loading, 1U);
}

struct MatchCase {
  const char* m_wanted;
  const char* m_state;
  bool m_matches;
};

class StateMatchesTest : public testing::TestWithParam<MatchCase> {};

TEST_P(StateMatchesTest, ComparesTheWantedFields) {
  EXPECT_EQ(StateMatches(GetParam().m_wanted, GetParam().m_state),
            GetParam().m_matches);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    StateMatchesTest,
    testing::Values(MatchCase{R"({"model":"a"})", R"({"model":"a","x":1})",
                              true},
                    MatchCase{R"({"model":"a"})", R"({"model":"b"})", false},
                    MatchCase{R"({"model":"a"})", "{}", false},
                    MatchCase{"{}", "{}", true},
                    MatchCase{R"({"model":"a"})", "nonsense", false}));

// Random pauses, partitions, outages, restarts, and lost and late commits.
class RandomLeaseTest : public LeaseTest,
                        public testing::WithParamInterface<int> {};

TEST_P(RandomLeaseTest, AtMostOneHolderAndUniqueFencingNumbers) {
  m_fleet.m_random.seed(static_cast<std::uint64_t>(GetParam()));
  m_fleet.m_lost_reply_share = 0.2;
  m_fleet.m_late_commit_share = 0.1;
  auto& random = m_fleet.m_random;
  for (int turn = 0; turn < 400; ++turn) {
    if (turn % 20 == 0) {
      m_fleet.m_paused.clear();
      m_fleet.m_no_store.clear();
      m_fleet.m_outage = random() % 8 == 0;
      m_fleet.m_paused.insert(static_cast<int>(random() % 4));
      m_fleet.m_no_store.insert(static_cast<int>(random() % 4));
      if (random() % 4 == 0) {
        m_fleet.Restart(static_cast<int>(random() % 4));
      }
    }
    m_fleet.Run(milliseconds(random() % 300));
    Holder();
  }
  m_fleet.m_paused.clear();
  m_fleet.m_no_store.clear();
  m_fleet.m_outage = false;
  m_fleet.Run(seconds(30));
  EXPECT_GE(Holder(), 0);
  EXPECT_EQ(State("e0"), R"({"model":"m1"})");
  for (int index = 0; index < m_fleet.size(); ++index) {
    EXPECT_LE(m_fleet.At(index).m_lease.m_fencing, Fencing(Holder()));
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomLeaseTest, testing::Range(1, 16));

}  // namespace
}  // namespace nutmeghollow

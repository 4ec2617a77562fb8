// Tests how fast configuration changes propagate between instances.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "libnutmeg/fleet_for_test.h"

namespace nutmeghollow {
namespace {

using std::chrono::seconds;

/// Instances that exchange datagrams and RPC calls; both are charged to the
/// control traffic budget, as in the daemon.
class ConfigurationPropagation
    : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  static constexpr int kSize = 7;
  /// Bytes of an RPC call on a new connection, in one direction.
  static constexpr Bytes kCallBytes{700};

  ConfigurationPropagation() : m_fleet(kSize, 2, GetParam()) {
    m_fleet.m_action_handler = [this](World& world, const Action& action) {
      if (const auto* fetch = std::get_if<FetchConfiguration>(&action)) {
        Fetch(world, *fetch);
      }
    };
    ApplyToAll({.m_revision = Revision(1), .m_whole = true});
    m_fleet.Run(seconds(20));
  }

  void ApplyToAll(const ConfigurationTransfer& transfer) {
    for (auto& [id, world] : m_fleet.Worlds()) {
      ApplyTransfer(*world, transfer, m_fleet.Now());
    }
  }

  void Fetch(World& world, const FetchConfiguration& fetch) {
    World& peer = *m_fleet.Worlds().at(fetch.m_from);
    world.m_configuration_inbox.m_transfers.push_back(
        MakeTransfer(peer, fetch.m_since));
    for (World* side : {&world, &peer}) {
      RecordControlBytes(*side, ControlClass::kConfiguration, kCallBytes,
                         kCallBytes, m_fleet.Now());
    }
  }

  /// Applies a change on one instance.
  /// @return the time until all instances have applied it.
  Duration PropagationTime(Revision revision, World& origin) {
    ConfigurationTransfer transfer{.m_revision = revision,
                                   .m_since = Revision(revision.value() - 1)};
    transfer.m_changes = {{revision,
                           {ObjectKind::kPriority, "p"},
                           fmt::format(R"({{"rank":{}}})", revision.value())}};
    EXPECT_TRUE(ApplyTransfer(origin, transfer, m_fleet.Now()));
    return m_fleet.RunUntil(seconds(10), [this, revision] {
      for (const auto& [id, world] : m_fleet.Worlds()) {
        if (world->m_configuration.m_revision < revision) {
          return false;
        }
      }
      return true;
    });
  }

  FleetForTest m_fleet;
};

TEST_P(ConfigurationPropagation, CompletesInTimeWhileTheBudgetIsSpent) {
  constexpr int kChanges = 60;
  std::mt19937_64 random(GetParam());
  Duration worst{};
  for (int change = 0; change < kChanges; ++change) {
    for (auto& [id, world] : m_fleet.Worlds()) {
      // Other control traffic uses up the budget.
      const Bytes used(static_cast<std::int64_t>(random() % 300));
      RecordControlBytes(*world, ControlClass::kProbe, used, Bytes(0),
                         m_fleet.Now());
    }
    const Duration took =
        PropagationTime(Revision(2 + change), m_fleet.At(change % (kSize - 1)));
    worst = std::max(worst, took);
  }
  EXPECT_LE(worst, seconds(2));
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ConfigurationPropagation,
                         ::testing::Values(1, 2, 3));

}  // namespace
}  // namespace nutmeghollow

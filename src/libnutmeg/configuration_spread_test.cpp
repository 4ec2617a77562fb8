// How fast changes of the configuration spread between instances.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "libnutmeg/fleet_for_test.h"

namespace nutmeghollow {
namespace {

using std::chrono::seconds;

/// Instances over datagrams and calls to each other; the budget is charged for
/// both, as the daemon does it.
class ChangesInAHurry : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  static constexpr int kSize = 7;
  /// Bytes of a call to a peer on a new connection, in one direction.
  static constexpr Bytes kCallBytes{700};

  ChangesInAHurry() : m_fleet(kSize, 2, GetParam()) {
    m_fleet.m_action_handler = [this](World& world, const Action& action) {
      if (const auto* fetch = std::get_if<FetchConfiguration>(&action)) {
        Fetch(world, *fetch);
      }
    };
    ApplyEverywhere({.m_revision = Revision(1), .m_whole = true});
    m_fleet.Run(seconds(20));
  }

  void ApplyEverywhere(const ConfigurationTransfer& transfer) {
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

  /// Accepts a change on one instance. @return time until all have it.
  Duration TimeToBeInForce(Revision revision, World& origin) {
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

TEST_P(ChangesInAHurry, AreInForceInTimeThoughTheBudgetIsSpent) {
  constexpr int kChanges = 60;
  std::mt19937_64 random(GetParam());
  Duration worst{};
  for (int change = 0; change < kChanges; ++change) {
    for (auto& [id, world] : m_fleet.Worlds()) {
      // Other traffic takes what the budget has.
      const Bytes taken(static_cast<std::int64_t>(random() % 300));
      RecordControlBytes(*world, ControlClass::kProbe, taken, Bytes(0),
                       m_fleet.Now());
    }
    const Duration took =
        TimeToBeInForce(Revision(2 + change), m_fleet.At(change % (kSize - 1)));
    worst = std::max(worst, took);
  }
  EXPECT_LE(worst, seconds(2));
}

INSTANTIATE_TEST_SUITE_P(Seeds, ChangesInAHurry, ::testing::Values(1, 2, 3));

}  // namespace
}  // namespace nutmeghollow

/// @file
/// A simulated fleet of worlds that exchange datagrams in memory, for tests.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// Worlds in one process, with a simulated clock that Run() advances.
class FleetForTest {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);

  FleetForTest(int size, int data_centres, std::uint64_t seed)
      : m_random(seed) {
    for (int i = 0; i < size; ++i) {
      Start(i, "dc-" + std::to_string(i % data_centres));
    }
    DeliverInstanceList();
  }

  static InstanceId Id(int index) {
    return InstanceId("inst-" + std::to_string(index));
  }

  World& At(int index) { return *m_worlds.at(Id(index)); }
  TimePoint Now() const { return m_now; }
  std::map<InstanceId, std::unique_ptr<World>>& Worlds() { return m_worlds; }

  /// Starts or restarts an instance whose member table has only itself.
  void Start(int index, const std::string& data_centre) {
    auto world = std::make_unique<World>();
    world->m_hooks.m_random = [this] { return m_random(); };
    world->m_hooks.m_wall_time = [this] {
      return WallTime(m_now.time_since_epoch() / std::chrono::milliseconds(1));
    };
    InstanceRow self;
    self.m_id = Id(index);
    self.m_caller_endpoint =
        Endpoint("127.0.0.1:" + std::to_string(8000 + index));
    self.m_peer_endpoint =
        Endpoint("127.0.0.1:" + std::to_string(9000 + index));
    self.m_data_centre = DataCentreId(data_centre);
    self.m_region = RegionId("region");
    StartMembership(*world, self, m_now);
    m_worlds[Id(index)] = std::move(world);
  }

  /// Delivers the list of all instances to all instances.
  void DeliverInstanceList() {
    std::vector<ListedInstance> listed;
    for (const auto& [id, world] : m_worlds) {
      const InstanceRow& row = *world->m_instances.Find(id);
      listed.push_back({id, row.m_caller_endpoint, row.m_peer_endpoint,
                        row.m_data_centre, row.m_region, false});
    }
    for (const auto& [id, world] : m_worlds) {
      world->m_membership_inbox.m_listed = listed;
    }
  }

  /// Advances the clock and ticks all worlds that are not paused.
  void Run(Duration duration) {
    const TimePoint end = m_now + duration;
    while (m_now < end) {
      m_now += kStep;
      Step();
    }
  }

  /// Runs until a condition holds.
  /// @return the time it took, or the limit.
  Duration RunUntil(Duration limit, const std::function<bool()>& condition) {
    const TimePoint start = m_now;
    while (m_now - start < limit && !condition()) {
      Run(kStep);
    }
    return m_now - start;
  }

  /// Returns whether a datagram is delivered; when unset, all are.
  std::function<bool(const InstanceId& from, const InstanceId& to)> m_link;
  /// Handles actions other than SendDatagram; may be unset.
  std::function<void(World&, const Action&)> m_action_handler;
  std::set<InstanceId> m_paused;  ///< Instances that do not tick.
  std::map<InstanceId, std::int64_t> m_datagrams;  ///< Sent, by sender.

 private:
  void Step() {
    for (auto& [id, world] : m_worlds) {
      if (m_paused.contains(id)) {
        continue;
      }
      for (Action& action : Tick(*world, m_now)) {
        if (auto* datagram = std::get_if<SendDatagram>(&action)) {
          Deliver(*world, *datagram);
        } else if (m_action_handler) {
          m_action_handler(*world, action);
        }
      }
    }
  }

  void Deliver(const World& from, SendDatagram& datagram) {
    const InstanceId sender = from.m_instances.m_self;
    ++m_datagrams[sender];
    auto to = m_worlds.find(datagram.m_to);
    if (to == m_worlds.end() || (m_link && !m_link(sender, datagram.m_to))) {
      return;
    }
    to->second->m_membership_inbox.m_datagrams.push_back(
        {sender, std::move(datagram.m_payload),
         from.m_instances.Find(sender)->m_peer_endpoint});
  }

  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::hours(1)};
  std::map<InstanceId, std::unique_ptr<World>> m_worlds;
};

}  // namespace nutmeghollow

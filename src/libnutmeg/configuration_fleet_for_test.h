/// @file
/// Simulates several instances that share an in-memory table service, for tests
/// of the configuration, the lease and orders.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libnutmeg/table_store_for_test.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Instances that exchange gossip and configuration transfers and share one
/// table service. Time is simulated.
class ConfigurationFleetForTest {
 public:
  explicit ConfigurationFleetForTest(int instances, std::uint64_t seed = 1)
      : m_random(seed) {
    for (int index = 0; index < instances; ++index) {
      m_worlds.push_back(nullptr);
      Restart(index);
    }
  }

  /// Replaces an instance by a new one with empty state.
  void Restart(int index) {
    auto world = std::make_unique<World>();
    world->m_hooks = {[this] { return m_random(); }, [this] { return Wall(); }};
    world->m_instances.m_self = Id(index);
    for (std::size_t other = 0;
         other < std::max(m_worlds.size(), kMinInstances); ++other) {
      AddInstance(*world, static_cast<int>(other));
    }
    m_worlds[index] = std::move(world);
    for (auto& peer : m_worlds) {
      AddInstance(*peer, index);
    }
    ++m_start_counts[index];
    AddInstance(*m_worlds[index], index);
  }

  World& At(int index) { return *m_worlds[index]; }
  int size() const { return static_cast<int>(m_worlds.size()); }
  static InstanceId Id(int index) {
    return InstanceId("i" + std::to_string(index));
  }
  WallTime Wall() const { return WallTime(1'000'000 + m_now.count() / 1000); }

  /// Advances the simulated time by `time` in steps of `step`.
  void Run(Duration time, Duration step = milliseconds(20)) {
    for (const Duration end = m_now + time; m_now < end;) {
      m_now += step;
      RunDueDeliveries();
      for (int index = 0; index < size(); ++index) {
        if (!m_paused.contains(index)) {
          TickOne(index);
        }
      }
      Gossip();
    }
  }

  /// Submits a command. @return its ticket.
  OperatorTicket Submit(int index, OperatorCommand command) {
    command.m_ticket = At(index).m_operators.NewTicket();
    At(index).m_operators.m_inbox.m_commands.push_back(command);
    return command.m_ticket;
  }

  /// Submits a command and runs until its reply arrives.
  /// @return the reply; a default one after 1000 steps of 20 ms without it.
  OperatorReply Execute(int index, const OperatorCommand& command) {
    const OperatorTicket ticket = Submit(index, command);
    for (int turn = 0; turn < 1000; ++turn) {
      Run(milliseconds(20));
      for (const OperatorReply& reply : At(index).m_operators.m_replies) {
        if (reply.m_ticket == ticket) {
          return reply;
        }
      }
    }
    return {};
  }

  bool IsCut(int left, int right) const {
    return m_cut.contains({std::min(left, right), std::max(left, right)});
  }

  Duration m_now{seconds(1)};
  std::mt19937_64 m_random;
  InMemoryTableStore m_store;
  bool m_outage = false;
  std::set<int> m_no_store;  ///< Instances that can't reach the store.
  std::set<std::pair<int, int>> m_cut;  ///< Pairs without a connection.
  std::set<int> m_paused;
  double m_lost_reply_share = 0;   ///< Share of commits whose reply is lost.
  double m_late_commit_share = 0;  ///< Share of commits that take effect late.
  int m_lose_next_replies = 0;
  int m_reads = 0;
  int m_full_transfers = 0;
  int m_incremental_transfers = 0;
  /// Handles actions other than store operations and fetches from peers.
  std::function<void(int, const Action&)> m_on_action;
  std::vector<std::unique_ptr<World>> m_worlds;

 private:
  static constexpr std::size_t kMinInstances = 1;

  struct Delivery {
    Duration m_at;
    std::function<void()> m_run;
  };

  void AddInstance(World& world, int index) {
    InstanceRow& row = world.m_instances.m_rows[Id(index)];
    row.m_id = Id(index);
    row.m_status = InstanceStatus::kAlive;
    row.m_incarnation = Incarnation(m_start_counts[index] + 1);
    row.m_revision = Revision();
  }

  TimePoint Now() const { return TimePoint(m_now); }

  void Schedule(Duration delay, std::function<void()> run) {
    m_deliveries.push_back({m_now + delay, std::move(run)});
  }

  void RunDueDeliveries() {
    std::vector<Delivery> due;
    for (auto item = m_deliveries.begin(); item != m_deliveries.end();) {
      if (item->m_at <= m_now) {
        due.push_back(std::move(*item));
        item = m_deliveries.erase(item);
      } else {
        ++item;
      }
    }
    for (Delivery& delivery : due) {
      delivery.m_run();
    }
  }

  void TickOne(int index) {
    World& world = At(index);
    RunConfiguration(world, Now());
    RunPlannedChanges(world, Now());
    RunOperatorCommands(world, Now());
    RunLease(world, Now());
    RunOrders(world, Now());
    for (const Action& action : std::exchange(world.m_actions, {})) {
      CarryOut(index, action);
    }
  }

  void CarryOut(int index, const Action& action) {
    if (const auto* read = std::get_if<ReadStore>(&action)) {
      ++m_reads;
      RunRead(index, *read);
    } else if (const auto* scan = std::get_if<ScanStore>(&action)) {
      ++m_reads;
      RunRead(index, *scan);
    } else if (const auto* commit = std::get_if<CommitStore>(&action)) {
      RunCommit(index, *commit);
    } else if (const auto* fetch = std::get_if<FetchConfiguration>(&action)) {
      RunFetch(index, *fetch);
    } else if (m_on_action) {
      m_on_action(index, action);
    }
  }

  bool StoreReachable(int index) const {
    return !m_outage && !m_no_store.contains(index);
  }

  void SendStoreResult(int index,
                       StorePurpose purpose,
                       const StoreResult& result) {
    const int start = m_start_counts[index];
    Schedule(milliseconds(2), [this, index, purpose, start, result] {
      if (start == m_start_counts[index]) {
        At(index).m_store_results[static_cast<int>(purpose)].push_back(result);
      }
    });
  }

  template <typename Read>
  void RunRead(int index, const Read& read) {
    if (!StoreReachable(index)) {
      SendStoreResult(index, read.m_purpose,
                      {read.m_operation, StoreStatus::kUnavailable, {}});
      return;
    }
    SendStoreResult(index, read.m_purpose, m_store.Run(read));
  }

  bool HappensWithProbability(double share) {
    return std::uniform_real_distribution<>(0, 1)(m_random) < share;
  }

  void RunCommit(int index, const CommitStore& commit) {
    if (!StoreReachable(index)) {
      SendStoreResult(index, commit.m_purpose,
                      {commit.m_operation, StoreStatus::kUnavailable, {}});
      return;
    }
    if (HappensWithProbability(m_late_commit_share)) {
      Schedule(milliseconds(300), [this, commit] { m_store.Run(commit); });
      SendStoreResult(index, commit.m_purpose,
                      {commit.m_operation, StoreStatus::kUnknown, {}});
      return;
    }
    StoreResult result = m_store.Run(commit);
    if (m_lose_next_replies > 0 || HappensWithProbability(m_lost_reply_share)) {
      m_lose_next_replies = std::max(0, m_lose_next_replies - 1);
      result = {commit.m_operation, StoreStatus::kUnknown, {}};
    }
    SendStoreResult(index, commit.m_purpose, result);
  }

  int IndexOf(const InstanceId& id) const {
    return std::stoi(id.str().substr(1));
  }

  void RunFetch(int index, const FetchConfiguration& fetch) {
    const int from = IndexOf(fetch.m_from);
    if (IsCut(index, from) || m_paused.contains(from)) {
      return;
    }
    const int start = m_start_counts[index];
    ConfigurationTransfer transfer = MakeTransfer(At(from), fetch.m_since);
    ++(transfer.m_whole ? m_full_transfers : m_incremental_transfers);
    Schedule(milliseconds(2), [this, index, start, transfer] {
      if (start == m_start_counts[index]) {
        At(index).m_configuration_inbox.m_transfers.push_back(transfer);
      }
    });
  }

  void Gossip() {
    for (int from = 0; from < size(); ++from) {
      for (int to = 0; to < size(); ++to) {
        if (from == to || m_paused.contains(to)) {
          continue;
        }
        InstanceRow& row = At(to).m_instances.m_rows[Id(from)];
        if (IsCut(from, to) || m_paused.contains(from)) {
          row.m_status = InstanceStatus::kDead;
          continue;
        }
        row.m_status = InstanceStatus::kAlive;
        row.m_revision = At(from).m_configuration.m_revision;
        row.m_last_message_at = Now();
        Revision& highest = At(to).m_configuration.m_highest_seen;
        highest = std::max(highest, At(from).m_configuration.m_highest_seen);
      }
    }
  }

  std::map<int, int> m_start_counts;
  std::deque<Delivery> m_deliveries;
};

/// @return a command that writes an object.
inline OperatorCommand SetCommand(std::string command,
                                  ObjectKind kind,
                                  std::string id,
                                  std::string json) {
  return {.m_command = CommandId(std::move(command)),
          .m_operator = OperatorId("anna"),
          .m_action = CommandAction::kSet,
          .m_key = {kind, std::move(id)},
          .m_json = std::move(json)};
}

/// @return a command that deletes an object.
inline OperatorCommand DeleteCommand(std::string command,
                                     ObjectKind kind,
                                     std::string id) {
  return {.m_command = CommandId(std::move(command)),
          .m_operator = OperatorId("bert"),
          .m_action = CommandAction::kDelete,
          .m_key = {kind, std::move(id)}};
}

}  // namespace nutmeghollow

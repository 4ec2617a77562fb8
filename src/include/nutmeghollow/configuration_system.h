/// @file
/// Keeps the configuration of this instance up to date.
///
/// Few instances poll the head revision in the table service; membership
/// carries the highest revision seen. An instance that is behind asks a peer
/// for the difference, and reads the table service when no peer has it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "nutmeghollow/configuration.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Settings of the configuration system.
struct ConfigurationParameters {
  /// Instances of the fleet that poll the head revision.
  int m_pollers = 2;
  /// Time between two polls of one poller.
  Duration m_poll_period = std::chrono::seconds(1);
  /// A fetch without an answer for this long is tried at another peer.
  Duration m_fetch_timeout = std::chrono::milliseconds(500);
  /// Fetches from peers that may fail before the table service is read.
  int m_fetch_attempts = 2;
  /// An instance that is behind asks a peer only after this time, as gossip
  /// brings small changes by itself.
  Duration m_fetch_delay = std::chrono::milliseconds(150);
  /// An instance that is behind and does not poll reads the table service
  /// only after this time, so that peers can confirm the revision first.
  Duration m_peer_grace = std::chrono::milliseconds(300);
  /// Pause after a failed read of the table service.
  Duration m_retry_delay = std::chrono::milliseconds(500);
  /// An instance that reached neither the table service nor any peer for this
  /// long takes no new work.
  Duration m_isolation_limit = std::chrono::seconds(30);
  /// Changes kept in memory to serve peers the difference.
  std::size_t m_recent_change_limit = 512;
  /// Rows of one scan of the table service.
  int m_scan_limit = 500;
};

/// What the configuration system is reading from the table service.
enum class StoreReadStage {
  kIdle,
  kHead,             ///< Polls the head revision.
  kChanges,          ///< Scans the audit rows after the own revision.
  kSnapshotHead,     ///< Reads the head before a scan of all objects.
  kSnapshotObjects,  ///< Scans all objects.
  kSnapshotChanges,  ///< Scans the changes since the scan of objects began.
};

/// State of the configuration system.
struct ConfigurationState {
  ConfigurationParameters m_parameters;

  std::optional<TimePoint> m_started_at;
  TimePoint m_last_store_reply_at{};
  TimePoint m_next_poll{};
  TimePoint m_next_isolation_check{};

  StoreReadStage m_stage = StoreReadStage::kIdle;
  StoreOperationId m_operation;
  TimePoint m_retry_at{};  ///< No store read before this time.
  std::string m_scan_after;
  ConfigurationTransfer m_snapshot;  ///< Collected so far.

  InstanceId m_fetch_from;  ///< Peer asked; empty when none.
  TimePoint m_fetch_deadline{};
  int m_failed_fetches = 0;  ///< In a row.
  std::optional<TimePoint> m_behind_since;
};

/// Runs the configuration system.
void RunConfiguration(World& world, TimePoint now);

/// Adopts a transfer if it leads to a higher revision, and rebuilds the rows
/// derived from the objects that it changed. Counters and status of rows that
/// go on are kept.
/// @return true when the revision grew.
bool ApplyTransfer(World& world,
                   const ConfigurationTransfer& transfer,
                   TimePoint now);

/// @return what a peer at revision `since` lacks: the changes after it while
/// they are held in memory, else the whole configuration.
ConfigurationTransfer MakeTransfer(const World& world, Revision since);

/// @return true when this instance is among the `count` instances that
/// rendezvous hashing chooses for a job among those that are up.
bool ChosenForJob(const World& world, std::string_view job, int count);

}  // namespace nutmeghollow

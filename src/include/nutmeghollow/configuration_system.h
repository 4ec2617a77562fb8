/// @file
/// Keeps the configuration of this instance up to date.
///
/// A few instances poll the head revision in the table service; membership
/// messages carry the highest revision seen. An instance that is behind
/// fetches the missing changes from a peer, and reads the table service when
/// no peer has them.
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
  /// Number of instances of the fleet that poll the head revision.
  int m_pollers = 2;
  /// Time between two polls of one poller.
  Duration m_poll_period = std::chrono::seconds(1);
  /// A fetch without a reply for this long is retried at another peer.
  Duration m_fetch_timeout = std::chrono::milliseconds(500);
  /// Failed fetches from peers after which the table service is read.
  int m_fetch_attempts = 2;
  /// An instance that is behind fetches from a peer only after this time, as
  /// gossip usually delivers small changes without a fetch.
  Duration m_fetch_delay = std::chrono::milliseconds(150);
  /// An instance that is behind and does not poll reads the table service
  /// only after this time, so that peers can confirm the revision first.
  Duration m_peer_grace = std::chrono::milliseconds(300);
  /// Delay before a retry after a failed read of the table service.
  Duration m_retry_delay = std::chrono::milliseconds(500);
  /// An instance without contact to the table service and to any peer for
  /// this long accepts no new work.
  Duration m_isolation_limit = std::chrono::seconds(30);
  /// Most recent changes that are kept in memory to send to peers.
  std::size_t m_recent_change_limit = 512;
  /// Maximum number of rows in one scan of the table service.
  int m_scan_limit = 500;
};

/// The read of the table service that is in progress.
enum class StoreReadStage {
  kIdle,
  kHead,             ///< Polls the head revision.
  kChanges,          ///< Scans the audit rows after the local revision.
  kSnapshotHead,     ///< Reads the head revision before a full scan.
  kSnapshotObjects,  ///< Scans all objects.
  kSnapshotChanges,  ///< Scans the changes since the head was read.
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
  ConfigurationTransfer m_snapshot;  ///< Rows of the snapshot read so far.

  InstanceId m_fetch_peer;  ///< Peer of the fetch in progress, or empty.
  TimePoint m_fetch_deadline{};
  int m_failed_fetches = 0;  ///< Consecutive failures.
  std::optional<TimePoint> m_behind_since;
};

/// Runs one tick of the configuration system: applies received transfers and
/// store results, starts fetches and reads, and checks for isolation.
void RunConfiguration(World& world, TimePoint now);

/// Applies a transfer if it leads to a higher revision, and rebuilds the rows
/// derived from the objects that it changed. Rows that remain keep their
/// counters and status.
/// @return true when the revision increased.
bool ApplyTransfer(World& world,
                   const ConfigurationTransfer& transfer,
                   TimePoint now);

/// @return the transfer for a peer at revision `since`: the changes after it
/// while they are retained in memory, else the full configuration.
ConfigurationTransfer MakeTransfer(const World& world, Revision since);

/// @return true when this instance is among the `count` instances that
/// rendezvous hashing selects for a job from those that are alive or suspect.
bool ChosenForJob(const World& world, std::string_view job, int count);

}  // namespace nutmeghollow

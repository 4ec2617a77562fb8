/// @file
/// The platform's table of the gateway's instances: one row each, written once
/// at the start and removed at a planned stop. It tells who takes callers, who
/// is told digests, and who reads the platform's tables.
#pragma once

#include <ev.h>

#include <functional>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/row_feed.h"
#include "nutmegd/fleet_link.h"
#include "nutmegd/settings.h"
#include "nutmeghollow/entry_directory.h"

namespace nutmeghollow {

/// Table of the instances.
inline constexpr const char* kInstanceTable = "nutmeg_instances";

/// Keeps the own row, and carries the rows of others over to the directory of
/// entries and to the link between instances.
class InstanceRows {
 public:
  /// @param settings, @param directory and @param fleet must outlive this
  /// object.
  /// @param on_count called with the number of instances when it may have
  /// changed.
  InstanceRows(struct ev_loop* loop,
               const Settings* settings,
               net::RowFeed feed,
               EntryDirectory* directory,
               FleetLink* fleet,
               std::function<void(int)> on_count);

  /// Takes over a row that was written or removed.
  void HandleRow(const net::FeedRow& row);
  /// @return who to follow the platform's tables through, best first; empty
  /// when this instance reads them itself.
  std::vector<Endpoint> Readers() const;
  /// Writes the own row, and again until it is written.
  void WriteOwnRow();
  /// Removes the own row, and again until it is removed.
  void RemoveOwnRow();

 private:
  void HandleInstance(const InstanceId& id, const std::string& value);
  void HandleRemoved(const InstanceId& id);
  void WriteWanted();
  void RemoveLost();

  const Settings* m_settings;
  net::RowFeed m_feed;
  EntryDirectory* m_directory;
  FleetLink* m_fleet;
  std::function<void(int)> m_on_count;
  bool m_leaving = false;
  net::Timer m_write_timer;
  net::Timer m_clean_timer;
};

}  // namespace nutmeghollow

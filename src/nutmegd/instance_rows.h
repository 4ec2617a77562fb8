/// @file
/// The platform's table of the gateway's instances. Each instance writes one
/// row when it starts and removes it when it drains. The rows determine
/// which instances accept callers, receive digests and read the platform's
/// tables.
#pragma once

#include <ev.h>

#include <functional>
#include <optional>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/row_feed.h"
#include "nutmegd/fleet_link.h"
#include "nutmegd/settings.h"
#include "nutmeghollow/entry_directory.h"

namespace nutmeghollow {

/// Name of the table.
inline constexpr const char* kInstanceTable = "nutmeg_instances";

/// Maintains the row of this instance, and applies the table to the directory
/// of entries and to the link between instances.
class InstanceRows {
 public:
  /// @param settings, @param directory and @param fleet must outlive this
  /// object.
  /// @param on_count called with the number of instances, at least 1, when it
  /// may have changed.
  InstanceRows(struct ev_loop* loop,
               const Settings* settings,
               net::RowFeed feed,
               EntryDirectory* directory,
               FleetLink* fleet,
               std::function<void(int)> on_count);

  /// Applies a row that was written or removed.
  void HandleRow(const net::FeedRow& row);
  /// @return peer addresses of the instances through which to follow the
  /// platform's tables, in the order of preference; empty when this instance
  /// reads them itself.
  std::vector<Endpoint> Readers();
  /// @param has_newer_rows given another instance, as it last reported itself.
  /// @return peer addresses of the other live instances that have newer rows,
  /// those of the own data centre first. The order differs between instances,
  /// so that many outdated ones do not ask the same one.
  std::vector<Endpoint> SourcesOfNewerRows(
      const std::function<bool(const EntryInstance&)>& has_newer_rows) const;
  /// Writes the row of this instance, with retries until it succeeds.
  void WriteOwnRow();
  /// Removes the row of this instance, with retries until it succeeds.
  void RemoveOwnRow();

 private:
  void HandleWritten(const InstanceId& id, const std::string& value);
  void HandleRemoved(const InstanceId& id);
  void SyncOwnRow();
  void RemoveLostRows();
  void LogSources(const std::vector<InstanceId>& sources);

  const Settings* m_settings;
  net::RowFeed m_feed;
  EntryDirectory* m_directory;
  FleetLink* m_fleet;
  std::function<void(int)> m_on_count;
  bool m_leaving = false;
  /// Through which the tables were followed last; unset before the first call
  /// of Readers(), empty when this instance reads them itself.
  std::optional<InstanceId> m_preferred_source;
  net::Timer m_write_timer;
  net::Timer m_cleanup_timer;
};

}  // namespace nutmeghollow

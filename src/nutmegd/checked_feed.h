/// @file
/// Checks that responses of the platform's store are not older than what was
/// known when the calls were sent.
///
/// The store promises that they are not. After it has lost its history, or has
/// come back from an older copy, its reads may nevertheless show an earlier
/// state. A response below the newest known position is reported as kOutdated,
/// and its rows are not used. A transaction is never behind: for some time
/// after a fault of the store, here or at another instance, one that writes
/// nothing is sent before each read.
#pragma once

#include <functional>
#include <string>

#include "libnet/row_feed.h"
#include "nutmeghollow/metrics.h"
#include "nutmeghollow/position_floor.h"

namespace nutmeghollow {

/// What a checked feed depends on.
struct CheckedFeedOptions {
  /// Row that the transactions which write nothing refer to.
  std::string m_probe_table;
  std::string m_probe_key;
  PositionFloor* m_floor = nullptr;  ///< Must outlive the feed.
  /// @return true while the store fails for another instance. May be empty.
  std::function<bool()> m_fails_elsewhere = {};
  MetricsRegistry* m_metrics = nullptr;  ///< Must outlive the feed.
};

/// @param feed calls the platform; m_compare may be empty, then no
/// transactions are sent for the checks.
net::RowFeed MakeCheckedFeed(net::RowFeed feed, CheckedFeedOptions options);

}  // namespace nutmeghollow

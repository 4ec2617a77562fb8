/// @file
/// Counts this instance's calls to the platform's store, and decides when its
/// followers may call it.
#pragma once

#include <functional>
#include <random>

#include "libnet/row_feed.h"
#include "nutmegd/peer_feed.h"
#include "nutmeghollow/metrics.h"
#include "nutmeghollow/store_access.h"

namespace nutmeghollow {

/// This instance's calls to the store.
class StoreReads {
 public:
  /// @param metrics must outlive this object and the feeds that it makes.
  /// @param on_change called when the store starts or stops to fail for this
  /// instance.
  StoreReads(MetricsRegistry* metrics, std::function<void()> on_change);

  /// @return a feed whose calls are counted by kind and result.
  net::RowFeed Counted(const net::RowFeed& feed) const;
  /// Sets the hooks through which a feed asks for permission and reports
  /// results. This object must outlive the feed.
  void Connect(PeerFeedHooks* hooks);
  /// @param instances number of instances of the fleet, at least 1.
  void SetInstances(int instances) { m_access.SetInstances(instances); }
  /// @return true when the store recently refused, or did not answer, reads of
  /// this instance.
  bool Fails() const;
  /// @return true when they failed so recently that the store may still fail.
  bool FailedRecently() const;

 private:
  void HandleResult(bool answered);
  double Draw();

  MetricsRegistry* m_metrics;
  std::function<void()> m_on_change;
  StoreAccess m_access;
  std::mt19937 m_random{std::random_device()()};
};

}  // namespace nutmeghollow

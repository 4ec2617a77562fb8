/// @file
/// Estimates the load of upstreams.
///
/// The load of an upstream is the number of requests of this instance, which is
/// exact, plus the number of requests of other instances, which is estimated.
/// There are two estimates of the latter: the upstream's last report minus what
/// this instance had running when the report was taken, and the sum of the
/// loads that the other instances announced. The higher one is used, because
/// either may miss requests but neither overcounts by much.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "nutmeghollow/admission.h"
#include "nutmeghollow/instances.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstreams.h"

namespace nutmeghollow {

struct World;

/// Settings of load estimates.
struct LoadParameters {
  /// Older reports of upstreams are ignored.
  Duration m_report_age_limit = std::chrono::seconds(5);
  /// Older announcements of other instances are ignored.
  Duration m_peer_age_limit = std::chrono::seconds(5);
  /// Reservations granted to other instances count as load for this long, or
  /// until a report taken after the grant includes them.
  Duration m_grant_age_limit = std::chrono::seconds(3);
  /// Interval between updates of the estimated load of other instances.
  Duration m_refresh = std::chrono::milliseconds(20);
  /// Time until a new or recovered upstream receives its full share.
  Duration m_slow_start = std::chrono::seconds(30);
  /// Share of its weight at the start of slow start.
  double m_slow_start_share = 0.1;
};

/// Recent history of the number of requests that this instance had running at
/// an upstream.
class RunningHistory {
 public:
  /// Records the number of running requests from `now` on.
  void Record(int running, TimePoint now);
  /// @return the number at an earlier time, with a resolution of one slot.
  int At(TimePoint time) const;

 private:
  static constexpr int kSlots = 256;
  static constexpr Duration kSlotLength = std::chrono::milliseconds(25);
  static std::int64_t SlotOf(TimePoint time);

  std::array<std::uint16_t, kSlots> m_running{};
  std::int64_t m_newest = -1;
};

/// Load data of one upstream that its row does not contain.
struct UpstreamLoad {
  RunningHistory m_history;
  /// When reservations were granted to other instances, oldest first.
  std::deque<TimePoint> m_grants;
};

/// One upstream as a candidate for placements.
struct Candidate {
  UpstreamRow* m_row = nullptr;
  UpstreamLoad* m_load = nullptr;
  /// Hash of its id, from which scores are computed.
  std::uint64_t m_hash = 0;
  std::uint16_t m_memory_index = 0;  ///< Its index in the chat memory.
  int m_remote = 0;                  ///< Estimated requests of other instances.
  /// Share of its weight that counts; below one during slow start.
  double m_slow_start_factor = 1.0;
  bool m_same_region = true;

  /// @return true when it may receive new requests.
  bool IsUsable() const {
    return m_row->m_status == UpstreamStatus::kUsable ||
           m_row->m_status == UpstreamStatus::kSuspect;
  }
  /// @return the estimated number of requests running there.
  int Load() const { return m_row->m_local_running + m_remote; }
  /// @return true when its capacity admits another request.
  bool HasCapacity() const {
    return m_row->m_capacity <= 0 || Load() < m_row->m_capacity;
  }
};

/// The upstreams of a route or service as candidates for placements.
struct DestinationView {
  std::vector<Candidate> m_candidates;
  TimePoint m_refresh_at{};
  /// Configuration revision that the candidates were built from.
  Revision m_revision;
  std::size_t m_upstream_rows = 0;
  std::size_t m_members = 0;
};

/// State of load estimates.
struct LoadState {
  std::unordered_map<UpstreamId, UpstreamLoad> m_upstreams;
  std::map<Destination, DestinationView> m_views;
};

/// @return the candidates of a destination with current loads. The reference
/// stays valid until the configuration changes.
DestinationView& ViewOf(World& world,
                        const Destination& destination,
                        TimePoint now);

/// @return true when an upstream is in the region of an instance, or the
/// region of either is not known.
bool InSameRegion(const InstanceRow& instance, const UpstreamRow& upstream);

/// Estimates what other instances have running at an upstream.
int EstimateRemote(const World& world,
                   const UpstreamRow& row,
                   const UpstreamLoad* load,
                   TimePoint now);

/// @return the share of an upstream's weight that counts in slow start, from
/// above zero to one.
double SlowStartFactor(const LoadParameters& parameters,
                       const UpstreamRow& row,
                       TimePoint now);

/// Changes the running count of this instance at an upstream.
/// @param change one at placement, minus one at release.
void ChangeRunning(World& world, UpstreamRow& row, int change, TimePoint now);

/// Counts a reservation granted to another instance.
void RecordGrant(World& world, const UpstreamId& upstream, TimePoint now);

}  // namespace nutmeghollow

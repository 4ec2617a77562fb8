/// @file
/// Estimates of the load of upstreams.
///
/// The load of an upstream is what this instance has running there, which is
/// exact, plus what the others have, which is not. The second part comes from
/// the upstream's last report less what this instance had running when it was
/// taken, and from what the other instances announced. The higher one counts:
/// either may miss requests, and neither invents many.
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
  /// An older report is not used.
  Duration m_report_age_limit = std::chrono::seconds(5);
  /// An older announcement of another instance is not used.
  Duration m_peer_age_limit = std::chrono::seconds(5);
  /// Reservations granted to others count for this long, or until a report
  /// taken later includes them.
  Duration m_grant_age_limit = std::chrono::seconds(3);
  /// How often the part of other instances is computed anew.
  Duration m_refresh = std::chrono::milliseconds(20);
  /// Time until a new or recovered upstream takes its full share.
  Duration m_slow_start = std::chrono::seconds(30);
  /// Share of its weight that an upstream starts with.
  double m_slow_start_share = 0.1;
};

/// How many requests of this instance ran at an upstream in the recent past.
class RunningHistory {
 public:
  /// Notes the number that runs from now on.
  void Record(int running, TimePoint now);
  /// @return the number at an earlier time, to the length of a slot.
  int At(TimePoint time) const;

 private:
  static constexpr int kSlots = 256;
  static constexpr Duration kSlotLength = std::chrono::milliseconds(25);
  static std::int64_t SlotOf(TimePoint time);

  std::array<std::uint16_t, kSlots> m_running{};
  std::int64_t m_newest = -1;
};

/// What is known about one upstream beyond its row.
struct UpstreamLoad {
  RunningHistory m_history;
  /// When reservations were granted to other instances, oldest first.
  std::deque<TimePoint> m_grants;
};

/// One upstream as a candidate for placements.
struct Candidate {
  UpstreamRow* m_row = nullptr;
  UpstreamLoad* m_load = nullptr;
  std::uint64_t m_hash = 0;          ///< Of its id, the seed of its scores.
  std::uint16_t m_memory_index = 0;  ///< Its number in the chat memory.
  int m_remote = 0;                  ///< Estimated requests of other instances.
  /// Share of its weight that counts, below one during slow start.
  double m_slow_start_factor = 1.0;
  bool m_same_region = true;

  /// @return true when it may receive new work.
  bool IsUsable() const {
    return m_row->m_status == UpstreamStatus::kUsable ||
           m_row->m_status == UpstreamStatus::kSuspect;
  }
  /// @return estimated requests running there.
  int Load() const { return m_row->m_local_running + m_remote; }
  /// @return true when its capacity admits another request.
  bool HasCapacity() const {
    return m_row->m_capacity <= 0 || Load() < m_row->m_capacity;
  }
};

/// The upstreams of a route or service, prepared for decisions.
struct DestinationView {
  std::vector<Candidate> m_candidates;
  TimePoint m_refresh_at{};
  /// The configuration that the candidates were taken from.
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

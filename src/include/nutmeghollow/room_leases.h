/// @file
/// Requests that may be in progress at upstreams that say that they are
/// brittle: one that has to refuse too many requests in a second for want of
/// room falls over.
///
/// The allocator of the fleet (see RateExchange) grants a lease for each
/// request, and the instances report which leases ended and how many they hold.
/// The room of an upstream is its slots at first. It shrinks with each refusal,
/// and grows by one request at a time while more are asked for, so that finding
/// it out costs few refusals.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "nutmeghollow/rate_exchange.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Time for which a request for a lease waits at the allocator.
inline constexpr Duration kLeaseWait = std::chrono::milliseconds(25);

/// What an instance has at a brittle upstream.
struct RoomReport {
  UpstreamProcess m_process;
  int m_held = 0;     ///< Requests in progress, and leases not used yet.
  int m_ended = 0;    ///< Requests that ended since the previous report.
  int m_refused = 0;  ///< Those of them that the upstream refused.
};

/// Settings of the leases.
struct RoomLeasesParameters {
  /// The room that is granted grows from half of the slots to all of them in
  /// this time, in which what the instances have in progress becomes known.
  Duration m_learning_time = std::chrono::milliseconds(500);
  /// A lease may be on its way to its holder for this long.
  Duration m_grant_delay = std::chrono::milliseconds(60);
  /// What an instance holds ends when it does not report for this long.
  Duration m_holder_expiry = std::chrono::seconds(1);
  /// Parts of the stated refusals at which half of the room is granted, and
  /// nothing, until they are a second old.
  double m_half_share = 0.4;
  double m_stop_share = 0.7;
  /// Time from one growth of the room to the next: long enough to hear of a
  /// refusal.
  Duration m_growth_interval = std::chrono::milliseconds(100);
  /// Part of the stated refusals of a second that trials of a larger room may
  /// cost; and the shortest time from a refusal to the next trial. It doubles
  /// with each trial that is refused, so many times.
  double m_trial_share = 0.25;
  Duration m_min_trial_interval = std::chrono::seconds(1);
  int m_max_doublings = 2;
  /// Largest room relative to the slots.
  double m_max_growth = 2.0;
  /// Delay that is stated when there is no room, for each instance, so that the
  /// fleet's requests for leases are bounded; and its limits.
  Duration m_delay_per_instance = std::chrono::milliseconds(1);
  Duration m_min_delay = std::chrono::milliseconds(5);
  Duration m_max_delay = std::chrono::milliseconds(500);
};

/// Leases of all upstreams, at the allocator.
class RoomLeases {
 public:
  explicit RoomLeases(RoomLeasesParameters parameters = {})
      : m_parameters(parameters) {}

  /// Grants a lease for one request, if there is room.
  /// @param process with its slots, and the refusals of a second at which it
  /// falls over as its rate.
  /// @param share part of the room that this instance may grant.
  /// @param instances in the fleet.
  /// @return nothing when it is granted, else when to ask again.
  std::optional<Duration> Grant(const InstanceId& holder,
                                const LimitedProcess& process,
                                double share,
                                std::size_t instances,
                                TimePoint now);
  /// Records what an instance holds, and what has ended there.
  void HandleReport(const InstanceId& holder,
                    const RoomReport& report,
                    TimePoint now);
  /// Removes upstreams that nobody reports any more.
  void RemoveExpired(TimePoint now);

  /// Figures of one upstream for the log.
  struct Figures {
    int m_used = 0;
    int m_room = 0;
    int m_refused = 0;  ///< In the last second.
  };
  Figures FiguresOf(const UpstreamProcess& process, TimePoint now);

 private:
  struct Holder {
    int m_leases = 0;
    TimePoint m_heard_at{};
    std::deque<TimePoint> m_granted;  ///< Those of the last m_grant_delay.
  };
  struct Room {
    int m_slots = 0;  ///< 0 before the first request for a lease.
    int m_size = 0;
    double m_stated_refusals = 0;
    TimePoint m_known_since{};
    TimePoint m_grown_at{};
    TimePoint m_shrunk_at{};
    int m_refused_trials = 0;  ///< Since the room has grown twice in a row.
    std::deque<TimePoint> m_refused;  ///< Of the last second.
    std::map<InstanceId, Holder> m_holders;
  };

  Room& Find(const UpstreamProcess& process, TimePoint now);
  /// Removes what is too old.
  void Expire(Room& room, TimePoint now) const;
  static int Used(const Room& room);
  /// @return the requests that may be in progress now.
  int SizeNow(const Room& room, double share, TimePoint now) const;
  static void Shrink(Room& room, TimePoint now);
  bool MayGrow(const Room& room, TimePoint now) const;

  RoomLeasesParameters m_parameters;
  std::map<UpstreamProcess, Room> m_rooms;
};

}  // namespace nutmeghollow

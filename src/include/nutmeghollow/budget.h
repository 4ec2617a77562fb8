/// @file
/// Byte budget for control traffic: all traffic except callers' requests.
///
/// One token bucket per instance covers both directions. A class may send
/// while the token count is above the reserve of the class, so the least
/// important traffic is dropped first. The most important classes may overdraw
/// the bucket, by at most one second of the rate.
#pragma once

#include <array>
#include <cstdint>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Classes of control traffic, most important first.
enum class ControlClass {
  kUrgent,         ///< Leaving instances and new configuration revisions.
  kConfiguration,  ///< Configuration transfers between instances.
  kAnswer,         ///< Acknowledgements of liveness probes.
  kMembership,     ///< Liveness probes of other instances.
  kProbe,          ///< Health probes of upstreams.
  kStorePoll,      ///< Polls of the table service.
  kListPoll,       ///< Polls of the platform's instance list.
  kReservation,    ///< Reservation requests to the owners of engines.
  kVerdict,        ///< Early announcements of upstream verdicts and suspects.
  kLoad,           ///< Early announcements of load and demand.
  kCount,
};

/// @return the name of a class in metrics and status.
const char* ControlClassName(ControlClass control_class);

/// Settings of the budget.
struct BudgetParameters {
  /// Bytes per second for a fleet of up to m_small_fleet instances.
  Bytes m_rate{1700};
  int m_small_fleet = 7;
  /// Bytes per second added for each further instance.
  Bytes m_rate_per_instance{17};
  /// Upper bound of the rate in bytes per second, for any fleet size.
  Bytes m_rate_limit{7800};
  /// Capacity of the bucket, as time at the full rate.
  Duration m_capacity = std::chrono::milliseconds(250);
};

/// Counters of one class since the start of the process.
struct ControlCounters {
  std::int64_t m_bytes_sent = 0;
  std::int64_t m_bytes_received = 0;
  std::uint64_t m_messages = 0;
  std::uint64_t m_dropped = 0;  ///< Messages refused by the budget.
};

/// State of the budget, and its figures for metrics and status.
struct ControlBudget {
  BudgetParameters m_parameters;
  std::array<ControlCounters, static_cast<int>(ControlClass::kCount)>
      m_counters;
  Bytes m_rate{1700};   ///< Rate in force for the current fleet size.
  double m_tokens = 0;  ///< Bytes available; negative after a burst.
  TimePoint m_filled_at{};
  TimePoint m_next_rate{};  ///< Time of the next rate update.
  bool m_started = false;
  /// Bytes of both directions in each of the last ten slots of 100 ms.
  static constexpr int kSlots = 10;
  std::array<std::int64_t, kSlots> m_slots{};
  std::int64_t m_slot = 0;         ///< Number of the current slot.
  std::int64_t m_last_second = 0;  ///< Bytes in the last ten slots.
  std::int64_t m_peak_second = 0;  ///< Highest value of m_last_second.
  /// Time since which m_last_second exceeds the rate; TimePoint::max() if it
  /// does not.
  TimePoint m_excess_since = TimePoint::max();
  /// Longest time that m_last_second stayed above the rate. A burst that lasts
  /// one second keeps this sliding sum above the rate for two seconds.
  Duration m_longest_excess{};

  /// @return the counters of a class.
  const ControlCounters& Counters(ControlClass control_class) const {
    return m_counters[static_cast<int>(control_class)];
  }
};

/// Takes tokens for a message before it is sent. The bytes of a response are
/// recorded afterwards with RecordControlBytes, or included in `size` when they
/// are known in advance.
/// @param size bytes on the wire, headers included.
/// @return false when the message must not be sent now; it is counted as
/// dropped.
bool TakeControlBytes(World& world,
                      ControlClass control_class,
                      Bytes size,
                      TimePoint now);

/// Records bytes transferred without a prior TakeControlBytes, such as received
/// messages. They reduce the tokens left for sending. A negative size corrects
/// an earlier estimate that was too high.
void RecordControlBytes(World& world,
                        ControlClass control_class,
                        Bytes sent,
                        Bytes received,
                        TimePoint now);

/// @return the bytes that a class may take now; zero when none are available.
Bytes AvailableControlBytes(World& world,
                            ControlClass control_class,
                            TimePoint now);

/// Updates the rate for the current size of the fleet and refills the bucket.
void RunControlBudget(World& world, TimePoint now);

}  // namespace nutmeghollow

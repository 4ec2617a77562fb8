/// @file
/// Byte budget for control traffic: everything that is not callers' work.
///
/// One token bucket per instance covers both directions. A class may send
/// while the bucket holds more than the class's reserve, so that the least
/// important traffic is dropped first. The most important classes may borrow
/// up to one second of the rate.
#pragma once

#include <array>
#include <cstdint>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Kinds of control traffic, most important first.
enum class ControlClass {
  kUrgent,         ///< Leaving instances and new configuration revisions.
  kConfiguration,  ///< Configuration transfers between instances.
  kAnswer,         ///< Answers to liveness probes of other instances.
  kMembership,     ///< Liveness probes of other instances.
  kProbe,          ///< Health probes of upstreams.
  kStorePoll,      ///< Polls of the table service.
  kListPoll,       ///< Polls of the platform's instance list.
  kReservation,    ///< Questions to the owners of engines.
  kVerdict,        ///< Early announcements of upstream verdicts and suspects.
  kLoad,           ///< Early announcements of load and demand.
  kCount,
};

/// @return the word for a class in metrics and status.
const char* ControlClassName(ControlClass control_class);

/// Settings of the budget.
struct BudgetParameters {
  /// Bytes a second of a fleet of up to m_small_fleet instances.
  Bytes m_rate{1700};
  int m_small_fleet = 7;
  /// Bytes a second that each further instance adds.
  Bytes m_rate_per_instance{17};
  /// Bytes a second that are never exceeded, however large the fleet.
  Bytes m_rate_limit{7800};
  /// How much unused budget is kept, as time at the full rate.
  Duration m_capacity = std::chrono::milliseconds(250);
};

/// Counters of one class since the start of the process.
struct ControlCounters {
  std::int64_t m_bytes_sent = 0;
  std::int64_t m_bytes_received = 0;
  std::uint64_t m_messages = 0;
  std::uint64_t m_dropped = 0;  ///< Messages that the budget refused.
};

/// State of the budget, and its figures for metrics and status.
struct ControlBudget {
  BudgetParameters m_parameters;
  std::array<ControlCounters, static_cast<int>(ControlClass::kCount)>
      m_counters;
  Bytes m_rate{1700};   ///< Rate in force for the current fleet size.
  double m_tokens = 0;  ///< Bytes that may be sent; negative after a burst.
  TimePoint m_filled_at{};
  TimePoint m_next_rate{};  ///< When the rate is set anew.
  bool m_started = false;
  /// Bytes of both directions in each of the last slots of 100 ms.
  static constexpr int kSlots = 10;
  std::array<std::int64_t, kSlots> m_slots{};
  std::int64_t m_slot = 0;         ///< Number of the current slot.
  std::int64_t m_last_second = 0;  ///< Bytes in the last ten slots.
  std::int64_t m_peak_second = 0;  ///< Highest value of m_last_second.
  /// Since when m_last_second is above the rate; the maximum if it is not.
  TimePoint m_excess_since = TimePoint::max();
  /// Longest time that m_last_second stayed above the rate. A burst of one
  /// second keeps the sum of the last second high for two.
  Duration m_longest_excess{};

  /// @return the counters of a class.
  const ControlCounters& Counters(ControlClass control_class) const {
    return m_counters[static_cast<int>(control_class)];
  }
};

/// Asks for budget before sending. The answer to a message is noted
/// afterwards with RecordControlBytes, or included in `size` when it is known.
/// @param size bytes on the wire, headers included.
/// @return false when the message must not be sent now; it is counted.
bool TakeControlBytes(World& world,
                      ControlClass control_class,
                      Bytes size,
                      TimePoint now);

/// Notes bytes that went over the wire without being asked for beforehand,
/// such as received messages. They reduce what may be sent next. A negative
/// size corrects an earlier estimate that was too high.
void RecordControlBytes(World& world,
                      ControlClass control_class,
                      Bytes sent,
                      Bytes received,
                      TimePoint now);

/// @return the bytes that a class may take now; zero when it must wait.
Bytes AvailableControlBytes(World& world,
                            ControlClass control_class,
                            TimePoint now);

/// Sets the rate for the current size of the fleet and refills the bucket.
void RunControlBudget(World& world, TimePoint now);

}  // namespace nutmeghollow

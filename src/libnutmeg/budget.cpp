#include "nutmeghollow/budget.h"

#include <algorithm>

#include "nutmeghollow/membership.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

constexpr Duration kSlotLength = std::chrono::milliseconds(100);
constexpr Duration kRateInterval = std::chrono::milliseconds(200);

/// Announcements that could be piggybacked on the next probe instead are sent
/// only while the bytes of the last second are at most this share of the rate.
constexpr double kEarlyAnnouncementShare = 0.7;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @return the tokens in bytes that a class leaves to more important classes.
/// A negative value is the debt that the class may run up. The capacity and the
/// largest debt together are less than one second of the rate.
double Reserve(const ControlBudget& budget, ControlClass control_class) {
  const auto rate = static_cast<double>(budget.m_rate.value());
  const double capacity = rate * Seconds(budget.m_parameters.m_capacity);
  switch (control_class) {
    case ControlClass::kUrgent:
      return -0.55 * rate;
    case ControlClass::kConfiguration:
      return -0.5 * rate;
    case ControlClass::kAnswer:
      return -0.4 * rate;
    case ControlClass::kMembership:
    case ControlClass::kProbe:
      return -0.2 * rate;
    case ControlClass::kStorePoll:
      return 0;
    case ControlClass::kListPoll:
      return 0.2 * capacity;
    case ControlClass::kReservation:
      return 0.3 * capacity;
    case ControlClass::kVerdict:
      return 0.4 * capacity;
    case ControlClass::kLoad:
    case ControlClass::kCount:
      break;
  }
  return 0.6 * capacity;
}

Bytes RateFor(const BudgetParameters& parameters, int instances) {
  const int further = std::max(0, instances - parameters.m_small_fleet);
  const std::int64_t rate = parameters.m_rate.value() +
                            further * parameters.m_rate_per_instance.value();
  return Bytes(std::min(rate, parameters.m_rate_limit.value()));
}

void Refill(ControlBudget& budget, TimePoint now) {
  if (!budget.m_started) {
    budget.m_started = true;
    budget.m_filled_at = now;
    if (budget.m_rate.value() == 0) {
      budget.m_rate = budget.m_parameters.m_rate;
    }
    budget.m_tokens = static_cast<double>(budget.m_rate.value());
  }
  const auto rate = static_cast<double>(budget.m_rate.value());
  const double capacity = rate * Seconds(budget.m_parameters.m_capacity);
  budget.m_tokens += rate * Seconds(now - budget.m_filled_at);
  budget.m_tokens = std::min(budget.m_tokens, capacity);
  budget.m_filled_at = now;
}

void CountInSlot(ControlBudget& budget, std::int64_t size, TimePoint now) {
  const std::int64_t slot = now.time_since_epoch() / kSlotLength;
  const std::int64_t passed =
      std::min<std::int64_t>(slot - budget.m_slot, ControlBudget::kSlots);
  for (std::int64_t step = 1; step <= passed; ++step) {
    auto& old = budget.m_slots[(slot - passed + step) % ControlBudget::kSlots];
    budget.m_last_second -= old;
    old = 0;
  }
  budget.m_slot = std::max(slot, budget.m_slot);
  budget.m_slots[budget.m_slot % ControlBudget::kSlots] += size;
  budget.m_last_second += size;
  budget.m_peak_second = std::max(budget.m_peak_second, budget.m_last_second);
  if (budget.m_last_second <= budget.m_rate.value()) {
    budget.m_excess_since = TimePoint::max();
    return;
  }
  budget.m_excess_since = std::min(budget.m_excess_since, now);
  budget.m_longest_excess =
      std::max(budget.m_longest_excess, now - budget.m_excess_since);
}

/// Reduces the tokens by bytes that were not requested, such as a flood of
/// received messages. The debt is limited to one second of the rate, since a
/// larger one would keep this instance from sending for long.
void Charge(ControlBudget& budget, std::int64_t size) {
  const auto rate = static_cast<double>(budget.m_rate.value());
  const double floor = std::min(budget.m_tokens, -rate);
  budget.m_tokens =
      std::max(budget.m_tokens - static_cast<double>(size), floor);
}

}  // namespace

const char* ControlClassName(ControlClass control_class) {
  static constexpr const char* kNames[] = {
      "urgent",     "configuration", "answer",      "membership", "probe",
      "store_poll", "list_poll",     "reservation", "verdict",    "load"};
  return kNames[static_cast<int>(control_class)];
}

Bytes AvailableControlBytes(World& world,
                            ControlClass control_class,
                            TimePoint now) {
  ControlBudget& budget = world.m_budget;
  Refill(budget, now);
  CountInSlot(budget, 0, now);
  const bool early_announcement = control_class >= ControlClass::kVerdict;
  const auto rate = static_cast<double>(budget.m_rate.value());
  if (early_announcement && static_cast<double>(budget.m_last_second) >
                                kEarlyAnnouncementShare * rate) {
    return Bytes(0);
  }
  const double left = budget.m_tokens - Reserve(budget, control_class);
  return Bytes(std::max<std::int64_t>(0, static_cast<std::int64_t>(left)));
}

bool TakeControlBytes(World& world,
                      ControlClass control_class,
                      Bytes size,
                      TimePoint now) {
  ControlBudget& budget = world.m_budget;
  ControlCounters& counters =
      budget.m_counters[static_cast<int>(control_class)];
  if (AvailableControlBytes(world, control_class, now).value() == 0) {
    ++counters.m_dropped;
    return false;
  }
  NUTMEG_CHECK(budget.m_tokens > -static_cast<double>(budget.m_rate.value()),
               "control traffic overdraws its budget by less than one second");
  budget.m_tokens -= static_cast<double>(size.value());
  CountInSlot(budget, size.value(), now);
  ++counters.m_messages;
  counters.m_bytes_sent += size.value();
  return true;
}

void RecordControlBytes(World& world,
                        ControlClass control_class,
                        Bytes sent,
                        Bytes received,
                        TimePoint now) {
  ControlBudget& budget = world.m_budget;
  Refill(budget, now);
  const std::int64_t size = sent.value() + received.value();
  Charge(budget, size);
  CountInSlot(budget, size, now);
  ControlCounters& counters =
      budget.m_counters[static_cast<int>(control_class)];
  ++counters.m_messages;
  counters.m_bytes_sent += sent.value();
  counters.m_bytes_received += received.value();
}

void RunControlBudget(World& world, TimePoint now) {
  ControlBudget& budget = world.m_budget;
  if (now < budget.m_next_rate) {
    return;
  }
  budget.m_next_rate = now + kRateInterval;
  budget.m_rate = RateFor(budget.m_parameters, LiveInstances(world));
  Refill(budget, now);
  CountInSlot(budget, 0, now);
}

}  // namespace nutmeghollow

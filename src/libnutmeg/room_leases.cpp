#include "nutmeghollow/room_leases.h"

#include <algorithm>

namespace nutmeghollow {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

void RemoveOld(std::deque<TimePoint>& times, Duration age, TimePoint now) {
  while (!times.empty() && now - times.front() >= age) {
    times.pop_front();
  }
}

}  // namespace

RoomLeases::Room& RoomLeases::Find(const UpstreamProcess& process,
                                   TimePoint now) {
  const auto [entry, is_new] = m_rooms.try_emplace(process);
  Room& room = entry->second;
  if (is_new) {
    room.m_known_since = now;
    room.m_grown_at = now;
  }
  Expire(room, now);
  return room;
}

void RoomLeases::Expire(Room& room, TimePoint now) const {
  RemoveOld(room.m_refused, kSecond, now);
  std::erase_if(room.m_holders, [&](const auto& entry) {
    return now - entry.second.m_heard_at >= m_parameters.m_holder_expiry;
  });
}

int RoomLeases::Used(const Room& room) {
  int used = 0;
  for (const auto& [id, holder] : room.m_holders) {
    used += holder.m_leases;
  }
  return used;
}

int RoomLeases::SizeNow(const Room& room, double share, TimePoint now) const {
  const double learned = std::min(
      1.0, std::chrono::duration<double>(now - room.m_known_since) /
               std::chrono::duration<double>(m_parameters.m_learning_time));
  // One refusal is a trial.
  const bool halved = room.m_refused.size() > 1 &&
                      static_cast<double>(room.m_refused.size()) >=
                          m_parameters.m_half_share * room.m_stated_refusals;
  const double size =
      room.m_size * share * (1.0 + learned) / (halved ? 4.0 : 2.0);
  return std::max(1, static_cast<int>(size));
}

bool RoomLeases::MayGrow(const Room& room, TimePoint now) const {
  const double trials = room.m_stated_refusals * m_parameters.m_trial_share;
  const Duration shortest =
      trials <= 0 ? kSecond * 10
                  : std::max(m_parameters.m_min_trial_interval,
                             Duration(static_cast<std::int64_t>(1e6 / trials)));
  const int doublings = room.m_size < room.m_slots
                            ? 0
                            : std::clamp(room.m_refused_trials - 1, 0,
                                         m_parameters.m_max_doublings);
  const Duration pause = shortest * (1 << doublings);
  return now - room.m_known_since >= m_parameters.m_learning_time &&
         now - room.m_grown_at >= m_parameters.m_growth_interval &&
         now - room.m_shrunk_at >= pause &&
         room.m_size < room.m_slots * m_parameters.m_max_growth;
}

std::optional<Duration> RoomLeases::Grant(const InstanceId& holder,
                                          const LimitedProcess& process,
                                          double share,
                                          std::size_t instances,
                                          TimePoint now) {
  Room& room = Find(process.m_process, now);
  if (room.m_slots == 0) {
    room.m_size = std::max(1, process.m_slots);
  }
  room.m_slots = std::max(1, process.m_slots);
  room.m_stated_refusals = process.m_rate;
  const double most_refused =
      std::max(1.0, room.m_stated_refusals * m_parameters.m_stop_share);
  if (static_cast<double>(room.m_refused.size()) >= most_refused) {
    return std::min(room.m_refused.front() + kSecond - now,
                    m_parameters.m_max_delay);
  }
  const int size = SizeNow(room, share, now);
  const int used = Used(room);
  if (used >= size) {
    if (share < 1.0 || used > size || !MayGrow(room, now)) {
      return std::clamp(
          m_parameters.m_delay_per_instance * static_cast<int>(instances),
          m_parameters.m_min_delay, m_parameters.m_max_delay);
    }
    if (room.m_grown_at > room.m_shrunk_at) {
      room.m_refused_trials = 0;  // The trial before was served.
    }
    ++room.m_size;
    room.m_grown_at = now;
  }
  Holder& leases = room.m_holders[holder];
  ++leases.m_leases;
  leases.m_heard_at = now;
  leases.m_granted.push_back(now);
  return std::nullopt;
}

void RoomLeases::HandleReport(const InstanceId& holder,
                              const RoomReport& report,
                              TimePoint now) {
  Room& room = Find(report.m_process, now);
  Holder& leases = room.m_holders[holder];
  leases.m_heard_at = now;
  RemoveOld(leases.m_granted, m_parameters.m_grant_delay, now);
  leases.m_leases = std::max(0, leases.m_leases - report.m_ended);
  // Messages may be lost, so the leases are those that the holder knows, and
  // those that may be on their way to it.
  const int most = report.m_held + static_cast<int>(leases.m_granted.size());
  leases.m_leases = std::clamp(leases.m_leases, report.m_held, most);
  for (int count = 0; count < report.m_refused; ++count) {
    room.m_refused.push_back(now);
    Shrink(room, now);
  }
}

void RoomLeases::Shrink(Room& room, TimePoint now) {
  // Room beyond the slots is that of a queue, which may be shorter now. What is
  // in progress may not be known yet, so it is no less than half.
  const int fits = std::max(std::min(Used(room), std::max(1, room.m_slots)),
                            room.m_size / 2);
  room.m_size = std::max(1, std::min(room.m_size - 1, fits));
  room.m_refused_trials += room.m_grown_at > room.m_shrunk_at ? 1 : 0;
  room.m_shrunk_at = now;
}

void RoomLeases::RemoveExpired(TimePoint now) {
  for (auto& [process, room] : m_rooms) {
    Expire(room, now);
  }
  std::erase_if(m_rooms, [](const auto& entry) {
    return entry.second.m_holders.empty();
  });
}

RoomLeases::Figures RoomLeases::FiguresOf(const UpstreamProcess& process,
                                          TimePoint now) {
  const auto found = m_rooms.find(process);
  if (found == m_rooms.end()) {
    return {};
  }
  Expire(found->second, now);
  return {Used(found->second), found->second.m_size,
          static_cast<int>(found->second.m_refused.size())};
}

}  // namespace nutmeghollow

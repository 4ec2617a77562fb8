// Leases of the room of brittle upstreams, between the instances.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "libnet/log.h"
#include "nutmegd/fleet_link.h"

namespace nutmeghollow {
namespace {

/// Interval between checks for leases and requests that have waited too long.
constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(10);

}  // namespace

using net::BootTime;
using net::Log;
using net::LogLevel;

RateExchange::Hooks FleetLink::LeaseHooks() {
  return {.m_send_request =
              [this](const InstanceId& to, const PermitRequest& request) {
                FleetDigest digest;
                digest.m_room_request = request;
                SendRoomMessage(to, std::move(digest));
              },
          .m_send_response =
              [this](const InstanceId& to, const PermitResponse& response) {
                FleetDigest digest;
                digest.m_room_response = response;
                SendRoomMessage(to, std::move(digest));
              },
          .m_grant =
              [this](const InstanceId& to, const LimitedProcess& process,
                     double share, TimePoint now) {
                return m_rooms.Grant(to, process, share, m_directory->size(),
                                     now);
              }};
}

void FleetLink::SendRoomMessage(const InstanceId& to, FleetDigest digest) {
  const auto peer = m_peers.find(to);
  if (m_transport != nullptr && peer != m_peers.end()) {
    digest.m_events_only = true;
    m_transport->Send(to, peer->second.m_endpoint,
                      EncodeDigest(digest, BootTime()));
  }
}

void FleetLink::CheckLeases() {
  const TimePoint now = BootTime();
  m_pool->ReturnLeases(now);
  m_leases.EndWaiting(now);
  if (m_pool->RefusalLimits().AnyLimited() || m_leases.HasWaiting()) {
    m_lease_timer.Start(kLeaseCheckInterval);
  }
}

void FleetLink::SendRefusalLimits() {
  FleetDigest digest;
  digest.m_events_only = true;
  digest.m_refusal_limits =
      m_pool->RefusalLimits().ToReport(kMaxStatedRates, BootTime());
  if (!digest.m_refusal_limits.empty()) {
    SendToPeers(digest);
  }
}

void FleetLink::NoteRefusalLimit() {
  SendRefusalLimits();
  SendRoomReports(m_pool->RoomReports(BootTime()));
  StartLeaseTimer();
}

void FleetLink::StartLeaseTimer() {
  if (!m_lease_timer.Active()) {
    m_lease_timer.Start(kLeaseCheckInterval);
  }
}

void FleetLink::SendRoomReports(std::vector<RoomReport> reports) {
  if (reports.empty()) {
    return;
  }
  const InstanceId allocator = m_leases.ChooseAllocator(BootTime());
  if (allocator == m_self) {
    for (const RoomReport& report : reports) {
      HandleRoomReport(m_self, report);
    }
    return;
  }
  for (std::size_t first = 0; first < reports.size();
       first += kMaxRoomReports) {
    const std::size_t end = std::min(first + kMaxRoomReports, reports.size());
    FleetDigest digest;
    digest.m_room_reports.assign(
        reports.begin() + static_cast<std::ptrdiff_t>(first),
        reports.begin() + static_cast<std::ptrdiff_t>(end));
    SendRoomMessage(allocator, std::move(digest));
  }
}

void FleetLink::HandleRoomReport(const InstanceId& from,
                                 const RoomReport& report) {
  const TimePoint now = BootTime();
  const RoomLeases::Figures before = m_rooms.FiguresOf(report.m_process, now);
  m_rooms.HandleReport(from, report, now);
  if (report.m_refused > 0) {
    LogRefusal(from, report, before.m_room);
  }
  m_leases.GrantWaiting(report.m_process, now);
}

void FleetLink::LogRefusal(const InstanceId& from,
                           const RoomReport& report,
                           int room_before) {
  const RoomLeases::Figures after =
      m_rooms.FiguresOf(report.m_process, BootTime());
  Log(LogLevel::kInfo, "upstream_room_shrunk",
      {{"upstream", m_pool->IdOf(report.m_process.m_upstream).str()},
       {"instance", from.str()},
       {"used", std::int64_t{after.m_used}},
       {"room", std::int64_t{after.m_room}},
       {"room_before", std::int64_t{room_before}},
       {"refused_in_second", std::int64_t{after.m_refused}}});
}

void FleetLink::HandleRooms(const InstanceId& from, const FleetDigest& digest) {
  const TimePoint now = BootTime();
  RateLimits& limits = m_pool->RefusalLimits();
  bool began = false;
  for (const StatedRate& stated : digest.m_refusal_limits) {
    const bool was_limited = limits.IsLimited(stated.m_process);
    limits.Merge(stated);
    began |= !was_limited && limits.IsLimited(stated.m_process);
  }
  if (began) {
    SendRoomReports(m_pool->RoomReports(now));
    StartLeaseTimer();
  }
  for (const RoomReport& report : digest.m_room_reports) {
    HandleRoomReport(from, report);
  }
  if (digest.m_room_request) {
    m_leases.HandleRequest(from, *digest.m_room_request, now);
    StartLeaseTimer();
  }
  if (digest.m_room_response) {
    m_leases.HandleResponse(from, *digest.m_room_response, now);
  }
}

}  // namespace nutmeghollow

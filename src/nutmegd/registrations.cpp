#include "nutmegd/registrations.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "libnet/log.h"

namespace nutmeghollow {
namespace {

using net::Log;
using net::LogLevel;

/// Registrations that expired during an outage reappear within two seconds of
/// its end.
constexpr Duration kReregistrationTime = std::chrono::milliseconds(2200);
/// No registration expires in a shorter outage: upstreams report every 1.2 s
/// and expire after three missed reports, one of which may be due when the
/// outage begins.
constexpr Duration kMinExpiringOutage = std::chrono::milliseconds(2000);
/// Time within which rows that the platform lost are written again. Removed
/// registrations of processes that have ended expire sooner.
constexpr Duration kRestorationTime = std::chrono::seconds(10);
/// Longer than the part of the history that the platform loses, and its outage.
constexpr Duration kRemovalMemory = std::chrono::minutes(2);

}  // namespace

Registrations::Registrations(struct ev_loop* loop,
                             UpstreamPool* pool,
                             Parser parse)
    : m_pool(pool),
      m_parse(std::move(parse)),
      m_timer(loop, [this] { RemoveDue(); }) {}

void Registrations::HandleRow(const net::FeedRow& row) {
  const UpstreamId id(row.m_key);
  const TimePoint now = net::BootTime();
  if (row.m_removed) {
    m_restored.erase(id);
    const RegisteredUpstream* old = m_pool->Find(id);
    const TimePoint until =
        row.m_may_return ? now + kRestorationTime : m_retain_until;
    if (now >= until || old == nullptr) {
      if (old != nullptr) {
        m_removals[id] = {old->m_start_time_ms, row.m_version, now};
      }
      Remove(id, "registration removed");
      return;
    }
    m_retained.emplace(id, until);
    Schedule();
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(upstream, m_parse(row.m_key, row.m_value));
        if (!IsRestored(row, upstream, now)) {
          Put(upstream);
        }
        return {};
      },
      [&](const net::DocumentError& error) {
        for (const Finding& finding : error.m_findings) {
          Log(LogLevel::kWarning, "registration_not_used",
              {{"place", finding.m_place}, {"fault", finding.m_message}});
        }
        Remove(id, "registration cannot be read");
      },
      [] {});
}

void Registrations::Put(const RegisteredUpstream& upstream) {
  const UpstreamId& id = upstream.m_id;
  m_retained.erase(id);
  m_restored.erase(id);
  m_removals.erase(id);
  const RegisteredUpstream* old = m_pool->Find(id);
  if (old == nullptr || old->m_draining != upstream.m_draining ||
      old->m_start_time_ms != upstream.m_start_time_ms) {
    Log(LogLevel::kInfo, "upstream_registered",
        {{"upstream", id.str()},
         {"service", upstream.m_service.str()},
         {"address", upstream.m_endpoint.str()},
         {"version", upstream.m_version.str()},
         {"draining", upstream.m_draining}});
  }
  m_pool->Put(upstream, net::BootTime());
}

bool Registrations::IsRestored(const net::FeedRow& row,
                               const RegisteredUpstream& upstream,
                               TimePoint now) {
  std::erase_if(m_removals, [now](const auto& entry) {
    return now - entry.second.m_at >= kRemovalMemory;
  });
  const auto removal = m_removals.find(upstream.m_id);
  // A row that is written after the return has a later version, unless it is
  // one of the first.
  if (removal == m_removals.end() ||
      upstream.m_start_time_ms != removal->second.m_start_time_ms ||
      net::EraOf(row.m_version) <= net::EraOf(removal->second.m_version) ||
      net::VersionInEra(row.m_version) >
          net::VersionInEra(removal->second.m_version)) {
    return false;
  }
  const auto before = m_restored.find(upstream.m_id);
  if (before != m_restored.end()) {
    return row.m_version <= before->second.m_version;
  }
  Log(LogLevel::kInfo, "registration_withheld",
      {{"upstream", upstream.m_id.str()},
       {"reason", std::string("it was removed in an earlier era")}});
  m_restored[upstream.m_id] = {upstream, row.m_version, now + kRestorationTime};
  Schedule();
  return true;
}

void Registrations::Schedule() {
  std::optional<TimePoint> next;
  const auto add = [&next](TimePoint due) {
    next = std::min(next.value_or(due), due);
  };
  for (const auto& [id, due] : m_retained) {
    add(due);
  }
  for (const auto& [id, restored] : m_restored) {
    add(restored.m_until);
  }
  if (next) {
    m_timer.Start(std::max(*next - net::BootTime(), Duration::zero()));
  }
}

void Registrations::Remove(const UpstreamId& id, const char* reason) {
  m_retained.erase(id);
  if (m_pool->Find(id) != nullptr) {
    Log(LogLevel::kInfo, "upstream_removed",
        {{"upstream", id.str()}, {"reason", std::string(reason)}});
    m_pool->Remove(id);
  }
}

void Registrations::HandleRegained(Duration outage) {
  Log(LogLevel::kInfo, "registration_feed_regained",
      {{"outage_ms", outage.count() / 1000}});
  if (outage >= kMinExpiringOutage) {
    m_retain_until = net::BootTime() + kReregistrationTime;
  }
}

void Registrations::RemoveDue() {
  const TimePoint now = net::BootTime();
  std::vector<UpstreamId> due;
  for (const auto& [id, at] : m_retained) {
    if (at <= now) {
      due.push_back(id);
    }
  }
  for (const UpstreamId& id : due) {
    Remove(id, "registration did not come back after an outage");
  }
  std::vector<RegisteredUpstream> restored;
  for (const auto& [id, entry] : m_restored) {
    if (entry.m_until <= now) {
      restored.push_back(entry.m_upstream);
    }
  }
  for (const RegisteredUpstream& upstream : restored) {
    Put(upstream);
  }
  Schedule();
}

}  // namespace nutmeghollow

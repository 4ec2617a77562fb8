#include "nutmegd/registrations.h"

#include <boost/leaf/handle_errors.hpp>
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
    if (now >= m_retain_until || m_pool->Find(id) == nullptr) {
      Remove(id, "registration removed");
      return;
    }
    m_retained.emplace(id, m_retain_until);
    m_timer.Start(m_retain_until - now);
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(upstream, m_parse(row.m_key, row.m_value));
        m_retained.erase(id);
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
        m_pool->Put(upstream, now);
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
  if (!m_retained.empty()) {
    m_timer.Start(m_retained.begin()->second - now);
  }
}

}  // namespace nutmeghollow

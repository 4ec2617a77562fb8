#include "nutmegd/change_log.h"

#include <fmt/format.h>

#include <string>

#include "libnet/log.h"

namespace nutmeghollow {

using net::Log;
using net::LogLevel;

void ChangeLog::Write(const World& world) {
  const Revision revision = world.m_configuration.m_revision;
  if (revision != m_revision) {
    m_revision = revision;
    Log(LogLevel::kInfo, "revision_adopted",
        {{"revision", static_cast<std::int64_t>(revision.value())}});
  }
  if (world.m_lease.m_held != m_lease_held) {
    m_lease_held = world.m_lease.m_held;
    const auto fencing = world.m_lease.m_fencing.value();
    Log(LogLevel::kInfo, m_lease_held ? "lease_acquired" : "lease_lost",
        {{"fencing", static_cast<std::int64_t>(fencing)}});
  }
  if (world.m_configuration.m_isolated != m_isolated) {
    m_isolated = world.m_configuration.m_isolated;
    Log(LogLevel::kWarning, m_isolated ? "isolated" : "no_longer_isolated", {});
  }
}

void LogCheckFailure(const CheckFailure& failure) {
  Log(LogLevel::kError, "check_failed",
      {{"message", std::string(failure.m_message)},
       {"expression", std::string(failure.m_expression)},
       {"place", fmt::format("{}:{}", failure.m_file, failure.m_line)}});
}

}  // namespace nutmeghollow

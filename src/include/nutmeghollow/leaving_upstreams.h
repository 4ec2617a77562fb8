/// @file
/// Upstream processes that announced their own shutdown.
///
/// An entry applies to a single process: an upstream that is restarted under
/// the same id or address is a different process. The announcement is final, so
/// an entry is only removed by its age or by the size limit.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Compact id of an upstream in messages between instances: the low 32 bits of
/// the hash of its id.
using UpstreamHash = Number<struct UpstreamHashTag, std::uint32_t>;

/// @return the compact id of an upstream.
UpstreamHash HashOf(const UpstreamId& id);

/// One process of an upstream.
struct UpstreamProcess {
  UpstreamHash m_upstream;
  std::int64_t m_start_time_ms = 0;  ///< Wall-clock start of the process.
  auto operator<=>(const UpstreamProcess&) const = default;
};

/// Settings of the table.
struct LeavingUpstreamsParameters {
  /// Digests repeat an entry for this time, since digests may be lost.
  Duration m_report_duration = std::chrono::seconds(3);
  /// Entries expire after this time. A leaving process serves for some seconds,
  /// and its registration may reappear after an outage of the platform.
  Duration m_expiry = std::chrono::minutes(10);
  /// Maximum number of entries; the oldest are evicted first. A whole fleet of
  /// 760 upstreams may be replaced at once.
  std::size_t m_limit = 1024;
};

/// Table of upstream processes that accept no new requests.
class LeavingUpstreams {
 public:
  explicit LeavingUpstreams(LeavingUpstreamsParameters parameters = {})
      : m_parameters(parameters) {}

  /// Adds a process.
  /// @param reportable whether to report it to other instances; false for
  /// processes known from registrations, which every instance reads itself.
  /// @return true when the process was not in the table.
  bool Add(const UpstreamProcess& process, bool reportable, TimePoint now);
  bool Contains(const UpstreamProcess& process) const {
    return m_entries.contains(process);
  }
  /// @param limit maximum number of processes.
  /// @return the processes to report to other instances, the newest first.
  std::vector<UpstreamProcess> ToReport(std::size_t limit, TimePoint now) const;

 private:
  struct Entry {
    TimePoint m_added_at{};
    bool m_reportable = false;
  };

  LeavingUpstreamsParameters m_parameters;
  std::map<UpstreamProcess, Entry> m_entries;
};

}  // namespace nutmeghollow

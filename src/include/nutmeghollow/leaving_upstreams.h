/// @file
/// Upstreams that said of themselves that they are leaving.
///
/// The fact is one of a single process: an upstream that starts again, under
/// its id or address, is another one. A process that once said so never comes
/// back, so nothing takes the fact away but its age.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Short name of an upstream between instances: the low 32 bits of the hash of
/// its id.
using UpstreamHash = Number<struct UpstreamHashTag, std::uint32_t>;

/// @return the short name of an upstream.
UpstreamHash HashOf(const UpstreamId& id);

/// One process of an upstream.
struct UpstreamProcess {
  UpstreamHash m_upstream;
  std::int64_t m_start_time_ms = 0;  ///< Start of the process, civil time.
  auto operator<=>(const UpstreamProcess&) const = default;
};

/// Settings of the table.
struct LeavingUpstreamsParameters {
  /// Instances are told for this long, since digests may be lost.
  Duration m_tell_for = std::chrono::seconds(3);
  /// Forgotten after this time: a leaving process serves for some seconds, and
  /// its registration may come back after an outage of the platform.
  Duration m_expiry = std::chrono::minutes(10);
  /// Processes remembered; the oldest go first. A whole fleet of 760 upstreams
  /// may be replaced at once.
  std::size_t m_limit = 1024;
};

/// Processes of upstreams that take no new requests.
class LeavingUpstreams {
 public:
  explicit LeavingUpstreams(LeavingUpstreamsParameters parameters = {})
      : m_parameters(parameters) {}

  /// @param tell whether other instances are to be told: they read
  /// registrations themselves.
  /// @return whether this was news.
  bool Note(const UpstreamProcess& process, bool tell, TimePoint now);
  bool Contains(const UpstreamProcess& process) const {
    return m_entries.contains(process);
  }
  /// @return what other instances are to be told, the newest first.
  std::vector<UpstreamProcess> News(std::size_t most, TimePoint now) const;

 private:
  struct Entry {
    TimePoint m_noted_at{};
    bool m_tell = false;
  };

  LeavingUpstreamsParameters m_parameters;
  std::map<UpstreamProcess, Entry> m_entries;
};

}  // namespace nutmeghollow

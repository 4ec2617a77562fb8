/// @file
/// Request rates that upstream processes accept from the whole fleet.
///
/// An upstream in need states its rate in its responses, for as long as it is
/// in need. A limit belongs to one process: an upstream that is restarted has
/// none until it states one. A cold process has the rate of its service while
/// it is cold, and the lower rate when it states one too. Requests are sent to
/// a limited process with permits only, which RateExchange distributes among
/// the instances.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "nutmeghollow/cold_rate.h"
#include "nutmeghollow/leaving_upstreams.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// What a process stated last.
struct StatedRate {
  UpstreamProcess m_process;
  /// Requests per second from all instances; unset: it states none any more.
  std::optional<double> m_rate;
  TimePoint m_stated_at{};
};

/// Settings of the table of limits.
struct RateLimitsParameters {
  /// A permit that was not used for this long is void, so that permits cannot
  /// accumulate at idle instances and be used all at once.
  Duration m_permit_lifetime = std::chrono::milliseconds(1000);
  /// The same for a cold process: what it tolerates is counted by the second,
  /// so permits of one second must not be used in the next.
  Duration m_cold_permit_lifetime = std::chrono::milliseconds(100);
  /// A limit ends when no instance received a response of the process for this
  /// long. Until then permits let requests through, whose responses tell.
  Duration m_expiry = std::chrono::seconds(60);
  /// Statements are sent to other instances for this long.
  Duration m_report_duration = std::chrono::seconds(3);
  /// Period over which the rate of received permits is averaged.
  Duration m_average_window = std::chrono::seconds(2);
};

/// Limits known to an instance, and its permits.
class RateLimits {
 public:
  explicit RateLimits(RateLimitsParameters parameters = {})
      : m_parameters(parameters) {}

  /// Records what a response states.
  /// @param rate requests per second; unset when it states none.
  /// @param sent_at time when the response's request was sent. A response
  /// without a rate ends a limit only if its request was sent after the rate
  /// was last stated, since responses may overtake one another.
  /// @return true when the limit began, changed or ended.
  bool NoteResponse(const UpstreamProcess& process,
                    std::optional<double> rate,
                    TimePoint sent_at,
                    TimePoint now);
  /// Records what another instance reports, unless something newer is known.
  void Merge(const StatedRate& stated);
  /// @param limit maximum number of statements.
  /// @return recent statements to send to other instances. Successive calls go
  /// through all of them in turn.
  std::vector<StatedRate> ToReport(std::size_t limit, TimePoint now);
  /// Removes limits that no response has confirmed for too long, and brings
  /// those of cold processes up to date. Called several times a second.
  void Update(TimePoint now);
  /// Records that a process stays cold for a time.
  /// @param rate requests per second that it tolerates; above zero.
  /// @return false when the time is not plausible; it is then not used.
  bool NoteCold(const UpstreamProcess& process,
                double rate,
                Duration remaining,
                TimePoint now);
  bool IsCold(const UpstreamProcess& process, TimePoint now) const;
  /// @return number of cold processes.
  std::size_t ColdProcesses(TimePoint now) const;

  bool IsLimited(const UpstreamProcess& process) const {
    return RateOf(process).has_value();
  }
  bool AnyLimited() const;

  /// @return the rate of a process; unset: it has no limit.
  std::optional<double> RateOf(const UpstreamProcess& process) const;
  void AddPermit(const UpstreamProcess& process, TimePoint now);
  /// Records that there is no permit for a process until a time.
  void NoteExhausted(const UpstreamProcess& process, TimePoint until);
  /// @return true when a permit may be requested: there is no known reason why
  /// there should be none.
  bool MayRequestPermit(const UpstreamProcess& process, TimePoint now) const;
  /// @return permits received per second, averaged over m_average_window.
  double ReceivedRate(const UpstreamProcess& process, TimePoint now) const;
  /// @return true when a request may be sent: the process has no limit, or
  /// there is a permit.
  bool MaySend(const UpstreamProcess& process, TimePoint now) const;
  /// Removes permits that were not used in time. @return their number.
  std::size_t RemoveUnused(const UpstreamProcess& process, TimePoint now);
  /// @return number of permits that can be used.
  std::size_t Permits(const UpstreamProcess& process, TimePoint now) const;
  /// Uses a permit for a request that is sent to a limited process.
  /// @return false when there is none.
  bool TakePermit(const UpstreamProcess& process, TimePoint now);

 private:
  struct Entry {
    std::optional<double> m_rate;  ///< As stated.
    TimePoint m_stated_at{};
    ColdRate m_cold;
    std::optional<double> m_cold_rate;  ///< In force since the last update.
    std::deque<TimePoint> m_permits;    ///< Times of receipt, ascending.
    std::deque<TimePoint> m_received;   ///< The same, used permits included.
    TimePoint m_exhausted_until{};
  };

  static std::optional<double> RateOf(const Entry& entry);
  Duration PermitLifetime(const Entry& entry) const;
  /// @return number of ascending times after another.
  static std::size_t CountAfter(const std::deque<TimePoint>& times,
                                TimePoint oldest);

  RateLimitsParameters m_parameters;
  std::map<UpstreamProcess, Entry> m_entries;
  UpstreamProcess m_last_reported;
};

}  // namespace nutmeghollow

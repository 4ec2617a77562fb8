/// @file
/// Distributes the request rates that limited upstreams accept among the
/// instances.
///
/// One instance, the allocator, turns each rate into permits. An instance
/// requests a permit when it has a request for a limited upstream, and states
/// which other ones would do. Since nobody else makes permits, the sum over the
/// fleet stays within the rate however uneven the traffic is, and an instance
/// that does not reach the allocator sends nothing to a limited upstream. While
/// no upstream is limited, nothing is sent.
///
/// Messages may be lost. An allocator that does not respond is replaced by the
/// next instance of an order that is the same everywhere.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "nutmeghollow/coordinator_choice.h"
#include "nutmeghollow/entry_directory.h"
#include "nutmeghollow/rate_limits.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Identifies a request for a permit at the instance that sent it.
using PermitRequestId = Number<struct PermitRequestTag, std::uint32_t>;

/// A process that a permit is requested for, with its rate.
struct LimitedProcess {
  UpstreamProcess m_process;
  double m_rate = 0;  ///< Requests per second from all instances.
  /// Above zero: the permit is a lease (see RoomLeases), and the rate that of
  /// the refusals at which the upstream falls over.
  int m_slots = 0;
};

/// Time until the allocator can make the next permit for a process.
struct PermitDelay {
  UpstreamProcess m_process;
  Duration m_delay{};
};

/// Request for one permit, for the first process of a list that has one left.
struct PermitRequest {
  PermitRequestId m_id;
  std::vector<LimitedProcess> m_processes;  ///< In order of preference.
};

/// Response to a request.
struct PermitResponse {
  PermitRequestId m_id;
  std::optional<UpstreamProcess> m_granted;
  std::vector<PermitDelay> m_exhausted;  ///< Processes without a permit.
};

/// Maximum processes of a request.
inline constexpr std::size_t kMaxProcessesPerPermitRequest = 12;

/// Settings of the exchange.
struct RateExchangeParameters {
  /// Longest wait for a response. The request is then sent elsewhere.
  Duration m_response_timeout = std::chrono::milliseconds(60);
  /// Permits of this long are kept while nobody requests them, and one more.
  Duration m_burst = std::chrono::milliseconds(500);
  /// The same for cold processes. With 500 ms, two allocators that did not know
  /// of each other for 0.8 s let 22 requests through in a second where 21.5 are
  /// tolerated.
  Duration m_cold_burst = std::chrono::milliseconds(100);
  /// Permits of this long, and one more, are there when an allocator begins:
  /// requests that arrive together are not refused because it has just begun.
  Duration m_first_burst = std::chrono::milliseconds(20);
  /// Permits of processes that nobody requested are forgotten after this long.
  Duration m_bucket_expiry = std::chrono::seconds(10);
  /// A request waits this long at the allocator for a permit that is given
  /// back; zero where none is. And the most requests that wait.
  Duration m_max_wait = Duration::zero();
  std::size_t m_max_waiting = 512;
};

/// The part of the exchange that one instance plays.
class RateExchange {
 public:
  /// Messages to other instances.
  struct Hooks {
    std::function<void(const InstanceId& to, const PermitRequest& request)>
        m_send_request;
    std::function<void(const InstanceId& to, const PermitResponse& response)>
        m_send_response;
    /// Decides as allocator instead of the rates: grants a permit and returns
    /// nothing, or returns when to ask again. Unset: the rates decide.
    std::function<std::optional<Duration>(const InstanceId& to,
                                          const LimitedProcess& process,
                                          double share,
                                          TimePoint now)>
        m_grant;
  };

  /// @param directory and @param limits must outlive this object.
  RateExchange(InstanceId self,
               const EntryDirectory* directory,
               RateLimits* limits,
               Hooks hooks,
               RateExchangeParameters parameters = {});

  /// Requests a permit. It is added to the limits, with what is exhausted.
  /// @param processes in order of preference; not empty.
  /// @param done called once, after the response or the timeout, possibly
  /// before this function returns.
  void Request(std::vector<LimitedProcess> processes,
               std::function<void()> done,
               TimePoint now);
  /// Ends requests that were not answered in time. Called every few
  /// milliseconds while HasOpenRequests.
  void CheckTimeouts(TimePoint now);
  bool HasOpenRequests() const { return !m_open.empty(); }

  /// Handles a request of another instance.
  void HandleRequest(const InstanceId& from,
                     const PermitRequest& request,
                     TimePoint now);
  /// Handles a response.
  void HandleResponse(const InstanceId& from,
                      const PermitResponse& response,
                      TimePoint now);

  /// @return the instance that this one requests permits from; empty before the
  /// first request.
  const InstanceId& Allocator() const { return m_allocator.Current(); }
  /// Grants permits for a process, of which some were given back, to the
  /// requests that wait.
  void GrantWaiting(const UpstreamProcess& process, TimePoint now);
  /// Responds to requests that have waited too long. Called every few
  /// milliseconds while HasWaiting.
  void EndWaiting(TimePoint now);
  bool HasWaiting() const { return !m_waiting.empty(); }
  /// Chooses the allocator without a request. @return its id.
  const InstanceId& ChooseAllocator(TimePoint now) {
    IsAllocator(now);
    return m_allocator.Current();
  }

 private:
  struct OpenRequest {
    InstanceId m_to;
    TimePoint m_sent_at{};
    std::function<void()> m_done;
  };
  /// A request at the allocator.
  struct Waiting {
    InstanceId m_from;
    PermitRequest m_request;
    TimePoint m_since{};
  };
  /// Permits of a process that can be granted now.
  struct Bucket {
    double m_permits = 0;
    double m_rate = 0;
    TimePoint m_filled_at{};
  };

  /// Chooses the allocator again. @return true when it is this instance.
  bool IsAllocator(TimePoint now);
  /// Responds to a request, unless it is to wait.
  void RespondOrWait(Waiting waiting, TimePoint now);
  void Send(const InstanceId& to,
            const PermitResponse& response,
            TimePoint now);
  PermitResponse Respond(const InstanceId& from,
                         const PermitRequest& request,
                         TimePoint now);
  /// Makes a permit for a process. @return nothing, or when there will be one.
  std::optional<Duration> Grant(const LimitedProcess& process, TimePoint now);
  void Apply(const PermitResponse& response, TimePoint now);
  Bucket& Fill(const LimitedProcess& process, TimePoint now);
  /// @return part of each rate that this instance may hand out: less than one
  /// when another allocator may exist.
  double OwnShare(TimePoint now) const;

  InstanceId m_self;
  const EntryDirectory* m_directory;
  RateLimits* m_limits;
  Hooks m_hooks;
  RateExchangeParameters m_parameters;
  CoordinatorChoice m_allocator;
  std::uint32_t m_last_request = 0;
  std::map<PermitRequestId, OpenRequest> m_open;
  std::map<UpstreamProcess, Bucket> m_buckets;
  std::deque<Waiting> m_waiting;
};

}  // namespace nutmeghollow

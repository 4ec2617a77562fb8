/// @file
/// Lifecycle of a request: intake, dispatch, relay, resume, retry and end.
///
/// Intake adds new requests to the table. Request flow processes the attempt
/// events of the adapters, hands placed requests to the network and ends each
/// request exactly once. Its cost grows with the number of events, not with the
/// number of requests in flight.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Settings of request flow.
struct RequestFlowParameters {
  /// Attempts of one request at upstreams, excluding resumes.
  int m_attempt_limit = 3;
  /// A retry is delayed by a random time between these two.
  Duration m_retry_delay_min = std::chrono::milliseconds(5);
  Duration m_retry_delay_max = std::chrono::milliseconds(50);
  /// Resumes of one stream.
  int m_resume_limit = 8;
  /// A resume that received no bytes is retried after this time.
  Duration m_resume_delay = std::chrono::milliseconds(250);
  /// Longest delay of the end of a response while its outcome is recorded.
  Duration m_record_timeout = std::chrono::seconds(1);
  /// Retry-After of refusals that have no more specific value.
  Duration m_retry_after = std::chrono::seconds(1);
};

/// Counters of requests since the process started.
struct RequestCounters {
  std::uint64_t m_arrived = 0;
  std::array<std::uint64_t, 3> m_ended{};  ///< By Outcome.
  std::array<std::uint64_t, static_cast<int>(Refusal::kCount)> m_refused{};
  std::uint64_t m_callers_disconnected = 0;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_resumes = 0;
  std::uint64_t m_replays = 0;
};

/// State of request flow.
struct RequestFlowState {
  /// Wakeups of requests in order of time.
  std::set<std::pair<TimePoint, RequestId>> m_wakeups;
  /// Requests with an attempt in progress, by upstream.
  std::map<UpstreamId, std::set<RequestId>> m_in_flight;
  RequestCounters m_counters;
};

/// @return the outcome that may be reported for a request now. The only place
/// that decides it.
Outcome DeriveOutcome(const RequestRow& row);

/// Adds new requests to the table. Runs before all systems that process
/// requests, so that a request can be dispatched in the tick of its arrival.
void RunRequestIntake(World& world, TimePoint now);

/// Runs request flow once.
void RunRequestFlow(World& world, TimePoint now);

/// @return the time of the earliest wakeup; the largest time when there is
/// none.
TimePoint NextRequestWakeup(const World& world);

}  // namespace nutmeghollow

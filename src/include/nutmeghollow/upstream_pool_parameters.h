/// @file
/// Settings of UpstreamPool.
#pragma once

#include <chrono>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Settings of upstream selection and health tracking.
struct UpstreamPoolParameters {
  /// Backoff after the first failure: long enough for the request's retry to go
  /// elsewhere, short enough to detect a restarted upstream soon.
  Duration m_min_backoff = std::chrono::milliseconds(300);
  /// Maximum backoff: the registration of a dead upstream lasts a few seconds.
  Duration m_max_backoff = std::chrono::seconds(4);
  /// Share of the refusal time stated by an upstream after which one trial
  /// request may be sent to it, when no other upstream accepts the request.
  /// Some upstreams recover before the stated time.
  double m_refusal_trial_share = 0.5;
  /// Longest wait that is stated to a caller who was refused for want of
  /// permits.
  Duration m_max_permit_wait = std::chrono::seconds(2);
  /// Longest step from one wait to the next when the permits are leases.
  Duration m_max_lease_wait = std::chrono::milliseconds(100);
  /// Upper limit of a stated refusal time. An upstream that is unavailable for
  /// longer registers again.
  Duration m_max_refusal = std::chrono::minutes(10);
  /// Share of a request's candidates that may back off at the same time.
  double m_max_backoff_share = 0.5;
  /// Maximum load of an engine as a multiple of the mean load, as required by
  /// the users.
  double m_load_bound = 2.0;
  /// A hot chat is spread when more of its requests than this are sent within
  /// the age of the loads: the loads do not show to which engine they went.
  double m_max_unseen_requests = 4.0;
  /// Requests allowed above the multiple. One less than the three that the
  /// users allow, since each instance sees the loads of others with a delay.
  double m_load_slack = 2.0;
  /// Older load reports are ignored: the loads reported by other instances are
  /// as recent, and an instance that is cut off from them has at least an upper
  /// bound.
  Duration m_max_report_age = std::chrono::milliseconds(1000);
  /// A prompt part that has not been sent to an engine for this long counts as
  /// evicted from its cache.
  Duration m_max_part_age = std::chrono::seconds(60);
  /// Prompt tokens that an engine processes per millisecond.
  double m_prefill_rate = 56.0;
  /// Increase of the time to first token per running request, in milliseconds.
  double m_wait_per_request = 2.0;
  /// Share of the latency target up to which a predicted time to first token
  /// has no cost. Processing a shared part again delays every caller of the
  /// engine, while waiting within the target harms no caller.
  double m_free_wait_share = 0.4;
  /// Cost of a millisecond beyond that, relative to a millisecond of prefill.
  double m_wait_cost = 3.0;
  /// Cost per running request, in milliseconds. It moves the requests with the
  /// cheapest prefill elsewhere away from a loaded engine first.
  double m_load_cost = 2.5;
  /// Weight of the newest result in the moving averages.
  double m_average_weight = 0.15;
  /// Cost of using a permit of a limited engine, in milliseconds, for a request
  /// whose shared prefix is shorter than the mean. It leaves the permits to the
  /// requests that would take most memory and time at other engines.
  double m_permit_cost = 120.0;
  /// The same for a server of a plain service, relative to its cost when idle.
  double m_service_permit_cost = 1.0;
  /// Relative cost increase of an upstream with a failure rate of 1.
  double m_failure_cost = 8.0;
};

}  // namespace nutmeghollow

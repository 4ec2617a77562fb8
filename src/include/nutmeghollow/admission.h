/// @file
/// Admission control: a bounded fair queue for each route and plain service.
///
/// Requests wait in phase kQueued, never inside an engine. Admission moves as
/// many to kAdmitted as the upstreams have free capacity for: by priority
/// rank, and within a rank by weighted fair queueing across customers. It
/// refuses (phase kRefused) requests that exceed a customer's limit, the
/// length limit of the queue or the queue deadline.
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "nutmeghollow/fair_queue.h"
#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// The route or plain service that a request is queued for.
struct Destination {
  RequestKind m_kind = RequestKind::kChat;
  RouteId m_route;
  ServiceId m_service;
  auto operator<=>(const Destination&) const = default;
};

/// @return the route or plain service that a request is addressed to.
Destination DestinationOf(const NewRequest& request);

/// Settings of admission control.
struct AdmissionParameters {
  /// Interval between admission attempts for a queue without free capacity.
  Duration m_recheck_interval = std::chrono::milliseconds(10);
  /// Interval after which customers at their concurrency share are tried
  /// again.
  Duration m_limit_recheck_interval = std::chrono::milliseconds(100);
  /// Retry-After for callers that were refused because a queue was full, its
  /// deadline passed or no upstream was usable.
  Duration m_retry_after = std::chrono::seconds(1);
  /// Rank of a customer whose priority class is unknown.
  int m_default_rank = 100;
};

/// The queue of one route or plain service.
struct DestinationQueue {
  FairQueue m_waiting;
  int m_admitted = 0;  ///< Admitted requests that have no upstream yet.
  bool m_admission_due = false;  ///< Admit in this tick, before the recheck.
  TimePoint m_recheck_at{};
  TimePoint m_limit_recheck_at{};
};

/// A queued or admitted request, until it has an upstream.
struct WaitingRequest {
  Destination m_destination;
  CustomerId m_customer;
  TimePoint m_deadline{};
  bool m_admitted = false;
};

/// State of admission control.
struct AdmissionState {
  std::map<Destination, DestinationQueue> m_queues;
  std::unordered_map<RequestId, WaitingRequest> m_waiting;
  std::set<std::pair<TimePoint, RequestId>> m_deadlines;
  /// Admitted requests without an upstream, by customer.
  std::map<CustomerId, int> m_admitted;
  /// Destinations with queued requests.
  std::set<Destination> m_busy;
};

/// Runs one tick of admission control.
void RunAdmission(World& world, TimePoint now);

/// Removes a request from all tables of admission; does nothing when it is in
/// none. RunAdmission calls it for requests whose phase another system
/// changed; placement calls it immediately.
void LeaveQueue(World& world, RequestId request);

/// Records that a request's destination may have free capacity again.
void NoteFreedCapacity(World& world, const NewRequest& request);

/// Moves a request to kRefused; request flow then sends the response.
void Refuse(World& world,
            RequestRow& row,
            Refusal refusal,
            Duration retry_after,
            TimePoint now);

}  // namespace nutmeghollow

/// @file
/// Admission: bounded fair queues before each route and plain service.
///
/// Requests wait in phase kQueued, never inside an engine. Admission moves as
/// many to kAdmitted as the upstreams have room for: by priority rank, and
/// inside a rank weighted fair by customer. It refuses (phase kRefused) what
/// exceeds a limit of the customer, the length of the queue or its deadline.
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

/// A route or a plain service, as the place that requests wait for.
struct Destination {
  RequestKind m_kind = RequestKind::kChat;
  RouteId m_route;
  ServiceId m_service;
  auto operator<=>(const Destination&) const = default;
};

/// @return where a request wants to go.
Destination DestinationOf(const NewRequest& request);

/// Settings of admission.
struct AdmissionParameters {
  /// A queue that cannot move is looked at again after this time.
  Duration m_recheck = std::chrono::milliseconds(10);
  /// Limits of customers are looked at again after this time.
  Duration m_limit_recheck = std::chrono::milliseconds(100);
  /// Told to callers that were refused because a queue was full or too slow.
  Duration m_retry_after = std::chrono::seconds(1);
  /// Rank of a customer whose priority class is not known.
  int m_default_rank = 100;
};

/// The queue before one route or plain service.
struct DestinationQueue {
  FairQueue m_waiting;
  int m_admitted = 0;  ///< Admitted requests that have no upstream yet.
  bool m_may_move = false;
  TimePoint m_recheck_at{};
  TimePoint m_limit_recheck_at{};
};

/// A request that waits, from kQueued until it has an upstream.
struct WaitingRequest {
  Destination m_destination;
  CustomerId m_customer;
  TimePoint m_deadline{};
  bool m_admitted = false;
};

/// State of admission.
struct AdmissionState {
  std::map<Destination, DestinationQueue> m_queues;
  std::unordered_map<RequestId, WaitingRequest> m_waiting;
  std::set<std::pair<TimePoint, RequestId>> m_deadlines;
  /// Admitted requests without an upstream, by customer.
  std::map<CustomerId, int> m_admitted;
  /// Queues that hold requests.
  std::set<Destination> m_busy;
};

/// Runs admission once.
void RunAdmission(World& world, TimePoint now);

/// Takes a request out of every table of admission. Requests that are not in
/// them are ignored. RunAdmission does it by itself for requests that another
/// system moved on; placement calls it at once.
void LeaveQueue(World& world, RequestId request);

/// Notes that room may have become free for a request's destination.
void NoteFreedCapacity(World& world, const NewRequest& request);

/// Moves a request to kRefused, for request flow to answer.
void Refuse(World& world,
            RequestRow& row,
            Refusal refusal,
            Duration retry_after,
            TimePoint now);

}  // namespace nutmeghollow

#include "nutmeghollow/admission.h"

#include <algorithm>
#include <vector>

#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

/// Queue settings of a route or plain service.
struct QueueSettings {
  int m_limit = 0;
  Duration m_deadline{};
  bool m_has_upstreams = false;
};

template <typename Row>
QueueSettings QueueSettingsOf(const Row& row) {
  return {row.m_queue_limit, row.m_queue_deadline, !row.m_upstreams.empty()};
}

std::optional<QueueSettings> FindQueueSettings(const World& world,
                                               const Destination& destination) {
  if (destination.m_kind == RequestKind::kChat) {
    const auto found = world.m_routes.find(destination.m_route);
    return found == world.m_routes.end()
               ? std::nullopt
               : std::optional(QueueSettingsOf(found->second));
  }
  const auto found = world.m_services.find(destination.m_service);
  return found == world.m_services.end()
             ? std::nullopt
             : std::optional(QueueSettingsOf(found->second));
}

CustomerRow* FindCustomer(World& world, const CustomerId& customer) {
  const auto found = world.m_customers.find(customer);
  return found == world.m_customers.end() ? nullptr : &found->second;
}

int RankOf(const World& world, const CustomerRow* customer) {
  if (customer != nullptr) {
    const auto found = world.m_priorities.find(customer->m_priority);
    if (found != world.m_priorities.end()) {
      return found->second.m_rank;
    }
  }
  return world.m_admission_parameters.m_default_rank;
}

/// Checks whether a request can be refused before it is queued.
/// @return true when it was refused.
bool RefuseAtArrival(World& world,
                     RequestRow& row,
                     const std::optional<QueueSettings>& settings,
                     TimePoint now) {
  const bool is_chat = row.m_request.m_kind == RequestKind::kChat;
  if (!settings) {
    Refuse(world, row,
           is_chat ? Refusal::kUnknownRoute : Refusal::kUnknownService,
           Duration::zero(), now);
    return true;
  }
  if (!settings->m_has_upstreams) {
    Refuse(world, row, Refusal::kNoUpstream,
           world.m_admission_parameters.m_retry_after, now);
    return true;
  }
  CustomerRow* customer = FindCustomer(world, row.m_request.m_customer);
  if (customer == nullptr || row.m_attempts > 0) {
    return false;
  }
  CountArrival(world, *customer, now);
  const Duration wait = TakeRateToken(world, *customer, now);
  if (wait > Duration::zero()) {
    Refuse(world, row, Refusal::kCustomerLimit, wait, now);
    return true;
  }
  return false;
}

/// @return true while the customer may run another request on this instance.
bool HasConcurrencyShare(const World& world,
                         const CustomerId& id,
                         TimePoint now) {
  const auto found = world.m_customers.find(id);
  if (found == world.m_customers.end() ||
      found->second.m_concurrency_limit <= 0) {
    return true;
  }
  const auto admitted = world.m_admission.m_admitted.find(id);
  const int pending =
      admitted == world.m_admission.m_admitted.end() ? 0 : admitted->second;
  return found->second.m_running + pending <
         ConcurrencyShare(world, found->second, now);
}

/// Admits waiting requests of one destination while it has free capacity.
void Admit(World& world, const Destination& destination, TimePoint now) {
  AdmissionState& state = world.m_admission;
  DestinationQueue& queue = state.m_queues.at(destination);
  if (now >= queue.m_limit_recheck_at) {
    queue.m_waiting.ResumeAll();
    queue.m_limit_recheck_at =
        now + world.m_admission_parameters.m_limit_recheck_interval;
  }
  queue.m_admission_due = false;
  queue.m_recheck_at = now + world.m_admission_parameters.m_recheck_interval;
  const int free_capacity = FreeCapacity(world, destination, now);
  while (queue.m_admitted < free_capacity) {
    const QueueTicket* next = queue.m_waiting.Peek();
    if (next == nullptr) {
      return;
    }
    if (!HasConcurrencyShare(world, next->m_customer, now)) {
      queue.m_waiting.Pause(CustomerId(next->m_customer));
      continue;
    }
    const QueueTicket ticket = *queue.m_waiting.Pop();
    RequestRow& row = *world.m_requests.Find(ticket.m_request);
    state.m_waiting.at(ticket.m_request).m_admitted = true;
    ++queue.m_admitted;
    ++state.m_admitted[ticket.m_customer];
    if (row.m_attempts == 0) {
      DepositRetryTokens(world, row);
    }
    world.m_requests.SetPhase(row, RequestPhase::kAdmitted, now);
  }
}

/// Reduces a queue to its length limit: admits first, then refuses requests of
/// the customer with the longest queue.
void EnforceQueueLimit(World& world,
                       const Destination& destination,
                       std::size_t limit,
                       TimePoint now) {
  DestinationQueue& queue = world.m_admission.m_queues.at(destination);
  if (queue.m_waiting.size() <= limit) {
    return;
  }
  Admit(world, destination, now);
  while (queue.m_waiting.size() > limit) {
    RequestRow& dropped =
        *world.m_requests.Find(*queue.m_waiting.DropCandidate());
    Refuse(world, dropped, Refusal::kQueueFull,
           world.m_admission_parameters.m_retry_after, now);
  }
  NUTMEG_CHECK(queue.m_waiting.size() <= limit,
               "no queue exceeds its length limit");
}

void Enqueue(World& world, RequestId id, TimePoint now) {
  RequestRow* row = world.m_requests.Find(id);
  if (row == nullptr || row->m_phase != RequestPhase::kQueued) {
    return;
  }
  const Destination destination = DestinationOf(row->m_request);
  const std::optional<QueueSettings> settings =
      FindQueueSettings(world, destination);
  if (RefuseAtArrival(world, *row, settings, now)) {
    return;
  }
  AdmissionState& state = world.m_admission;
  const CustomerId& customer_id = row->m_request.m_customer;
  CustomerRow* customer = FindCustomer(world, customer_id);
  const TimePoint deadline =
      std::min(now + settings->m_deadline, row->m_deadline);
  const bool inserted =
      state.m_waiting
          .emplace(id,
                   WaitingRequest{destination, customer_id, deadline, false})
          .second;
  NUTMEG_CHECK(inserted, "a request is queued once");
  if (!inserted) {
    return;
  }
  state.m_deadlines.emplace(deadline, id);
  DestinationQueue& queue = state.m_queues[destination];
  state.m_busy.insert(destination);
  queue.m_admission_due = true;
  const double weight = customer == nullptr ? 1.0 : customer->m_weight;
  queue.m_waiting.Push({.m_request = id,
                        .m_customer = customer_id,
                        .m_weight = std::max(weight, 0.001),
                        .m_rank = RankOf(world, customer)});
  if (customer != nullptr) {
    ++customer->m_queued;
  }
  EnforceQueueLimit(world, destination,
                    static_cast<std::size_t>(settings->m_limit), now);
}

void Expire(World& world, TimePoint now) {
  AdmissionState& state = world.m_admission;
  while (!state.m_deadlines.empty() &&
         state.m_deadlines.begin()->first <= now) {
    const RequestId id = state.m_deadlines.begin()->second;
    RequestRow& row = *world.m_requests.Find(id);
    const bool has_upstream =
        HasUsableUpstream(world, DestinationOf(row.m_request), now);
    Refuse(world, row,
           has_upstream ? Refusal::kQueueDeadline : Refusal::kNoUpstream,
           world.m_admission_parameters.m_retry_after, now);
  }
}

}  // namespace

Destination DestinationOf(const NewRequest& request) {
  if (request.m_kind == RequestKind::kChat) {
    return {RequestKind::kChat, request.m_route, ServiceId()};
  }
  return {RequestKind::kService, RouteId(), request.m_service};
}

void Refuse(World& world,
            RequestRow& row,
            Refusal refusal,
            Duration retry_after,
            TimePoint now) {
  LeaveQueue(world, row.m_request.m_id);
  row.m_refusal = refusal;
  row.m_retry_after = retry_after;
  world.m_requests.SetPhase(row, RequestPhase::kRefused, now);
}

void LeaveQueue(World& world, RequestId request) {
  AdmissionState& state = world.m_admission;
  const auto found = state.m_waiting.find(request);
  if (found == state.m_waiting.end()) {
    return;
  }
  const WaitingRequest waiting = found->second;
  state.m_waiting.erase(found);
  state.m_deadlines.erase({waiting.m_deadline, request});
  DestinationQueue& queue = state.m_queues.at(waiting.m_destination);
  if (waiting.m_admitted) {
    --queue.m_admitted;
    const auto admitted = state.m_admitted.find(waiting.m_customer);
    if (--admitted->second == 0) {
      state.m_admitted.erase(admitted);
    }
    queue.m_admission_due = true;
  } else {
    const bool erased = queue.m_waiting.Erase(request);
    NUTMEG_CHECK(erased, "a waiting request is in one queue");
  }
  NUTMEG_CHECK(queue.m_admitted >= 0, "admitted requests are counted once");
  if (queue.m_waiting.empty()) {
    state.m_busy.erase(waiting.m_destination);
  }
  CustomerRow* customer = FindCustomer(world, waiting.m_customer);
  if (customer != nullptr) {
    --customer->m_queued;
    NUTMEG_CHECK(customer->m_queued >= 0,
                 "a customer's number of waiting requests is not negative");
  }
}

void NoteFreedCapacity(World& world, const NewRequest& request) {
  const auto found = world.m_admission.m_queues.find(DestinationOf(request));
  if (found == world.m_admission.m_queues.end() ||
      found->second.m_waiting.empty()) {
    return;
  }
  found->second.m_admission_due = true;
  found->second.m_waiting.Resume(request.m_customer);
  world.m_tick_again = true;
}

void RunAdmission(World& world, TimePoint now) {
  for (const QueueChange& change : world.m_requests.TakeQueueChanges()) {
    if (change.m_entered) {
      Enqueue(world, change.m_request, now);
    } else {
      LeaveQueue(world, change.m_request);
    }
  }
  Expire(world, now);
  const std::vector<Destination> busy(world.m_admission.m_busy.begin(),
                                      world.m_admission.m_busy.end());
  for (const Destination& destination : busy) {
    const DestinationQueue& queue = world.m_admission.m_queues.at(destination);
    if (queue.m_admission_due || now >= queue.m_recheck_at) {
      Admit(world, destination, now);
    }
    if (queue.m_waiting.empty()) {
      world.m_admission.m_busy.erase(destination);
    }
  }
}

}  // namespace nutmeghollow

/// @file
/// Weighted fair queue of requests by customer inside priority rank.
#pragma once

#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Where a waiting request belongs.
struct QueueTicket {
  RequestId m_request;
  CustomerId m_customer;
  double m_weight = 1.0;  ///< Share of the customer; above zero.
  int m_rank = 100;       ///< A lower rank is served first.
};

/// Start-time fair queueing: inside a rank, customers are served in
/// proportion to their weights, and the requests of a customer in order.
class FairQueue {
 public:
  /// Appends a request. It must not be in the queue.
  void Push(const QueueTicket& ticket);

  /// @return the request that Pop would remove.
  const QueueTicket* Peek() const;

  /// Removes the next request: the lowest rank first, then the customer whose
  /// turn it is. Customers that are on hold are passed over.
  std::optional<QueueTicket> Pop();

  /// Removes a request, wherever it waits.
  /// @return false when it was not in the queue.
  bool Erase(RequestId request);

  /// Passes a customer over until Release.
  void Hold(const CustomerId& customer);
  /// Ends the hold of a customer.
  void Release(const CustomerId& customer);
  /// Ends the hold of every customer.
  void ReleaseAll();

  /// @return the request to drop when the queue is too long: the newest of
  /// the customer with the most waiting requests over its weight, in the
  /// worst rank.
  std::optional<RequestId> Longest() const;

  /// @return requests that wait, including those on hold.
  std::size_t size() const { return m_tickets.size(); }
  bool empty() const { return m_tickets.empty(); }
  /// @return true when some customer is on hold.
  bool HasHeld() const { return !m_held.empty(); }

 private:
  struct CustomerQueue {
    std::list<RequestId> m_requests;
    double m_weight = 1.0;
    double m_start = 0.0;  ///< Virtual start time of the next request.
    bool m_held = false;
  };
  struct RankQueue {
    double m_virtual_time = 0.0;
    int m_waiting = 0;
    /// With empty queues of customers that were served before.
    std::map<CustomerId, CustomerQueue> m_customers;
    /// Customers that may be served, by virtual start time.
    std::set<std::pair<double, CustomerId>> m_eligible;
    /// Customers by waiting requests over weight.
    std::set<std::pair<double, CustomerId>> m_by_length;
  };
  struct Position {
    QueueTicket m_ticket;
    std::list<RequestId>::iterator m_place;
  };

  static RequestId First(const RankQueue& rank);
  void Remove(RankQueue& rank, const Position& position);
  static double Length(const CustomerQueue& queue);

  std::map<int, RankQueue> m_ranks;
  std::unordered_map<RequestId, Position> m_tickets;
  std::set<CustomerId> m_held;
};

}  // namespace nutmeghollow

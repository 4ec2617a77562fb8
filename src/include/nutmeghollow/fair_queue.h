/// @file
/// Priority queue of requests, weighted fair by customer within a rank.
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

/// A waiting request with its customer, weight and rank.
struct QueueTicket {
  RequestId m_request;
  CustomerId m_customer;
  double m_weight = 1.0;  ///< Weight of the customer; above zero.
  int m_rank = 100;       ///< A lower rank is served first.
};

/// Start-time fair queueing: within a rank, customers are served in
/// proportion to their weights, and the requests of a customer in FIFO order.
class FairQueue {
 public:
  /// Appends a request. It must not be in the queue.
  void Push(const QueueTicket& ticket);

  /// @return the request that Pop would remove.
  const QueueTicket* Peek() const;

  /// Removes the next request: the lowest rank first, within it the customer
  /// with the lowest virtual start time. Paused customers are skipped.
  std::optional<QueueTicket> Pop();

  /// Removes a request from any position.
  /// @return false when it was not in the queue.
  bool Erase(RequestId request);

  /// Skips a customer until Resume.
  void Pause(const CustomerId& customer);
  /// Ends the pause of a customer.
  void Resume(const CustomerId& customer);
  /// Ends the pause of every customer.
  void ResumeAll();

  /// @return the request to drop when the queue is too long: in the rank
  /// served last, the newest request of the customer with the largest number of
  /// waiting requests divided by its weight.
  std::optional<RequestId> DropCandidate() const;

  /// @return number of waiting requests, including those of paused customers.
  std::size_t size() const { return m_tickets.size(); }
  bool empty() const { return m_tickets.empty(); }
  /// @return true when any customer is paused.
  bool HasPaused() const { return !m_paused.empty(); }

 private:
  struct CustomerQueue {
    std::list<RequestId> m_requests;
    double m_weight = 1.0;
    double m_start = 0.0;  ///< Virtual start time of the next request.
    bool m_paused = false;
  };
  struct RankQueue {
    double m_virtual_time = 0.0;
    int m_waiting = 0;
    /// Includes empty queues of customers that were served before.
    std::map<CustomerId, CustomerQueue> m_customers;
    /// Customers that may be served, by virtual start time.
    std::set<std::pair<double, CustomerId>> m_eligible;
    /// Customers by waiting requests divided by weight.
    std::set<std::pair<double, CustomerId>> m_by_length;
  };
  struct Position {
    QueueTicket m_ticket;
    std::list<RequestId>::iterator m_iterator;
  };

  static RequestId FirstEligible(const RankQueue& rank);
  void Remove(RankQueue& rank, const Position& position);
  static double WeightedLength(const CustomerQueue& queue);

  std::map<int, RankQueue> m_ranks;
  std::unordered_map<RequestId, Position> m_tickets;
  std::set<CustomerId> m_paused;
};

}  // namespace nutmeghollow

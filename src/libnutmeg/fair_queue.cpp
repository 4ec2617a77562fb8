#include "nutmeghollow/fair_queue.h"

#include <algorithm>

#include "nutmeghollow/check.h"

namespace nutmeghollow {

double FairQueue::WeightedLength(const CustomerQueue& queue) {
  return static_cast<double>(queue.m_requests.size()) / queue.m_weight;
}

void FairQueue::Push(const QueueTicket& ticket) {
  const auto [position, inserted] = m_tickets.try_emplace(ticket.m_request);
  NUTMEG_CHECK(inserted, "a request is queued once");
  if (!inserted) {
    return;
  }
  RankQueue& rank = m_ranks[ticket.m_rank];
  const auto [found, is_new] = rank.m_customers.try_emplace(ticket.m_customer);
  CustomerQueue& queue = found->second;
  if (is_new) {
    queue.m_paused = m_paused.contains(ticket.m_customer);
  }
  if (queue.m_requests.empty()) {
    queue.m_weight = ticket.m_weight;
    queue.m_start = std::max(queue.m_start, rank.m_virtual_time);
    if (!queue.m_paused) {
      rank.m_eligible.emplace(queue.m_start, ticket.m_customer);
    }
  } else {
    rank.m_by_length.erase({WeightedLength(queue), ticket.m_customer});
  }
  ++rank.m_waiting;
  queue.m_requests.push_back(ticket.m_request);
  rank.m_by_length.emplace(WeightedLength(queue), ticket.m_customer);
  position->second = {ticket, std::prev(queue.m_requests.end())};
}

RequestId FairQueue::FirstEligible(const RankQueue& rank) {
  const CustomerId& customer = rank.m_eligible.begin()->second;
  return rank.m_customers.at(customer).m_requests.front();
}

const QueueTicket* FairQueue::Peek() const {
  for (const auto& [number, rank] : m_ranks) {
    if (!rank.m_eligible.empty()) {
      return &m_tickets.at(FirstEligible(rank)).m_ticket;
    }
  }
  return nullptr;
}

std::optional<QueueTicket> FairQueue::Pop() {
  for (auto& [number, rank] : m_ranks) {
    if (rank.m_eligible.empty()) {
      continue;
    }
    const auto [start, customer] = *rank.m_eligible.begin();
    CustomerQueue& queue = rank.m_customers.at(customer);
    const auto found = m_tickets.find(FirstEligible(rank));
    const Position position = found->second;
    m_tickets.erase(found);
    rank.m_virtual_time = std::max(rank.m_virtual_time, start);
    rank.m_eligible.erase(rank.m_eligible.begin());
    queue.m_start = start + 1.0 / queue.m_weight;
    rank.m_eligible.emplace(queue.m_start, customer);
    Remove(rank, position);
    return position.m_ticket;
  }
  return std::nullopt;
}

bool FairQueue::Erase(RequestId request) {
  const auto found = m_tickets.find(request);
  if (found == m_tickets.end()) {
    return false;
  }
  const Position position = found->second;
  m_tickets.erase(found);
  Remove(m_ranks.at(position.m_ticket.m_rank), position);
  return true;
}

void FairQueue::Remove(RankQueue& rank, const Position& position) {
  const CustomerId& customer = position.m_ticket.m_customer;
  const auto found = rank.m_customers.find(customer);
  CustomerQueue& queue = found->second;
  rank.m_by_length.erase({WeightedLength(queue), customer});
  queue.m_requests.erase(position.m_iterator);
  --rank.m_waiting;
  if (!queue.m_requests.empty()) {
    rank.m_by_length.emplace(WeightedLength(queue), customer);
    return;
  }
  rank.m_eligible.erase({queue.m_start, customer});
  // The empty queue is kept while others wait, so that a returning customer
  // keeps its virtual start time. Otherwise it would be served ahead of its
  // share by leaving the queue.
  if (rank.m_waiting == 0) {
    m_ranks.erase(position.m_ticket.m_rank);
  }
}

void FairQueue::Pause(const CustomerId& customer) {
  m_paused.insert(customer);
  for (auto& [number, rank] : m_ranks) {
    const auto found = rank.m_customers.find(customer);
    if (found != rank.m_customers.end() && !found->second.m_paused) {
      found->second.m_paused = true;
      rank.m_eligible.erase({found->second.m_start, customer});
    }
  }
}

void FairQueue::Resume(const CustomerId& customer) {
  if (m_paused.erase(customer) == 0) {
    return;
  }
  for (auto& [number, rank] : m_ranks) {
    const auto found = rank.m_customers.find(customer);
    if (found == rank.m_customers.end()) {
      continue;
    }
    CustomerQueue& queue = found->second;
    queue.m_paused = false;
    queue.m_start = std::max(queue.m_start, rank.m_virtual_time);
    if (!queue.m_requests.empty()) {
      rank.m_eligible.emplace(queue.m_start, customer);
    }
  }
}

void FairQueue::ResumeAll() {
  const std::set<CustomerId> paused = m_paused;
  for (const CustomerId& customer : paused) {
    Resume(customer);
  }
}

std::optional<RequestId> FairQueue::DropCandidate() const {
  if (m_ranks.empty()) {
    return std::nullopt;
  }
  const RankQueue& worst = m_ranks.rbegin()->second;
  const CustomerId& customer = worst.m_by_length.rbegin()->second;
  return worst.m_customers.at(customer).m_requests.back();
}

}  // namespace nutmeghollow

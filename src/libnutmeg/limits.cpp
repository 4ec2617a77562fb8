#include "nutmeghollow/limits.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

/// Minimum demand of this instance in requests per second, so that the first
/// request of a customer is not refused.
constexpr double kMinRate = 0.1;
/// Maximum tokens of a retry budget.
constexpr double kMaxRetryTokens = 100.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

bool IsRecent(const World& world, const PeerDemand& demand, TimePoint now) {
  return now - demand.m_received_at <=
         world.m_limit_parameters.m_max_demand_age;
}

/// Demand of the instances with lower ids, of this instance, and of all.
struct DemandSplit {
  double m_before = 0.0;
  double m_own = 0.0;
  double m_total = 0.0;
};

DemandSplit SplitDemand(const World& world,
                        const CustomerId& customer,
                        double own,
                        double (*demand_of)(const PeerDemand&),
                        TimePoint now) {
  DemandSplit split{.m_own = own, .m_total = own};
  const auto found = world.m_peers.m_demands.find(customer);
  if (found == world.m_peers.m_demands.end()) {
    return split;
  }
  for (const auto& [instance, demand] : found->second) {
    if (instance == world.m_instances.m_self || !IsRecent(world, demand, now)) {
      continue;
    }
    const double value = demand_of(demand);
    split.m_total += value;
    if (instance < world.m_instances.m_self) {
      split.m_before += value;
    }
  }
  return split;
}

/// @return a value in [0, 1) that all instances compute alike from wall time
/// and that changes with each rotation period.
double Rotation(const World& world) {
  if (!world.m_hooks.m_wall_time) {
    return 0.0;
  }
  constexpr double kGoldenRatio = 0.6180339887498949;
  const std::int64_t period =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          world.m_limit_parameters.m_rotation_period)
          .count();
  const std::int64_t turn = world.m_hooks.m_wall_time().value() / period;
  const double position = static_cast<double>(turn) * kGoldenRatio;
  return position - std::floor(position);
}

std::string RetryKey(const RouteId& route) {
  return "route/" + route.str();
}

std::string RetryKey(const ServiceId& service) {
  return "service/" + service.str();
}

TokenBucket& RetryBucket(World& world, const std::string& key) {
  const auto [found, is_new] = world.m_limits.m_retries.try_emplace(key);
  if (is_new) {
    found->second.Deposit(world.m_limit_parameters.m_initial_retry_tokens,
                          kMaxRetryTokens);
  }
  return found->second;
}

double RetryBudget(const World& world, const NewRequest& request) {
  if (request.m_kind == RequestKind::kChat) {
    const auto found = world.m_routes.find(request.m_route);
    return found == world.m_routes.end() ? 0.0 : found->second.m_retry_budget;
  }
  const auto found = world.m_services.find(request.m_service);
  return found == world.m_services.end() ? 0.0 : found->second.m_retry_budget;
}

}  // namespace

void TokenBucket::Refill(double rate, double capacity, TimePoint now) {
  if (!m_started) {
    m_started = true;
    m_tokens = capacity;
  } else {
    m_tokens += rate * Seconds(now - m_refilled_at);
  }
  m_refilled_at = now;
  m_tokens = std::min(m_tokens, capacity);
}

void TokenBucket::Deposit(double tokens, double capacity) {
  m_tokens = std::min(m_tokens + tokens, capacity);
}

bool TokenBucket::Take() {
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

Duration TokenBucket::Wait(double rate) const {
  if (m_tokens >= 1.0) {
    return Duration::zero();
  }
  const std::chrono::duration<double> wait((1.0 - m_tokens) /
                                           std::max(rate, 0.001));
  return std::chrono::duration_cast<Duration>(wait) + Duration(1);
}

double ObservedRate(const World& world,
                    const CustomerRow& customer,
                    TimePoint now) {
  const double window = Seconds(world.m_limit_parameters.m_rate_window);
  return customer.m_rate *
         std::exp(-Seconds(now - customer.m_rate_at) / window);
}

void CountArrival(World& world, CustomerRow& customer, TimePoint now) {
  const double window = Seconds(world.m_limit_parameters.m_rate_window);
  customer.m_rate = ObservedRate(world, customer, now) + 1.0 / window;
  customer.m_rate_at = now;
}

int ConcurrencyShare(const World& world,
                     const CustomerRow& customer,
                     TimePoint now) {
  if (customer.m_concurrency_limit <= 0) {
    return std::numeric_limits<int>::max();
  }
  const auto demand_of = [](const PeerDemand& demand) {
    return static_cast<double>(demand.m_running + demand.m_queued);
  };
  const double own = std::max(customer.m_running + customer.m_queued, 1);
  const DemandSplit split =
      SplitDemand(world, customer.m_id, own, demand_of, now);
  // The interval [offset, offset + limit) is divided among the instances in
  // order of their ids, in proportion to demand. The share of an instance is
  // the number of integers in its part, so the shares add up to the limit.
  const double unit = customer.m_concurrency_limit / split.m_total;
  const double offset = Rotation(world);
  const double begin = split.m_before * unit + offset;
  const double end = begin + split.m_own * unit;
  return static_cast<int>(std::floor(end + 1e-9) - std::floor(begin + 1e-9));
}

Duration TakeRateToken(World& world,
                       const CustomerRow& customer,
                       TimePoint now) {
  if (customer.m_rate_limit <= 0.0) {
    return Duration::zero();
  }
  const auto demand_of = [](const PeerDemand& demand) { return demand.m_rate; };
  const double own = std::max(ObservedRate(world, customer, now), kMinRate);
  const DemandSplit split =
      SplitDemand(world, customer.m_id, own, demand_of, now);
  const double rate = customer.m_rate_limit * split.m_own / split.m_total;
  const double capacity =
      std::max(1.0, rate * world.m_limit_parameters.m_burst_seconds);
  TokenBucket& bucket = world.m_limits.m_rates[customer.m_id];
  bucket.Refill(rate, capacity, now);
  return bucket.Take() ? Duration::zero() : bucket.Wait(rate);
}

void DepositRetryTokens(World& world, const RequestRow& row) {
  const NewRequest& request = row.m_request;
  const std::string key = request.m_kind == RequestKind::kChat
                              ? RetryKey(request.m_route)
                              : RetryKey(request.m_service);
  RetryBucket(world, key).Deposit(RetryBudget(world, request), kMaxRetryTokens);
}

bool TakeRetryToken(World& world, const RouteId& route, TimePoint /*now*/) {
  return RetryBucket(world, RetryKey(route)).Take();
}

bool TakeRetryToken(World& world, const ServiceId& service, TimePoint /*now*/) {
  return RetryBucket(world, RetryKey(service)).Take();
}

}  // namespace nutmeghollow

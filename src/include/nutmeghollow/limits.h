/// @file
/// Rate and concurrency limits of customers, and retry budgets.
///
/// A customer's limits apply to the whole fleet. There is no coordinator: each
/// instance enforces a share of a limit, in proportion of its own observed
/// demand to the demand of all instances, which they announce to each other.
/// When all instances have the same demand figures, their shares add up to the
/// limit.
#pragma once

#include <map>
#include <string>

#include "nutmeghollow/routes.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;
struct RequestRow;

/// Settings of limits.
struct LimitParameters {
  /// Time constant of the average of a customer's request rate.
  Duration m_rate_window = std::chrono::seconds(5);
  /// Demand announced by another instance is ignored after this time.
  Duration m_max_demand_age = std::chrono::seconds(10);
  /// Period after which the remainder of dividing a concurrency limit is given
  /// to other instances.
  Duration m_rotation_period = std::chrono::seconds(2);
  /// Burst size of a rate limit, in seconds at that rate.
  double m_burst_seconds = 1.0;
  /// Initial tokens of the retry budget of a route or service.
  double m_initial_retry_tokens = 10.0;
};

/// Token bucket, refilled over time or by deposits.
class TokenBucket {
 public:
  /// Adds `rate` tokens per second since the last call, up to `capacity`. The
  /// first call fills the bucket.
  void Refill(double rate, double capacity, TimePoint now);
  /// Adds tokens, up to `capacity`.
  void Deposit(double tokens, double capacity);
  /// Takes one token. @return false when there is none.
  bool Take();
  /// @param rate tokens per second.
  /// @return time until a token is available; zero when one is.
  Duration Wait(double rate) const;
  /// @return available tokens.
  double Tokens() const { return m_tokens; }

 private:
  double m_tokens = 0.0;
  bool m_started = false;
  TimePoint m_refilled_at{};
};

/// State of limits.
struct LimitState {
  std::map<CustomerId, TokenBucket> m_rates;
  std::map<std::string, TokenBucket> m_retries;  ///< By route or service.
};

/// @return average requests per second of a customer on this instance.
double ObservedRate(const World& world,
                    const CustomerRow& customer,
                    TimePoint now);

/// Counts the arrival of a request into the observed rate.
void CountArrival(World& world, CustomerRow& customer, TimePoint now);

/// @return concurrent requests that the customer may run on this instance; the
/// largest integer when the customer has no limit.
int ConcurrencyShare(const World& world,
                     const CustomerRow& customer,
                     TimePoint now);

/// Takes a token of the customer's rate limit.
/// @return zero when one was available, else the time until the next token.
Duration TakeRateToken(World& world,
                       const CustomerRow& customer,
                       TimePoint now);

/// Adds the retry tokens of an admitted request to the retry budget of its
/// route or service.
void DepositRetryTokens(World& world, const RequestRow& row);

/// Takes a token of the retry budget of a route.
/// @return false when the budget is used up: the request must not be retried.
bool TakeRetryToken(World& world, const RouteId& route, TimePoint now);

/// Takes a token of the retry budget of a plain service.
/// @return false when the budget is used up: the request must not be retried.
bool TakeRetryToken(World& world, const ServiceId& service, TimePoint now);

}  // namespace nutmeghollow

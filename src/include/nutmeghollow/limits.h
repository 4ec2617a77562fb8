/// @file
/// Limits of customers and of retries.
///
/// A customer's limits hold for the whole fleet. There is no coordinator: each
/// instance takes the part of a limit that its own observed demand has in the
/// demand of all instances, as announced by the others. Where instances hold
/// the same figures, their parts add up to the limit.
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
  /// Time over which the rate of a customer is averaged.
  Duration m_rate_window = std::chrono::seconds(5);
  /// What another instance announced counts for this long.
  Duration m_demand_age_limit = std::chrono::seconds(10);
  /// How long parts of a concurrency limit stay with the same instances; the
  /// remainder of the division then goes to the next one.
  Duration m_rotation = std::chrono::seconds(2);
  /// Requests at once within a rate limit, as seconds of that rate.
  double m_burst_seconds = 1.0;
  /// Retries that a route may do before any request paid for them.
  double m_first_retries = 10.0;
};

/// Tokens that are taken one by one and come back over time or by deposit.
class TokenBucket {
 public:
  /// Adds `rate` tokens for each second since the last call, up to `most`.
  void Refill(double rate, double most, TimePoint now);
  /// Adds tokens, up to `most`.
  void Deposit(double tokens, double most);
  /// Takes one token. @return false when there is none.
  bool Take();
  /// @return time until a token is there at `rate`; zero when one is.
  Duration Wait(double rate) const;
  /// @return tokens at hand.
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

/// @return requests a second of a customer on this instance, averaged.
double ObservedRate(const World& world,
                    const CustomerRow& customer,
                    TimePoint now);

/// Counts the arrival of a request into the observed rate.
void CountArrival(World& world, CustomerRow& customer, TimePoint now);

/// @return requests of the customer that may run on this instance at once;
/// the largest integer when the customer has no limit.
int ConcurrencyShare(const World& world,
                     const CustomerRow& customer,
                     TimePoint now);

/// Takes a token of the customer's rate limit.
/// @return zero when it was granted, else the time until the next token.
Duration TakeRateToken(World& world,
                       const CustomerRow& customer,
                       TimePoint now);

/// Pays for a part of a retry with a request that was admitted.
void DepositRetryTokens(World& world, const RequestRow& row);

/// Takes a token of the retry budget of a route.
/// @return false when the budget is used up: the request must not be retried.
bool TakeRetryToken(World& world, const RouteId& route, TimePoint now);

/// Takes a token of the retry budget of a plain service.
/// @return false when the budget is used up: the request must not be retried.
bool TakeRetryToken(World& world, const ServiceId& service, TimePoint now);

}  // namespace nutmeghollow

/// @file
/// This instance's share of the fleet's retry allowance.
#pragma once

#include <cstddef>
#include <deque>
#include <map>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Settings of the retry allowance.
struct RetryAllowanceParameters {
  double m_ratio = 0.2;   ///< Retries per request.
  double m_slack = 50.0;  ///< Additional retries of the whole fleet per window.
  Duration m_window = std::chrono::seconds(10);
  /// Fraction of the allowance that is used. Below one, since requests that
  /// this instance counts may be outside the window of its retries.
  double m_used_fraction = 0.8;
};

/// Requests and retries of a service in the current window.
struct RetryUse {
  std::size_t m_requests = 0;
  std::size_t m_retries = 0;
  double m_allowed = 0;  ///< Retries, including those made.
};

/// Counts requests and retries of each service in a sliding window.
class RetryAllowance {
 public:
  explicit RetryAllowance(RetryAllowanceParameters parameters = {})
      : m_parameters(parameters) {}

  void SetParameters(const RetryAllowanceParameters& parameters) {
    m_parameters = parameters;
  }
  /// @param instances number of instances that share the slack; at least one.
  void SetInstances(int instances) { m_instances = instances; }

  void NoteRequest(const ServiceId& service, TimePoint now);
  /// Takes one retry. @return false when none is left.
  bool Take(const ServiceId& service, TimePoint now);
  /// Gives back the retry that was taken last: nothing was sent.
  void Return(const ServiceId& service);
  /// @return the figures that decide whether Take returns true.
  RetryUse UseOf(const ServiceId& service, TimePoint now);

 private:
  struct Window {
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
  };
  void Expire(std::deque<TimePoint>& times, TimePoint now) const;

  RetryAllowanceParameters m_parameters;
  int m_instances = 1;
  std::map<ServiceId, Window> m_windows;
};

}  // namespace nutmeghollow

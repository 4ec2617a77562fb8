/// @file
/// This instance's share of the fleet's allowance of repeated sends.
#pragma once

#include <deque>
#include <map>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Settings of the allowance.
struct RetryAllowanceParameters {
  double m_ratio = 0.2;   ///< Repeats per request.
  double m_slack = 50.0;  ///< Repeats of the whole fleet on top, per window.
  Duration m_window = std::chrono::seconds(10);
  /// Part of the allowance that is used. Below one, since requests that this
  /// instance counts may fall outside the window of its repeats.
  double m_share = 0.8;
};

/// Counts requests and repeats by service in a sliding window.
class RetryAllowance {
 public:
  explicit RetryAllowance(RetryAllowanceParameters parameters = {})
      : m_parameters(parameters) {}

  void SetParameters(const RetryAllowanceParameters& parameters) {
    m_parameters = parameters;
  }
  /// @param instances how many share the slack; at least one.
  void SetInstances(int instances) { m_instances = instances; }

  void NoteRequest(const ServiceId& service, TimePoint now);
  /// Takes one repeat. @return false when none is left.
  bool Take(const ServiceId& service, TimePoint now);

 private:
  struct Window {
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_repeats;
  };
  void Expire(std::deque<TimePoint>& times, TimePoint now) const;

  RetryAllowanceParameters m_parameters;
  int m_instances = 1;
  std::map<ServiceId, Window> m_windows;
};

}  // namespace nutmeghollow

/// @file
/// Counters, gauges and summaries in the Prometheus text format.
///
/// Summaries use Boost.Accumulators: count, sum, maximum and estimated
/// quantiles in constant memory.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace nutmeghollow {

/// Distribution of observed values, in constant memory.
class Summary {
 public:
  Summary();
  ~Summary();
  Summary(Summary&&) noexcept;
  Summary& operator=(Summary&&) noexcept;

  /// Records one value.
  void Add(double value);
  std::uint64_t Count() const;
  double Sum() const;
  double Max() const;
  /// @return the estimated median, or 0 without values.
  double Median() const;
  /// @return the estimated 95th percentile, or 0 without values.
  double Percentile95() const;

 private:
  struct Body;
  std::unique_ptr<Body> m_body;
};

/// Metrics of a process, keyed by name and labels.
class MetricsRegistry {
 public:
  /// Increments a counter. @param labels such as `direction="sent"`, or empty.
  void Count(const std::string& name,
             const std::string& labels = "",
             std::uint64_t increment = 1);
  /// Records a value in a summary.
  void Observe(const std::string& name, double value);
  /// Registers a gauge. @param read called by Render for the current value.
  void SetGauge(const std::string& name,
                const std::string& labels,
                std::function<double()> read);
  /// @return the metrics in the text format, as served at `/metrics`.
  std::string Render() const;
  /// @return the value of a counter, 0 when it was never incremented.
  std::uint64_t CounterValue(const std::string& name,
                             const std::string& labels = "") const;

 private:
  std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
  std::map<std::string, std::map<std::string, std::function<double()>>>
      m_gauges;
  std::map<std::string, Summary> m_summaries;
};

}  // namespace nutmeghollow

/// @file
/// Counters, gauges and summaries, shown in the Prometheus text format.
///
/// Summaries are Boost.Accumulators: count, sum, greatest value and estimated
/// quantiles in constant memory.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace nutmeghollow {

/// Distribution of a value, in constant memory.
class Summary {
 public:
  Summary();
  ~Summary();
  Summary(Summary&&) noexcept;
  Summary& operator=(Summary&&) noexcept;

  /// Takes one value in.
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

/// All metrics of a process, by name and labels.
class MetricsRegistry {
 public:
  /// Adds to a counter. @param labels such as `direction="sent"`, or empty.
  void Count(const std::string& name,
             const std::string& labels = "",
             std::uint64_t increment = 1);
  /// Takes a value into a summary.
  void Observe(const std::string& name, double value);
  /// Registers a gauge that is read when the page is made.
  void SetGauge(const std::string& name,
                const std::string& labels,
                std::function<double()> read);
  /// @return the page for `/metrics`.
  std::string Render() const;
  /// @return the value of a counter, 0 when it was never counted.
  std::uint64_t CounterValue(const std::string& name,
                             const std::string& labels = "") const;

 private:
  std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
  std::map<std::string, std::map<std::string, std::function<double()>>>
      m_gauges;
  std::map<std::string, Summary> m_summaries;
};

}  // namespace nutmeghollow

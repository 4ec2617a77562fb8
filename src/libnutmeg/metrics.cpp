#include "nutmeghollow/metrics.h"

#include <fmt/format.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <iterator>
#include <utility>

namespace nutmeghollow {
namespace {

namespace acc = boost::accumulators;

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::max,
                                    acc::tag::extended_p_square>>;

constexpr std::array<double, 2> kQuantiles{0.5, 0.95};

std::string Braced(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

}  // namespace

struct Summary::Body {
  Accumulator m_values{acc::extended_p_square_probabilities = kQuantiles};
};

Summary::Summary() : m_body(std::make_unique<Body>()) {}
Summary::~Summary() = default;
Summary::Summary(Summary&&) noexcept = default;
Summary& Summary::operator=(Summary&&) noexcept = default;

void Summary::Add(double value) {
  m_body->m_values(value);
}

std::uint64_t Summary::Count() const {
  return acc::count(m_body->m_values);
}

double Summary::Sum() const {
  return acc::sum(m_body->m_values);
}

double Summary::Max() const {
  return Count() == 0 ? 0.0 : acc::max(m_body->m_values);
}

double Summary::Median() const {
  return Count() == 0 ? 0.0 : acc::extended_p_square(m_body->m_values)[0];
}

double Summary::Percentile95() const {
  return Count() == 0 ? 0.0 : acc::extended_p_square(m_body->m_values)[1];
}

void MetricsRegistry::Count(const std::string& name,
                            const std::string& labels,
                            std::uint64_t increment) {
  m_counters[name][labels] += increment;
}

void MetricsRegistry::Observe(const std::string& name, double value) {
  m_summaries[name].Add(value);
}

void MetricsRegistry::SetGauge(const std::string& name,
                               const std::string& labels,
                               std::function<double()> read) {
  m_gauges[name][labels] = std::move(read);
}

std::uint64_t MetricsRegistry::CounterValue(const std::string& name,
                                            const std::string& labels) const {
  auto family = m_counters.find(name);
  if (family == m_counters.end()) {
    return 0;
  }
  auto counter = family->second.find(labels);
  return counter == family->second.end() ? 0 : counter->second;
}

std::string MetricsRegistry::Render() const {
  fmt::memory_buffer page;
  auto out = std::back_inserter(page);
  for (const auto& [name, family] : m_counters) {
    fmt::format_to(out, "# TYPE {} counter\n", name);
    for (const auto& [labels, value] : family) {
      fmt::format_to(out, "{}{} {}\n", name, Braced(labels), value);
    }
  }
  for (const auto& [name, family] : m_gauges) {
    fmt::format_to(out, "# TYPE {} gauge\n", name);
    for (const auto& [labels, read] : family) {
      fmt::format_to(out, "{}{} {}\n", name, Braced(labels), read());
    }
  }
  for (const auto& [name, summary] : m_summaries) {
    fmt::format_to(out, "# TYPE {} summary\n", name);
    fmt::format_to(out, "{}{{quantile=\"0.5\"}} {}\n", name, summary.Median());
    fmt::format_to(out, "{}{{quantile=\"0.95\"}} {}\n", name,
                   summary.Percentile95());
    fmt::format_to(out, "{}_sum {}\n", name, summary.Sum());
    fmt::format_to(out, "{}_count {}\n", name, summary.Count());
  }
  return fmt::to_string(page);
}

}  // namespace nutmeghollow

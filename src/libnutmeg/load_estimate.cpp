#include "nutmeghollow/load_estimate.h"

#include <algorithm>
#include <chrono>

namespace nutmeghollow {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @return requests for each unit of capacity at which all upstreams that are
/// below it are level after the arrivals.
double Level(const std::vector<KnownLoad>& loads, double arrivals) {
  std::vector<KnownLoad> order = loads;
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.m_requests * b.m_capacity < b.m_requests * a.m_capacity;
  });
  double requests = arrivals;
  double capacity = 0;
  double level = 0;
  for (const KnownLoad& load : order) {
    if (capacity > 0 && load.m_requests / load.m_capacity >= level) {
      break;
    }
    requests += load.m_requests;
    capacity += load.m_capacity;
    level = requests / capacity;
  }
  return level;
}

}  // namespace

std::optional<double> ExpectedArrivals(double requests,
                                       Duration age,
                                       Duration mean_duration) {
  if (mean_duration <= Duration::zero()) {
    return std::nullopt;
  }
  return requests * Seconds(std::max(age, Duration::zero())) /
         Seconds(mean_duration);
}

std::vector<double> InterpretLoads(const std::vector<KnownLoad>& loads,
                                   double arrivals) {
  // The request that is being sent is one of the arrivals.
  const double expected = std::max(1.0, arrivals);
  const double level = Level(loads, expected);
  std::vector<double> probabilities;
  probabilities.reserve(loads.size());
  for (const KnownLoad& load : loads) {
    probabilities.push_back(
        std::max(0.0, level * load.m_capacity - load.m_requests) / expected);
  }
  return probabilities;
}

std::size_t DrawIndex(const std::vector<double>& probabilities, double point) {
  std::size_t drawn = 0;
  double sum = 0;
  for (std::size_t index = 0; index < probabilities.size(); ++index) {
    if (probabilities[index] <= 0) {
      continue;
    }
    drawn = index;
    sum += probabilities[index];
    if (point < sum) {
      break;
    }
  }
  return drawn;
}

double AgedWorkFactor(std::optional<WorkFactor> stated, Duration age) {
  if (!stated || age >= kMaxWorkFactorAge) {
    return 1.0;
  }
  const double weight = 1.0 - Seconds(std::max(age, Duration::zero())) /
                                  Seconds(kMaxWorkFactorAge);
  return 1.0 + (stated->value() - 1.0) * weight;
}

}  // namespace nutmeghollow

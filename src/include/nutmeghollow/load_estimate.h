/// @file
/// Interpretation of load data that is older than the choices made since.
///
/// Many instances choose by the same old counts. An instance that sends each
/// request to the least loaded upstream does what all others do, so that this
/// upstream gets the requests of the whole fleet until newer counts arrive.
/// Instead, the requests that the fleet sends within the age of the counts are
/// estimated, and an upstream is drawn with a probability that is proportional
/// to what it lacks to the level at which all are equally loaded after these
/// requests (Dahlin 2000).
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Age from which a stated work factor has no weight. Work factors of the
/// deployments change every 0.6 s.
inline constexpr Duration kMaxWorkFactorAge = std::chrono::seconds(1);

/// What an instance knows of the load of an upstream.
struct KnownLoad {
  double m_requests = 0;  ///< Requests in progress at the time of the data.
  double m_capacity = 1;  ///< Requests at a time; positive.
};

/// @param requests requests in progress at all upstreams of a service.
/// @param age of the data about them.
/// @param mean_duration of a request; zero when unknown.
/// @return requests that are sent within the age, by Little's law; nothing when
/// the duration is unknown.
std::optional<double> ExpectedArrivals(double requests,
                                       Duration age,
                                       Duration mean_duration);

/// @param arrivals requests that are expected since the data was produced.
/// @return for each upstream the probability with which the next request is
/// sent there; the sum is 1 unless there are no upstreams.
std::vector<double> InterpretLoads(const std::vector<KnownLoad>& loads,
                                   double arrivals);

/// @param point uniformly distributed in [0, 1).
/// @return index drawn from probabilities; the last one with a positive
/// probability when rounding leaves the point above their sum.
std::size_t DrawIndex(const std::vector<double>& probabilities, double point);

/// @param stated work factor; unset: not stated.
/// @return work factor to assume after a time: it approaches 1 linearly.
double AgedWorkFactor(std::optional<WorkFactor> stated, Duration age);

}  // namespace nutmeghollow

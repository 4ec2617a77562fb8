/// @file
/// Metrics of the decision library's state.
#pragma once

#include "nutmeghollow/metrics.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// Registers gauges that read the world's tables when the metrics are rendered.
/// @param world must outlive the registry.
void RegisterWorldMetrics(MetricsRegistry* metrics, const World* world);

}  // namespace nutmeghollow

/// @file
/// Shows the state of the decision library on the metrics page.
#pragma once

#include "nutmeghollow/metrics.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// Registers gauges that read the tables.
/// @param world outlives the registry.
void RegisterWorldMetrics(MetricsRegistry* metrics, const World* world);

}  // namespace nutmeghollow

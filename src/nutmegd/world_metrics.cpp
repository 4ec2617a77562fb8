#include "nutmegd/world_metrics.h"

#include <fmt/format.h>

namespace nutmeghollow {
namespace {

void RegisterControl(MetricsRegistry* metrics, const World* world) {
  for (int index = 0; index < static_cast<int>(ControlClass::kCount); ++index) {
    const auto control_class = static_cast<ControlClass>(index);
    const char* class_name = ControlClassName(control_class);
    metrics->SetGauge(
        "nutmeg_control_class_bytes_total",
        fmt::format("direction=\"sent\",class=\"{}\"", class_name), [=] {
          return static_cast<double>(
              world->m_budget.Counters(control_class).m_bytes_sent);
        });
    metrics->SetGauge(
        "nutmeg_control_class_bytes_total",
        fmt::format("direction=\"received\",class=\"{}\"", class_name), [=] {
          return static_cast<double>(
              world->m_budget.Counters(control_class).m_bytes_received);
        });
    metrics->SetGauge("nutmeg_control_dropped_total",
                      fmt::format("class=\"{}\"", class_name), [=] {
                        return static_cast<double>(
                            world->m_budget.Counters(control_class).m_dropped);
                      });
  }
  const auto add_total = [&](const char* direction,
                             std::int64_t ControlCounters::*bytes) {
    metrics->SetGauge(
        "nutmeg_control_bytes_total",
        fmt::format("direction=\"{}\"", direction), [=] {
          std::int64_t total = 0;
          for (const ControlCounters& counters : world->m_budget.m_counters) {
            total += counters.*bytes;
          }
          return static_cast<double>(total);
        });
  };
  add_total("sent", &ControlCounters::m_bytes_sent);
  add_total("received", &ControlCounters::m_bytes_received);
  metrics->SetGauge("nutmeg_control_bytes_peak_second", "", [=] {
    return static_cast<double>(world->m_budget.m_peak_second);
  });
}

void RegisterPlacement(MetricsRegistry* metrics, const World* world) {
  const auto add = [&](const char* name,
                       std::uint64_t PlacementCounters::*counter) {
    metrics->SetGauge(name, "", [=] {
      return static_cast<double>(world->m_placement.m_counters.*counter);
    });
  };
  add("nutmeg_placements_total", &PlacementCounters::m_placed);
  add("nutmeg_placements_overflowed_total", &PlacementCounters::m_overflowed);
  add("nutmeg_reservations_sent_total",
      &PlacementCounters::m_reservations_sent);
  add("nutmeg_reservations_granted_total",
      &PlacementCounters::m_reservations_granted);
  add("nutmeg_reservations_refused_total",
      &PlacementCounters::m_reservations_refused);
  add("nutmeg_reservations_timed_out_total",
      &PlacementCounters::m_reservations_timed_out);
}

void RegisterRequests(MetricsRegistry* metrics, const World* world) {
  metrics->SetGauge("nutmeg_requests_in_progress", "", [=] {
    return static_cast<double>(world->m_requests.size());
  });
  const auto add = [&](const char* name,
                       std::uint64_t RequestCounters::*counter) {
    metrics->SetGauge(name, "", [=] {
      return static_cast<double>(world->m_request_flow.m_counters.*counter);
    });
  };
  add("nutmeg_requests_arrived_total", &RequestCounters::m_arrived);
  add("nutmeg_attempts_total", &RequestCounters::m_attempts);
  add("nutmeg_retries_total", &RequestCounters::m_retries);
  add("nutmeg_resumes_total", &RequestCounters::m_resumes);
  add("nutmeg_replays_total", &RequestCounters::m_replays);
  metrics->SetGauge("nutmeg_claim_commits_total", "", [=] {
    return static_cast<double>(world->m_claims.m_counters.m_commits);
  });
  metrics->SetGauge("nutmeg_claim_rows_written_total", "", [=] {
    return static_cast<double>(world->m_claims.m_counters.m_writes);
  });
}

}  // namespace

void RegisterWorldMetrics(MetricsRegistry* metrics, const World* world) {
  metrics->SetGauge("nutmeg_configuration_revision", "", [=] {
    return static_cast<double>(world->m_configuration.m_revision.value());
  });
  metrics->SetGauge("nutmeg_instances_live", "",
                    [=] { return static_cast<double>(LiveInstances(*world)); });
  metrics->SetGauge("nutmeg_failed_checks_total", "",
                    [] { return static_cast<double>(FailedChecks()); });
  metrics->SetGauge("nutmeg_lease_held", "",
                    [=] { return world->m_lease.m_held ? 1.0 : 0.0; });
  RegisterControl(metrics, world);
  RegisterPlacement(metrics, world);
  RegisterRequests(metrics, world);
}

}  // namespace nutmeghollow

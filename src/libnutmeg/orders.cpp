#include "nutmeghollow/orders.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

using Json = nlohmann::json;

/// Updates the rows to match the configuration.
void RefreshRows(World& world) {
  OrderState& orders = world.m_orders;
  if (orders.m_fencing != world.m_lease.m_fencing) {
    // States read under an earlier fencing number may be stale.
    orders.m_rows.clear();
    orders.m_fencing = world.m_lease.m_fencing;
  } else if (orders.m_generation == world.m_configuration.m_generation) {
    return;
  }
  orders.m_generation = world.m_configuration.m_generation;
  for (const auto& [id, upstream] : world.m_upstreams.m_rows) {
    if (upstream.m_wanted_state.empty()) {
      continue;
    }
    OrderRow& row = orders.m_rows[id];
    if (row.m_wanted != upstream.m_wanted_state) {
      row.m_wanted = upstream.m_wanted_state;
      row.m_stage = OrderStage::kUnread;
      row.m_next_step = TimePoint{};
    }
  }
  std::erase_if(orders.m_rows, [&](const auto& entry) {
    const UpstreamRow* upstream = world.m_upstreams.Find(entry.first);
    return upstream == nullptr || upstream->m_wanted_state.empty();
  });
}

/// Numbers of load and read slots in use.
struct Usage {
  std::size_t m_loads = 0;
  std::size_t m_reads = 0;
};

Usage CountUsage(const OrderState& orders) {
  Usage usage;
  for (const auto& [id, row] : orders.m_rows) {
    if (row.m_stage == OrderStage::kLoading) {
      ++usage.m_loads;
    } else if (row.m_call_pending) {
      ++usage.m_reads;
    }
  }
  return usage;
}

void HandleResult(World& world, const OrderResult& result, TimePoint now) {
  OrderState& orders = world.m_orders;
  auto found = orders.m_rows.find(result.m_upstream);
  if (found == orders.m_rows.end() || !found->second.m_call_pending) {
    return;
  }
  OrderRow& row = found->second;
  row.m_call_pending = false;
  if (result.m_status != OrderStatus::kSucceeded) {
    if (result.m_status == OrderStatus::kStaleFencing) {
      ++orders.m_refused;
      world.m_lease.m_next_step = now;  // Read the lease row at once.
    }
    row.m_stage = OrderStage::kUnread;
    row.m_next_step = now + orders.m_parameters.m_retry_delay;
    return;
  }
  row.m_state = result.m_state;
  if (StateMatches(row.m_wanted, row.m_state)) {
    row.m_stage = OrderStage::kAsWanted;
    row.m_next_step = now + orders.m_parameters.m_check_period;
  } else if (row.m_stage == OrderStage::kLoading &&
             now - row.m_ordered_at < orders.m_parameters.m_load_timeout) {
    row.m_next_step = now + orders.m_parameters.m_load_poll_period;
  } else {
    row.m_stage = OrderStage::kDiffers;
    row.m_next_step = now;
  }
}

/// An engine that does not enforce fencing could still carry out an order of
/// the previous holder.
/// @return the time from which this can no longer happen.
TimePoint EarliestOrderTime(const World& world, const UpstreamRow& upstream) {
  if (upstream.m_enforces_fencing) {
    return world.m_lease.m_acquired_at;
  }
  return world.m_lease.m_acquired_at + world.m_lease.m_parameters.m_duration +
         world.m_orders.m_parameters.m_order_timeout;
}

void StartOrder(World& world,
                const UpstreamRow& upstream,
                OrderRow& row,
                TimePoint now) {
  NUTMEG_CHECK(HoldsLease(world, now),
               "orders may be sent only under the lease");
  row.m_stage = OrderStage::kLoading;
  row.m_call_pending = true;
  row.m_ordered_at = now;
  row.m_next_step = now + world.m_orders.m_parameters.m_order_timeout * 2;
  ++world.m_orders.m_sent;
  world.m_actions.push_back(SendOrder{.m_upstream = upstream.m_id,
                                      .m_endpoint = upstream.m_endpoint,
                                      .m_fencing = world.m_lease.m_fencing,
                                      .m_wanted_state = row.m_wanted,
                                      .m_not_after = world.m_lease.m_deadline});
}

void StartStateRead(World& world,
                    const UpstreamRow& upstream,
                    OrderRow& row,
                    TimePoint now) {
  row.m_call_pending = true;
  row.m_next_step = now + world.m_orders.m_parameters.m_order_timeout * 2;
  world.m_actions.push_back(ReadEngineState{.m_upstream = upstream.m_id,
                                            .m_endpoint = upstream.m_endpoint});
}

void StepRow(World& world,
             const UpstreamRow& upstream,
             OrderRow& row,
             Usage& usage,
             TimePoint now) {
  const OrderParameters& parameters = world.m_orders.m_parameters;
  if (row.m_status_since != upstream.m_status_since &&
      row.m_stage == OrderStage::kAsWanted) {
    row.m_stage = OrderStage::kUnread;  // It may have restarted.
    row.m_next_step = now;
  }
  row.m_status_since = upstream.m_status_since;
  if (now < row.m_next_step) {
    return;
  }
  if (row.m_stage == OrderStage::kDiffers) {
    if (usage.m_loads < parameters.m_max_concurrent_loads &&
        now >= EarliestOrderTime(world, upstream)) {
      ++usage.m_loads;
      StartOrder(world, upstream, row, now);
    }
    return;
  }
  if (row.m_stage == OrderStage::kLoading) {
    StartStateRead(world, upstream, row, now);
  } else if (usage.m_reads < parameters.m_max_concurrent_reads) {
    ++usage.m_reads;
    StartStateRead(world, upstream, row, now);
  }
}

}  // namespace

bool StateMatches(const std::string& wanted, const std::string& state) {
  const Json wanted_json = Json::parse(wanted, nullptr, false);
  const Json state_json = Json::parse(state, nullptr, false);
  if (!wanted_json.is_object() || !state_json.is_object()) {
    return false;
  }
  for (const auto& [field, value] : wanted_json.items()) {
    auto found = state_json.find(field);
    if (found == state_json.end() || *found != value) {
      return false;
    }
  }
  return true;
}

void RunOrders(World& world, TimePoint now) {
  OrderState& orders = world.m_orders;
  for (const OrderResult& result : std::exchange(orders.m_results, {})) {
    HandleResult(world, result, now);
  }
  if (!HoldsLease(world, now)) {
    orders.m_rows.clear();
    return;
  }
  if (now < orders.m_next_step) {
    return;
  }
  orders.m_next_step = now + orders.m_parameters.m_step_period;
  RefreshRows(world);
  Usage usage = CountUsage(orders);
  for (auto& [id, row] : orders.m_rows) {
    StepRow(world, *world.m_upstreams.Find(id), row, usage, now);
  }
}

}  // namespace nutmeghollow

/// @file
/// Orders to model engines: which model, adapter, version and role to load.
///
/// The lease holder compares the wanted state of each engine with the state
/// that the engine reports, and sends an order where they differ.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Outcome of an order or of a read of an engine's state.
enum class OrderStatus {
  kSucceeded,     ///< The engine returned its state.
  kStaleFencing,  ///< The engine has seen a higher fencing number.
  kFailed,        ///< No usable response.
};

/// Result of an order or of a read of an engine's state.
struct OrderResult {
  UpstreamId m_upstream;
  OrderStatus m_status = OrderStatus::kFailed;
  std::string m_state;  ///< JSON object reported by the engine.
};

/// Settings of orders.
struct OrderParameters {
  /// Concurrent orders and loads; bounds the load on the weight store.
  std::size_t m_max_concurrent_loads = 4;
  /// Concurrent reads of engine states.
  std::size_t m_max_concurrent_reads = 8;
  Duration m_order_timeout = std::chrono::seconds(2);
  /// A load that takes longer no longer counts as loading, and its slot is
  /// released.
  Duration m_load_timeout = std::chrono::minutes(10);
  /// Interval between state reads of an engine that is loading.
  Duration m_load_poll_period = std::chrono::seconds(2);
  /// Delay before the next read of an engine after a failure.
  Duration m_retry_delay = std::chrono::seconds(5);
  /// Interval between state reads of an engine in its wanted state.
  Duration m_check_period = std::chrono::minutes(5);
  /// Interval between passes over all engines.
  Duration m_step_period = std::chrono::milliseconds(100);
};

/// Progress of an engine towards its wanted state.
enum class OrderStage {
  kUnread,    ///< Its state must be read.
  kDiffers,   ///< Its state differs; waits for a load slot.
  kLoading,   ///< Order sent; its state is polled until it matches.
  kAsWanted,  ///< Its state matches.
};

/// One engine with a wanted state.
struct OrderRow {
  OrderStage m_stage = OrderStage::kUnread;
  bool m_call_pending = false;  ///< An order or a read is in progress.
  std::string m_wanted;
  std::string m_state;  ///< As last reported.
  TimePoint m_next_step{};
  TimePoint m_ordered_at{};
  TimePoint m_status_since{};  ///< Of the upstream, at the last pass.
};

/// State of orders.
struct OrderState {
  OrderParameters m_parameters;
  std::vector<OrderResult> m_results;  ///< Delivered by the adapter.
  std::map<UpstreamId, OrderRow> m_rows;
  FencingNumber m_fencing;  ///< Under which the rows were created.
  TimePoint m_next_step{};
  std::uint64_t m_generation = 0;  ///< Configuration of the rows.
  std::uint64_t m_sent = 0;
  std::uint64_t m_refused = 0;
};

/// Processes results and, while the lease is held, sends orders and reads.
void RunOrders(World& world, TimePoint now);

/// Compares only the fields of the wanted state.
/// @param wanted Wanted state, a JSON object.
/// @param state Reported state, a JSON object.
/// @return true when each wanted field has the same value in the reported
/// state; false when either is not a JSON object.
bool StateMatches(const std::string& wanted, const std::string& state);

}  // namespace nutmeghollow

/// @file
/// Orders to model engines: which model, adapter, version and role.
///
/// The holder of the lease compares the wanted state of each engine with the
/// state that the engine tells, and sends an order where they differ.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// How an order or a read of an engine's state ended.
enum class OrderStatus {
  kSucceeded,    ///< The state is known.
  kStaleFencing,  ///< The engine has seen a higher fencing number.
  kFailed,      ///< No usable answer.
};

/// The end of an order or of a read of an engine's state.
struct OrderResult {
  UpstreamId m_upstream;
  OrderStatus m_status = OrderStatus::kFailed;
  std::string m_state;  ///< JSON object told by the engine.
};

/// Settings of orders.
struct OrderParameters {
  /// Orders and loads under way at once; bounds use of the weight store.
  std::size_t m_concurrent_loads = 4;
  /// Reads of engine states under way at once.
  std::size_t m_concurrent_reads = 8;
  Duration m_order_timeout = std::chrono::seconds(2);
  /// A load that is not done by then gives its place to another.
  Duration m_load_timeout = std::chrono::minutes(10);
  /// Between two looks at an engine that is loading.
  Duration m_load_poll_period = std::chrono::seconds(2);
  /// After a failure.
  Duration m_retry_delay = std::chrono::seconds(5);
  /// Between two looks at an engine that is as wanted.
  Duration m_check_period = std::chrono::minutes(5);
  /// How often the table of engines is gone through.
  Duration m_step_period = std::chrono::milliseconds(100);
};

/// Progress of an engine towards its wanted state.
enum class OrderStage {
  kUnread,   ///< Its state has to be read.
  kDiffers,  ///< Waits for a place among the loads.
  kLoading,  ///< Ordered; its state is looked at until it is as wanted.
  kAsWanted,
};

/// One engine with a wanted state.
struct OrderRow {
  OrderStage m_stage = OrderStage::kUnread;
  bool m_asked = false;  ///< An order or a read is under way.
  std::string m_wanted;
  std::string m_state;  ///< As last told.
  TimePoint m_next_step{};
  TimePoint m_ordered_at{};
  TimePoint m_status_since{};  ///< Of the upstream, when last looked at.
};

/// State of orders.
struct OrderState {
  OrderParameters m_parameters;
  std::vector<OrderResult> m_results;  ///< From the adapter.
  std::map<UpstreamId, OrderRow> m_rows;
  FencingNumber m_fencing;  ///< That the rows were made under.
  TimePoint m_next_step{};
  std::uint64_t m_generation = 0;  ///< That the rows were made for.
  std::uint64_t m_sent = 0;
  std::uint64_t m_refused = 0;
};

/// Runs orders.
void RunOrders(World& world, TimePoint now);

/// @return true when the told state has every field that is wanted.
/// @param wanted and @param state JSON objects.
bool StateMatches(const std::string& wanted, const std::string& state);

}  // namespace nutmeghollow

/// @file
/// Stand-in for the platform: table service, object store, weight store and a
/// delayed instance list, with fault injection.
#pragma once

#include <ev.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_server.h"
#include "standins/program.h"

namespace nutmeghollow::standins {

/// Versioned rows with transactions.
class Table {
 public:
  /// @return the existing rows of the given keys.
  nlohmann::json Read(const nlohmann::json& keys) const;
  /// @return up to `limit` rows in key order, with keys that start with
  /// `prefix` and follow `after`.
  nlohmann::json Scan(const std::string& prefix,
                      const std::string& after,
                      std::size_t limit) const;
  /// Applies all writes if all preconditions hold, otherwise none.
  /// @return the rows that violate a precondition; empty when the writes were
  /// applied.
  nlohmann::json Commit(const nlohmann::json& preconditions,
                        const nlohmann::json& writes);

 private:
  struct Row {
    std::string m_value;
    std::uint64_t m_version = 0;
  };

  nlohmann::json RowJson(const std::string& key) const;

  std::map<std::string, Row> m_rows;
  std::uint64_t m_last_version = 0;
};

/// Token bucket that holds the operations of one second at most.
class RateLimit {
 public:
  explicit RateLimit(double per_second)
      : m_per_second(per_second), m_tokens(per_second) {}

  /// @return true when one more operation is allowed now.
  bool TryAcquire(TimePoint now);

 private:
  double m_per_second;  ///< Refill rate and capacity of the bucket.
  double m_tokens;
  TimePoint m_refilled_at{};
};

/// Options of the platform.
struct PlatformOptions {
  double m_writes_per_second = 400;      ///< Commits; 503 above it.
  double m_reads_per_second = 2000;      ///< Reads and scans; 503 above it.
  double m_weight_loads_per_second = 2;  ///< Weight requests; 503 above it.
  /// Time until a new instance list becomes visible.
  Duration m_list_lag = std::chrono::seconds(2);
};

/// The platform and its HTTP interface.
class Platform {
 public:
  Platform(struct ev_loop* loop, const PlatformOptions& options);

  /// Responds to one HTTP request.
  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);

 private:
  using Exchange = std::shared_ptr<net::HttpExchange>;

  void HandleTable(const Exchange& exchange);
  void HandleCommit(const Exchange& exchange, const nlohmann::json& body);
  void HandleObject(const Exchange& exchange);
  void HandleInstances(net::HttpExchange& exchange);
  void HandleControl(net::HttpExchange& exchange);
  /// Responds after m_response_delay.
  void SendResponse(const Exchange& exchange,
                    int status,
                    const nlohmann::json& body);
  void SendDelayed();
  nlohmann::json Stats() const;

  struct DelayedResponse {
    TimePoint m_due;
    Exchange m_exchange;
    int m_status;
    nlohmann::json m_body;
  };
  struct InstanceListVersion {
    TimePoint m_set_at;
    nlohmann::json m_instances;
  };

  Table m_table;
  std::map<std::string, std::string> m_objects;
  std::deque<InstanceListVersion> m_instance_lists;
  RateLimit m_write_limit;
  RateLimit m_read_limit;
  RateLimit m_weight_limit;
  Duration m_list_lag;

  bool m_outage = false;  ///< Responds 503, except for the instance list.
  bool m_silent = false;  ///< Responds only to /control.
  Duration m_response_delay{};
  int m_lose_commit_answers = 0;  ///< Commits to apply without a response.
  std::deque<DelayedResponse> m_delayed;
  net::Timer m_delay_timer;

  std::int64_t m_reads = 0;
  std::int64_t m_writes = 0;
  std::int64_t m_conflicts = 0;
  std::int64_t m_refused = 0;
  std::int64_t m_lost_answers = 0;
  std::int64_t m_list_reads = 0;
};

}  // namespace nutmeghollow::standins

/// @file
/// Stand-in of the platform: table service, object store, weight store and
/// lagging instance list, with switches for outages.
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

/// Rows with versions and transactions over them.
class Table {
 public:
  /// @return the rows that exist among the keys.
  nlohmann::json Read(const nlohmann::json& keys) const;
  /// @return rows after a key whose keys start with a prefix, in key order.
  nlohmann::json Scan(const std::string& prefix,
                      const std::string& after,
                      std::size_t limit) const;
  /// Applies all writes if all preconditions hold.
  /// @return the rows that differ; empty when it took effect.
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

/// Allows a number of operations a second, with bursts of up to one second.
class RateLimit {
 public:
  explicit RateLimit(double per_second)
      : m_per_second(per_second), m_tokens(per_second) {}

  /// @return true when one more operation is allowed now.
  bool Take(TimePoint now);

 private:
  double m_per_second;
  double m_tokens;
  TimePoint m_last{};
};

/// Fixed properties of the platform.
struct PlatformOptions {
  double m_writes_per_second = 400;
  double m_reads_per_second = 2000;
  double m_weight_loads_per_second = 2;
  Duration m_list_lag = std::chrono::seconds(2);
};

/// The platform behind its HTTP interface.
class Platform {
 public:
  Platform(struct ev_loop* loop, const PlatformOptions& options);

  /// Answers one HTTP request.
  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);

 private:
  using Exchange = std::shared_ptr<net::HttpExchange>;

  void HandleTable(const Exchange& exchange);
  void HandleCommit(const Exchange& exchange, const nlohmann::json& body);
  void HandleObject(const Exchange& exchange);
  void HandleInstances(net::HttpExchange& exchange);
  void HandleControl(net::HttpExchange& exchange);
  /// Answers now, or later while the platform is slow.
  void Answer(const Exchange& exchange, int status, const nlohmann::json& body);
  void SendDelayed();
  nlohmann::json Stats() const;

  struct DelayedAnswer {
    TimePoint m_at;
    Exchange m_exchange;
    int m_status;
    nlohmann::json m_body;
  };
  struct InstanceListVersion {
    TimePoint m_at;
    nlohmann::json m_instances;
  };

  Table m_table;
  std::map<std::string, std::string> m_objects;
  std::deque<InstanceListVersion> m_lists;
  RateLimit m_write_limit;
  RateLimit m_read_limit;
  RateLimit m_weight_limit;
  Duration m_list_lag;

  bool m_outage = false;
  bool m_silent = false;
  Duration m_slow{};
  int m_lose_commit_answers = 0;
  std::deque<DelayedAnswer> m_delayed;
  net::Timer m_delay_timer;

  std::int64_t m_reads = 0;
  std::int64_t m_writes = 0;
  std::int64_t m_conflicts = 0;
  std::int64_t m_refused = 0;
  std::int64_t m_lost_answers = 0;
  std::int64_t m_list_reads = 0;
};

}  // namespace nutmeghollow::standins

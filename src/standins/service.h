/// @file
/// Stand-in of a plain service, whose calls must not run twice.
#pragma once

#include <ev.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_server.h"
#include "standins/ledger.h"

namespace nutmeghollow::standins {

/// Fixed properties of a service.
struct ServiceOptions {
  Duration m_run_time = std::chrono::milliseconds(20);
  std::string m_name;
  std::string m_ledger_file;
};

/// One server of a service behind its HTTP interface.
class Service {
 public:
  Service(struct ev_loop* loop, const ServiceOptions& options);

  /// Answers one HTTP request.
  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);

 private:
  using Exchange = std::shared_ptr<net::HttpExchange>;

  void HandleCall(const Exchange& exchange);
  void RunDue();
  void Run(const Exchange& exchange);
  void HandleStatus(net::HttpExchange& exchange, const std::string& key);
  void HandleControl(net::HttpExchange& exchange);

  struct PendingCall {
    TimePoint m_due;
    Exchange m_exchange;
  };

  ServiceOptions m_options;
  Ledger m_ledger;
  std::vector<PendingCall> m_pending;
  net::Timer m_run_timer;

  bool m_silent = false;
  bool m_leaving = false;
  bool m_refuse = false;
  int m_lose_answers = 0;  ///< Calls that run and whose answer is lost.
  int m_garble_ids = 0;
  std::int64_t m_runs = 0;
  std::int64_t m_calls = 0;
};

}  // namespace nutmeghollow::standins

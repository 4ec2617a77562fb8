/// @file
/// Stand-in for a plain service, whose calls must not run twice.
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

/// Options of a server of a service.
struct ServiceOptions {
  Duration m_run_time = std::chrono::milliseconds(20);  ///< Of a call.
  std::string m_name;         ///< Of this server, unique within the service.
  std::string m_ledger_file;  ///< Shared by the servers of the service.
};

/// One server of a service and its HTTP interface.
class Service {
 public:
  Service(struct ev_loop* loop, const ServiceOptions& options);

  /// Responds to one HTTP request.
  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);

 private:
  using Exchange = std::shared_ptr<net::HttpExchange>;

  void HandleCall(const Exchange& exchange);
  void RunDueCalls();
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

  bool m_silent = false;   ///< Responds only to /control.
  bool m_leaving = false;  ///< Reported by /health; still serves.
  bool m_refuse = false;   ///< Rejects calls: 503 with X-Not-Run.
  int m_lose_answers = 0;  ///< Responses to drop after their call ran.
  int m_garble_ids = 0;    ///< Responses to send with a wrong id.
  std::int64_t m_runs = 0;
  std::int64_t m_calls = 0;
};

}  // namespace nutmeghollow::standins

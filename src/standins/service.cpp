#include "standins/service.h"

#include <unistd.h>

#include <utility>

#include "standins/answer.h"

namespace nutmeghollow::standins {
namespace {

constexpr const char* kStatusPathPrefix = "/status/";
constexpr Duration kDueCheckInterval = std::chrono::milliseconds(2);
constexpr int kCrashExitCode = 70;

std::string IdempotencyKeyOf(const net::HttpRequest& request) {
  return net::HeaderValue(request.m_headers, "idempotency-key");
}

std::string RequestIdOf(const net::HttpRequest& request) {
  return net::HeaderValue(request.m_headers, "x-request-id");
}

}  // namespace

Service::Service(struct ev_loop* loop, const ServiceOptions& options)
    : m_options(options),
      m_ledger(options.m_ledger_file, options.m_name),
      m_run_timer(loop, [this] { RunDueCalls(); }) {}

void Service::Handle(const Exchange& exchange) {
  const std::string& path = exchange->Request().m_path;
  if (path == "/control") {
    HandleControl(*exchange);
  } else if (path == "/control/stats") {
    RespondJson(
        *exchange, 200,
        {{"runs", m_runs}, {"calls", m_calls}, {"pending", m_pending.size()}});
  } else if (m_silent) {
    return;  // The request gets no response.
  } else if (path == "/health") {
    RespondJson(*exchange, 200,
                {{"status", m_leaving ? "leaving" : "ok"},
                 {"running", m_pending.size()},
                 {"queued", 0},
                 {"age_ms", 0}});
  } else if (path.starts_with(kStatusPathPrefix)) {
    HandleStatus(*exchange, path.substr(std::string(kStatusPathPrefix).size()));
  } else {
    HandleCall(exchange);
  }
}

void Service::HandleCall(const Exchange& exchange) {
  const auto& request = exchange->Request();
  ++m_calls;
  if (m_refuse) {
    RespondJson(*exchange, 503, {{"error", "refused before it ran"}},
                {{"X-Not-Run", "1"}, {"X-Request-Id", RequestIdOf(request)}});
    return;
  }
  m_ledger.Begin(IdempotencyKeyOf(request), RequestIdOf(request));
  if (request.m_body.find(kCrashMarker) != std::string::npos) {
    _exit(kCrashExitCode);
  }
  m_pending.push_back({net::BootTime() + m_options.m_run_time, exchange});
  if (!m_run_timer.Active()) {
    m_run_timer.StartRepeating(kDueCheckInterval);
  }
}

void Service::RunDueCalls() {
  const TimePoint now = net::BootTime();
  std::vector<PendingCall> later;
  std::vector<PendingCall> due;
  for (auto& call : m_pending) {
    (call.m_due <= now ? due : later).push_back(std::move(call));
  }
  m_pending = std::move(later);
  for (const auto& call : due) {
    Run(call.m_exchange);
  }
  if (m_pending.empty()) {
    m_run_timer.Stop();
  }
}

void Service::Run(const Exchange& exchange) {
  const auto& request = exchange->Request();
  const nlohmann::json response{{"ran", IdempotencyKeyOf(request)},
                                {"path", request.m_path},
                                {"echo", request.m_body}};
  m_ledger.Run(IdempotencyKeyOf(request), RequestIdOf(request), 200,
               response.dump());
  ++m_runs;
  if (m_lose_answers > 0) {
    --m_lose_answers;
    DropResponse(*exchange);
    return;
  }
  std::string echo_id = RequestIdOf(request);
  if (m_garble_ids > 0) {
    --m_garble_ids;
    echo_id = "garbled-" + echo_id;
  }
  RespondJson(*exchange, 200, response, {{"X-Request-Id", echo_id}});
}

void Service::HandleStatus(net::HttpExchange& exchange,
                           const std::string& key) {
  const LedgerEntry entry = m_ledger.Find(key);
  switch (entry.m_state) {
    case KeyState::kNotRun:
      RespondJson(exchange, 200, {{"state", "never"}});
      break;
    case KeyState::kRunning:
      RespondJson(exchange, 200, {{"state", "running"}});
      break;
    case KeyState::kDone:
      RespondJson(exchange, 200,
                  {{"state", "done"},
                   {"status", entry.m_status},
                   {"content_type", "application/json"},
                   {"body", entry.m_body}});
      break;
  }
}

void Service::HandleControl(net::HttpExchange& exchange) {
  const auto body = ParseObject(exchange.Request().m_body);
  if (body.is_discarded()) {
    RespondJson(exchange, 400, {{"error", "no JSON object"}});
    return;
  }
  m_silent = body.value("silent", m_silent);
  m_leaving = body.value("leaving", m_leaving);
  m_refuse = body.value("refuse", m_refuse);
  m_lose_answers = body.value("lose_answers", m_lose_answers);
  m_garble_ids = body.value("garble_ids", m_garble_ids);
  if (body.contains("run_time_ms")) {
    m_options.m_run_time =
        std::chrono::milliseconds(body["run_time_ms"].get<int>());
  }
  RespondJson(exchange, 200, nlohmann::json::object());
}

}  // namespace nutmeghollow::standins

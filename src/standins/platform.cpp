#include "standins/platform.h"

#include <algorithm>

namespace nutmeghollow::standins {
namespace {

constexpr const char* kObjectPathPrefix = "/v1/objects/";
constexpr const char* kWeightPathPrefix = "/v1/weights/";
constexpr std::size_t kDefaultScanLimit = 1000;
constexpr Duration kDelayCheckInterval = std::chrono::milliseconds(5);

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

nlohmann::json Table::RowJson(const std::string& key) const {
  auto found = m_rows.find(key);
  if (found == m_rows.end()) {
    return {{"key", key}, {"value", ""}, {"version", 0}};
  }
  return {{"key", key},
          {"value", found->second.m_value},
          {"version", found->second.m_version}};
}

nlohmann::json Table::Read(const nlohmann::json& keys) const {
  auto rows = nlohmann::json::array();
  for (const auto& key : keys) {
    if (m_rows.contains(key.get<std::string>())) {
      rows.push_back(RowJson(key.get<std::string>()));
    }
  }
  return rows;
}

nlohmann::json Table::Scan(const std::string& prefix,
                           const std::string& after,
                           std::size_t limit) const {
  auto rows = nlohmann::json::array();
  for (auto row = m_rows.lower_bound(prefix); row != m_rows.end(); ++row) {
    if (!row->first.starts_with(prefix) || rows.size() >= limit) {
      break;
    }
    if (row->first > after) {
      rows.push_back(RowJson(row->first));
    }
  }
  return rows;
}

nlohmann::json Table::Commit(const nlohmann::json& preconditions,
                             const nlohmann::json& writes) {
  auto conflicting_rows = nlohmann::json::array();
  for (const auto& precondition : preconditions) {
    auto row = RowJson(precondition.at("key").get<std::string>());
    if (row["version"] != precondition.at("version")) {
      conflicting_rows.push_back(std::move(row));
    }
  }
  if (!conflicting_rows.empty()) {
    return conflicting_rows;
  }
  ++m_last_version;
  for (const auto& write : writes) {
    const auto key = write.at("key").get<std::string>();
    if (!write.contains("value") || write["value"].is_null()) {
      m_rows.erase(key);
    } else {
      m_rows[key] = {write["value"].get<std::string>(), m_last_version};
    }
  }
  return conflicting_rows;
}

bool RateLimit::TryAcquire(TimePoint now) {
  const double elapsed =
      std::chrono::duration<double>(now - m_refilled_at).count();
  m_refilled_at = now;
  m_tokens = std::min(m_per_second, m_tokens + elapsed * m_per_second);
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

Platform::Platform(struct ev_loop* loop, const PlatformOptions& options)
    : m_write_limit(options.m_writes_per_second),
      m_read_limit(options.m_reads_per_second),
      m_weight_limit(options.m_weight_loads_per_second),
      m_list_lag(options.m_list_lag),
      m_delay_timer(loop, [this] { SendDelayed(); }) {}

void Platform::Handle(const Exchange& exchange) {
  const std::string& path = exchange->Request().m_path;
  if (path == "/control") {
    HandleControl(*exchange);
  } else if (path == "/control/stats") {
    RespondJson(*exchange, 200, Stats());
  } else if (m_silent) {
    return;  // The request gets no response.
  } else if (path == "/v1/instances") {
    HandleInstances(*exchange);
  } else if (m_outage) {
    ++m_refused;
    SendResponse(exchange, 503, {{"error", "outage"}});
  } else if (path.starts_with("/v1/table/")) {
    HandleTable(exchange);
  } else if (path.starts_with(kObjectPathPrefix) ||
             path.starts_with(kWeightPathPrefix)) {
    HandleObject(exchange);
  } else {
    RespondJson(*exchange, 404, {{"error", "no such path"}});
  }
}

void Platform::HandleTable(const Exchange& exchange) {
  const std::string& path = exchange->Request().m_path;
  const auto body = ParseObject(exchange->Request().m_body);
  if (body.is_discarded()) {
    RespondJson(*exchange, 400, {{"error", "no JSON object"}});
    return;
  }
  const bool is_commit = path == "/v1/table/commit";
  RateLimit& limit = is_commit ? m_write_limit : m_read_limit;
  if (!limit.TryAcquire(net::BootTime())) {
    ++m_refused;
    SendResponse(exchange, 503, {{"error", "rate limit"}});
    return;
  }
  if (is_commit) {
    HandleCommit(exchange, body);
    return;
  }
  ++m_reads;
  if (path == "/v1/table/read") {
    SendResponse(
        exchange, 200,
        {{"rows", m_table.Read(body.value("keys", nlohmann::json::array()))}});
  } else if (path == "/v1/table/scan") {
    SendResponse(
        exchange, 200,
        {{"rows",
          m_table.Scan(body.value("prefix", ""), body.value("after", ""),
                       body.value("limit", kDefaultScanLimit))}});
  } else {
    RespondJson(*exchange, 404, {{"error", "no such operation"}});
  }
}

void Platform::HandleCommit(const Exchange& exchange,
                            const nlohmann::json& body) {
  const auto no_entries = nlohmann::json::array();
  const auto conflicting_rows =
      m_table.Commit(body.value("preconditions", no_entries),
                     body.value("writes", no_entries));
  ++m_writes;
  if (!conflicting_rows.empty()) {
    ++m_conflicts;
    SendResponse(exchange, 409, {{"rows", conflicting_rows}});
    return;
  }
  if (m_lose_commit_answers > 0) {
    --m_lose_commit_answers;
    ++m_lost_answers;
    DropResponse(*exchange);
    return;
  }
  SendResponse(exchange, 200, nlohmann::json::object());
}

void Platform::HandleObject(const Exchange& exchange) {
  const auto& request = exchange->Request();
  if (request.m_path.starts_with(kWeightPathPrefix) &&
      !m_weight_limit.TryAcquire(net::BootTime())) {
    ++m_refused;
    SendResponse(exchange, 503, {{"error", "rate limit"}});
    return;
  }
  if (request.m_method == "PUT") {
    m_objects[request.m_path] = request.m_body;
    SendResponse(exchange, 200, nlohmann::json::object());
    return;
  }
  auto found = m_objects.find(request.m_path);
  if (found == m_objects.end()) {
    SendResponse(exchange, 404, {{"error", "no such object"}});
    return;
  }
  exchange->Respond(200, {{"Content-Type", "application/octet-stream"}},
                    found->second);
}

void Platform::HandleInstances(net::HttpExchange& exchange) {
  ++m_list_reads;
  const TimePoint latest_visible = net::BootTime() - m_list_lag;
  auto instances = nlohmann::json::array();
  for (const auto& list : m_instance_lists) {
    if (list.m_set_at <= latest_visible) {
      instances = list.m_instances;
    }
  }
  RespondJson(exchange, 200, {{"instances", instances}});
}

void Platform::HandleControl(net::HttpExchange& exchange) {
  const auto body = ParseObject(exchange.Request().m_body);
  if (body.is_discarded()) {
    RespondJson(exchange, 400, {{"error", "no JSON object"}});
    return;
  }
  m_outage = body.value("outage", m_outage);
  m_silent = body.value("silent", m_silent);
  m_response_delay = std::chrono::milliseconds(
      body.value("slow_ms", Milliseconds(m_response_delay)));
  m_list_lag = std::chrono::milliseconds(
      body.value("list_lag_ms", Milliseconds(m_list_lag)));
  m_lose_commit_answers =
      body.value("lose_commit_answers", m_lose_commit_answers);
  if (body.contains("instances")) {
    m_instance_lists.push_back({net::BootTime(), body["instances"]});
  }
  RespondJson(exchange, 200, nlohmann::json::object());
}

void Platform::SendResponse(const Exchange& exchange,
                            int status,
                            const nlohmann::json& body) {
  if (m_response_delay == Duration{}) {
    RespondJson(*exchange, status, body);
    return;
  }
  m_delayed.push_back(
      {net::BootTime() + m_response_delay, exchange, status, body});
  if (!m_delay_timer.Active()) {
    m_delay_timer.StartRepeating(kDelayCheckInterval);
  }
}

void Platform::SendDelayed() {
  const TimePoint now = net::BootTime();
  while (!m_delayed.empty() && m_delayed.front().m_due <= now) {
    const DelayedResponse next = std::move(m_delayed.front());
    m_delayed.pop_front();
    RespondJson(*next.m_exchange, next.m_status, next.m_body);
  }
  if (m_delayed.empty()) {
    m_delay_timer.Stop();
  }
}

nlohmann::json Platform::Stats() const {
  return {{"reads", m_reads},           {"writes", m_writes},
          {"conflicts", m_conflicts},   {"refused", m_refused},
          {"list_reads", m_list_reads}, {"lost_answers", m_lost_answers}};
}

}  // namespace nutmeghollow::standins

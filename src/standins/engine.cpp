// HTTP interface of the stand-in engine; engine_batch.cpp has the batch.
#include "standins/engine.h"

#include <algorithm>

namespace nutmeghollow::standins {
namespace {

constexpr const char* kStreamPathPrefix = "/v1/streams/";
constexpr Duration kExpiryCheckInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMaxCacheEvents = 10000;
/// Every 11th cache event is lost.
constexpr std::uint64_t kCacheEventLossInterval = 11;

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

template <typename T>
void ReadIfPresent(const nlohmann::json& body, const char* name, T& value) {
  if (body.contains(name)) {
    value = body[name].get<T>();
  }
}

}  // namespace

Engine::Engine(struct ev_loop* loop, const EngineOptions& options)
    : m_loop(loop),
      m_options(options),
      m_cache(options.m_cache_tokens),
      m_record(options.m_record_file),
      m_decode_timer(loop, [this] { Decode(); }),
      m_sample_timer(loop,
                     [this] {
                       m_sample_running = m_running;
                       m_sample_queued = static_cast<int>(m_queue.size());
                       m_sampled_at = net::BootTime();
                     }),
      m_expiry_timer(loop, [this] { RemoveExpired(); }) {
  m_sampled_at = net::BootTime();
  m_sample_timer.StartRepeating(options.m_load_sample_interval);
  m_expiry_timer.StartRepeating(kExpiryCheckInterval);
  m_cache.OnEvent([this](bool stored, std::uint64_t prefix) {
    AddCacheEvent(stored, prefix);
  });
}

void Engine::Handle(const Exchange& exchange) {
  const auto& request = exchange->Request();
  const std::string& path = request.m_path;
  if (path == "/control") {
    HandleControl(*exchange);
  } else if (path == "/control/stats") {
    RespondJson(*exchange, 200, Stats());
  } else if (m_faults.m_silent) {
    return;  // The request gets no response.
  } else if (path == "/v1/chat/completions" && request.m_method == "POST") {
    HandleChat(exchange);
  } else if (path.starts_with(kStreamPathPrefix)) {
    HandleStream(exchange, path.substr(std::string(kStreamPathPrefix).size()));
  } else if (path == "/health") {
    HandleHealth(*exchange);
  } else if (path == "/v1/cache/events") {
    HandleCacheEvents(*exchange);
  } else if (path == "/v1/orders" && request.m_method == "POST") {
    HandleOrder(*exchange);
  } else if (path == "/v1/state") {
    RespondJson(*exchange, 200, {{"state", m_state}, {"fencing", m_fencing}});
  } else {
    RespondJson(*exchange, 404, {{"error", "no such path"}});
  }
}

void Engine::HandleChat(const Exchange& exchange) {
  const bool queue_full =
      static_cast<int>(m_queue.size()) >= m_options.m_queue_limit;
  if (m_faults.m_refuse || queue_full) {
    Refuse(*exchange);
    return;
  }
  const auto body = ParseObject(exchange->Request().m_body);
  if (body.is_discarded() || ParseMessages(body).empty()) {
    RespondJson(*exchange, 400, {{"error", "a body with messages is needed"}});
    return;
  }
  auto stream = MakeStream(exchange, body);
  if (m_streams.contains(stream->m_id)) {
    RespondJson(*exchange, 409, {{"error", "this request id is in use"}});
    return;
  }
  if (m_faults.m_leaving) {
    m_last_chat_after_leaving = net::BootTime() - m_leaving_since;
  }
  m_streams[stream->m_id] = stream;
  Attach(stream, exchange);
  m_queue.push_back(stream);
  StartQueued();
}

void Engine::Refuse(net::HttpExchange& exchange) {
  const auto id =
      net::HeaderValue(exchange.Request().m_headers, "x-request-id");
  RespondJson(exchange, 503, {{"error", "refused before it ran"}},
              {{"X-Not-Run", "1"}, {"Retry-After", "1"}, {"X-Request-Id", id}});
}

Engine::StreamPtr Engine::MakeStream(const Exchange& exchange,
                                     const nlohmann::json& body) {
  const auto& headers = exchange->Request().m_headers;
  auto stream = std::make_shared<EngineStream>();
  stream->m_id = net::HeaderValue(headers, "x-request-id");
  if (stream->m_id.empty()) {
    stream->m_id = "unnamed-" + std::to_string(m_started + m_queue.size());
  }
  stream->m_echo_id = stream->m_id;
  const auto priority = net::HeaderValue(headers, "x-priority");
  stream->m_priority = std::atoi(priority.c_str());
  stream->m_model = body.value("model", "");
  stream->m_streamed = body.value("stream", false);
  stream->m_messages = ParseMessages(body);
  stream->m_tokens =
      AnswerTokens(stream->m_model, stream->m_messages, AnswerTokenLimit(body));
  stream->m_crash = std::any_of(
      stream->m_messages.begin(), stream->m_messages.end(),
      [](const ChatMessage& message) {
        return message.m_content.find(kCrashMarker) != std::string::npos;
      });
  ApplyResponseFaults(*stream);
  return stream;
}

void Engine::ApplyResponseFaults(EngineStream& stream) {
  if (m_faults.m_garble_ids > 0) {
    --m_faults.m_garble_ids;
    stream.m_echo_id = "garbled-" + stream.m_id;
  }
  if (m_faults.m_cross_answers > 0 && m_last_answered != nullptr) {
    --m_faults.m_cross_answers;
    stream.m_echo_id = m_last_answered->m_echo_id;
    stream.m_tokens = m_last_answered->m_tokens;
  }
  if (m_faults.m_break_streams > 0 && stream.m_streamed) {
    --m_faults.m_break_streams;
    stream.m_break_after = m_faults.m_break_after;
  }
  if (m_faults.m_stall_streams > 0 && stream.m_streamed) {
    --m_faults.m_stall_streams;
    stream.m_break_after = m_faults.m_break_after;
    stream.m_stall = true;
  }
}

void Engine::HandleStream(const Exchange& exchange, const std::string& id) {
  auto found = m_streams.find(id);
  if (found == m_streams.end()) {
    RespondJson(*exchange, 404, {{"error", "the stream is not kept"}});
    return;
  }
  const StreamPtr stream = found->second;
  if (exchange->Request().m_method == "DELETE") {
    ++m_cancelled;
    Remove(id);
    RespondJson(*exchange, 200, nlohmann::json::object());
    return;
  }
  const auto offset = QueryNumber(exchange->Request(), "offset", 0);
  if (offset < 0 ||
      offset > static_cast<std::int64_t>(stream->m_output.size())) {
    RespondJson(*exchange, 416, {{"error", "the offset is not reached yet"}});
    return;
  }
  stream->m_sent = static_cast<std::size_t>(offset);
  Attach(stream, exchange);
  SendOutput(*stream);
}

void Engine::HandleHealth(net::HttpExchange& exchange) {
  RespondJson(exchange, 200,
              {{"status", m_faults.m_leaving ? "leaving" : "ok"},
               {"running", m_sample_running},
               {"queued", m_sample_queued},
               {"age_ms", Milliseconds(net::BootTime() - m_sampled_at)}});
}

void Engine::AddCacheEvent(bool stored, std::uint64_t prefix) {
  ++m_last_event_seq;
  if (m_last_event_seq % kCacheEventLossInterval == 0) {
    return;
  }
  m_events.push_back({m_last_event_seq, net::BootTime(), stored, prefix});
  if (m_events.size() > kMaxCacheEvents) {
    m_events.pop_front();
  }
}

void Engine::HandleCacheEvents(net::HttpExchange& exchange) {
  constexpr std::size_t kMaxEventsPerResponse = 500;
  const auto after =
      static_cast<std::uint64_t>(QueryNumber(exchange.Request(), "after", 0));
  const TimePoint latest_visible =
      net::BootTime() - m_options.m_cache_event_delay;
  auto events = nlohmann::json::array();
  for (const auto& event : m_events) {
    if (event.m_seq <= after || event.m_created_at > latest_visible ||
        events.size() >= kMaxEventsPerResponse) {
      continue;
    }
    events.push_back({{"seq", event.m_seq},
                      {"kind", event.m_stored ? "stored" : "evicted"},
                      {"prefix", event.m_prefix}});
  }
  RespondJson(exchange, 200, {{"events", events}});
}

void Engine::HandleOrder(net::HttpExchange& exchange) {
  const auto body = ParseObject(exchange.Request().m_body);
  if (body.is_discarded() || !body.contains("wanted")) {
    RespondJson(exchange, 400, {{"error", "an order states what is wanted"}});
    return;
  }
  const std::uint64_t fencing = body.value("fencing", std::uint64_t{0});
  const bool refused = m_options.m_enforce_fencing && fencing < m_fencing;
  m_orders.push_back({{"fencing", fencing}, {"refused", refused}});
  m_record.Append(
      nlohmann::json{{"order", fencing}, {"refused", refused}}.dump());
  if (refused) {
    RespondJson(exchange, 409, {{"fencing", m_fencing}});
    return;
  }
  m_fencing = fencing;
  m_state = body["wanted"];
  RespondJson(exchange, 200, {{"state", m_state}, {"fencing", m_fencing}});
}

void Engine::HandleControl(net::HttpExchange& exchange) {
  const auto body = ParseObject(exchange.Request().m_body);
  if (body.is_discarded()) {
    RespondJson(exchange, 400, {{"error", "no JSON object"}});
    return;
  }
  const bool was_leaving = m_faults.m_leaving;
  ReadIfPresent(body, "slow_factor", m_faults.m_slow_factor);
  ReadIfPresent(body, "silent", m_faults.m_silent);
  ReadIfPresent(body, "leaving", m_faults.m_leaving);
  ReadIfPresent(body, "refuse", m_faults.m_refuse);
  ReadIfPresent(body, "garble_ids", m_faults.m_garble_ids);
  ReadIfPresent(body, "cross_answers", m_faults.m_cross_answers);
  ReadIfPresent(body, "break_streams", m_faults.m_break_streams);
  ReadIfPresent(body, "break_after", m_faults.m_break_after);
  ReadIfPresent(body, "stall_streams", m_faults.m_stall_streams);
  if (m_faults.m_leaving && !was_leaving) {
    m_leaving_since = net::BootTime();
    m_last_chat_after_leaving = Duration{};
  }
  if (body.value("clear_cache", false)) {
    m_cache.Clear();
  }
  RespondJson(exchange, 200, nlohmann::json::object());
}

nlohmann::json Engine::Stats() const {
  return {
      {"running", m_running},
      {"queued", m_queue.size()},
      {"peak_running", m_peak_running},
      {"started", m_started},
      {"finished", m_finished},
      {"cancelled", m_cancelled},
      {"kept", m_streams.size()},
      {"prompt_tokens", m_prompt_tokens},
      {"cached_tokens", m_cached_tokens},
      {"generated_tokens", m_generated_tokens},
      {"cache_used", m_cache.UsedTokens()},
      {"orders", m_orders},
      {"last_work_after_leaving_ms", Milliseconds(m_last_chat_after_leaving)}};
}

}  // namespace nutmeghollow::standins

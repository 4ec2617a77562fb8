/// @file
/// Stand-in of a model engine: continuous batching, a prefix cache in limited
/// memory, priorities, resumable streams, and switches for faults.
#pragma once

#include <ev.h>

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_server.h"
#include "standins/answer.h"
#include "standins/prefix_cache.h"
#include "standins/program.h"

namespace nutmeghollow::standins {

/// Fixed properties of an engine.
struct EngineOptions {
  double m_token_rate = 120.0;    ///< Tokens a second of a lone stream.
  double m_batch_half = 16.0;     ///< Batch at which that rate has halved.
  double m_prefill_rate = 20000;  ///< Uncached prompt tokens a second.
  int m_batch_limit = 32;         ///< Streams in the batch.
  int m_queue_limit = 256;        ///< Waiting streams; above, 503.
  std::int64_t m_cache_tokens = 200000;
  Duration m_health_period = std::chrono::milliseconds(500);
  Duration m_event_delay = std::chrono::milliseconds(700);
  Duration m_keep_detached = std::chrono::seconds(5);
  bool m_enforce_fencing = true;
  std::string m_record_file;
};

/// Faults that POST /control sets.
struct EngineFaults {
  double m_slow_factor = 1.0;
  bool m_silent = false;           ///< Answers nothing at all.
  bool m_leaving = false;          ///< Says so in its health; still serves.
  bool m_refuse = false;           ///< 503 with X-Not-Run.
  int m_garble_ids = 0;            ///< Answers that carry a wrong id.
  int m_cross_answers = 0;         ///< Answers replaced by an earlier one.
  int m_break_streams = 0;         ///< Streams to break...
  std::int64_t m_break_after = 0;  ///< ...once this many bytes were sent.
  int m_stall_streams = 0;         ///< Streams that go silent after a break.
};

/// One request in the engine.
struct EngineStream {
  std::string m_id;       ///< X-Request-Id of the request.
  std::string m_echo_id;  ///< X-Request-Id of the answer.
  std::string m_model;
  bool m_streamed = false;
  bool m_crash = false;
  int m_priority = 0;
  std::vector<ChatMessage> m_messages;
  std::vector<std::string> m_tokens;
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_cached_tokens = 0;
  std::size_t m_emitted = 0;  ///< Tokens generated so far.
  double m_progress = 0.0;    ///< Fraction of the next token.
  bool m_running = false;
  bool m_decoding = false;
  bool m_done = false;
  std::string m_output;  ///< SSE bytes so far.
  std::size_t m_sent = 0;
  std::int64_t m_break_after = -1;
  bool m_stall = false;
  std::shared_ptr<net::HttpExchange> m_exchange;  ///< Null while detached.
  std::unique_ptr<net::Timer> m_prefill;
  TimePoint m_expires_at{};  ///< When it is removed, unless attached.
};

/// The engine behind its HTTP interface.
class Engine {
 public:
  Engine(struct ev_loop* loop, const EngineOptions& options);

  /// Answers one HTTP request.
  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);

 private:
  using Exchange = std::shared_ptr<net::HttpExchange>;
  using StreamPtr = std::shared_ptr<EngineStream>;

  // Chat requests.
  void HandleChat(const Exchange& exchange);
  void Refuse(net::HttpExchange& exchange);
  StreamPtr MakeStream(const Exchange& exchange, const nlohmann::json& body);
  void ApplyAnswerFaults(EngineStream& stream);
  void Attach(const StreamPtr& stream, const Exchange& exchange);
  void Detach(const std::string& id);
  void HandleStream(const Exchange& exchange, const std::string& id);

  // Batch.
  void StartQueued();
  void StartStream(const StreamPtr& stream);
  void FinishPrefill(const std::string& id);
  void Decode();
  void EmitToken(EngineStream& stream);
  void Finish(const StreamPtr& stream);
  void Remove(const std::string& id);
  void RemoveExpired();
  void SendOutput(EngineStream& stream);
  int Running() const { return m_running; }

  // Health, cache events, orders, switches.
  void HandleHealth(net::HttpExchange& exchange);
  void HandleCacheEvents(net::HttpExchange& exchange);
  void HandleOrder(net::HttpExchange& exchange);
  void HandleControl(net::HttpExchange& exchange);
  nlohmann::json Stats() const;
  void AddCacheEvent(bool stored, std::uint64_t prefix);

  struct CacheEvent {
    std::uint64_t m_seq;
    TimePoint m_at;
    bool m_stored;
    std::uint64_t m_prefix;
  };

  struct ev_loop* m_loop;
  EngineOptions m_options;
  EngineFaults m_faults;
  PrefixCache m_cache;
  RecordFile m_record;
  std::map<std::string, StreamPtr> m_streams;
  std::deque<StreamPtr> m_queue;
  StreamPtr m_last_answered;
  int m_running = 0;
  net::Timer m_decode_timer;
  net::Timer m_health_timer;
  net::Timer m_expiry_timer;
  TimePoint m_last_decode{};

  int m_sample_running = 0;
  int m_sample_queued = 0;
  TimePoint m_sample_at{};
  std::deque<CacheEvent> m_events;
  std::uint64_t m_last_event = 0;

  nlohmann::json m_state = nlohmann::json::object();
  std::uint64_t m_fencing = 0;
  nlohmann::json m_orders = nlohmann::json::array();

  std::int64_t m_started = 0;
  std::int64_t m_finished = 0;
  std::int64_t m_cancelled = 0;
  int m_peak_running = 0;
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_generated_tokens = 0;
  std::int64_t m_cached_tokens = 0;
  TimePoint m_leaving_since{};
  Duration m_last_work_after_leaving{};
};

}  // namespace nutmeghollow::standins

/// @file
/// Stand-in for a model engine: continuous batching, a prefix cache of bounded
/// size, request priorities, resumable streams and fault injection.
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

/// Options of an engine, fixed while it runs.
struct EngineOptions {
  double m_token_rate = 120.0;      ///< Tokens per second of a single stream.
  double m_half_rate_batch = 16.0;  ///< Batch size that halves this rate.
  double m_prefill_rate = 20000;    ///< Uncached prompt tokens per second.
  int m_batch_limit = 32;           ///< Maximum batch size.
  int m_queue_limit = 256;          ///< Maximum queue length; then 503.
  std::int64_t m_cache_tokens = 200000;  ///< Capacity of the prefix cache.
  /// Time between two samples of the load that /health reports.
  Duration m_load_sample_interval = std::chrono::milliseconds(500);
  /// Time until a cache event becomes visible to readers.
  Duration m_cache_event_delay = std::chrono::milliseconds(700);
  /// How long a stream without a connection is retained for a resume.
  Duration m_detached_ttl = std::chrono::seconds(5);
  bool m_enforce_fencing = true;  ///< Reject orders with an old fencing number.
  std::string m_record_file;      ///< Gets a line per run and order, if set.
};

/// Injected faults, set by POST /control.
struct EngineFaults {
  double m_slow_factor = 1.0;      ///< Multiplies prefill and decoding times.
  bool m_silent = false;           ///< Responds only to /control.
  bool m_leaving = false;          ///< Reported by /health; still serves.
  bool m_refuse = false;           ///< Rejects chats: 503 with X-Not-Run.
  int m_garble_ids = 0;            ///< Responses to send with a wrong id.
  int m_cross_answers = 0;         ///< Answers to replace by an earlier one.
  int m_break_streams = 0;         ///< Streams to abort at m_break_after.
  std::int64_t m_break_after = 0;  ///< Bytes sent before a break or stall.
  int m_stall_streams = 0;         ///< Streams to stall at m_break_after.
};

/// One chat request and its answer.
struct EngineStream {
  std::string m_id;       ///< X-Request-Id of the request.
  std::string m_echo_id;  ///< X-Request-Id of the response.
  std::string m_model;
  bool m_streamed = false;  ///< The response is SSE.
  bool m_crash = false;     ///< The messages contain kCrashMarker.
  int m_priority = 0;       ///< Lower values start first.
  std::vector<ChatMessage> m_messages;
  std::vector<std::string> m_tokens;  ///< The answer.
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_cached_tokens = 0;
  std::size_t m_emitted_tokens = 0;  ///< Generated so far.
  double m_progress = 0.0;           ///< Generated fraction of the next token.
  bool m_running = false;            ///< In the batch.
  bool m_decoding = false;           ///< Prefill is complete.
  bool m_done = false;               ///< All tokens are generated.
  std::string m_output;              ///< SSE bytes generated so far.
  std::size_t m_sent = 0;  ///< Offset in m_output of the next byte to send.
  std::int64_t m_break_after = -1;  ///< Bytes before the break; -1 for none.
  bool m_stall = false;  ///< Break by a stall, with the connection left open.
  std::shared_ptr<net::HttpExchange> m_exchange;  ///< Null while detached.
  std::unique_ptr<net::Timer> m_prefill_timer;
  TimePoint m_expires_at{};  ///< Time of removal while detached.
};

/// The engine and its HTTP interface.
class Engine {
 public:
  Engine(struct ev_loop* loop, const EngineOptions& options);

  /// Responds to one HTTP request.
  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);

 private:
  using Exchange = std::shared_ptr<net::HttpExchange>;
  using StreamPtr = std::shared_ptr<EngineStream>;

  // Chat requests and their streams.
  void HandleChat(const Exchange& exchange);
  void Refuse(net::HttpExchange& exchange);
  StreamPtr MakeStream(const Exchange& exchange, const nlohmann::json& body);
  void ApplyResponseFaults(EngineStream& stream);
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

  // Health, cache events, orders, fault injection.
  void HandleHealth(net::HttpExchange& exchange);
  void HandleCacheEvents(net::HttpExchange& exchange);
  void HandleOrder(net::HttpExchange& exchange);
  void HandleControl(net::HttpExchange& exchange);
  nlohmann::json Stats() const;
  void AddCacheEvent(bool stored, std::uint64_t prefix);

  struct CacheEvent {
    std::uint64_t m_seq;
    TimePoint m_created_at;
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
  net::Timer m_sample_timer;
  net::Timer m_expiry_timer;
  TimePoint m_last_decode{};

  int m_sample_running = 0;
  int m_sample_queued = 0;
  TimePoint m_sampled_at{};
  std::deque<CacheEvent> m_events;
  std::uint64_t m_last_event_seq = 0;

  nlohmann::json m_state = nlohmann::json::object();
  std::uint64_t m_fencing = 0;  ///< Of the latest accepted order.
  nlohmann::json m_orders = nlohmann::json::array();

  std::int64_t m_started = 0;
  std::int64_t m_finished = 0;
  std::int64_t m_cancelled = 0;
  int m_peak_running = 0;
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_generated_tokens = 0;
  std::int64_t m_cached_tokens = 0;
  TimePoint m_leaving_since{};
  /// From m_leaving_since to the latest chat accepted while leaving.
  Duration m_last_chat_after_leaving{};
};

}  // namespace nutmeghollow::standins

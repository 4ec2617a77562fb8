// Batch of the stand-in engine: prefill, decoding, and the life cycle of
// streams.
#include <unistd.h>

#include <algorithm>

#include "standins/engine.h"

namespace nutmeghollow::standins {
namespace {

constexpr Duration kDecodeInterval = std::chrono::milliseconds(4);
constexpr int kCrashExitCode = 70;

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

std::string SseChunk(const EngineStream& stream,
                     const nlohmann::json& choices,
                     const nlohmann::json& usage) {
  nlohmann::json chunk{{"id", "chatcmpl-" + stream.m_echo_id},
                       {"object", "chat.completion.chunk"},
                       {"created", 0},
                       {"model", stream.m_model},
                       {"choices", choices}};
  if (!usage.is_null()) {
    chunk["usage"] = usage;
  }
  return "data: " + chunk.dump() + "\n\n";
}

nlohmann::json UsageJson(const EngineStream& stream) {
  const auto completion_tokens =
      static_cast<std::int64_t>(stream.m_tokens.size());
  return {
      {"prompt_tokens", stream.m_prompt_tokens},
      {"completion_tokens", completion_tokens},
      {"total_tokens", stream.m_prompt_tokens + completion_tokens},
      {"prompt_tokens_details", {{"cached_tokens", stream.m_cached_tokens}}}};
}

std::string CompletionBody(const EngineStream& stream) {
  std::string text;
  for (const auto& token : stream.m_tokens) {
    text += token;
  }
  const nlohmann::json choice{
      {"index", 0},
      {"message", {{"role", "assistant"}, {"content", text}}},
      {"finish_reason", "stop"}};
  return nlohmann::json{{"id", "chatcmpl-" + stream.m_echo_id},
                        {"object", "chat.completion"},
                        {"created", 0},
                        {"model", stream.m_model},
                        {"choices", nlohmann::json::array({choice})},
                        {"usage", UsageJson(stream)}}
      .dump();
}

std::vector<std::int64_t> MessageTokens(
    const std::vector<ChatMessage>& messages) {
  std::vector<std::int64_t> tokens;
  tokens.reserve(messages.size());
  for (const auto& message : messages) {
    tokens.push_back(CountTokens(message.m_content));
  }
  return tokens;
}

}  // namespace

void Engine::StartQueued() {
  while (m_running < m_options.m_batch_limit && !m_queue.empty()) {
    auto next =
        std::min_element(m_queue.begin(), m_queue.end(),
                         [](const StreamPtr& left, const StreamPtr& right) {
                           return left->m_priority < right->m_priority;
                         });
    const StreamPtr stream = *next;
    m_queue.erase(next);
    StartStream(stream);
  }
}

void Engine::StartStream(const StreamPtr& stream) {
  const auto hashes = PrefixHashes(stream->m_model, stream->m_messages);
  m_record.Append(nlohmann::json{{"run", stream->m_id},
                                 {"prompt", hashes.back()},
                                 {"crash", stream->m_crash}}
                      .dump());
  const auto tokens = MessageTokens(stream->m_messages);
  const auto cached_prefixes = m_cache.Match(hashes);
  for (std::size_t i = 0; i < tokens.size(); ++i) {
    stream->m_prompt_tokens += tokens[i];
    stream->m_cached_tokens += i < cached_prefixes ? tokens[i] : 0;
  }
  m_cache.Store(hashes, tokens);
  m_prompt_tokens += stream->m_prompt_tokens;
  m_cached_tokens += stream->m_cached_tokens;
  stream->m_running = true;
  ++m_started;
  ++m_running;
  m_peak_running = std::max(m_peak_running, m_running);

  const auto uncached =
      static_cast<double>(stream->m_prompt_tokens - stream->m_cached_tokens);
  const double prefill =
      m_faults.m_slow_factor *
      (uncached / m_options.m_prefill_rate + 1.0 / m_options.m_token_rate);
  stream->m_prefill_timer = std::make_unique<net::Timer>(
      m_loop, [this, id = stream->m_id] { FinishPrefill(id); });
  stream->m_prefill_timer->Start(Seconds(prefill));
}

void Engine::FinishPrefill(const std::string& id) {
  const StreamPtr stream = m_streams.at(id);
  if (stream->m_crash) {
    _exit(kCrashExitCode);
  }
  stream->m_decoding = true;
  EmitToken(*stream);
  if (stream->m_emitted_tokens == stream->m_tokens.size()) {
    Finish(stream);
    return;
  }
  SendOutput(*stream);
  if (!m_decode_timer.Active()) {
    m_last_decode = net::BootTime();
    m_decode_timer.StartRepeating(kDecodeInterval);
  }
}

void Engine::Decode() {
  const TimePoint now = net::BootTime();
  const double elapsed =
      std::chrono::duration<double>(now - m_last_decode).count();
  m_last_decode = now;
  const double rate = m_options.m_token_rate /
                      (1.0 + m_running / m_options.m_half_rate_batch) /
                      m_faults.m_slow_factor;
  std::vector<StreamPtr> decoding;
  for (const auto& [id, stream] : m_streams) {
    if (stream->m_decoding && !stream->m_done) {
      decoding.push_back(stream);
    }
  }
  for (const auto& stream : decoding) {
    stream->m_progress += rate * elapsed;
    while (stream->m_progress >= 1.0 &&
           stream->m_emitted_tokens < stream->m_tokens.size()) {
      stream->m_progress -= 1.0;
      EmitToken(*stream);
    }
    if (stream->m_emitted_tokens == stream->m_tokens.size()) {
      Finish(stream);
    } else {
      SendOutput(*stream);
    }
  }
  if (decoding.empty()) {
    m_decode_timer.Stop();
  }
}

void Engine::EmitToken(EngineStream& stream) {
  ++m_generated_tokens;
  const std::string& token = stream.m_tokens[stream.m_emitted_tokens++];
  const nlohmann::json choice{{"index", 0},
                              {"delta", {{"content", token}}},
                              {"finish_reason", nullptr}};
  stream.m_output += SseChunk(stream, nlohmann::json::array({choice}), nullptr);
}

void Engine::Finish(const StreamPtr& stream) {
  stream->m_done = true;
  stream->m_running = false;
  --m_running;
  ++m_finished;
  const nlohmann::json choice{{"index", 0},
                              {"delta", nlohmann::json::object()},
                              {"finish_reason", "stop"}};
  stream->m_output +=
      SseChunk(*stream, nlohmann::json::array({choice}), UsageJson(*stream));
  stream->m_output += "data: [DONE]\n\n";
  // The next request of this chat has this answer in its history.
  auto messages = stream->m_messages;
  std::string text;
  for (const auto& token : stream->m_tokens) {
    text += token;
  }
  messages.push_back({"assistant", text});
  m_cache.Store(PrefixHashes(stream->m_model, messages),
                MessageTokens(messages));
  m_last_answered = stream;
  SendOutput(*stream);
  stream->m_expires_at = net::BootTime() + m_options.m_detached_ttl;
  StartQueued();
}

void Engine::SendOutput(EngineStream& stream) {
  if (stream.m_exchange == nullptr) {
    return;
  }
  const auto exchange = stream.m_exchange;
  if (!stream.m_streamed) {
    if (stream.m_done) {
      stream.m_exchange.reset();
      exchange->Respond(200,
                        {{"Content-Type", "application/json"},
                         {"X-Request-Id", stream.m_echo_id}},
                        CompletionBody(stream));
    }
    return;
  }
  std::size_t end = stream.m_output.size();
  const bool break_now = stream.m_break_after >= 0 &&
                         end >= static_cast<std::size_t>(stream.m_break_after);
  if (break_now) {
    end =
        std::max(stream.m_sent, static_cast<std::size_t>(stream.m_break_after));
  }
  exchange->Write(std::string_view(stream.m_output)
                      .substr(stream.m_sent, end - stream.m_sent));
  stream.m_sent = end;
  if (break_now) {
    stream.m_break_after = -1;
    stream.m_expires_at = net::BootTime() + m_options.m_detached_ttl;
    stream.m_exchange.reset();
    if (!stream.m_stall) {
      exchange->AbortStream();
    }
  } else if (stream.m_done) {
    stream.m_exchange.reset();
    exchange->EndStream();
  }
}

void Engine::Attach(const StreamPtr& stream, const Exchange& exchange) {
  if (stream->m_exchange != nullptr) {
    stream->m_exchange->AbortStream();
  }
  stream->m_exchange = exchange;
  if (stream->m_streamed) {
    exchange->BeginStream(200, {{"Content-Type", "text/event-stream"},
                                {"Cache-Control", "no-cache"},
                                {"X-Request-Id", stream->m_echo_id}});
  }
  exchange->OnDisconnect([this, id = stream->m_id, closed = exchange.get()] {
    auto found = m_streams.find(id);
    if (found != m_streams.end() && found->second->m_exchange.get() == closed) {
      Detach(id);
    }
  });
}

void Engine::Detach(const std::string& id) {
  const StreamPtr stream = m_streams.at(id);
  stream->m_exchange.reset();
  stream->m_expires_at = net::BootTime() + m_options.m_detached_ttl;
}

void Engine::RemoveExpired() {
  const TimePoint now = net::BootTime();
  std::vector<std::string> expired;
  for (const auto& [id, stream] : m_streams) {
    if (stream->m_exchange == nullptr && stream->m_expires_at <= now) {
      expired.push_back(id);
    }
  }
  for (const auto& id : expired) {
    Remove(id);
  }
}

void Engine::Remove(const std::string& id) {
  auto found = m_streams.find(id);
  if (found == m_streams.end()) {
    return;
  }
  const StreamPtr stream = found->second;
  m_streams.erase(found);
  std::erase(m_queue, stream);
  if (stream->m_running) {
    stream->m_running = false;
    --m_running;
  }
  if (stream->m_exchange != nullptr) {
    const auto exchange = std::move(stream->m_exchange);
    stream->m_exchange.reset();
    if (stream->m_streamed) {
      exchange->AbortStream();
    }
  }
  StartQueued();
}

}  // namespace nutmeghollow::standins

/// @file
/// Reads answers to chat calls, streamed or whole, and keeps what counts.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace nutmeghollow::load {

/// Collects one answer.
class AnswerReader {
 public:
  /// Adds bytes of an event stream.
  void AddStreamBytes(std::string_view data);
  /// Reads a whole completion. @return false when it is malformed.
  bool ReadWhole(const std::string& body);

  const std::string& Text() const { return m_text; }
  /// @return true once the end marker of the stream arrived.
  bool Ended() const { return m_ended; }
  /// @return true when an event of the stream was malformed or an error.
  bool Broken() const { return m_broken; }
  std::int64_t PromptTokens() const { return m_prompt_tokens; }
  std::int64_t CachedTokens() const { return m_cached_tokens; }

 private:
  void ReadEvent(const std::string& event);
  void ReadUsage(const nlohmann::json& answer);

  std::string m_unread;
  std::string m_text;
  bool m_ended = false;
  bool m_broken = false;
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_cached_tokens = 0;
};

}  // namespace nutmeghollow::load

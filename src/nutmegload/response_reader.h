/// @file
/// Parses responses to chat calls, streamed or not, and keeps their text and
/// token counts.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace nutmeghollow::load {

/// Parses one response.
class ResponseReader {
 public:
  /// Parses the next bytes of an event stream.
  void AddStreamBytes(std::string_view data);
  /// Parses a response that is not streamed.
  /// @return false when it is malformed.
  bool ParseCompletion(const std::string& body);

  const std::string& Text() const { return m_text; }
  /// @return true once the end marker of the stream was received.
  bool Ended() const { return m_ended; }
  /// @return true when an event of the stream was malformed, contained an error
  /// or followed the end marker.
  bool HasError() const { return m_has_error; }
  std::int64_t PromptTokens() const { return m_prompt_tokens; }
  std::int64_t CachedTokens() const { return m_cached_tokens; }

 private:
  void ParseEvent(const std::string& event);
  void ParseUsage(const nlohmann::json& response);

  std::string m_buffered;
  std::string m_text;
  bool m_ended = false;
  bool m_has_error = false;
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_cached_tokens = 0;
};

}  // namespace nutmeghollow::load

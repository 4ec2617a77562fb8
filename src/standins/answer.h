/// @file
/// The answer that a stand-in engine gives: a function of model and messages.
///
/// Load generators compute the same answer and compare every byte.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace nutmeghollow::standins {

/// One message of a chat.
struct ChatMessage {
  std::string m_role;
  std::string m_content;
};

/// A message that contains this text ends every engine that runs it.
inline constexpr const char* kCrashMarker = "[[crash-upstream]]";

/// Reads the messages of a chat completions body. Content may be a text or a
/// list of text parts.
/// @return no message when the body holds none.
std::vector<ChatMessage> ParseMessages(const nlohmann::json& body);

/// @return the limit on answer tokens that a body sets, or 0.
int AnswerTokenLimit(const nlohmann::json& body);

/// @return tokens that a text takes in a prompt.
std::int64_t CountTokens(const std::string& text);

/// @return tokens of all messages together.
std::int64_t CountTokens(const std::vector<ChatMessage>& messages);

/// @param limit number of tokens, or 0 to have it follow from the messages.
/// @return the answer, one text per token.
std::vector<std::string> AnswerTokens(const std::string& model,
                                      const std::vector<ChatMessage>& messages,
                                      int limit);

/// @return the answer as one text.
std::string AnswerText(const std::string& model,
                       const std::vector<ChatMessage>& messages,
                       int limit);

/// @return a hash of each prefix of the messages: entry i covers 0 to i.
std::vector<std::uint64_t> PrefixHashes(
    const std::string& model,
    const std::vector<ChatMessage>& messages);

}  // namespace nutmeghollow::standins

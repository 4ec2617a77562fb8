/// @file
/// Chat messages and the answer of a stand-in engine, which depends only on the
/// model and the messages.
///
/// Load generators compute the same answer and compare every byte.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace nutmeghollow::standins {

/// One message of a chat completions request.
struct ChatMessage {
  std::string m_role;
  std::string m_content;
};

/// Crashes each stand-in engine or service that runs a request containing it.
inline constexpr const char* kCrashMarker = "[[crash-upstream]]";

/// Parses the messages of a chat completions body. The content of a message is
/// a string or a list of text parts.
/// @return the messages, empty when the body has none.
std::vector<ChatMessage> ParseMessages(const nlohmann::json& body);

/// @return the maximum number of answer tokens set in a body, 0 when unset.
int AnswerTokenLimit(const nlohmann::json& body);

/// @return the number of tokens of a text.
std::int64_t CountTokens(const std::string& text);

/// @return the total number of tokens of all messages.
std::int64_t CountTokens(const std::vector<ChatMessage>& messages);

/// @param limit number of tokens, or 0 to derive it from the messages.
/// @return the answer, one string per token.
std::vector<std::string> AnswerTokens(const std::string& model,
                                      const std::vector<ChatMessage>& messages,
                                      int limit);

/// @param limit as for AnswerTokens().
/// @return the answer as one string.
std::string AnswerText(const std::string& model,
                       const std::vector<ChatMessage>& messages,
                       int limit);

/// @return a hash of each prefix of the messages: entry i covers the model and
/// messages 0 to i.
std::vector<std::uint64_t> PrefixHashes(
    const std::string& model,
    const std::vector<ChatMessage>& messages);

}  // namespace nutmeghollow::standins

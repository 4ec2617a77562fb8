#include "standins/answer.h"

#include <xxhash.h>

namespace nutmeghollow::standins {
namespace {

constexpr int kBytesPerToken = 4;
constexpr int kMinAnswerTokens = 24;
constexpr int kAnswerTokensSpread = 40;

std::uint64_t Hash(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string ContentText(const nlohmann::json& content) {
  if (content.is_string()) {
    return content.get<std::string>();
  }
  std::string text;
  if (content.is_array()) {
    for (const auto& part : content) {
      if (part.is_object()) {
        text += part.value("text", "");
      }
    }
  }
  return text;
}

std::string TokenText(std::uint64_t bits) {
  std::string token(kBytesPerToken, ' ');
  for (int i = 0; i + 1 < kBytesPerToken; ++i) {
    token[i] = static_cast<char>('a' + bits % 26);
    bits /= 26;
  }
  return token;
}

}  // namespace

std::vector<ChatMessage> ParseMessages(const nlohmann::json& body) {
  std::vector<ChatMessage> messages;
  if (!body.is_object() || !body.contains("messages") ||
      !body["messages"].is_array()) {
    return messages;
  }
  for (const auto& message : body["messages"]) {
    if (message.is_object() && message.contains("content")) {
      messages.push_back(
          {message.value("role", "user"), ContentText(message["content"])});
    }
  }
  return messages;
}

int AnswerTokenLimit(const nlohmann::json& body) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    if (body.contains(name) && body[name].is_number_integer()) {
      return body[name].get<int>();
    }
  }
  return 0;
}

std::int64_t CountTokens(const std::string& text) {
  return (static_cast<std::int64_t>(text.size()) + kBytesPerToken - 1) /
         kBytesPerToken;
}

std::int64_t CountTokens(const std::vector<ChatMessage>& messages) {
  std::int64_t total = 0;
  for (const auto& message : messages) {
    total += CountTokens(message.m_content);
  }
  return total;
}

std::vector<std::uint64_t> PrefixHashes(
    const std::string& model,
    const std::vector<ChatMessage>& messages) {
  std::vector<std::uint64_t> hashes;
  std::uint64_t last = Hash(model, 0);
  for (const auto& message : messages) {
    last = Hash(message.m_content, Hash(message.m_role, last));
    hashes.push_back(last);
  }
  return hashes;
}

std::vector<std::string> AnswerTokens(const std::string& model,
                                      const std::vector<ChatMessage>& messages,
                                      int limit) {
  const auto hashes = PrefixHashes(model, messages);
  const std::uint64_t seed = hashes.empty() ? Hash(model, 0) : hashes.back();
  const int count =
      limit > 0
          ? limit
          : kMinAnswerTokens + static_cast<int>(seed % kAnswerTokensSpread);
  std::vector<std::string> tokens;
  tokens.reserve(count);
  for (int i = 0; i < count; ++i) {
    tokens.push_back(TokenText(XXH3_64bits_withSeed(&i, sizeof(i), seed)));
  }
  return tokens;
}

std::string AnswerText(const std::string& model,
                       const std::vector<ChatMessage>& messages,
                       int limit) {
  std::string text;
  for (const auto& token : AnswerTokens(model, messages, limit)) {
    text += token;
  }
  return text;
}

}  // namespace nutmeghollow::standins

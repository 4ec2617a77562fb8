#include "nutmegload/answer_reader.h"

namespace nutmeghollow::load {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kEndMarker = "[DONE]";

}  // namespace

void AnswerReader::AddStreamBytes(std::string_view data) {
  m_unread += data;
  std::size_t start = 0;
  for (auto end = m_unread.find(kEventEnd); end != std::string::npos;
       end = m_unread.find(kEventEnd, start)) {
    ReadEvent(m_unread.substr(start, end - start));
    start = end + kEventEnd.size();
  }
  m_unread.erase(0, start);
}

void AnswerReader::ReadEvent(const std::string& event) {
  if (!event.starts_with(kDataField)) {
    return;  // A comment keeps the connection alive.
  }
  const std::string data = event.substr(kDataField.size());
  if (data == kEndMarker) {
    m_ended = true;
    return;
  }
  const auto chunk = nlohmann::json::parse(data, nullptr, false);
  if (!chunk.is_object() || chunk.contains("error") || m_ended) {
    m_broken = true;
    return;
  }
  ReadUsage(chunk);
  for (const auto& choice : chunk.value("choices", nlohmann::json::array())) {
    if (choice.contains("delta")) {
      m_text += choice["delta"].value("content", "");
    }
  }
}

bool AnswerReader::ReadWhole(const std::string& body) {
  const auto answer = nlohmann::json::parse(body, nullptr, false);
  if (!answer.is_object() || !answer.contains("choices") ||
      answer["choices"].empty()) {
    return false;
  }
  ReadUsage(answer);
  m_text = answer["choices"][0]["message"].value("content", "");
  return true;
}

void AnswerReader::ReadUsage(const nlohmann::json& answer) {
  if (!answer.contains("usage") || !answer["usage"].is_object()) {
    return;
  }
  const auto& usage = answer["usage"];
  m_prompt_tokens = usage.value("prompt_tokens", std::int64_t{0});
  if (usage.contains("prompt_tokens_details")) {
    m_cached_tokens =
        usage["prompt_tokens_details"].value("cached_tokens", std::int64_t{0});
  }
}

}  // namespace nutmeghollow::load

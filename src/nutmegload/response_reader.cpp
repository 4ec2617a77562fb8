#include "nutmegload/response_reader.h"

namespace nutmeghollow::load {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kEndMarker = "[DONE]";

}  // namespace

void ResponseReader::AddStreamBytes(std::string_view data) {
  m_buffered += data;
  std::size_t start = 0;
  for (auto end = m_buffered.find(kEventEnd); end != std::string::npos;
       end = m_buffered.find(kEventEnd, start)) {
    ParseEvent(m_buffered.substr(start, end - start));
    start = end + kEventEnd.size();
  }
  m_buffered.erase(0, start);
}

void ResponseReader::ParseEvent(const std::string& event) {
  if (!event.starts_with(kDataField)) {
    return;  // Comments only keep the connection alive.
  }
  const std::string data = event.substr(kDataField.size());
  if (data == kEndMarker) {
    m_ended = true;
    return;
  }
  const auto chunk = nlohmann::json::parse(data, nullptr, false);
  if (!chunk.is_object() || chunk.contains("error") || m_ended) {
    m_has_error = true;
    return;
  }
  ParseUsage(chunk);
  for (const auto& choice : chunk.value("choices", nlohmann::json::array())) {
    if (choice.contains("delta")) {
      m_text += choice["delta"].value("content", "");
    }
  }
}

bool ResponseReader::ParseCompletion(const std::string& body) {
  const auto response = nlohmann::json::parse(body, nullptr, false);
  if (!response.is_object() || !response.contains("choices") ||
      response["choices"].empty()) {
    return false;
  }
  ParseUsage(response);
  m_text = response["choices"][0]["message"].value("content", "");
  return true;
}

void ResponseReader::ParseUsage(const nlohmann::json& response) {
  if (!response.contains("usage") || !response["usage"].is_object()) {
    return;
  }
  const auto& usage = response["usage"];
  m_prompt_tokens = usage.value("prompt_tokens", std::int64_t{0});
  if (usage.contains("prompt_tokens_details")) {
    m_cached_tokens =
        usage["prompt_tokens_details"].value("cached_tokens", std::int64_t{0});
  }
}

}  // namespace nutmeghollow::load

#include "nutmegd/chat_request.h"

#include <simdjson.h>

#include <optional>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

using simdjson::dom::element;

boost::leaf::error_id Fail(const char* detail) {
  return boost::leaf::new_error(BadChatRequest{detail});
}

std::optional<std::string_view> StringField(const element& object,
                                            const char* key) {
  std::string_view value;
  if (object[key].get(value) != simdjson::SUCCESS) {
    return std::nullopt;
  }
  return value;
}

/// Hashes the messages up to and including the first user message. These do not
/// change when the chat continues with a longer history.
ChatKey ChatKeyFromMessages(const RouteId& route,
                            const CustomerId& customer,
                            const simdjson::dom::array& messages) {
  std::uint64_t hash =
      HashPair(HashText(route.str()), HashText(customer.str()));
  for (const element message : messages) {
    hash = HashPair(hash, HashText(simdjson::minify(message)));
    if (StringField(message, "role") == "user") {
      break;
    }
  }
  return ChatKey(hash);
}

bool IsFirstTurn(const simdjson::dom::array& messages) {
  for (const element message : messages) {
    if (StringField(message, "role") == "assistant") {
      return false;
    }
  }
  return true;
}

}  // namespace

struct ChatRequestReader::Parser {
  simdjson::dom::parser m_dom;
};

ChatRequestReader::ChatRequestReader() : m_parser(std::make_unique<Parser>()) {}

ChatRequestReader::~ChatRequestReader() = default;

boost::leaf::result<ChatRequest> ChatRequestReader::Read(
    const std::string& body,
    const net::HeaderMap& headers,
    const CustomerId& customer) {
  element root;
  if (m_parser->m_dom.parse(body).get(root) != simdjson::SUCCESS) {
    return Fail("the body is not valid JSON");
  }
  if (!root.is_object()) {
    return Fail("the body is not a JSON object");
  }
  const std::optional<std::string_view> model = StringField(root, "model");
  if (!model || model->empty()) {
    return Fail("\"model\" must be a text");
  }
  simdjson::dom::array messages;
  if (root["messages"].get(messages) != simdjson::SUCCESS ||
      messages.size() == 0) {
    return Fail("\"messages\" must be a list that is not empty");
  }
  for (const element message : messages) {
    if (!message.is_object()) {
      return Fail("each of \"messages\" must be an object");
    }
  }
  ChatRequest request;
  request.m_first_turn = IsFirstTurn(messages);
  request.m_route = RouteId(*model);
  element stream;
  if (root["stream"].get(stream) == simdjson::SUCCESS && !stream.is_null() &&
      stream.get(request.m_streamed) != simdjson::SUCCESS) {
    return Fail("\"stream\" must be true or false");
  }
  request.m_digest = RequestDigest(HashText(body));
  const std::string header_id = net::HeaderValue(headers, "x-chat-id");
  const std::optional<std::string_view> cache_key =
      StringField(root, "prompt_cache_key");
  if (!header_id.empty()) {
    request.m_chat = ChatKeyFromId(header_id);
  } else if (cache_key && !cache_key->empty()) {
    request.m_chat = ChatKeyFromId(*cache_key);
  } else {
    request.m_chat = ChatKeyFromMessages(request.m_route, customer, messages);
  }
  return request;
}

ChatKey ChatKeyFromId(std::string_view id) {
  return ChatKey(HashText(id));
}

}  // namespace nutmeghollow

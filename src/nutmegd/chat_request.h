/// @file
/// Parses chat completion requests as far as routing needs them.
#pragma once

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>

#include "libnet/http_server.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Properties of a chat completion request that routing depends on.
struct ChatRequest {
  RouteId m_route;
  ChatKey m_chat;
  RequestDigest m_digest;
  bool m_streamed = false;
  bool m_first_turn = true;  ///< No message has the role "assistant".
};

/// Error for a body that is not a chat completion request.
struct BadChatRequest {
  std::string m_detail;
};

/// Parses chat completion bodies. Reuses the memory of its parser.
class ChatRequestReader {
 public:
  ChatRequestReader();
  ~ChatRequestReader();

  /// @param headers may have the chat's id in X-Chat-Id, which takes precedence
  /// over "prompt_cache_key" in the body.
  /// @param customer part of the key of a chat without an id.
  /// @return the parsed request, or the error BadChatRequest.
  boost::leaf::result<ChatRequest> Read(const std::string& body,
                                        const net::HeaderMap& headers,
                                        const CustomerId& customer);

 private:
  struct Parser;
  std::unique_ptr<Parser> m_parser;
};

/// @return the key of a chat with an id given by its caller.
ChatKey ChatKeyFromId(std::string_view id);

}  // namespace nutmeghollow

/// @file
/// Reads what routing needs from the body of a chat completion.
#pragma once

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>

#include "libnet/http_server.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// What routing needs to know about a chat completion.
struct ChatRequest {
  RouteId m_route;
  ChatKey m_chat;
  RequestDigest m_digest;
  bool m_streamed = false;
  bool m_first_turn = true;  ///< No message is an earlier answer.
};

/// A body that is not a chat completion request.
struct BadChatRequest {
  std::string m_detail;
};

/// Reads chat completion bodies; keeps its parser's memory between calls.
class ChatRequestReader {
 public:
  ChatRequestReader();
  ~ChatRequestReader();

  /// @param headers the chat id may come from X-Chat-Id.
  /// @param customer part of the key of a chat without an id.
  /// @return what routing needs, or the error BadChatRequest.
  boost::leaf::result<ChatRequest> Read(const std::string& body,
                                        const net::HeaderMap& headers,
                                        const CustomerId& customer);

 private:
  struct Parser;
  std::unique_ptr<Parser> m_parser;
};

/// @return the key of a chat that its caller named.
ChatKey ChatKeyFromId(std::string_view name);

}  // namespace nutmeghollow

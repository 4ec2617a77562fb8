/// @file
/// Sends one call to an instance and waits for its response.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "nutmegctl/command_line.h"

namespace nutmeghollow::ctl {

/// Address and credentials for calls to an instance.
struct Target {
  std::string m_address;  ///< "IP:PORT".
  std::string m_token;
  std::chrono::milliseconds m_timeout{15000};
};

/// The response to a call, or why there is none.
struct CallResult {
  bool m_response_received = false;
  /// Without a response: false when the request certainly was not sent.
  bool m_may_have_been_sent = false;
  std::string m_body;
  std::string m_error;  ///< Set without a response.
};

/// Sends a call once, without retries.
/// @param headers additional header lines, such as "X-Command-Id: 7".
CallResult SendCall(const Target& target,
                    const Call& call,
                    const std::vector<std::string>& headers);

}  // namespace nutmeghollow::ctl

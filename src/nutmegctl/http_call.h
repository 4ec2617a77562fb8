/// @file
/// Sends one call to an instance and waits for its answer.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "nutmegctl/command_line.h"

namespace nutmeghollow::ctl {

/// Where and as whom to call.
struct Target {
  std::string m_address;  ///< "IP:PORT".
  std::string m_token;
  std::chrono::milliseconds m_timeout{15000};
};

/// The end of a call.
struct CallEnd {
  bool m_answered = false;
  /// Without an answer: false when certainly nothing reached the instance.
  bool m_may_have_been_sent = false;
  std::string m_body;
  std::string m_error;  ///< Without an answer.
};

/// Sends a call once.
/// @param headers further header lines, such as "X-Command-Id: 7".
CallEnd SendCall(const Target& target,
                 const Call& call,
                 const std::vector<std::string>& headers);

}  // namespace nutmeghollow::ctl

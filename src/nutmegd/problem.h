/// @file
/// Error responses to callers: RFC 9457 problem details with additional members
/// for the outcome and id of the request and the error object of the chat
/// completions API.
#pragma once

#include <string>

#include "libnet/http_server.h"
#include "nutmeghollow/requests.h"

namespace nutmeghollow {

/// An error response to a caller.
struct Problem {
  int m_status = 500;
  std::string m_type;   ///< Last part of the problem's URN, such as "busy".
  std::string m_title;  ///< The same for all problems of a type.
  std::string m_detail;
  Outcome m_outcome = Outcome::kNotRun;
  Duration m_retry_after{};  ///< Zero when a retry does not help.
};

/// @return value of the Nutmeg-Outcome header.
const char* OutcomeName(Outcome outcome);

/// @return header fields of the response, without the request id.
net::HeaderList ProblemHeaders(const Problem& problem);

/// @return JSON body of the response, with a newline at its end.
std::string ProblemBody(const Problem& problem, const PublicRequestId& request);

}  // namespace nutmeghollow

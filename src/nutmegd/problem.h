/// @file
/// Errors towards callers: RFC 9457 problem details, with the outcome, and
/// the error object of the chat completions API beside them.
#pragma once

#include <string>

#include "libnet/http_server.h"
#include "nutmeghollow/requests.h"

namespace nutmeghollow {

/// An error as a caller sees it.
struct Problem {
  int m_status = 500;
  std::string m_type;   ///< Last part of the problem's URN, such as "busy".
  std::string m_title;  ///< The same for every problem of a type.
  std::string m_detail;
  Outcome m_outcome = Outcome::kNotRun;
  Duration m_retry_after{};  ///< Zero when a retry does not help.
};

/// @return the word of the Nutmeg-Outcome header.
const char* OutcomeName(Outcome outcome);

/// @return header fields of a problem, without the request id.
net::HeaderList ProblemHeaders(const Problem& problem);

/// @return the JSON body of a problem.
std::string ProblemBody(const Problem& problem, const PublicRequestId& request);

}  // namespace nutmeghollow

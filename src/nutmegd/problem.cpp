#include "nutmegd/problem.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace nutmeghollow {

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

namespace {

std::string ErrorMessage(const Problem& problem) {
  return problem.m_detail.empty() ? problem.m_title
                                  : problem.m_title + ": " + problem.m_detail;
}

}  // namespace

net::HeaderList ProblemHeaders(const Problem& problem) {
  net::HeaderList headers{{"Content-Type", "application/problem+json"},
                          {"Nutmeg-Outcome", OutcomeName(problem.m_outcome)}};
  if (problem.m_retry_after > Duration::zero()) {
    // Rounded up, so that the caller does not retry too early.
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(problem.m_retry_after);
    headers.emplace_back("Retry-After", std::to_string(seconds.count()));
  }
  return headers;
}

std::string ProblemBody(const Problem& problem,
                        const PublicRequestId& request) {
  const nlohmann::ordered_json body{
      {"type", "urn:nutmeghollow:problem:" + problem.m_type},
      {"title", problem.m_title},
      {"status", problem.m_status},
      {"detail", problem.m_detail},
      {"outcome", OutcomeName(problem.m_outcome)},
      {"request_id", request.str()},
      // Clients of the chat completions API show only this member.
      {"error",
       {{"message", ErrorMessage(problem)},
        {"type", problem.m_type},
        {"code", problem.m_type}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace nutmeghollow

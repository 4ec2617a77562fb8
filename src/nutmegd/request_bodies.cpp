#include "nutmegd/request_bodies.h"

#include <chrono>
#include <string>
#include <utility>

#include "nutmegd/problem.h"

namespace nutmeghollow {
namespace {

constexpr int kStatusUnavailable = 503;
/// Limit of a body whatever the configuration says.
constexpr Bytes kMaxBody{16 << 20};
/// Retry-After of requests that the server itself refuses. Memory is free again
/// when upstreams have responded to the requests that hold it.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

net::HttpServerOptions WithCallerBodies(net::HttpServerOptions options,
                                        const GatewayState& state) {
  options.m_body_limit = kMaxBody;
  options.m_discard_limit = kBodyDiscardLimit;
  options.m_current_body_limit = [&state] {
    return state.m_configuration == nullptr
               ? CallerLimits().m_body
               : state.m_configuration->m_limits.m_body;
  };
  options.m_error_hook = [&state](int status, const std::string& detail) {
    Problem problem;
    problem.m_status = status;
    problem.m_type = "route";
    problem.m_title = "Request not served";
    problem.m_detail = detail;
    problem.m_outcome = Outcome::kNotRun;
    net::HttpErrorResponse response{ProblemHeaders(problem),
                                    ProblemBody(problem, PublicRequestId())};
    if (status == kStatusUnavailable) {
      response.m_headers.emplace_back(
          "Retry-After", state.m_protocol.m_write_retry_after(kRetryAfter));
    }
    return response;
  };
  return options;
}

}  // namespace nutmeghollow

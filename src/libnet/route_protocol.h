/// @file
/// Wire formats of a deployment: requests, responses, configuration and
/// registrations. The gateway accesses them only through these hooks.
#pragma once

#include <boost/leaf/result.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libnet/http_server.h"
#include "nutmeghollow/findings.h"
#include "nutmeghollow/requests.h"
#include "nutmeghollow/routing.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow::net {

/// Header of a caller's request.
struct RouteRequest {
  PublicRequestId m_id;
  std::string m_host;
  std::string m_key;                     ///< API key; empty for none.
  std::optional<Duration> m_deadline;    ///< Time that the caller waits.
  std::vector<PromptPart> m_prompt;      ///< Empty when not given.
  std::int64_t m_max_output_tokens = 0;  ///< Zero when unknown.
  /// Id of the last event that the caller received; empty for a new stream.
  std::string m_resume_after;
  /// Id of the attempt that received the stream's first event; empty for a new
  /// stream, or when not stated.
  PublicRequestId m_resumed_attempt;
};

/// Header fields that this instance sends to an upstream in addition to the
/// caller's.
struct ForwardedFields {
  /// The upstream that must handle the request.
  UpstreamId m_expected_upstream;
  Duration m_time_left{};  ///< Until the caller's deadline.
  CustomerId m_customer;   ///< Empty for none.
  int m_priority = 0;      ///< Rank; 0 is the most urgent.
  bool m_engine = false;   ///< The upstream is a model engine.
  /// Id of the event after which to resume; empty for a new run.
  std::string m_resume_after;
};

/// Header of an upstream's response.
struct ResponseFields {
  bool m_not_run = false;         ///< The upstream did not run the request.
  bool m_wrong_upstream = false;  ///< The address belongs to another upstream.
  bool m_signed = false;          ///< Carries the upstream's signature.
  PublicRequestId m_echoed_id;
  std::optional<LoadReport> m_load;
  bool m_leaving = false;  ///< The upstream accepts no new requests.
  /// Time for which the upstream stays cold; unset when not given.
  std::optional<Duration> m_cold_for;
  /// Time for which the upstream refuses requests; unset when not given.
  std::optional<Duration> m_refused_for;
  /// Requests per second that the upstream accepts from all instances together;
  /// unset when the response states none.
  std::optional<double> m_rate_limit;
  /// Requests that the upstream may have to refuse in a second before it falls
  /// over; unset when the response states that it does not.
  std::optional<double> m_refusal_limit;
};

/// Error for an invalid document, with the reasons.
struct DocumentError {
  Findings m_findings;
};

/// Formats of everything that the gateway reads and writes.
struct RouteProtocol {
  std::function<RouteRequest(const HttpRequest&)> m_read_request;
  /// @return the header to send to the upstream.
  std::function<HeaderList(const HttpRequest&, const ForwardedFields&)>
      m_upstream_headers;
  std::function<ResponseFields(int status, const HeaderMap&)> m_read_response;
  /// @return the header fields of an upstream's response that are forwarded to
  /// the caller.
  std::function<HeaderList(const HeaderMap&)> m_caller_headers;
  /// Formats a delay as the value of a Retry-After field.
  std::function<std::string(Duration)> m_write_retry_after;
  /// Parses the operators' configuration, or fails with DocumentError.
  std::function<boost::leaf::result<RoutingConfiguration>(const std::string&)>
      m_read_configuration;
  /// Parses an upstream's registration, or fails with DocumentError.
  std::function<boost::leaf::result<RegisteredUpstream>(
      const std::string& key,
      const std::string& value)>
      m_read_registration;

  std::string m_configuration_table;
  std::string m_configuration_key;
  /// Rows of the configuration's table whose keys begin with this name
  /// evacuated data centres; the data centre's name follows.
  std::string m_evacuation_prefix;
  std::string m_registration_table;
};

}  // namespace nutmeghollow::net

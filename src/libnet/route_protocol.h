/// @file
/// What a request, an answer, a configuration and a registration look like on
/// the wire of a deployment. The gateway knows only these hooks.
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

/// What the header of a caller's request says.
struct RouteRequest {
  PublicRequestId m_id;
  std::string m_host;
  std::string m_key;                   ///< API key; empty for none.
  std::optional<Duration> m_deadline;  ///< How long the caller waits.
  std::vector<PromptPart> m_prompt;    ///< Empty when not stated.
  std::int64_t m_max_output_tokens =
      0;                       ///< Most tokens to generate; 0: unknown.
  std::string m_resume_after;  ///< Last event that the caller has.
};

/// What this instance tells an upstream beside the caller's own header.
struct ForwardedFields {
  UpstreamId m_expected;
  Duration m_time_left{};
  CustomerId m_customer;       ///< Empty for none.
  int m_priority = 0;          ///< Rank; 0 is the most urgent.
  bool m_engine = false;       ///< The upstream is a model engine.
  std::string m_resume_after;  ///< Goes on after this event; empty for a start.
};

/// What the header of an upstream's answer says.
struct ResponseFields {
  bool m_not_run = false;         ///< The upstream did not run the request.
  bool m_wrong_upstream = false;  ///< Another upstream has the address.
  bool m_signed = false;          ///< Carries the upstream's signature.
  PublicRequestId m_echoed_id;
  std::optional<LoadReport> m_load;
  bool m_leaving = false;  ///< The upstream takes no new requests.
  /// It takes none before this time has passed.
  std::optional<Duration> m_refused_for;
};

/// A text that is not what it should be, with its faults.
struct DocumentError {
  Findings m_findings;
};

/// Format of everything that the gateway reads and writes.
struct RouteProtocol {
  std::function<RouteRequest(const HttpRequest&)> m_read_request;
  /// @return the header for the upstream.
  std::function<HeaderList(const HttpRequest&, const ForwardedFields&)>
      m_upstream_headers;
  std::function<ResponseFields(int status, const HeaderMap&)> m_read_response;
  /// @return the fields of an upstream's answer that go on to the caller.
  std::function<HeaderList(const HeaderMap&)> m_caller_headers;
  /// Writes a delay as the value of a Retry-After field.
  std::function<std::string(Duration)> m_write_retry_after;
  /// Reads the operators' configuration, or fails with DocumentError.
  std::function<boost::leaf::result<RoutingConfiguration>(const std::string&)>
      m_read_configuration;
  /// Reads an upstream's registration, or fails with DocumentError.
  std::function<boost::leaf::result<RegisteredUpstream>(
      const std::string& key,
      const std::string& value)>
      m_read_registration;

  std::string m_configuration_table;
  std::string m_configuration_key;
  std::string m_registration_table;
};

}  // namespace nutmeghollow::net

/// @file
/// What the result of an attempt tells about the health of its upstream.
#pragma once

namespace nutmeghollow {

/// Result of an attempt with respect to the upstream's health.
enum class AttemptHealth {
  kServed,       ///< Complete response without an error.
  kFailed,       ///< Error response of the upstream itself.
  kRefused,      ///< The upstream did not run the request.
  kUnreachable,  ///< Connection failed.
  kBroken,       ///< Connection broken or response malformed.
  kTimedOut,     ///< No response within the timeout.
  kAbandoned,    ///< Cancelled by this instance; no evidence of health.
};

/// @return true for a result that may be due to the path to the upstream.
bool IsPathFailure(AttemptHealth health);

/// @return name of a result in logs.
const char* AttemptHealthName(AttemptHealth health);

}  // namespace nutmeghollow

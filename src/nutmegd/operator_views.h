/// @file
/// JSON views of the daemon's state in responses to operators.
#pragma once

#include <string>

#include "libnet/operator_api.h"
#include "nutmeghollow/claims.h"
#include "nutmeghollow/explain.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// @return the response to `explain`.
net::OperatorResponse ExplanationResponse(const Explanation& explanation);

/// @return the response to `request show` and `request resolve`.
net::OperatorResponse ClaimCommandResponse(const ClaimCommandResult& result);

/// @return a JSON object with the fields that the daemon adds to `status`.
std::string StatusFields(const World& world);

}  // namespace nutmeghollow

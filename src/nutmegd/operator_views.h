/// @file
/// JSON of what the daemon tells operators beside the configuration.
#pragma once

#include <string>

#include "libnet/operator_api.h"
#include "nutmeghollow/claims.h"
#include "nutmeghollow/explain.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// @return the answer to `explain CHAT`.
net::OperatorResponse ExplanationAnswer(const Explanation& explanation);

/// @return the answer to `request show` and `request resolve`.
net::OperatorResponse ClaimAnswerForOperator(const ClaimCommandResult& result);

/// @return fields that the daemon adds to `status`.
std::string StatusFields(const World& world);

}  // namespace nutmeghollow

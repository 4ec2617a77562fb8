/// @file
/// JSON bodies of the responses to operators.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "libnet/operator_api.h"
#include "nutmeghollow/operator_commands.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::net::detail {

/// @return the name of an upstream status.
const char* UpstreamStatusName(UpstreamStatus status);

/// @return a response with the result "refused" and the findings.
OperatorResponse RefusedResponse(int status, const Findings& findings);
/// @return the response for the reply to a command or query.
OperatorResponse ReplyResponse(const World& world, const OperatorReply& reply);
/// @return a response with the result "ok" and the given fields.
OperatorResponse OkResponse(nlohmann::json fields);

nlohmann::json InForceJson(const World& world, Revision revision);
nlohmann::json ObjectJson(const ObjectKey& key, const ObjectRow& row);
nlohmann::json ObjectListJson(const World& world, ObjectKind kind);
nlohmann::json StatusJson(const World& world, TimePoint now);
nlohmann::json InstancesJson(const World& world, TimePoint now);
nlohmann::json UpstreamsJson(const World& world, TimePoint now);

}  // namespace nutmeghollow::net::detail

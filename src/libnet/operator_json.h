/// @file
/// JSON texts of the answers to operators.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "libnet/operator_api.h"
#include "nutmeghollow/operator_commands.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::net::detail {

/// @return the word for the status of an upstream.
const char* UpstreamStatusName(UpstreamStatus status);

/// @return an answer that refuses a call, with the findings.
OperatorResponse RefusedAnswer(int status, const Findings& findings);
/// @return the answer to a command or a question that ended.
OperatorResponse ReplyAnswer(const World& world, const OperatorReply& reply);
/// @return an answer with the result "ok" and the given fields.
OperatorResponse OkAnswer(nlohmann::json fields);

nlohmann::json InForceJson(const World& world, Revision revision);
nlohmann::json ObjectJson(const ObjectKey& key, const ObjectRow& row);
nlohmann::json ObjectListJson(const World& world, ObjectKind kind);
nlohmann::json StatusJson(const World& world, TimePoint now);
nlohmann::json InstancesJson(const World& world, TimePoint now);
nlohmann::json UpstreamsJson(const World& world, TimePoint now);

}  // namespace nutmeghollow::net::detail

#include "libnet/operator_json.h"

#include <algorithm>
#include <utility>

namespace nutmeghollow::net::detail {
namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnprocessable = 422;
constexpr int kStatusGatewayTimeout = 504;

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// @return the milliseconds since a time, or null when the time is unset.
Json AgeJson(TimePoint since, TimePoint now) {
  if (since == TimePoint{}) {
    return nullptr;
  }
  return Milliseconds(now - since);
}

Json ParsedOrNull(const std::optional<std::string>& json) {
  return json ? Json::parse(*json, nullptr, false) : Json();
}

Json FindingsJson(const Findings& findings) {
  Json list = Json::array();
  for (const Finding& finding : findings) {
    list.push_back(
        {{"place", finding.m_place}, {"message", finding.m_message}});
  }
  return list;
}

Json AuditJson(const AuditRow& row) {
  Json json{{"revision", row.m_revision.value()},
            {"command", row.m_command.str()},
            {"operator", row.m_operator.str()},
            {"wall_ms", row.m_wall_time.value()},
            {"kind", ObjectKindName(row.m_key.m_kind)},
            {"id", row.m_key.m_id},
            {"before", ParsedOrNull(row.m_before)},
            {"after", ParsedOrNull(row.m_after)}};
  if (!row.m_note.empty()) {
    json["note"] = row.m_note;
  }
  return json;
}

const char* InstanceStatusName(InstanceStatus status) {
  switch (status) {
    case InstanceStatus::kAlive:
      return "alive";
    case InstanceStatus::kSuspect:
      return "suspect";
    case InstanceStatus::kLeaving:
      return "leaving";
    case InstanceStatus::kDead:
      return "dead";
  }
  return "";
}

const char* OrderStageName(OrderStage stage) {
  switch (stage) {
    case OrderStage::kUnread:
      return "unread";
    case OrderStage::kDiffers:
      return "differs";
    case OrderStage::kLoading:
      return "loading";
    case OrderStage::kAsWanted:
      return "as_wanted";
  }
  return "";
}

Json LeaseJson(const World& world, TimePoint now) {
  const LeaseState& lease = world.m_lease;
  const bool held = HoldsLease(world, now);
  Json json{{"held", held},
            {"acquisitions", lease.m_acquisitions},
            {"losses", lease.m_losses}};
  if (held) {
    json["fencing"] = lease.m_fencing.value();
    json["deadline_in_ms"] = Milliseconds(lease.m_deadline - now);
  }
  return json;
}

Json OrdersJson(const World& world) {
  const OrderState& orders = world.m_orders;
  Json json{{"sent", orders.m_sent}, {"refused", orders.m_refused}};
  for (const auto& [id, row] : orders.m_rows) {
    json["engines"][id.str()] = OrderStageName(row.m_stage);
  }
  return json;
}

Json ProbedLoadJson(const ProbedLoad& report, TimePoint now) {
  return {{"running", report.m_running},
          {"queued", report.m_queued},
          {"age_ms", AgeJson(report.m_taken_at, now)}};
}

Json UpstreamJson(const UpstreamRow& row, TimePoint now) {
  Json json{
      {"id", row.m_id.str()},
      {"kind", row.m_kind == UpstreamKind::kEngine ? "engine" : "service"},
      {"address", row.m_endpoint.str()},
      {"data_centre", row.m_data_centre.str()},
      {"region", row.m_region.str()},
      {"status", UpstreamStatusName(row.m_status)},
      {"status_for_ms", AgeJson(row.m_status_since, now)},
      {"slow_start", row.m_slow_start_since.has_value()},
      {"owner", row.m_owner.str()},
      {"running_from_here", row.m_local_running}};
  json["report"] = row.m_report ? ProbedLoadJson(*row.m_report, now) : Json();
  return json;
}

OperatorResponse MakeResponse(int status, const Json& json) {
  return {status, json.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

/// @return the response to a command that conflicted with another change.
OperatorResponse ConflictResponse(const OperatorReply& reply, Json json) {
  json["result"] = "conflict";
  if (reply.m_winner) {
    json["winner"] = {{"revision", reply.m_winner->m_revision.value()},
                      {"operator", reply.m_winner->m_operator.str()},
                      {"wall_ms", reply.m_winner->m_wall_time.value()}};
  }
  return MakeResponse(kStatusConflict, json);
}

OperatorResponse AcceptedResponse(const World& world,
                                  const OperatorReply& reply,
                                  Json json) {
  json["result"] = "accepted";
  json["revision"] = reply.m_revision.value();
  json["repeated"] = reply.m_repeated;
  json["in_force"] = InForceJson(world, reply.m_revision);
  if (!reply.m_audit.empty()) {
    json["audit"] = Json::array();
    for (const AuditRow& row : reply.m_audit) {
      json["audit"].push_back(AuditJson(row));
    }
  }
  return MakeResponse(kStatusOk, json);
}

}  // namespace

const char* UpstreamStatusName(UpstreamStatus status) {
  switch (status) {
    case UpstreamStatus::kUsable:
      return "usable";
    case UpstreamStatus::kSuspect:
      return "suspect";
    case UpstreamStatus::kEjected:
      return "ejected";
    case UpstreamStatus::kLeaving:
      return "leaving";
  }
  return "";
}

OperatorResponse RefusedResponse(int status, const Findings& findings) {
  return MakeResponse(
      status, {{"result", "refused"}, {"findings", FindingsJson(findings)}});
}

OperatorResponse OkResponse(Json fields) {
  fields["result"] = "ok";
  return MakeResponse(kStatusOk, fields);
}

OperatorResponse ReplyResponse(const World& world, const OperatorReply& reply) {
  Json json;
  if (!reply.m_command.empty()) {
    json["command"] = reply.m_command.str();
  }
  switch (reply.m_result) {
    case OperatorResult::kAccepted:
      return AcceptedResponse(world, reply, std::move(json));
    case OperatorResult::kRefused:
      json["result"] = "refused";
      json["findings"] = FindingsJson(reply.m_findings);
      return MakeResponse(kStatusUnprocessable, json);
    case OperatorResult::kConflict:
      return ConflictResponse(reply, std::move(json));
    case OperatorResult::kUnknown:
      json["result"] = "unknown";
      json["settle"] = "command show " + reply.m_command.str();
      return MakeResponse(kStatusGatewayTimeout, json);
    case OperatorResult::kNotFound:
      json["result"] = "not_found";
      json["message"] = "no change with this command id has been accepted";
      return MakeResponse(kStatusNotFound, json);
  }
  return MakeResponse(kStatusUnprocessable, json);
}

Json InForceJson(const World& world, Revision revision) {
  const InForceReport report = ReportInForce(world, revision);
  Json waiting = Json::array();
  for (const InstanceId& id : report.m_waiting) {
    waiting.push_back(id.str());
  }
  return {{"on", report.m_confirmed},
          {"of", report.m_instances},
          {"waiting", std::move(waiting)}};
}

Json ObjectJson(const ObjectKey& key, const ObjectRow& row) {
  return {{"kind", ObjectKindName(key.m_kind)},
          {"id", key.m_id},
          {"revision", row.m_revision.value()},
          {"object", Json::parse(row.m_json, nullptr, false)}};
}

Json ObjectListJson(const World& world, ObjectKind kind) {
  Json list = Json::array();
  for (const auto& [key, row] : world.m_configuration.m_objects) {
    if (key.m_kind == kind) {
      list.push_back(ObjectJson(key, row));
    }
  }
  return list;
}

Json StatusJson(const World& world, TimePoint now) {
  const ConfigurationTable& configuration = world.m_configuration;
  const InstanceRow* self = world.m_instances.Find(world.m_instances.m_self);
  return {{"instance", world.m_instances.m_self.str()},
          {"data_centre", self == nullptr ? "" : self->m_data_centre.str()},
          {"region", self == nullptr ? "" : self->m_region.str()},
          {"ready", configuration.Ready()},
          {"isolated", configuration.m_isolated},
          {"draining", world.m_draining},
          {"revision", configuration.m_revision.value()},
          {"highest_revision_seen", configuration.m_highest_seen.value()},
          {"in_force", InForceJson(world, configuration.m_revision)},
          {"table_service_answered_ms_ago",
           AgeJson(world.m_configuration_state.m_last_store_reply_at, now)},
          {"requests_in_progress", world.m_requests.size()},
          {"failed_checks", FailedChecks()},
          {"lease", LeaseJson(world, now)},
          {"orders", OrdersJson(world)}};
}

Json InstancesJson(const World& world, TimePoint now) {
  Json list = Json::array();
  for (const auto& [id, row] : world.m_instances.m_rows) {
    const bool self = id == world.m_instances.m_self;
    const Revision revision =
        self ? world.m_configuration.m_revision : row.m_revision;
    list.push_back({{"id", id.str()},
                    {"self", self},
                    {"status", InstanceStatusName(row.m_status)},
                    {"status_for_ms", AgeJson(row.m_status_since, now)},
                    {"heard_ms_ago", AgeJson(row.m_last_message_at, now)},
                    {"caller_address", row.m_caller_endpoint.str()},
                    {"data_centre", row.m_data_centre.str()},
                    {"region", row.m_region.str()},
                    {"revision", revision.value()}});
  }
  return list;
}

Json UpstreamsJson(const World& world, TimePoint now) {
  Json list = Json::array();
  for (const auto& [id, row] : world.m_upstreams.m_rows) {
    list.push_back(UpstreamJson(row, now));
  }
  return list;
}

}  // namespace nutmeghollow::net::detail

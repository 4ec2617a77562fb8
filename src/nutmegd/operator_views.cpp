#include "nutmegd/operator_views.h"

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>

#include "libnet/operator_json.h"

namespace nutmeghollow {
namespace {

using nlohmann::ordered_json;

/// Names of the phases of a request, in the order of RequestPhase.
constexpr std::array<const char*, static_cast<int>(RequestPhase::kCount)>
    kPhaseNames{"arrived",   "claiming", "waiting",    "queued", "admitted",
                "reserving", "placed",   "dispatched", "sent",   "streaming",
                "recording", "refused",  "done"};

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

ordered_json OptionalAge(const std::optional<Duration>& age) {
  return age ? ordered_json(Milliseconds(*age)) : ordered_json();
}

ordered_json EngineView(const ExplainedEngine& engine) {
  return {{"engine", engine.m_id.str()},
          {"status", net::detail::UpstreamStatusName(engine.m_status)},
          {"owner", engine.m_owner.str()},
          {"local_running", engine.m_local_running},
          {"remote_running", engine.m_remote_running},
          {"inner_limit", engine.m_inner_limit},
          {"bound_limit", engine.m_bound_limit},
          {"capacity", engine.m_capacity},
          {"warmth", engine.m_slow_start_factor},
          {"report_age_ms", OptionalAge(engine.m_report_age)},
          {"peer_age_ms", OptionalAge(engine.m_peer_age)}};
}

/// HTTP status, result and detail of the response to a command about a claim.
struct ClaimResponseFields {
  int m_status;
  const char* m_result;
  const char* m_detail;
};

ClaimResponseFields ClaimResponseFieldsOf(ClaimCommandStatus status) {
  switch (status) {
    case ClaimCommandStatus::kShown:
      return {200, "ok", ""};
    case ClaimCommandStatus::kResolved:
      return {200, "accepted", "the outcome is recorded"};
    case ClaimCommandStatus::kNotFound:
      return {404, "not_found", "no request with this key is recorded"};
    case ClaimCommandStatus::kAlreadySettled:
      return {409, "refused", "the outcome is recorded already and stays"};
    case ClaimCommandStatus::kInProgress:
      return {409, "refused",
              "the instance that claimed it may still be working on it"};
    case ClaimCommandStatus::kConflict:
      return {409, "conflict", "it changed meanwhile; show it again"};
    case ClaimCommandStatus::kUnavailable:
      return {503, "refused",
              "the platform's table service was not reached; nothing changed"};
    case ClaimCommandStatus::kUnknown:
      return {504, "unknown",
              "the answer of the table service was lost; request show tells"};
  }
  return {500, "refused", "internal error"};
}

}  // namespace

net::OperatorResponse ExplanationResponse(const Explanation& explanation) {
  if (!explanation.m_route_found) {
    const ordered_json finding{
        {"place", "MODEL"},
        {"message", "no such route; name it: explain CHAT MODEL"}};
    const ordered_json view{{"result", "not_found"},
                            {"findings", ordered_json::array({finding})}};
    return {404, view.dump()};
  }
  ordered_json order = ordered_json::array();
  for (const ExplainedEngine& engine : explanation.m_order) {
    order.push_back(EngineView(engine));
  }
  ordered_json last;
  if (explanation.m_last) {
    ordered_json holders = ordered_json::array();
    for (const UpstreamId& holder : explanation.m_holders) {
      holders.push_back(holder.str());
    }
    // Engines that ran the chat, most recent first.
    last = {{"engines", holders},
            {"reason", PlacementReasonName(explanation.m_last->m_reason)},
            {"age_ms", OptionalAge(explanation.m_last_age)}};
  }
  const ordered_json view{
      {"result", "ok"},
      {"home", explanation.m_home.str()},
      {"entry_owner", explanation.m_entry_owner.str()},
      {"entry_owner_is_this_instance", explanation.m_entry_owner_is_self},
      {"mean_load", explanation.m_mean_load},
      {"bound", explanation.m_bound},
      {"last_placement_here", last},
      {"order", order}};
  return {200, view.dump()};
}

net::OperatorResponse ClaimCommandResponse(const ClaimCommandResult& result) {
  const ClaimResponseFields fields = ClaimResponseFieldsOf(result.m_status);
  ordered_json view{{"result", fields.m_result}};
  if (*fields.m_detail != '\0') {
    view["detail"] = fields.m_detail;
  }
  if (!result.m_row.empty()) {
    view["request"] = ordered_json::parse(result.m_row, nullptr, false);
  }
  return {fields.m_status, view.dump()};
}

std::string StatusFields(const World& world) {
  ordered_json by_phase = ordered_json::object();
  for (std::size_t index = 0; index < kPhaseNames.size(); ++index) {
    const auto phase = static_cast<RequestPhase>(index);
    by_phase[kPhaseNames[index]] = world.m_requests.InPhase(phase).size();
  }
  const ControlBudget& budget = world.m_budget;
  const ordered_json view{{"draining", world.m_draining},
                          {"requests_in_progress", world.m_requests.size()},
                          {"requests_by_phase", by_phase},
                          {"failed_checks", FailedChecks()},
                          {"control",
                           {{"bytes_per_second_budget", budget.m_rate.value()},
                            {"bytes_in_last_second", budget.m_last_second},
                            {"bytes_in_peak_second", budget.m_peak_second}}}};
  return view.dump();
}

}  // namespace nutmeghollow

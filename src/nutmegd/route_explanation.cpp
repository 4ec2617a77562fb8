#include "nutmegd/route_explanation.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "nutmeghollow/choice_explanation.h"

namespace nutmeghollow {
namespace {

using nlohmann::json;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kHexadecimal = 16;

std::string Parameter(const net::HttpRequest& request, const char* name) {
  const auto found = request.m_query.find(name);
  return found == request.m_query.end() ? std::string() : found->second;
}

template <typename Integer>
std::optional<Integer> ParseInteger(std::string_view text, int base = 10) {
  Integer value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value, base);
  return error == std::errc() && stop == end && value >= 0
             ? std::optional<Integer>(value)
             : std::nullopt;
}

/// @return the parts of "ID:TOKENS,..."; nothing when the text is invalid.
std::optional<std::vector<PromptPart>> ParsePrompt(std::string_view text) {
  std::vector<PromptPart> prompt;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(item.size() + 1, text.size()));
    const std::size_t colon = std::min(item.find(':'), item.size());
    const auto id =
        ParseInteger<std::uint64_t>(item.substr(0, colon), kHexadecimal);
    const auto tokens = ParseInteger<std::int64_t>(
        item.substr(std::min(colon + 1, item.size())));
    if (!id || !tokens) {
      return std::nullopt;
    }
    prompt.push_back({PartId(*id), Tokens(*tokens)});
  }
  return prompt;
}

RouteExplanation Refused(const char* place, const std::string& message) {
  const json body{{"result", "refused"},
                  {"findings", {{{"place", place}, {"message", message}}}}};
  return {kStatusBadRequest, body.dump()};
}

RouteExplanation NotFound(const std::string& message) {
  const json body{{"result", "not_found"}, {"message", message}};
  return {kStatusNotFound, body.dump()};
}

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// @return the number with three decimals, for output.
double Rounded(double value) {
  return static_cast<double>(std::llround(value * 1000)) / 1000;
}

json UpstreamJson(const UpstreamExplanation& one,
                  const ChoiceExplanation& explanation,
                  TimePoint now) {
  json result{{"id", one.m_id.str()},
              {"data_centre", one.m_data_centre.str()},
              {"load", Rounded(one.m_load)},
              {"own_active", one.m_active},
              {"report_age_ms", nullptr},
              {"cost", nullptr},
              {"rank", nullptr},
              {"unread_tokens", nullptr},
              {"over_bound", nullptr},
              {"cold_ms", Milliseconds(one.m_cold_for)},
              {"verdict", SendObstacleName(one.m_verdict.m_obstacle)},
              {"verdict_ends_ms", nullptr},
              {"chosen",
               explanation.m_choice && explanation.m_choice->m_id == one.m_id}};
  if (one.m_report_age) {
    result["report_age_ms"] = Milliseconds(*one.m_report_age);
  }
  if (one.m_candidate) {
    result["cost"] = Rounded(one.m_candidate->m_cost);
    result["rank"] = one.m_candidate->m_rank;
    result["unread_tokens"] = Rounded(one.m_candidate->m_unread_tokens);
    result["over_bound"] = one.m_candidate->m_over_bound;
  }
  if (one.m_verdict.m_until) {
    result["verdict_ends_ms"] = Milliseconds(*one.m_verdict.m_until - now);
  }
  return result;
}

json ServiceJson(const TrafficShare& share,
                 const ChoiceExplanation& explanation,
                 TimePoint now) {
  json result{{"service", share.m_service.str()},
              {"weight", share.m_weight},
              {"chosen", nullptr},
              {"spread", false},
              {"mean_load", Rounded(explanation.m_mean_load)},
              {"bound", Rounded(explanation.m_bound)},
              {"upstreams", json::array()}};
  if (explanation.m_choice) {
    result["chosen"] = explanation.m_choice->m_id.str();
    result["spread"] = explanation.m_choice->m_spread;
  }
  for (const UpstreamExplanation& one : explanation.m_upstreams) {
    result["upstreams"].push_back(UpstreamJson(one, explanation, now));
  }
  return result;
}

json ColdJson(const UpstreamPool& pool, TimePoint now) {
  json list = json::array();
  for (const auto& [id, remaining] : pool.ColdUpstreams(now)) {
    list.push_back(
        {{"id", id.str()}, {"remaining_ms", Milliseconds(remaining)}});
  }
  return list;
}

json EvacuatedJson(const UpstreamPool& pool) {
  json list = json::array();
  for (const DataCentreId& data_centre :
       pool.EvacuatedDataCentres().DataCentres()) {
    const UpstreamPool::DataCentreUse use = pool.UseOf(data_centre);
    list.push_back({{"data_centre", data_centre.str()},
                    {"upstreams", use.m_upstreams},
                    {"own_active", use.m_active}});
  }
  return list;
}

json HomesJson(const HomeRegions& homes) {
  if (!homes) {
    return nullptr;
  }
  json list = json::array();
  for (const RegionId& region : *homes) {
    list.push_back(region.str());
  }
  return list;
}

}  // namespace

RouteExplanation ExplainRoute(const GatewayState& state,
                              const net::HttpRequest& request,
                              TimePoint now) {
  const std::string host = Parameter(request, "host");
  const std::string path = Parameter(request, "path");
  const std::string customer_name = Parameter(request, "customer");
  const std::string priority_text = Parameter(request, "priority");
  const auto prompt = ParsePrompt(Parameter(request, "prompt"));
  const auto priority = ParseInteger<int>(priority_text);
  if (host.empty() || !path.starts_with('/')) {
    return Refused(host.empty() ? "host" : "path",
                   host.empty() ? "is required" : "must begin with a slash");
  }
  if (!prompt) {
    return Refused("prompt", "must be ID:TOKENS,... with hexadecimal ids");
  }
  if (!priority_text.empty() && !priority) {
    return Refused("priority", "must be a rank such as 0");
  }
  const RoutingConfiguration* configuration = state.m_configuration.get();
  if (configuration == nullptr) {
    return NotFound("the instance has read no configuration yet");
  }
  const HttpRoute* route = configuration->FindRoute(
      host, std::string_view(path).substr(0, path.find('?')));
  if (route == nullptr) {
    return NotFound("no route for this host and path");
  }
  const CustomerKeys* customer =
      configuration->FindCustomer(CustomerId(customer_name));
  if (customer == nullptr && !customer_name.empty()) {
    return NotFound("no such customer");
  }
  UpstreamQuery upstream_query;
  upstream_query.m_prompt = prompt->empty() ? nullptr : &*prompt;
  upstream_query.m_data_centre = state.m_settings->m_instance.m_data_centre;
  upstream_query.m_latency_target = route->m_latency_target;
  upstream_query.m_priority = route->m_priority;
  upstream_query.m_homes = route->m_homes;
  if (customer != nullptr) {
    upstream_query.m_priority =
        customer->m_priority.value_or(route->m_priority);
    upstream_query.m_homes = Intersect(route->m_homes, customer->m_homes);
  }
  upstream_query.m_priority = priority.value_or(upstream_query.m_priority);
  const UpstreamPool& pool = state.m_pool;
  json body{{"result", "ok"},
            {"instance", state.m_settings->m_instance.m_id.str()},
            {"revision", configuration->m_revision.value()},
            {"use_of_copies", NameOf(state.m_use_of_copies(now))},
            {"route", route->m_name},
            {"customer", customer_name.empty() ? json() : json(customer_name)},
            {"priority", upstream_query.m_priority},
            {"homes", HomesJson(upstream_query.m_homes)},
            {"cut_off", state.m_reachability->IsCutOff()},
            {"evacuated", EvacuatedJson(pool)},
            {"cold", ColdJson(pool, now)},
            {"services", json::array()}};
  for (const TrafficShare& share : route->m_shares) {
    upstream_query.m_service = share.m_service;
    const ChoiceExplanation explanation =
        pool.ExplainChoice(upstream_query, now);
    body["peer_load_age_ms"] = Milliseconds(explanation.m_peer_load_age);
    body["services"].push_back(ServiceJson(share, explanation, now));
  }
  return {.m_body = body.dump()};
}

}  // namespace nutmeghollow

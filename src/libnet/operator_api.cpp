#include "libnet/operator_api.h"

#include <fmt/core.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "libnet/operator_json.h"

namespace nutmeghollow::net {
namespace {

using Json = nlohmann::json;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusNotAllowed = 405;
constexpr int kStatusNotImplemented = 501;
constexpr int kStatusUnavailable = 503;
constexpr std::size_t kMaxCommandIdLength = 64;
constexpr std::uint64_t kDefaultAuditRevisions = 20;
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kConfigPrefix = "/v1/config/";
constexpr std::string_view kCommandPrefix = "/v1/commands/";
constexpr std::string_view kRequestPrefix = "/v1/requests/";

void Send(HttpExchange& exchange, OperatorResponse response) {
  exchange.Respond(response.m_status, {{"Content-Type", "application/json"}},
                   std::move(response.m_json));
}

void Refuse(HttpExchange& exchange,
            int status,
            std::string place,
            std::string message) {
  Send(exchange, detail::RefusedResponse(
                     status, {{std::move(place), std::move(message)}}));
}

std::string QueryValue(const HttpRequest& request, const std::string& name) {
  auto found = request.m_query.find(name);
  return found == request.m_query.end() ? "" : found->second;
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

bool IsCommandId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxCommandIdLength &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

std::optional<CommandAction> ActionForMethod(const std::string& method) {
  if (method == "PUT") {
    return CommandAction::kSet;
  }
  if (method == "PATCH") {
    return CommandAction::kMerge;
  }
  if (method == "DELETE") {
    return CommandAction::kDelete;
  }
  return std::nullopt;
}

/// Compares two digests in a time that is independent of their contents.
bool DigestsEqual(const std::string& left, const std::string& right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

/// Call of an authenticated operator.
struct OperatorApi::Call {
  std::shared_ptr<HttpExchange> m_exchange;
  OperatorId m_operator;

  const HttpRequest& Request() const { return m_exchange->Request(); }
  const std::string& Path() const { return Request().m_path; }
};

OperatorApi::OperatorApi(World& world,
                         OperatorApiOptions options,
                         OperatorApiHooks hooks)
    : m_world(world),
      m_options(std::move(options)),
      m_hooks(std::move(hooks)) {}

std::optional<OperatorId> OperatorApi::Authenticate(
    const HttpRequest& request) const {
  const std::string header = HeaderValue(request.m_headers, "authorization");
  if (!header.starts_with(kBearerPrefix)) {
    return std::nullopt;
  }
  const std::string digest =
      m_hooks.m_digest(std::string_view(header).substr(kBearerPrefix.size()));
  std::optional<OperatorId> operator_id;
  for (const auto& [name, expected] : m_options.m_token_digests) {
    if (DigestsEqual(digest, expected)) {
      operator_id = name;
    }
  }
  return operator_id;
}

void OperatorApi::Handle(std::shared_ptr<HttpExchange> exchange) {
  const std::optional<OperatorId> operator_id =
      Authenticate(exchange->Request());
  if (!operator_id) {
    Refuse(*exchange, kStatusUnauthorized, "token",
           "the bearer token is not an operator's");
    return;
  }
  Route({std::move(exchange), *operator_id});
}

void OperatorApi::Route(const Call& call) {
  if (call.Path().starts_with(kConfigPrefix)) {
    HandleConfiguration(call);
  } else if (call.Path().starts_with(kRequestPrefix)) {
    HandleRequestOutcome(call);
  } else if (call.Path() == "/v1/drain") {
    HandleDrain(call);
  } else if (call.Request().m_method != "GET") {
    Refuse(*call.m_exchange, kStatusNotAllowed, call.Path(),
           "the method is not allowed here");
  } else {
    RouteRead(call);
  }
}

void OperatorApi::RouteRead(const Call& call) {
  const HttpRequest& request = call.Request();
  const std::string& path = request.m_path;
  const TimePoint now = m_hooks.m_now();
  if (path == "/v1/revision") {
    const Revision current = m_world.m_configuration.m_revision;
    const Revision requested(
        ParseNumber(QueryValue(request, "of")).value_or(current.value()));
    Send(*call.m_exchange,
         detail::OkResponse(
             {{"revision", current.value()},
              {"of", requested.value()},
              {"in_force", detail::InForceJson(m_world, requested)}}));
  } else if (path == "/v1/status") {
    Json status = detail::StatusJson(m_world, now);
    if (m_hooks.m_status) {
      status.update(Json::parse(m_hooks.m_status(), nullptr, false));
    }
    Send(*call.m_exchange, detail::OkResponse(std::move(status)));
  } else if (path == "/v1/instances") {
    Send(*call.m_exchange,
         detail::OkResponse(
             {{"instances", detail::InstancesJson(m_world, now)}}));
  } else if (path == "/v1/upstreams") {
    Send(*call.m_exchange,
         detail::OkResponse(
             {{"upstreams", detail::UpstreamsJson(m_world, now)}}));
  } else if (path == "/v1/audit") {
    const std::uint64_t current = m_world.m_configuration.m_revision.value();
    const std::uint64_t default_after =
        current > kDefaultAuditRevisions ? current - kDefaultAuditRevisions : 0;
    const auto limit = ParseNumber(QueryValue(request, "limit"));
    StartQuery(
        call,
        {.m_kind = QueryKind::kAudit,
         .m_after = Revision(
             ParseNumber(QueryValue(request, "after")).value_or(default_after)),
         .m_limit = static_cast<int>(std::clamp<std::uint64_t>(
             limit.value_or(100), 1, m_options.m_audit_limit))});
  } else if (path.starts_with(kCommandPrefix)) {
    StartQuery(call,
               {.m_kind = QueryKind::kCommand,
                .m_command = CommandId(path.substr(kCommandPrefix.size()))});
  } else if (path == "/v1/explain" && m_hooks.m_explain) {
    Send(*call.m_exchange, m_hooks.m_explain(QueryValue(request, "chat"),
                                             QueryValue(request, "model")));
  } else {
    Refuse(*call.m_exchange, kStatusNotFound, path, "there is no such call");
  }
}

void OperatorApi::HandleConfiguration(const Call& call) {
  const std::string_view object_path =
      std::string_view(call.Path()).substr(kConfigPrefix.size());
  const std::size_t slash = object_path.find('/');
  const std::optional<ObjectKind> kind =
      ParseObjectKind(object_path.substr(0, slash));
  if (!kind) {
    Refuse(*call.m_exchange, kStatusNotFound, std::string(object_path),
           "there is no such kind of object");
  } else if (slash != std::string_view::npos &&
             slash + 1 < object_path.size()) {
    HandleObject(call, {*kind, std::string(object_path.substr(slash + 1))});
  } else if (call.Request().m_method == "GET") {
    Send(*call.m_exchange,
         detail::OkResponse(
             {{"revision", m_world.m_configuration.m_revision.value()},
              {"objects", detail::ObjectListJson(m_world, *kind)}}));
  } else {
    Refuse(*call.m_exchange, kStatusNotAllowed, call.Path(),
           "an object must be named");
  }
}

void OperatorApi::HandleObject(const Call& call, const ObjectKey& key) {
  if (call.Request().m_method != "GET") {
    StartCommand(call, key);
    return;
  }
  const ObjectRow* row = m_world.m_configuration.Find(key);
  if (row == nullptr) {
    Refuse(*call.m_exchange, kStatusNotFound,
           std::string(ObjectKindName(key.m_kind)) + "/" + key.m_id,
           "does not exist");
    return;
  }
  Send(*call.m_exchange, detail::OkResponse(detail::ObjectJson(key, *row)));
}

void OperatorApi::StartCommand(const Call& call, const ObjectKey& key) {
  const HttpRequest& request = call.Request();
  const std::optional<CommandAction> action = ActionForMethod(request.m_method);
  if (!action) {
    Refuse(*call.m_exchange, kStatusNotAllowed, request.m_path,
           "the method is not allowed here");
    return;
  }
  std::string id = HeaderValue(request.m_headers, "x-command-id");
  if (id.empty()) {
    id = fmt::format("{:016x}", m_world.m_hooks.m_random());
  }
  const std::string expected =
      HeaderValue(request.m_headers, "x-expected-revision");
  const std::optional<std::uint64_t> revision = ParseNumber(expected);
  Findings findings;
  if (!IsCommandId(id)) {
    findings.push_back(
        {"X-Command-Id", "must have 1 to 64 letters, digits, - _ or ."});
  }
  if (!expected.empty() && !revision) {
    findings.push_back({"X-Expected-Revision", "must be a revision"});
  }
  if (!findings.empty()) {
    Send(*call.m_exchange,
         detail::RefusedResponse(kStatusBadRequest, findings));
    return;
  }
  OperatorCommand command{.m_ticket = m_world.m_operators.NewTicket(),
                          .m_command = CommandId(id),
                          .m_operator = call.m_operator,
                          .m_action = *action,
                          .m_key = key,
                          .m_json = request.m_body};
  if (revision) {
    command.m_expected = Revision(*revision);
  }
  m_pending_exchanges[command.m_ticket] = call.m_exchange;
  m_world.m_operators.m_inbox.m_commands.push_back(std::move(command));
  m_hooks.m_schedule_tick();
}

void OperatorApi::StartQuery(const Call& call, OperatorQuery query) {
  query.m_ticket = m_world.m_operators.NewTicket();
  m_pending_exchanges[query.m_ticket] = call.m_exchange;
  m_world.m_operators.m_inbox.m_queries.push_back(std::move(query));
  m_hooks.m_schedule_tick();
}

void OperatorApi::HandleRequestOutcome(const Call& call) {
  const HttpRequest& request = call.Request();
  if (!m_hooks.m_run_outcome_command) {
    Refuse(*call.m_exchange, kStatusNotImplemented, request.m_path,
           "this daemon does not offer it");
    return;
  }
  RequestOutcomeCommand outcome_command{
      .m_command = CommandId(HeaderValue(request.m_headers, "x-command-id")),
      .m_operator = call.m_operator,
      .m_customer = CustomerId(QueryValue(request, "customer")),
      .m_service = ServiceId(QueryValue(request, "service")),
      .m_key = IdempotencyKey(request.m_path.substr(kRequestPrefix.size()))};
  Findings findings;
  if (outcome_command.m_customer.empty()) {
    findings.push_back({"customer", "is required"});
  }
  if (outcome_command.m_service.empty()) {
    findings.push_back({"service", "is required"});
  }
  if (request.m_method == "POST") {
    const std::string outcome = QueryValue(request, "outcome");
    if (outcome == "completed") {
      outcome_command.m_resolution = Outcome::kCompleted;
    } else if (outcome == "not-run") {
      outcome_command.m_resolution = Outcome::kNotRun;
    } else {
      findings.push_back({"outcome", "must be completed or not-run"});
    }
  }
  if (!findings.empty()) {
    Send(*call.m_exchange,
         detail::RefusedResponse(kStatusBadRequest, findings));
    return;
  }
  m_hooks.m_run_outcome_command(
      outcome_command, [exchange = call.m_exchange](OperatorResponse response) {
        Send(*exchange, std::move(response));
      });
  m_hooks.m_schedule_tick();
}

void OperatorApi::HandleDrain(const Call& call) {
  if (call.Request().m_method != "POST" || !m_hooks.m_drain) {
    Refuse(*call.m_exchange,
           m_hooks.m_drain ? kStatusNotAllowed : kStatusNotImplemented,
           call.Path(), "drain is started by POST");
    return;
  }
  m_hooks.m_drain();
  m_hooks.m_schedule_tick();
  Send(*call.m_exchange,
       detail::OkResponse({{"instance", m_world.m_instances.m_self.str()},
                           {"draining", true}}));
}

void OperatorApi::DeliverReplies() {
  if (m_world.m_operators.m_replies.empty()) {
    return;
  }
  for (const OperatorReply& reply :
       std::exchange(m_world.m_operators.m_replies, {})) {
    auto found = m_pending_exchanges.find(reply.m_ticket);
    if (found == m_pending_exchanges.end()) {
      continue;
    }
    OperatorResponse response = detail::ReplyResponse(m_world, reply);
    const bool store_unreachable =
        reply.m_result == OperatorResult::kRefused &&
        !reply.m_findings.empty() &&
        reply.m_findings.front().m_place == "table service";
    if (store_unreachable) {
      response.m_status = kStatusUnavailable;
    }
    Send(*found->second, std::move(response));
    m_pending_exchanges.erase(found);
  }
}

}  // namespace nutmeghollow::net

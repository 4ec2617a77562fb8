#include "nutmegd/caller_api.h"

#include <fmt/format.h>

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "libnet/event_loop.h"
#include "nutmegd/digest.h"
#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

using nlohmann::ordered_json;

constexpr std::string_view kServicePrefix = "/v1/services/";
/// Longest idempotency key that is accepted.
constexpr std::size_t kKeyLimit = 255;

std::string PercentEncode(std::string_view text, std::string_view kept) {
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || kept.find(c) != std::string_view::npos) {
      encoded.push_back(c);
    } else {
      encoded += fmt::format("%{:02X}", byte);
    }
  }
  return encoded;
}

std::string EncodeTarget(const std::string& path,
                         const std::map<std::string, std::string>& query) {
  std::string target = PercentEncode(path, "-._~/!$&'()*+,;=:@");
  char separator = '?';
  for (const auto& [key, value] : query) {
    target += separator + PercentEncode(key, "-._~") + "=" +
              PercentEncode(value, "-._~");
    separator = '&';
  }
  return target;
}

std::string BearerToken(const net::HeaderMap& headers) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string value = net::HeaderValue(headers, "authorization");
  if (value.compare(0, kScheme.size(), kScheme) != 0) {
    return "";
  }
  return value.substr(kScheme.size());
}

Problem RequestProblem(int status,
                       std::string type,
                       std::string title,
                       std::string detail) {
  Problem problem;
  problem.m_status = status;
  problem.m_type = std::move(type);
  problem.m_title = std::move(title);
  problem.m_detail = std::move(detail);
  return problem;
}

/// @return the last part of the problem URN for a refusal.
std::string RefusalType(Refusal refusal) {
  switch (refusal) {
    case Refusal::kUnknownRoute:
      return "unknown-model";
    case Refusal::kUnknownService:
      return "unknown-service";
    case Refusal::kNotReady:
    case Refusal::kIsolated:
      return "not-ready";
    case Refusal::kQueueFull:
    case Refusal::kQueueDeadline:
      return "busy";
    case Refusal::kCustomerLimit:
      return "customer-limit";
    case Refusal::kNoUpstream:
      return "no-upstream";
    case Refusal::kStoreUnavailable:
      return "store-unavailable";
    case Refusal::kKeyReused:
      return "key-reused";
    case Refusal::kKeyInProgress:
      return "key-in-progress";
    case Refusal::kKeyOutcomeUnknown:
      return "outcome-unknown";
    case Refusal::kAnswerNotKept:
      return "answer-not-kept";
    case Refusal::kQuarantined:
      return "quarantined";
    case Refusal::kRunsElsewhere:
      return "runs-elsewhere";
    case Refusal::kUpstreamTimeout:
      return "upstream-timeout";
    case Refusal::kDraining:
      return "draining";
    default:
      return "upstream-failed";
  }
}

}  // namespace

CallerApi::CallerApi(const World* world,
                     const Settings* settings,
                     MetricsRegistry* metrics,
                     CallerApiHooks hooks)
    : m_world(world),
      m_settings(settings),
      m_metrics(metrics),
      m_hooks(std::move(hooks)),
      m_id_prefix(fmt::format("{}-{:x}",
                              settings->m_instance.m_id.str(),
                              net::CivilTime().value())) {}

void CallerApi::Handle(const Exchange& exchange) {
  const net::HttpRequest& request = exchange->Request();
  const std::string& path = request.m_path;
  const bool reads = request.m_method == "GET" || request.m_method == "HEAD";
  if (path == "/v1/chat/completions" && request.m_method == "POST") {
    HandleChat(exchange);
  } else if (path == "/v1/entry" && reads) {
    HandleEntry(exchange);
  } else if (path == "/v1/models" && reads) {
    HandleModels(exchange);
  } else if (path.compare(0, kServicePrefix.size(), kServicePrefix) == 0) {
    HandleService(exchange);
  } else if (path == "/livez" && reads) {
    HandleHealth(exchange, false);
  } else if (path == "/readyz" && reads) {
    HandleHealth(exchange, true);
  } else if (path == "/metrics" && reads) {
    exchange->Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                      m_metrics->Render());
  } else {
    SendProblem(
        exchange,
        RequestProblem(404, "unknown-path", "Unknown path",
                       request.m_method + " " + path + " is not served here"),
        NewPublicId());
  }
}

bool CallerApi::Ready() const {
  return m_world->m_configuration.Ready();
}

void CallerApi::HandleHealth(const Exchange& exchange, bool readiness) {
  if (!readiness || (Ready() && !m_world->m_draining)) {
    exchange->Respond(200, {{"Content-Type", "text/plain"}}, "ok\n");
    return;
  }
  const char* reason = Ready() ? "leaving\n" : "no configuration yet\n";
  exchange->Respond(503, {{"Content-Type", "text/plain"}}, reason);
}

void CallerApi::HandleEntry(const Exchange& exchange) {
  const auto& query = exchange->Request().m_query;
  std::optional<ChatKey> chat;
  std::optional<RouteId> route;
  if (auto found = query.find("chat"); found != query.end()) {
    chat = ChatKeyOfName(found->second);
  }
  if (auto found = query.find("model"); found != query.end()) {
    route = RouteId(found->second);
  }
  ordered_json addresses = ordered_json::array();
  for (const Endpoint& endpoint : m_hooks.m_choose_entry(chat, route)) {
    addresses.push_back(endpoint.str());
  }
  if (addresses.empty()) {
    Problem problem = RequestProblem(503, "not-ready", "No instance",
                                     "no instance takes new callers now");
    problem.m_retry_after = std::chrono::seconds(1);
    SendProblem(exchange, problem, NewPublicId());
    return;
  }
  const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_settings->m_drain.m_keep);
  const ordered_json body{
      {"addresses", addresses},
      {"keep_ms", keep.count()},
      {"revision", m_world->m_configuration.m_revision.value()}};
  SendJson(exchange, body.dump() + "\n");
}

void CallerApi::HandleModels(const Exchange& exchange) {
  if (!Authenticate(exchange)) {
    return;
  }
  ordered_json models = ordered_json::array();
  for (const auto& [id, route] : m_world->m_routes) {
    models.push_back({{"id", id.str()},
                      {"object", "model"},
                      {"created", 0},
                      {"owned_by", "nutmeghollow"}});
  }
  const ordered_json body{{"object", "list"}, {"data", models}};
  SendJson(exchange, body.dump() + "\n");
}

void CallerApi::HandleChat(const Exchange& exchange) {
  const std::optional<CustomerId> customer = Authenticate(exchange);
  if (!customer) {
    return;
  }
  const net::HttpRequest& request = exchange->Request();
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(
            chat, m_reader.Read(request.m_body, request.m_headers, *customer));
        NewRequest added;
        added.m_kind = RequestKind::kChat;
        added.m_customer = *customer;
        added.m_route = chat.m_route;
        added.m_method = request.m_method;
        added.m_path = request.m_path;
        added.m_chat = chat.m_chat;
        added.m_digest = chat.m_digest;
        added.m_streamed = chat.m_streamed;
        added.m_first_turn = chat.m_first_turn;
        net::OutgoingRequest outgoing;
        outgoing.m_path = request.m_path;
        Submit(exchange, std::move(added), std::move(outgoing));
        return {};
      },
      [&](const BadChatRequest& error) {
        SendProblem(
            exchange,
            RequestProblem(400, "bad-request", "Bad request", error.m_detail),
            NewPublicId());
      },
      [&] {
        SendProblem(exchange,
                    RequestProblem(500, "internal", "Internal error",
                                   "the request could not be read"),
                    NewPublicId());
      });
}

void CallerApi::HandleService(const Exchange& exchange) {
  const std::optional<CustomerId> customer = Authenticate(exchange);
  if (!customer) {
    return;
  }
  const net::HttpRequest& request = exchange->Request();
  const std::string rest = request.m_path.substr(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  NewRequest added;
  added.m_kind = RequestKind::kService;
  added.m_customer = *customer;
  added.m_service = ServiceId(rest.substr(0, slash));
  added.m_method = request.m_method;
  const std::string path =
      slash == std::string::npos ? "/" : rest.substr(slash);
  added.m_path = EncodeTarget(path, request.m_query);
  const std::string key =
      net::HeaderValue(request.m_headers, "idempotency-key");
  if (key.size() > kKeyLimit) {
    SendProblem(exchange,
                RequestProblem(400, "bad-request", "Bad request",
                               "the Idempotency-Key is longer than 255 bytes"),
                NewPublicId());
    return;
  }
  added.m_idempotency_key = IdempotencyKey(key);
  added.m_digest = RequestDigest(
      HashPair(HashPair(HashText(request.m_method), HashText(added.m_path)),
               HashText(request.m_body)));
  net::OutgoingRequest outgoing;
  outgoing.m_path = added.m_path;
  Submit(exchange, std::move(added), std::move(outgoing));
}

void CallerApi::Submit(const Exchange& exchange,
                       NewRequest request,
                       net::OutgoingRequest outgoing) {
  const net::HttpRequest& http = exchange->Request();
  request.m_id = RequestId(++m_last_request);
  request.m_public_id = NewPublicId();
  request.m_body_size = Bytes(static_cast<std::int64_t>(http.m_body.size()));
  request.m_timeout = m_settings->m_callers.m_request_timeout;
  outgoing.m_kind = request.m_kind;
  outgoing.m_method = http.m_method;
  outgoing.m_headers.assign(http.m_headers.begin(), http.m_headers.end());
  outgoing.m_public_id = request.m_public_id;
  outgoing.m_priority = PriorityRank(request.m_customer);
  outgoing.m_streamed = request.m_streamed;
  // Shares the exchange's copy of the body instead of making another.
  outgoing.m_body = std::shared_ptr<const std::string>(exchange, &http.m_body);
  const RequestId id = request.m_id;
  m_waiting.emplace(
      id, Waiting{exchange, request.m_public_id, net::BootTime(), false});
  exchange->OnGone([this, id] {
    if (m_waiting.erase(id) > 0) {
      m_metrics->Count("nutmeg_callers_gone_total");
      m_hooks.m_caller_disconnected(id);
    }
  });
  exchange->OnDrained([this, id] { m_hooks.m_caller_ready(id); });
  m_hooks.m_submit(request, std::move(outgoing), MakeSink(id));
}

int CallerApi::PriorityRank(const CustomerId& customer) const {
  auto row = m_world->m_customers.find(customer);
  if (row == m_world->m_customers.end()) {
    return PriorityRow().m_rank;
  }
  auto priority = m_world->m_priorities.find(row->second.m_priority);
  return priority == m_world->m_priorities.end() ? PriorityRow().m_rank
                                                 : priority->second.m_rank;
}

net::ResponseSink CallerApi::MakeSink(RequestId request) {
  net::ResponseSink sink;
  sink.m_begin = [this, request](int status, const net::HeaderList& headers) {
    BeginAnswer(request, status, headers);
  };
  sink.m_write = [this, request](std::string_view data) {
    auto found = m_waiting.find(request);
    return found == m_waiting.end() || found->second.m_exchange->Write(data);
  };
  sink.m_end = [this, request] { EndAnswer(request); };
  sink.m_abort = [this, request] { AbortAnswer(request); };
  sink.m_whole = [this, request](int status, const net::HeaderList& headers,
                                 std::string body) {
    GiveWholeAnswer(request, status, headers, std::move(body));
  };
  return sink;
}

std::optional<CustomerId> CallerApi::Authenticate(const Exchange& exchange) {
  if (!Ready()) {
    Problem problem = RequestProblem(503, "not-ready", "Not ready",
                                     "this instance has no configuration yet");
    problem.m_retry_after = std::chrono::seconds(1);
    SendProblem(exchange, problem, NewPublicId());
    return std::nullopt;
  }
  const std::string token = BearerToken(exchange->Request().m_headers);
  const auto& customers = m_world->m_configuration.m_customers_by_token;
  const auto found = customers.find(Sha256Hex(token));
  if (token.empty() || found == customers.end()) {
    SendProblem(exchange,
                RequestProblem(401, "bad-token", "Unknown token",
                               "the bearer token belongs to no customer"),
                NewPublicId());
    return std::nullopt;
  }
  return found->second;
}

std::optional<CallerApi::Waiting> CallerApi::TakeWaiting(RequestId request,
                                                         Outcome outcome) {
  auto node = m_waiting.extract(request);
  if (node.empty()) {
    return std::nullopt;
  }
  m_metrics->Count("nutmeg_requests_total",
                   fmt::format("outcome=\"{}\"", OutcomeWord(outcome)));
  return std::move(node.mapped());
}

void CallerApi::Refuse(const RefuseRequest& refusal) {
  const auto waiting = TakeWaiting(refusal.m_request, refusal.m_outcome);
  if (!waiting) {
    return;
  }
  if (waiting->m_began) {
    waiting->m_exchange->AbortStream();
    return;
  }
  Problem problem =
      RequestProblem(refusal.m_status, RefusalType(refusal.m_refusal),
                     refusal.m_title, refusal.m_detail);
  problem.m_outcome = refusal.m_outcome;
  problem.m_retry_after = refusal.m_retry_after;
  SendProblem(waiting->m_exchange, problem, waiting->m_public_id);
}

void CallerApi::Replay(const ReplayAnswer& replay) {
  const auto waiting = TakeWaiting(replay.m_request, Outcome::kCompleted);
  if (!waiting) {
    return;
  }
  waiting->m_exchange->Respond(
      replay.m_status,
      {{"Content-Type", replay.m_content_type},
       {"Nutmeg-Outcome", OutcomeWord(Outcome::kCompleted)},
       {"Nutmeg-Replayed", "true"},
       {"X-Request-Id", waiting->m_public_id.str()}},
      replay.m_body);
}

void CallerApi::BeginAnswer(RequestId request,
                            int status,
                            const net::HeaderList& headers) {
  auto found = m_waiting.find(request);
  if (found == m_waiting.end()) {
    return;
  }
  Waiting& waiting = found->second;
  waiting.m_began = true;
  const std::chrono::duration<double> wait =
      net::BootTime() - waiting.m_started_at;
  m_metrics->Observe("nutmeg_first_byte_seconds", wait.count());
  // The outcome holds if the stream ends in the regular way; one that breaks
  // off closes the connection without the end of the chunked coding.
  net::HeaderList all = headers;
  all.emplace_back("Nutmeg-Outcome", OutcomeWord(Outcome::kCompleted));
  all.emplace_back("X-Request-Id", waiting.m_public_id.str());
  waiting.m_exchange->BeginStream(status, all);
}

void CallerApi::EndAnswer(RequestId request) {
  if (const auto waiting = TakeWaiting(request, Outcome::kCompleted)) {
    waiting->m_exchange->EndStream();
  }
}

void CallerApi::AbortAnswer(RequestId request) {
  const auto waiting = TakeWaiting(request, Outcome::kUnknown);
  if (!waiting) {
    return;
  }
  if (waiting->m_began) {
    waiting->m_exchange->AbortStream();
    return;
  }
  Problem problem = RequestProblem(
      502, "upstream-failed", "Upstream failed",
      "the upstream's answer broke off; the request may have run");
  problem.m_outcome = Outcome::kUnknown;
  SendProblem(waiting->m_exchange, problem, waiting->m_public_id);
}

void CallerApi::GiveWholeAnswer(RequestId request,
                                int status,
                                const net::HeaderList& headers,
                                std::string body) {
  const auto waiting = TakeWaiting(request, Outcome::kCompleted);
  if (!waiting) {
    return;
  }
  net::HeaderList all = headers;
  all.emplace_back("Nutmeg-Outcome", OutcomeWord(Outcome::kCompleted));
  all.emplace_back("X-Request-Id", waiting->m_public_id.str());
  waiting->m_exchange->Respond(status, all, std::move(body));
}

void CallerApi::SendProblem(const Exchange& exchange,
                            const Problem& problem,
                            const PublicRequestId& request_id) {
  m_metrics->Count("nutmeg_problems_total",
                   fmt::format("type=\"{}\"", problem.m_type));
  net::HeaderList headers = ProblemHeaders(problem);
  headers.emplace_back("X-Request-Id", request_id.str());
  exchange->Respond(problem.m_status, headers,
                    ProblemBody(problem, request_id));
}

void CallerApi::SendJson(const Exchange& exchange, const std::string& body) {
  exchange->Respond(200,
                    {{"Content-Type", "application/json"},
                     {"Nutmeg-Outcome", OutcomeWord(Outcome::kCompleted)},
                     {"X-Request-Id", NewPublicId().str()}},
                    body);
}

PublicRequestId CallerApi::NewPublicId() {
  return PublicRequestId(fmt::format("{}-{}", m_id_prefix, ++m_last_request));
}

net::HttpErrorAnswer CallerApi::ServerError(int status,
                                            const std::string& detail) {
  Problem problem =
      RequestProblem(status, "bad-request", "Bad request", detail);
  return {ProblemHeaders(problem), ProblemBody(problem, PublicRequestId())};
}

}  // namespace nutmeghollow

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
/// Maximum length of an idempotency key, in bytes.
constexpr std::size_t kMaxKeyLength = 255;
constexpr int kStatusUnavailable = 503;
/// Retry-After of requests that the HTTP server itself refuses. Memory is free
/// again when upstreams have responded to the requests that hold it.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

std::string PercentEncode(std::string_view text, std::string_view unescaped) {
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 ||
        unescaped.find(c) != std::string_view::npos) {
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

/// @return the problem type of a refusal: the last part of its URN.
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
                              net::WallClockTime().value())) {}

void CallerApi::Handle(const Exchange& exchange) {
  const net::HttpRequest& request = exchange->Request();
  const std::string& path = request.m_path;
  const bool is_read = request.m_method == "GET" || request.m_method == "HEAD";
  if (path == "/v1/chat/completions" && request.m_method == "POST") {
    HandleChat(exchange);
  } else if (path == "/v1/entry" && is_read) {
    HandleEntry(exchange);
  } else if (path == "/v1/models" && is_read) {
    HandleModels(exchange);
  } else if (path.compare(0, kServicePrefix.size(), kServicePrefix) == 0) {
    HandleService(exchange);
  } else if (path == "/livez" && is_read) {
    HandleHealth(exchange, false);
  } else if (path == "/readyz" && is_read) {
    HandleHealth(exchange, true);
  } else if (path == "/metrics" && is_read) {
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
    chat = ChatKeyFromId(found->second);
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
        NewRequest new_request;
        new_request.m_kind = RequestKind::kChat;
        new_request.m_customer = *customer;
        new_request.m_route = chat.m_route;
        new_request.m_method = request.m_method;
        new_request.m_path = request.m_path;
        new_request.m_chat = chat.m_chat;
        new_request.m_digest = chat.m_digest;
        new_request.m_streamed = chat.m_streamed;
        new_request.m_first_turn = chat.m_first_turn;
        net::OutgoingRequest outgoing;
        outgoing.m_path = request.m_path;
        Submit(exchange, std::move(new_request), std::move(outgoing));
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
  const std::string service_path = request.m_path.substr(kServicePrefix.size());
  const std::size_t slash = service_path.find('/');
  NewRequest new_request;
  new_request.m_kind = RequestKind::kService;
  new_request.m_customer = *customer;
  new_request.m_service = ServiceId(service_path.substr(0, slash));
  new_request.m_method = request.m_method;
  const std::string path =
      slash == std::string::npos ? "/" : service_path.substr(slash);
  new_request.m_path = EncodeTarget(path, request.m_query);
  const std::string key =
      net::HeaderValue(request.m_headers, "idempotency-key");
  if (key.size() > kMaxKeyLength) {
    SendProblem(exchange,
                RequestProblem(400, "bad-request", "Bad request",
                               "the Idempotency-Key is longer than 255 bytes"),
                NewPublicId());
    return;
  }
  new_request.m_idempotency_key = IdempotencyKey(key);
  new_request.m_digest = RequestDigest(HashPair(
      HashPair(HashText(request.m_method), HashText(new_request.m_path)),
      HashText(request.m_body)));
  net::OutgoingRequest outgoing;
  outgoing.m_path = new_request.m_path;
  Submit(exchange, std::move(new_request), std::move(outgoing));
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
  // Shares the body with the exchange instead of copying it.
  outgoing.m_body = std::shared_ptr<const std::string>(exchange, &http.m_body);
  const RequestId id = request.m_id;
  m_pending.emplace(id, PendingResponse{exchange, request.m_public_id,
                                        net::BootTime(), false});
  exchange->OnDisconnect([this, id] {
    if (m_pending.erase(id) > 0) {
      m_metrics->Count("nutmeg_callers_gone_total");
      m_hooks.m_caller_disconnected(id);
    }
  });
  exchange->OnDrained([this, id] { m_hooks.m_caller_writable(id); });
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
    BeginResponse(request, status, headers);
  };
  sink.m_write = [this, request](std::string_view data) {
    auto found = m_pending.find(request);
    return found == m_pending.end() || found->second.m_exchange->Write(data);
  };
  sink.m_end = [this, request] { EndResponse(request); };
  sink.m_abort = [this, request] { AbortResponse(request); };
  sink.m_send_complete = [this, request](int status,
                                         const net::HeaderList& headers,
                                         std::string body) {
    SendCompleteResponse(request, status, headers, std::move(body));
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

std::optional<CallerApi::PendingResponse> CallerApi::TakePending(
    RequestId request,
    Outcome outcome) {
  auto node = m_pending.extract(request);
  if (node.empty()) {
    return std::nullopt;
  }
  m_metrics->Count("nutmeg_requests_total",
                   fmt::format("outcome=\"{}\"", OutcomeName(outcome)));
  return std::move(node.mapped());
}

void CallerApi::Refuse(const RefuseRequest& refusal) {
  const auto pending = TakePending(refusal.m_request, refusal.m_outcome);
  if (!pending) {
    return;
  }
  if (pending->m_stream_started) {
    pending->m_exchange->AbortStream();
    return;
  }
  Problem problem =
      RequestProblem(refusal.m_status, RefusalType(refusal.m_refusal),
                     refusal.m_title, refusal.m_detail);
  problem.m_outcome = refusal.m_outcome;
  problem.m_retry_after = refusal.m_retry_after;
  SendProblem(pending->m_exchange, problem, pending->m_public_id);
}

void CallerApi::Replay(const ReplayAnswer& replay) {
  const auto pending = TakePending(replay.m_request, Outcome::kCompleted);
  if (!pending) {
    return;
  }
  pending->m_exchange->Respond(
      replay.m_status,
      {{"Content-Type", replay.m_content_type},
       {"Nutmeg-Outcome", OutcomeName(Outcome::kCompleted)},
       {"Nutmeg-Replayed", "true"},
       {"X-Request-Id", pending->m_public_id.str()}},
      replay.m_body);
}

void CallerApi::BeginResponse(RequestId request,
                              int status,
                              const net::HeaderList& headers) {
  auto found = m_pending.find(request);
  if (found == m_pending.end()) {
    return;
  }
  PendingResponse& pending = found->second;
  pending.m_stream_started = true;
  const std::chrono::duration<double> wait =
      net::BootTime() - pending.m_started_at;
  m_metrics->Observe("nutmeg_first_byte_seconds", wait.count());
  // This outcome is valid only if the stream ends normally. A broken stream
  // closes the connection without the last chunk of the chunked transfer
  // coding.
  net::HeaderList all_headers = headers;
  all_headers.emplace_back("Nutmeg-Outcome", OutcomeName(Outcome::kCompleted));
  all_headers.emplace_back("X-Request-Id", pending.m_public_id.str());
  pending.m_exchange->BeginStream(status, all_headers);
}

void CallerApi::EndResponse(RequestId request) {
  if (const auto pending = TakePending(request, Outcome::kCompleted)) {
    pending->m_exchange->EndStream();
  }
}

void CallerApi::AbortResponse(RequestId request) {
  const auto pending = TakePending(request, Outcome::kUnknown);
  if (!pending) {
    return;
  }
  if (pending->m_stream_started) {
    pending->m_exchange->AbortStream();
    return;
  }
  Problem problem = RequestProblem(
      502, "upstream-failed", "Upstream failed",
      "the upstream's answer broke off; the request may have run");
  problem.m_outcome = Outcome::kUnknown;
  SendProblem(pending->m_exchange, problem, pending->m_public_id);
}

void CallerApi::SendCompleteResponse(RequestId request,
                                     int status,
                                     const net::HeaderList& headers,
                                     std::string body) {
  const auto pending = TakePending(request, Outcome::kCompleted);
  if (!pending) {
    return;
  }
  net::HeaderList all_headers = headers;
  all_headers.emplace_back("Nutmeg-Outcome", OutcomeName(Outcome::kCompleted));
  all_headers.emplace_back("X-Request-Id", pending->m_public_id.str());
  pending->m_exchange->Respond(status, all_headers, std::move(body));
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
                     {"Nutmeg-Outcome", OutcomeName(Outcome::kCompleted)},
                     {"X-Request-Id", NewPublicId().str()}},
                    body);
}

PublicRequestId CallerApi::NewPublicId() {
  return PublicRequestId(fmt::format("{}-{}", m_id_prefix, ++m_last_request));
}

net::HttpErrorResponse CallerApi::MakeErrorResponse(int status,
                                                    const std::string& detail) {
  Problem problem =
      RequestProblem(status, "bad-request", "Bad request", detail);
  if (status == kStatusUnavailable) {
    problem.m_type = "unavailable";
    problem.m_title = "Unavailable";
    problem.m_retry_after = kRetryAfter;
  }
  return {ProblemHeaders(problem), ProblemBody(problem, PublicRequestId())};
}

}  // namespace nutmeghollow

#include "libnet/upstream_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/stream_end.h"
#include "nutmeghollow/check.h"

namespace nutmeghollow::net {
namespace {

constexpr int kOk = 200;
constexpr int kFirstErrorStatus = 400;
constexpr int kMaxCancelTries = 2;
constexpr Duration kCancelTimeout = std::chrono::milliseconds(900);
constexpr Duration kKeyStatusTimeout = std::chrono::seconds(2);
constexpr Bytes kSmallResponseLimit{1 << 20};

Duration RetryAfter(const HeaderMap& headers) {
  const std::string value = HeaderValue(headers, "retry-after");
  int seconds = 0;
  std::from_chars(value.data(), value.data() + value.size(), seconds);
  return std::chrono::seconds(std::clamp(seconds, 0, 3600));
}

/// Whether calls with this method may be repeated safely.
bool IsIdempotent(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" ||
         method == "PUT" || method == "DELETE";
}

}  // namespace

/// One registered request and its current attempt.
struct UpstreamClient::Relay {
  RequestId m_id;
  OutgoingRequest m_request;
  ResponseSink m_sink;

  AttemptId m_attempt;
  HttpCallId m_call;        ///< Zero when none is in progress.
  int m_runs = 0;           ///< Attempts, excluding resumes.
  std::string m_stream_id;  ///< X-Request-Id of the current run.
  Endpoint m_endpoint;
  bool m_sent = false;  ///< The current run may have reached the upstream.
  bool m_resuming = false;

  int m_status = 0;
  HeaderList m_headers;
  std::string m_content_type;
  Duration m_retry_after{};
  bool m_refused = false;
  bool m_wrong_id = false;
  bool m_not_retained = false;
  bool m_is_stream = false;
  bool m_relaying = false;  ///< The response has begun at the sink.
  bool m_paused = false;    ///< Waits for HandleSinkDrained.
  std::string m_buffered;   ///< Body of a response that is not a stream.
  StreamEnd m_stream_end;
  std::int64_t m_relayed = 0;     ///< Bytes of this run written to the sink.
  std::int64_t m_unreported = 0;  ///< Part of m_relayed not yet reported.
  TimePoint m_last_received{};
};

UpstreamClient::UpstreamClient(HttpClient& client,
                               UpstreamClientOptions options,
                               std::function<void(AttemptEvent)> report)
    : m_client(client),
      m_options(std::move(options)),
      m_report(std::move(report)) {}

UpstreamClient::~UpstreamClient() {
  *m_alive = false;
  for (const auto& [id, relay] : m_relays) {
    m_client.Cancel(relay->m_call);
  }
}

void UpstreamClient::Register(RequestId id,
                              OutgoingRequest request,
                              ResponseSink sink) {
  auto relay = std::make_shared<Relay>();
  relay->m_id = id;
  relay->m_request = std::move(request);
  relay->m_sink = std::move(sink);
  m_relays[id] = std::move(relay);
}

void UpstreamClient::Unregister(RequestId id) {
  const auto found = m_relays.find(id);
  if (found == m_relays.end()) {
    return;
  }
  m_client.Cancel(found->second->m_call);
  m_relays.erase(found);
}

void UpstreamClient::Dispatch(const DispatchAttempt& action) {
  const auto found = m_relays.find(action.m_request);
  if (found == m_relays.end()) {
    AttemptEvent event{action.m_request, action.m_attempt,
                       AttemptEventKind::kConnectFailed};
    m_report(std::move(event));
    return;
  }
  const RelayPtr relay = found->second;
  NUTMEG_CHECK(relay->m_call == HttpCallId(),
               "a request must not have two attempts in progress");
  HttpCall call = MakeCall(*relay, action);
  relay->m_call = m_client.Start(std::move(call), MakeEvents(relay, action));
}

HttpCall UpstreamClient::MakeCall(Relay& relay, const DispatchAttempt& action) {
  const OutgoingRequest& request = relay.m_request;
  const bool is_chat = request.m_kind == RequestKind::kChat;
  relay.m_attempt = action.m_attempt;
  relay.m_endpoint = action.m_endpoint;
  relay.m_resuming = action.m_resume;
  relay.m_refused = false;
  relay.m_wrong_id = false;
  relay.m_not_retained = false;
  relay.m_buffered.clear();
  HttpCall call;
  if (action.m_resume) {
    NUTMEG_CHECK(action.m_resume_offset == relay.m_relayed,
                 "a stream must resume at the number of relayed bytes");
    call = m_options.m_engine.m_resume(relay.m_stream_id, relay.m_relayed);
  } else {
    ++relay.m_runs;
    relay.m_sent = false;
    relay.m_stream_end = StreamEnd();
    relay.m_stream_id = request.m_public_id.str();
    if (relay.m_runs > 1) {
      relay.m_stream_id += "." + std::to_string(relay.m_runs);
    }
    call = is_chat ? m_options.m_engine.m_run(request, relay.m_stream_id)
                   : m_options.m_service.m_run(request, relay.m_stream_id);
  }
  const UpstreamTimeouts& timeouts = m_options.m_timeouts;
  call.m_endpoint = action.m_endpoint;
  call.m_connect_timeout = timeouts.m_connect;
  call.m_head_timeout =
      is_chat ? timeouts.m_chat_first_byte : timeouts.m_service_first_byte;
  call.m_idle_timeout = timeouts.m_idle;
  // After a failure, cached connections may be broken as well, so a new one is
  // opened.
  call.m_dedicated_connection = action.m_resume || relay.m_runs > 1 ||
                                (!is_chat && !IsIdempotent(request.m_method));
  return call;
}

HttpCallEvents UpstreamClient::MakeEvents(const RelayPtr& relay,
                                          const DispatchAttempt& action) {
  HttpCallEvents events;
  events.m_on_send = [this, relay, action] { HandleSend(*relay, action); };
  events.m_on_headers = [this, relay](int status, const HeaderMap& headers) {
    HandleHeaders(*relay, status, headers);
  };
  events.m_on_data = [this, relay](std::string_view data) {
    return HandleData(*relay, data);
  };
  events.m_on_end = [this, relay](const HttpCallResult& result) {
    HandleEnd(*relay, result);
  };
  return events;
}

void UpstreamClient::HandleSend(Relay& relay, const DispatchAttempt& action) {
  if (action.m_not_after && BootTime() >= *action.m_not_after) {
    // The process may have been suspended since the decision to dispatch.
    EndCall(relay, AttemptEventKind::kConnectFailed);
    return;
  }
  relay.m_sent = true;
  Report(relay, AttemptEventKind::kBytesSent);
}

void UpstreamClient::HandleHeaders(Relay& relay,
                                   int status,
                                   const HeaderMap& headers) {
  const bool is_chat = relay.m_request.m_kind == RequestKind::kChat;
  const auto& is_refusal = is_chat ? m_options.m_engine.m_is_refusal
                                   : m_options.m_service.m_is_refusal;
  const std::string id = HeaderValue(headers, "x-request-id");
  const bool may_lack_id =
      relay.m_resuming || (status >= kFirstErrorStatus &&
                           !m_client.IsOnReusedConnection(relay.m_call));
  if (id != relay.m_stream_id && !(id.empty() && may_lack_id)) {
    EndCall(relay, AttemptEventKind::kWrongRequestId);
    return;
  }
  if (relay.m_resuming && status != kOk) {
    EndCall(relay, AttemptEventKind::kStreamNotRetained);
    return;
  }
  if (is_refusal(status, headers)) {
    relay.m_refused = true;
    relay.m_retry_after = RetryAfter(headers);
    return;
  }
  relay.m_status = status;
  relay.m_headers = HeadersForCaller(headers);
  relay.m_content_type = HeaderValue(headers, "content-type");
  relay.m_is_stream = is_chat && relay.m_request.m_streamed &&
                      m_options.m_engine.m_is_stream(status, headers);
  Report(relay, AttemptEventKind::kHeaders);
}

bool UpstreamClient::HandleData(Relay& relay, std::string_view data) {
  relay.m_last_received = BootTime();
  if (relay.m_refused) {
    return true;
  }
  if (relay.m_paused) {
    return false;
  }
  if (relay.m_is_stream || relay.m_relaying) {
    BeginRelay(relay);
    Write(relay, data);
    return true;
  }
  relay.m_buffered.append(data);
  if (relay.m_buffered.size() >
      static_cast<std::size_t>(m_options.m_buffer_limit.value())) {
    BeginRelay(relay);
    Write(relay, std::exchange(relay.m_buffered, {}));
  }
  return true;
}

void UpstreamClient::BeginRelay(Relay& relay) {
  if (relay.m_relaying) {
    return;
  }
  relay.m_relaying = true;
  if (relay.m_sink.m_begin) {
    relay.m_sink.m_begin(relay.m_status, relay.m_headers);
  }
}

void UpstreamClient::Write(Relay& relay, std::string_view data) {
  const bool first = relay.m_relayed == 0;
  relay.m_stream_end.Append(data);
  relay.m_relayed += static_cast<std::int64_t>(data.size());
  relay.m_unreported += static_cast<std::int64_t>(data.size());
  if (relay.m_sink.m_write && !relay.m_sink.m_write(data)) {
    relay.m_paused = true;
  }
  if (first) {
    // The decision library must know that the relay has begun. Later bytes are
    // reported with the next event, which saves a tick per part of a stream.
    Report(relay, AttemptEventKind::kResponseBytes);
  }
}

void UpstreamClient::HandleEnd(Relay& relay, const HttpCallResult& result) {
  relay.m_call = HttpCallId();
  if (result.m_outcome == HttpCallOutcome::kConnectFailed) {
    Report(relay, AttemptEventKind::kConnectFailed);
  } else if (relay.m_refused) {
    // The status line and headers prove that the request did not run, whatever
    // happened to the rest of the response.
    Report(relay, AttemptEventKind::kRefused);
  } else if (relay.m_is_stream && relay.m_stream_end.Reached()) {
    // After the end marker, the result of the transfer is irrelevant.
    Report(relay, AttemptEventKind::kComplete);
  } else if (result.m_outcome == HttpCallOutcome::kTimeout) {
    Report(relay, AttemptEventKind::kTimeout);
  } else if (result.m_outcome == HttpCallOutcome::kBroken) {
    Report(relay, AttemptEventKind::kBroken);
  } else if (relay.m_is_stream) {
    Report(relay, AttemptEventKind::kIncomplete);
  } else {
    ReportCompleteResponse(relay);
  }
}

void UpstreamClient::ReportCompleteResponse(Relay& relay) {
  AttemptEvent event{relay.m_id, relay.m_attempt, AttemptEventKind::kComplete};
  event.m_status = relay.m_status;
  event.m_bytes = std::exchange(relay.m_unreported, 0);
  event.m_buffered_bytes = static_cast<std::int64_t>(relay.m_buffered.size());
  if (relay.m_request.m_kind == RequestKind::kService) {
    event.m_content_type = relay.m_content_type;
    event.m_body = relay.m_buffered;
  }
  m_report(std::move(event));
}

void UpstreamClient::Report(Relay& relay, AttemptEventKind kind) {
  AttemptEvent event{relay.m_id, relay.m_attempt, kind};
  event.m_status = relay.m_status;
  event.m_bytes = std::exchange(relay.m_unreported, 0);
  event.m_retry_after = relay.m_retry_after;
  m_report(std::move(event));
}

void UpstreamClient::EndCall(Relay& relay, AttemptEventKind kind) {
  m_client.Cancel(std::exchange(relay.m_call, HttpCallId()));
  Report(relay, kind);
}

void UpstreamClient::Cancel(const CancelAttempt& action) {
  const auto found = m_relays.find(action.m_request);
  if (found == m_relays.end()) {
    return;
  }
  Relay& relay = *found->second;
  m_client.Cancel(std::exchange(relay.m_call, HttpCallId()));
  relay.m_attempt = AttemptId();
  if (relay.m_sent && relay.m_request.m_kind == RequestKind::kChat) {
    HttpCall call = m_options.m_engine.m_cancel(relay.m_stream_id);
    call.m_endpoint = relay.m_endpoint;
    call.m_connect_timeout = kCancelTimeout;
    call.m_total_timeout = kCancelTimeout;
    SendCancel(call, kMaxCancelTries);
  }
  relay.m_sent = false;
}

void UpstreamClient::SendCancel(const HttpCall& call, int tries_left) {
  const std::shared_ptr<bool> alive = m_alive;
  Fetch(m_client, call, kSmallResponseLimit,
        [this, alive, call, tries_left](const HttpResponse& response) {
          const bool responded =
              response.m_call_result.m_outcome == HttpCallOutcome::kComplete;
          if (*alive && !responded && tries_left > 1) {
            HttpCall retry = call;
            retry.m_dedicated_connection = true;
            SendCancel(retry, tries_left - 1);
          }
        });
}

void UpstreamClient::Finish(const FinishRelay& action) {
  const auto found = m_relays.find(action.m_request);
  if (found == m_relays.end()) {
    return;
  }
  const RelayPtr relay = found->second;
  m_relays.erase(found);
  m_client.Cancel(std::exchange(relay->m_call, HttpCallId()));
  const ResponseSink& sink = relay->m_sink;
  const bool complete = action.m_outcome == Outcome::kCompleted;
  if (complete && !relay->m_relaying) {
    if (sink.m_send_complete) {
      sink.m_send_complete(relay->m_status, relay->m_headers,
                           std::move(relay->m_buffered));
    }
  } else if (complete) {
    if (sink.m_end) {
      sink.m_end();
    }
  } else if (sink.m_abort) {
    sink.m_abort();
  }
}

void UpstreamClient::QueryKey(const QueryKeyStatus& action,
                              std::function<void(KeyStatusResult)> callback) {
  HttpCall call;
  call.m_endpoint = action.m_endpoint;
  call.m_path = action.m_path;
  call.m_connect_timeout = m_options.m_timeouts.m_connect;
  call.m_total_timeout = kKeyStatusTimeout;
  Fetch(m_client, call, kSmallResponseLimit,
        [this, alive = m_alive, id = action.m_request,
         callback = std::move(callback)](const HttpResponse& response) {
          if (!*alive) {
            return;
          }
          KeyStatusResult result = m_options.m_service.m_read_status(response);
          result.m_request = id;
          callback(std::move(result));
        });
}

TimePoint UpstreamClient::LastReceived(RequestId id) const {
  const auto found = m_relays.find(id);
  return found == m_relays.end() ? TimePoint() : found->second->m_last_received;
}

void UpstreamClient::HandleSinkDrained(RequestId id) {
  const auto found = m_relays.find(id);
  if (found == m_relays.end() || !found->second->m_paused) {
    return;
  }
  found->second->m_paused = false;
  m_client.Resume(found->second->m_call);
}

}  // namespace nutmeghollow::net

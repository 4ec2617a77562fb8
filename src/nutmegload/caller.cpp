#include "nutmegload/caller.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "nutmegload/response_reader.h"

namespace nutmeghollow::load {
namespace {

constexpr Duration kInitialBackoff = std::chrono::milliseconds(150);
constexpr Duration kMaxBackoff = std::chrono::seconds(3);
constexpr int kStatusOk = 200;
constexpr int kStatusServerError = 500;

/// @param outcome_header value of the Nutmeg-Outcome header.
AttemptOutcome ClassifyErrorResponse(int status,
                                     const std::string& outcome_header) {
  if (outcome_header == "not-run") {
    const bool permanent =
        status >= 400 && status < 500 && status != 409 && status != 429;
    return permanent ? AttemptOutcome::kRefused : AttemptOutcome::kNotRun;
  }
  if (status >= 400 && status < kStatusServerError && status != 409) {
    return AttemptOutcome::kRefused;
  }
  return AttemptOutcome::kUnknown;
}

/// @return whether the stand-in service ran this call with this body.
bool IsExpectedServiceResponse(const PlannedCall& call,
                               const std::string& body) {
  const auto response = nlohmann::json::parse(body, nullptr, false);
  return response.is_object() &&
         response.value("ran", "") == call.m_idempotency_key &&
         response.value("echo", "") == call.m_body;
}

}  // namespace

/// A call in progress, with all of its attempts.
struct Caller::CallState {
  CallState(struct ev_loop* loop,
            const PlannedCall& call,
            std::function<void()> on_retry)
      : m_call(call),
        m_expected_text(standins::AnswerText(call.m_model,
                                             call.m_messages,
                                             call.m_response_token_limit)),
        m_retry_timer(loop, std::move(on_retry)) {}

  PlannedCall m_call;
  std::string m_expected_text;
  std::shared_ptr<const std::string> m_request_body;
  std::string m_entry_key;
  TimePoint m_started_at = net::BootTime();
  int m_attempts = 0;
  net::Timer m_retry_timer;

  // State of the current attempt.
  std::string m_address;
  TimePoint m_sent_at{};
  AttemptResult m_result;
  ResponseReader m_reader;
  std::string m_response_body;
  std::string m_outcome_header;
  bool m_data_received = false;
};

Caller::Caller(struct ev_loop* loop,
               const CallerOptions& options,
               net::HttpClient& client,
               EntryCache& entry_cache,
               Measurements& measurements,
               DoneCallback on_done)
    : m_loop(loop),
      m_options(options),
      m_client(client),
      m_entry_cache(entry_cache),
      m_measurements(measurements),
      m_on_done(std::move(on_done)),
      m_started_at(net::BootTime()) {}

Caller::~Caller() = default;

void Caller::Start(const PlannedCall& call) {
  auto state = std::make_shared<CallState>(
      m_loop, call,
      [this, number = call.m_number] { StartAttempt(m_calls.at(number)); });
  state->m_request_body = std::make_shared<const std::string>(
      call.m_kind == CallKind::kService ? call.m_body : ChatBody(call));
  state->m_entry_key =
      call.m_chat != nullptr ? call.m_chat->m_id : "of-" + call.m_customer;
  m_calls[call.m_number] = state;
  StartAttempt(state);
}

void Caller::StartAttempt(const StatePtr& state) {
  ++state->m_attempts;
  state->m_result = AttemptResult();
  state->m_reader = ResponseReader();
  state->m_response_body.clear();
  state->m_outcome_header.clear();
  state->m_data_received = false;
  if (!m_options.m_direct_engines.empty()) {
    Send(state, m_options.m_direct_engines[m_direct_attempts++ %
                                           m_options.m_direct_engines.size()]);
    return;
  }
  m_entry_cache.FindAddress(state->m_entry_key, state->m_call.m_model,
                            [this, state](const std::string& address) {
                              if (address.empty()) {
                                state->m_result.m_detail =
                                    "all entry lookups failed";
                                Retry(state);
                              } else {
                                Send(state, address);
                              }
                            });
}

net::HttpCall Caller::MakeHttpCall(const CallState& state,
                                   const std::string& address) const {
  const PlannedCall& planned = state.m_call;
  net::HttpCall call;
  call.m_method = "POST";
  call.m_endpoint = Endpoint(address);
  call.m_path = "/v1/chat/completions";
  call.m_body = state.m_request_body;
  call.m_head_timeout = m_options.m_head_timeout;
  call.m_idle_timeout = m_options.m_idle_timeout;
  call.m_headers = {{"Content-Type", "application/json"},
                    {"Authorization", "Bearer token-" + planned.m_customer}};
  if (planned.m_kind == CallKind::kService) {
    call.m_path = fmt::format("/v1/services/{}/bookings", planned.m_service);
    call.m_headers.emplace_back("Idempotency-Key", planned.m_idempotency_key);
  }
  if (planned.m_chat != nullptr) {
    call.m_headers.emplace_back("X-Chat-Id", planned.m_chat->m_id);
  }
  if (!m_options.m_direct_engines.empty()) {
    call.m_headers.emplace_back(
        "X-Request-Id",
        fmt::format("direct-{}-{}", planned.m_number, state.m_attempts));
  }
  return call;
}

void Caller::Send(const StatePtr& state, const std::string& address) {
  state->m_address = address;
  state->m_sent_at = net::BootTime();
  net::HttpCallEvents events;
  events.m_on_headers = [state](int status, const net::HeaderMap& headers) {
    state->m_result.m_status = status;
    state->m_result.m_request_id = net::HeaderValue(headers, "x-request-id");
    state->m_outcome_header = net::HeaderValue(headers, "nutmeg-outcome");
    const auto retry_after = net::HeaderValue(headers, "retry-after");
    state->m_result.m_retry_after =
        std::chrono::seconds(std::atoi(retry_after.c_str()));
  };
  events.m_on_data = [state](std::string_view data) {
    state->m_data_received = true;
    if (state->m_result.m_status != kStatusOk || !state->m_call.m_streamed) {
      state->m_response_body += data;
      return true;
    }
    state->m_reader.AddStreamBytes(data);
    if (state->m_result.m_time_to_first_token == Duration{} &&
        !state->m_reader.Text().empty()) {
      const TimePoint now = net::BootTime();
      state->m_result.m_time_to_first_token = now - state->m_started_at;
      state->m_result.m_time_from_send_to_first_token = now - state->m_sent_at;
    }
    return true;
  };
  events.m_on_end = [this, state](const net::HttpCallResult& end) {
    EndAttempt(state, end);
  };
  m_client.Start(MakeHttpCall(*state, address), std::move(events));
}

void Caller::ClassifyAttempt(CallState& state,
                             const net::HttpCallResult& end) const {
  AttemptResult& result = state.m_result;
  result.m_detail =
      fmt::format("{} {}", end.m_detail, state.m_response_body.substr(0, 300));
  result.m_connect_failed =
      end.m_outcome == net::HttpCallOutcome::kConnectFailed;
  if (result.m_connect_failed) {
    result.m_outcome = AttemptOutcome::kNotRun;
    return;
  }
  const bool complete = end.m_outcome == net::HttpCallOutcome::kComplete;
  if (result.m_status != kStatusOk) {
    result.m_outcome = complete ? ClassifyErrorResponse(result.m_status,
                                                        state.m_outcome_header)
                                : AttemptOutcome::kUnknown;
    return;
  }
  if (!complete) {
    result.m_outcome = state.m_data_received ? AttemptOutcome::kTruncated
                                             : AttemptOutcome::kUnknown;
    return;
  }
  if (state.m_call.m_kind == CallKind::kService) {
    result.m_outcome =
        IsExpectedServiceResponse(state.m_call, state.m_response_body)
            ? AttemptOutcome::kCorrect
            : AttemptOutcome::kMismatch;
    return;
  }
  ResponseReader& reader = state.m_reader;
  if (state.m_call.m_streamed && (reader.HasError() || !reader.Ended())) {
    result.m_outcome = AttemptOutcome::kTruncated;
    return;
  }
  if (!state.m_call.m_streamed &&
      !reader.ParseCompletion(state.m_response_body)) {
    result.m_outcome = AttemptOutcome::kTruncated;
    return;
  }
  const bool matches = reader.Text() == state.m_expected_text;
  result.m_outcome =
      matches ? AttemptOutcome::kCorrect : AttemptOutcome::kMismatch;
  result.m_response_text = reader.Text();
  result.m_prompt_tokens = reader.PromptTokens();
  result.m_cached_tokens = reader.CachedTokens();
}

void Caller::EndAttempt(const StatePtr& state, const net::HttpCallResult& end) {
  ClassifyAttempt(*state, end);
  m_measurements.AddAttempt(state->m_call, state->m_result);
  if (state->m_result.m_outcome == AttemptOutcome::kCorrect) {
    Finish(state, true);
    return;
  }
  if (end.m_outcome != net::HttpCallOutcome::kComplete) {
    m_entry_cache.RemoveAddress(state->m_entry_key, state->m_address);
  }
  if (state->m_result.m_outcome == AttemptOutcome::kMismatch) {
    Finish(state, false);
    return;
  }
  Retry(state);
}

void Caller::Retry(const StatePtr& state) {
  const bool is_crash = state->m_call.m_kind == CallKind::kCrash;
  const int max_attempts =
      is_crash ? m_options.m_max_crash_attempts : m_options.m_max_attempts;
  const bool refused =
      state->m_result.m_outcome == AttemptOutcome::kRefused && !is_crash;
  if (state->m_attempts >= max_attempts || refused) {
    Finish(state, false);
    return;
  }
  Duration backoff =
      kInitialBackoff * (1 << std::min(state->m_attempts - 1, 5));
  backoff = std::max(backoff, state->m_result.m_retry_after);
  state->m_retry_timer.Start(std::min(backoff, kMaxBackoff));
}

void Caller::Finish(const StatePtr& state, bool completed) {
  const TimePoint now = net::BootTime();
  m_measurements.AddCall(state->m_call, state->m_result, completed,
                         state->m_attempts, now - state->m_started_at,
                         now - m_started_at);
  m_calls.erase(state->m_call.m_number);
  m_on_done(state->m_call, completed ? state->m_result.m_response_text : "");
}

}  // namespace nutmeghollow::load

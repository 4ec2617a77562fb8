#include "nutmegload/caller.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "nutmegload/answer_reader.h"

namespace nutmeghollow::load {
namespace {

constexpr Duration kFirstBackoff = std::chrono::milliseconds(150);
constexpr Duration kLongestBackoff = std::chrono::seconds(3);
constexpr int kStatusOk = 200;
constexpr int kStatusServerError = 500;

TryEnd EndOfOutcome(int status, const std::string& outcome) {
  if (outcome == "not-run") {
    const bool permanent =
        status >= 400 && status < 500 && status != 409 && status != 429;
    return permanent ? TryEnd::kRefused : TryEnd::kNotRun;
  }
  if (status >= 400 && status < kStatusServerError && status != 409) {
    return TryEnd::kRefused;
  }
  return TryEnd::kUnknown;
}

bool IsServiceAnswer(const PlannedCall& call, const std::string& body) {
  const auto answer = nlohmann::json::parse(body, nullptr, false);
  return answer.is_object() &&
         answer.value("ran", "") == call.m_idempotency_key &&
         answer.value("echo", "") == call.m_body;
}

}  // namespace

/// One call in progress, over all of its tries.
struct Caller::CallState {
  CallState(struct ev_loop* loop,
            const PlannedCall& call,
            std::function<void()> on_timer)
      : m_call(call),
        m_expected(standins::AnswerText(call.m_model,
                                        call.m_messages,
                                        call.m_answer_tokens)),
        m_timer(loop, std::move(on_timer)) {}

  PlannedCall m_call;
  std::string m_expected;
  std::shared_ptr<const std::string> m_body;
  std::string m_entry_key;
  TimePoint m_started_at = net::BootTime();
  int m_tries = 0;
  net::Timer m_timer;

  // The current try.
  std::string m_address;
  TimePoint m_sent_at{};
  TryResult m_result;
  AnswerReader m_reader;
  std::string m_bytes;
  std::string m_outcome;
  bool m_first_byte = false;
};

Caller::Caller(struct ev_loop* loop,
               const CallerOptions& options,
               net::HttpClient& client,
               EntryBook& entries,
               Measures& measures,
               DoneHook on_done)
    : m_loop(loop),
      m_options(options),
      m_client(client),
      m_entries(entries),
      m_measures(measures),
      m_on_done(std::move(on_done)),
      m_started_at(net::BootTime()) {}

Caller::~Caller() = default;

void Caller::Start(const PlannedCall& call) {
  auto state = std::make_shared<CallState>(
      m_loop, call,
      [this, number = call.m_number] { Try(m_calls.at(number)); });
  state->m_body = std::make_shared<const std::string>(
      call.m_kind == CallKind::kService ? call.m_body : ChatBody(call));
  state->m_entry_key =
      call.m_chat != nullptr ? call.m_chat->m_id : "of-" + call.m_customer;
  m_calls[call.m_number] = state;
  Try(state);
}

void Caller::Try(const StatePtr& state) {
  ++state->m_tries;
  state->m_result = TryResult();
  state->m_reader = AnswerReader();
  state->m_bytes.clear();
  state->m_outcome.clear();
  state->m_first_byte = false;
  if (!m_options.m_direct.empty()) {
    Send(state,
         m_options.m_direct[m_direct_calls++ % m_options.m_direct.size()]);
    return;
  }
  m_entries.Find(state->m_entry_key, state->m_call.m_model,
                 [this, state](const std::string& address) {
                   if (address.empty()) {
                     state->m_result.m_detail = "no entry look-up succeeded";
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
  call.m_body = state.m_body;
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
  if (!m_options.m_direct.empty()) {
    call.m_headers.emplace_back(
        "X-Request-Id",
        fmt::format("direct-{}-{}", planned.m_number, state.m_tries));
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
    state->m_outcome = net::HeaderValue(headers, "nutmeg-outcome");
    const auto retry_after = net::HeaderValue(headers, "retry-after");
    state->m_result.m_retry_after =
        std::chrono::seconds(std::atoi(retry_after.c_str()));
  };
  events.m_on_data = [state](std::string_view data) {
    state->m_first_byte = true;
    if (state->m_result.m_status != kStatusOk || !state->m_call.m_streamed) {
      state->m_bytes += data;
      return true;
    }
    state->m_reader.AddStreamBytes(data);
    if (state->m_result.m_first_token == Duration{} &&
        !state->m_reader.Text().empty()) {
      const TimePoint now = net::BootTime();
      state->m_result.m_first_token = now - state->m_started_at;
      state->m_result.m_first_token_since_send = now - state->m_sent_at;
    }
    return true;
  };
  events.m_on_end = [this, state](const net::HttpCallResult& end) {
    EndTry(state, end);
  };
  m_client.Start(MakeHttpCall(*state, address), std::move(events));
}

void Caller::JudgeTry(CallState& state, const net::HttpCallResult& end) const {
  TryResult& result = state.m_result;
  result.m_detail =
      fmt::format("{} {}", end.m_detail, state.m_bytes.substr(0, 300));
  result.m_connect_failed =
      end.m_outcome == net::HttpCallOutcome::kConnectFailed;
  if (result.m_connect_failed) {
    result.m_end = TryEnd::kNotRun;
    return;
  }
  const bool complete = end.m_outcome == net::HttpCallOutcome::kComplete;
  if (result.m_status != kStatusOk) {
    result.m_end = complete ? EndOfOutcome(result.m_status, state.m_outcome)
                            : TryEnd::kUnknown;
    return;
  }
  if (!complete) {
    result.m_end = state.m_first_byte ? TryEnd::kCut : TryEnd::kUnknown;
    return;
  }
  if (state.m_call.m_kind == CallKind::kService) {
    result.m_end = IsServiceAnswer(state.m_call, state.m_bytes)
                       ? TryEnd::kWhole
                       : TryEnd::kWrong;
    return;
  }
  AnswerReader& reader = state.m_reader;
  if (state.m_call.m_streamed && (reader.Broken() || !reader.Ended())) {
    result.m_end = TryEnd::kCut;
    return;
  }
  if (!state.m_call.m_streamed && !reader.ReadWhole(state.m_bytes)) {
    result.m_end = TryEnd::kCut;
    return;
  }
  const bool right = reader.Text() == state.m_expected;
  result.m_end = right ? TryEnd::kWhole : TryEnd::kWrong;
  result.m_answer = reader.Text();
  result.m_prompt_tokens = reader.PromptTokens();
  result.m_cached_tokens = reader.CachedTokens();
}

void Caller::EndTry(const StatePtr& state, const net::HttpCallResult& end) {
  JudgeTry(*state, end);
  m_measures.AddTry(state->m_call, state->m_result);
  if (state->m_result.m_end == TryEnd::kWhole) {
    Finish(state, true);
    return;
  }
  if (end.m_outcome != net::HttpCallOutcome::kComplete) {
    m_entries.Forget(state->m_entry_key, state->m_address);
  }
  if (state->m_result.m_end == TryEnd::kWrong) {
    Finish(state, false);
    return;
  }
  Retry(state);
}

void Caller::Retry(const StatePtr& state) {
  const bool is_crash = state->m_call.m_kind == CallKind::kCrash;
  const int most = is_crash ? m_options.m_crash_tries : m_options.m_most_tries;
  const bool refused = state->m_result.m_end == TryEnd::kRefused && !is_crash;
  if (state->m_tries >= most || refused) {
    Finish(state, false);
    return;
  }
  Duration wait = kFirstBackoff * (1 << std::min(state->m_tries - 1, 5));
  wait = std::max(wait, state->m_result.m_retry_after);
  state->m_timer.Start(std::min(wait, kLongestBackoff));
}

void Caller::Finish(const StatePtr& state, bool completed) {
  const TimePoint now = net::BootTime();
  m_measures.AddCall(state->m_call, state->m_result, completed, state->m_tries,
                     now - state->m_started_at, now - m_started_at);
  m_calls.erase(state->m_call.m_number);
  m_on_done(state->m_call, completed ? state->m_result.m_answer : "");
}

}  // namespace nutmeghollow::load

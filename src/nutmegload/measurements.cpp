#include "nutmegload/measurements.h"

#include <algorithm>
#include <cmath>

namespace nutmeghollow::load {
namespace {

constexpr std::size_t kMaxProblems = 200;

const char* AttemptOutcomeName(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kCorrect:
      return "whole";
    case AttemptOutcome::kMismatch:
      return "wrong";
    case AttemptOutcome::kTruncated:
      return "cut";
    case AttemptOutcome::kNotRun:
      return "not_run";
    case AttemptOutcome::kUnknown:
      return "unknown";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kCount:
      break;
  }
  return "other";
}

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

nlohmann::json Percentiles(const std::vector<double>& values) {
  return {{"count", values.size()},
          {"p50", Percentile(values, 0.5)},
          {"p95", Percentile(values, 0.95)},
          {"p99", Percentile(values, 0.99)},
          {"max", Percentile(values, 1.0)}};
}

}  // namespace

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = std::ceil(share * static_cast<double>(values.size()));
  const auto index = std::max<std::size_t>(static_cast<std::size_t>(rank), 1);
  return values[std::min(index, values.size()) - 1];
}

Measurements::Measurements(const std::string& trace_file) {
  if (!trace_file.empty()) {
    m_trace.open(trace_file);
  }
}

void Measurements::AddAttempt(const PlannedCall& call,
                              const AttemptResult& result) {
  ++m_attempts[AttemptOutcomeName(result.m_outcome)];
  ++m_statuses[std::to_string(result.m_status)];
  if (result.m_outcome == AttemptOutcome::kNotRun &&
      !result.m_request_id.empty()) {
    m_not_run_ids.push_back(result.m_request_id);
  }
  if (result.m_outcome != AttemptOutcome::kCorrect &&
      result.m_outcome != AttemptOutcome::kNotRun) {
    AddProblem(call, result);
  }
}

void Measurements::AddProblem(const PlannedCall& call,
                              const AttemptResult& result) {
  if (m_problems.size() < kMaxProblems) {
    m_problems.push_back({{"kind", CallKindName(call.m_kind)},
                          {"call", call.m_number},
                          {"end", AttemptOutcomeName(result.m_outcome)},
                          {"status", result.m_status},
                          {"request_id", result.m_request_id},
                          {"detail", result.m_detail}});
  }
}

void Measurements::AddCall(const PlannedCall& call,
                           const AttemptResult& last,
                           bool completed,
                           int attempts,
                           Duration duration,
                           Duration at) {
  const std::string kind = CallKindName(call.m_kind);
  ++m_started[kind];
  m_max_attempts_of_call = std::max(m_max_attempts_of_call, attempts);
  auto& customer = m_customers[call.m_customer];
  ++customer.m_calls;
  if (!call.m_idempotency_key.empty()) {
    (completed ? m_completed_keys : m_unresolved_keys)
        .push_back(call.m_idempotency_key);
  }
  if (!completed) {
    return;
  }
  ++m_completed[kind];
  ++customer.m_completed;
  m_call_ms.push_back(Milliseconds(duration));
  if (call.m_streamed) {
    m_time_to_first_token_ms.push_back(
        Milliseconds(last.m_time_to_first_token));
    m_time_from_send_to_first_token_ms.push_back(
        Milliseconds(last.m_time_from_send_to_first_token));
    customer.m_time_to_first_token_ms.push_back(
        Milliseconds(last.m_time_to_first_token));
  }
  if (call.m_kind != CallKind::kService) {
    AddCompletedChat(call, last, at);
  }
}

void Measurements::AddCompletedChat(const PlannedCall& call,
                                    const AttemptResult& last,
                                    Duration at) {
  m_prompt_tokens += last.m_prompt_tokens;
  m_cached_tokens += last.m_cached_tokens;
  SecondTotals& second =
      m_seconds[std::chrono::duration_cast<std::chrono::seconds>(at).count()];
  second.m_prompt_tokens += last.m_prompt_tokens;
  second.m_cached_tokens += last.m_cached_tokens;
  ++second.m_calls;
  if (!m_trace.is_open()) {
    return;
  }
  auto messages = call.m_messages;
  messages.push_back({"assistant", last.m_response_text});
  const auto prefix_hashes = standins::PrefixHashes(call.m_model, messages);
  auto tokens = nlohmann::json::array();
  for (const auto& message : messages) {
    tokens.push_back(standins::CountTokens(message.m_content));
  }
  m_trace << nlohmann::json{{"ms", Milliseconds(at)},
                            {"kind", CallKindName(call.m_kind)},
                            {"prefixes", prefix_hashes},
                            {"tokens", tokens},
                            {"cached", last.m_cached_tokens},
                            {"prompt", last.m_prompt_tokens}}
                 .dump()
          << "\n";
}

nlohmann::json Measurements::Result() const {
  auto customers = nlohmann::json::object();
  for (const auto& [name, customer] : m_customers) {
    customers[name] = {
        {"calls", customer.m_calls},
        {"completed", customer.m_completed},
        {"ttft_ms", Percentiles(customer.m_time_to_first_token_ms)}};
  }
  auto seconds = nlohmann::json::array();
  for (const auto& [second, totals] : m_seconds) {
    seconds.push_back({second, totals.m_cached_tokens, totals.m_prompt_tokens,
                       totals.m_calls});
  }
  const double reuse = m_prompt_tokens == 0
                           ? 0.0
                           : static_cast<double>(m_cached_tokens) /
                                 static_cast<double>(m_prompt_tokens);
  return {
      {"started", m_started},
      {"completed", m_completed},
      {"tries", m_attempts},
      {"statuses", m_statuses},
      {"most_tries", m_max_attempts_of_call},
      {"ttft_ms", Percentiles(m_time_to_first_token_ms)},
      {"ttft_since_send_ms", Percentiles(m_time_from_send_to_first_token_ms)},
      {"call_ms", Percentiles(m_call_ms)},
      {"customers", customers},
      {"prompt_tokens", m_prompt_tokens},
      {"cached_tokens", m_cached_tokens},
      {"cache_reuse", reuse},
      {"seconds", seconds},
      {"not_run_ids", m_not_run_ids},
      {"completed_keys", m_completed_keys},
      {"unresolved_keys", m_unresolved_keys},
      {"problems", m_problems}};
}

}  // namespace nutmeghollow::load

#include "nutmegload/measures.h"

#include <algorithm>
#include <cmath>

namespace nutmeghollow::load {
namespace {

constexpr std::size_t kProblemsKept = 200;

const char* TryEndName(TryEnd end) {
  switch (end) {
    case TryEnd::kWhole:
      return "whole";
    case TryEnd::kWrong:
      return "wrong";
    case TryEnd::kCut:
      return "cut";
    case TryEnd::kNotRun:
      return "not_run";
    case TryEnd::kUnknown:
      return "unknown";
    case TryEnd::kRefused:
      return "refused";
    case TryEnd::kCount:
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

Measures::Measures(const std::string& trace_file) {
  if (!trace_file.empty()) {
    m_trace.open(trace_file);
  }
}

void Measures::AddTry(const PlannedCall& call, const TryResult& result) {
  ++m_tries[TryEndName(result.m_end)];
  ++m_statuses[std::to_string(result.m_status)];
  if (result.m_end == TryEnd::kNotRun && !result.m_request_id.empty()) {
    m_not_run_ids.push_back(result.m_request_id);
  }
  if (result.m_end != TryEnd::kWhole && result.m_end != TryEnd::kNotRun) {
    NoteProblem(call, result);
  }
}

void Measures::NoteProblem(const PlannedCall& call, const TryResult& result) {
  if (m_problems.size() < kProblemsKept) {
    m_problems.push_back({{"kind", CallKindName(call.m_kind)},
                          {"call", call.m_number},
                          {"end", TryEndName(result.m_end)},
                          {"status", result.m_status},
                          {"request_id", result.m_request_id},
                          {"detail", result.m_detail}});
  }
}

void Measures::AddCall(const PlannedCall& call,
                       const TryResult& last,
                       bool completed,
                       int tries,
                       Duration duration,
                       Duration at) {
  const std::string kind = CallKindName(call.m_kind);
  ++m_started[kind];
  m_most_tries = std::max(m_most_tries, tries);
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
    m_first_token_ms.push_back(Milliseconds(last.m_first_token));
    m_since_send_ms.push_back(Milliseconds(last.m_first_token_since_send));
    customer.m_first_token_ms.push_back(Milliseconds(last.m_first_token));
  }
  if (call.m_kind != CallKind::kService) {
    AddCompletedChat(call, last, at);
  }
}

void Measures::AddCompletedChat(const PlannedCall& call,
                                const TryResult& last,
                                Duration at) {
  m_prompt_tokens += last.m_prompt_tokens;
  m_cached_tokens += last.m_cached_tokens;
  Second& second =
      m_seconds[std::chrono::duration_cast<std::chrono::seconds>(at).count()];
  second.m_prompt_tokens += last.m_prompt_tokens;
  second.m_cached_tokens += last.m_cached_tokens;
  ++second.m_calls;
  if (!m_trace.is_open()) {
    return;
  }
  auto extended = call.m_messages;
  extended.push_back({"assistant", last.m_answer});
  const auto with_answer = standins::PrefixHashes(call.m_model, extended);
  auto tokens = nlohmann::json::array();
  for (const auto& message : extended) {
    tokens.push_back(standins::CountTokens(message.m_content));
  }
  m_trace << nlohmann::json{{"ms", Milliseconds(at)},
                            {"kind", CallKindName(call.m_kind)},
                            {"prefixes", with_answer},
                            {"tokens", tokens},
                            {"cached", last.m_cached_tokens},
                            {"prompt", last.m_prompt_tokens}}
                 .dump()
          << "\n";
}

nlohmann::json Measures::Result() const {
  auto customers = nlohmann::json::object();
  for (const auto& [name, customer] : m_customers) {
    customers[name] = {{"calls", customer.m_calls},
                       {"completed", customer.m_completed},
                       {"ttft_ms", Percentiles(customer.m_first_token_ms)}};
  }
  auto seconds = nlohmann::json::array();
  for (const auto& [second, row] : m_seconds) {
    seconds.push_back(
        {second, row.m_cached_tokens, row.m_prompt_tokens, row.m_calls});
  }
  const double reuse = m_prompt_tokens == 0
                           ? 0.0
                           : static_cast<double>(m_cached_tokens) /
                                 static_cast<double>(m_prompt_tokens);
  return {{"started", m_started},
          {"completed", m_completed},
          {"tries", m_tries},
          {"statuses", m_statuses},
          {"most_tries", m_most_tries},
          {"ttft_ms", Percentiles(m_first_token_ms)},
          {"ttft_since_send_ms", Percentiles(m_since_send_ms)},
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

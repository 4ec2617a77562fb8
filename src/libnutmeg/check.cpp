#include "nutmeghollow/check.h"

#include <fmt/core.h>

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace nutmeghollow {
namespace {

void PrintAndAbort(const CheckFailure& failure) {
  fmt::print(stderr, "{}:{}: check failed: {} ({})\n", failure.m_file,
             failure.m_line, failure.m_message, failure.m_expression);
  std::abort();
}

CheckHandler& CurrentHandler() {
  static CheckHandler handler = PrintAndAbort;
  return handler;
}

std::uint64_t& FailureCount() {
  static std::uint64_t count = 0;
  return count;
}

}  // namespace

CheckHandler SetCheckHandler(CheckHandler handler) {
  return std::exchange(CurrentHandler(), std::move(handler));
}

std::uint64_t FailedChecks() {
  return FailureCount();
}

namespace detail {

void ReportCheckFailure(const CheckFailure& failure) {
  ++FailureCount();
  CurrentHandler()(failure);
}

}  // namespace detail
}  // namespace nutmeghollow

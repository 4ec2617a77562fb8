/// @file
/// Invariant checks of the decision library.
///
/// A failed check calls the installed handler. The default handler prints the
/// failure and aborts, as suits tests. The daemon installs one that logs the
/// failure and goes on, so that a fault does not abort unrelated requests.
/// Every failure is counted.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace nutmeghollow {

/// Location and description of a failed check.
struct CheckFailure {
  std::string_view m_expression;
  std::string_view m_message;
  const char* m_file;
  int m_line;
};

/// Called for each failed check.
using CheckHandler = std::function<void(const CheckFailure&)>;

/// Installs a handler. @return the previous one.
CheckHandler SetCheckHandler(CheckHandler handler);

/// @return number of failed checks since the start of the process.
std::uint64_t FailedChecks();

namespace detail {
void ReportCheckFailure(const CheckFailure& failure);
}  // namespace detail

}  // namespace nutmeghollow

/// Checks an invariant. `message` states the condition that must be true.
#define NUTMEG_CHECK(expression, message)                \
  do {                                                   \
    if (!(expression)) {                                 \
      ::nutmeghollow::detail::ReportCheckFailure(        \
          {#expression, (message), __FILE__, __LINE__}); \
    }                                                    \
  } while (false)

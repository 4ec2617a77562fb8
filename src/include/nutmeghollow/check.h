/// @file
/// Invariant checks of the decision library.
///
/// A failed check calls the handler in force. The default handler prints the
/// failure and aborts, which is what tests want. The daemon installs one that
/// counts and logs, so that a fault is seen without ending other requests.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace nutmeghollow {

/// Where and why an invariant failed.
struct CheckFailure {
  std::string_view m_expression;
  std::string_view m_message;
  const char* m_file;
  int m_line;
};

/// Called for each failed check.
using CheckHandler = std::function<void(const CheckFailure&)>;

/// Replaces the handler. @return the earlier one.
CheckHandler SetCheckHandler(CheckHandler handler);

/// @return how many checks failed since the process started.
std::uint64_t FailedChecks();

namespace detail {
void ReportCheckFailure(const CheckFailure& failure);
}  // namespace detail

}  // namespace nutmeghollow

/// Asserts an invariant. `message` is a plain text that says what must hold.
#define NUTMEG_CHECK(expression, message)                \
  do {                                                   \
    if (!(expression)) {                                 \
      ::nutmeghollow::detail::ReportCheckFailure(        \
          {#expression, (message), __FILE__, __LINE__}); \
    }                                                    \
  } while (false)

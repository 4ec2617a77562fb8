/// @file
/// Formats responses of the operator interface as text.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "nutmegctl/command_line.h"

namespace nutmeghollow::ctl {

/// Exit status of the program.
enum class ExitStatus { kSuccess = 0, kRefused = 1, kUsage = 2, kUnknown = 3 };

/// @return the exit status for a response.
ExitStatus ExitStatusOf(const nlohmann::json& response);

/// @return a response as text; each line ends with a line feed.
std::string FormatResponse(View view, const nlohmann::json& response);

}  // namespace nutmeghollow::ctl

/// @file
/// Shows answers of the operator interface as text.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "nutmegctl/command_line.h"

namespace nutmeghollow::ctl {

/// Exit status of the program.
enum class ExitStatus { kDone = 0, kRefused = 1, kUsage = 2, kUnknown = 3 };

/// @return the exit status that an answer stands for.
ExitStatus StatusOf(const nlohmann::json& answer);

/// @return an answer as text, with line ends.
std::string ShowText(View view, const nlohmann::json& answer);

}  // namespace nutmeghollow::ctl

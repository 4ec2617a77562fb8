/// @file
/// Validation findings about an input, each with its location.
#pragma once

#include <compare>
#include <string>
#include <vector>

namespace nutmeghollow {

/// One validation error of an input.
struct Finding {
  std::string m_place;    ///< Path of the value, such as
                          ///< "route/llama/upstreams/2".
  std::string m_message;  ///< Human-readable description of the error.
  auto operator<=>(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

}  // namespace nutmeghollow

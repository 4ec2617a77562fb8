/// @file
/// Findings about an input: each with its place, reported together.
#pragma once

#include <compare>
#include <string>
#include <vector>

namespace nutmeghollow {

/// One fault of an input.
struct Finding {
  std::string m_place;    ///< Such as "route/llama/upstreams/2".
  std::string m_message;  ///< What is wrong, in plain words.
  auto operator<=>(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

}  // namespace nutmeghollow

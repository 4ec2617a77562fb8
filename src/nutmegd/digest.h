/// @file
/// SHA-256 digests of tokens.
#pragma once

#include <string>
#include <string_view>

namespace nutmeghollow {

/// @return SHA-256 of a text as 64 lower-case hex digits.
std::string Sha256Hex(std::string_view text);

}  // namespace nutmeghollow

/// @file
/// String functions.
#pragma once

#include <string>
#include <string_view>

namespace nutmeghollow::net {

/// @return the text with its ASCII letters in lower case.
std::string LowerCase(std::string_view text);

/// @return the text without white space at either end.
std::string_view Trim(std::string_view text);

/// @return whether the text contains CR, LF or NUL, which a header field must
/// not contain.
bool HasLineBreak(std::string_view text);

/// @return whether the byte is a control character other than a tab.
bool IsControl(char byte);

/// @return whether the text is a valid name of a header field, a token (RFC
/// 9110, section 5.6.2).
bool IsFieldName(std::string_view text);

/// @return whether the text can be the value of a header field: it contains no
/// control character but tabs.
bool IsFieldValue(std::string_view text);

/// @return the bytes as lower-case hex digits.
std::string ToHex(std::string_view bytes);

}  // namespace nutmeghollow::net

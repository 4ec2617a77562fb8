#include "libnet/text.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <iterator>

namespace nutmeghollow::net {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const auto first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

bool HasLineBreak(std::string_view text) {
  constexpr std::string_view kBreaks("\r\n\0", 3);
  return text.find_first_of(kBreaks) != std::string_view::npos;
}

bool IsFieldName(std::string_view text) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [kPunctuation](char byte) {
           const auto value = static_cast<unsigned char>(byte);
           return value < 0x80 &&
                  (std::isalnum(value) != 0 ||
                   kPunctuation.find(byte) != std::string_view::npos);
         });
}

bool IsFieldValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(), IsControl);
}

bool IsControl(char byte) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto value = static_cast<unsigned char>(byte);
  return (value < kFirstPrintable && byte != '\t') || value == kDelete;
}

std::string ToHex(std::string_view bytes) {
  std::string hex;
  hex.reserve(2 * bytes.size());
  for (const unsigned char byte : bytes) {
    fmt::format_to(std::back_inserter(hex), "{:02x}", byte);
  }
  return hex;
}

}  // namespace nutmeghollow::net

#include <array>

#include "nutmeghollow/configuration.h"

namespace nutmeghollow {
namespace {

constexpr std::array<const char*, static_cast<int>(ObjectKind::kCount)>
    kKindNames{"customer", "route",    "upstream",
               "service",  "priority", "change"};

}  // namespace

const char* ObjectKindName(ObjectKind kind) {
  return kKindNames[static_cast<int>(kind)];
}

std::optional<ObjectKind> ParseObjectKind(std::string_view name) {
  for (int index = 0; index < static_cast<int>(ObjectKind::kCount); ++index) {
    if (name == kKindNames[index]) {
      return static_cast<ObjectKind>(index);
    }
  }
  return std::nullopt;
}

}  // namespace nutmeghollow

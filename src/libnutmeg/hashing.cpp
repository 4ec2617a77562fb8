#include "nutmeghollow/hashing.h"

#include <xxhash.h>

#include <array>
#include <cmath>

namespace nutmeghollow {

std::uint64_t HashText(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t HashPair(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> pair{first, second};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

double RendezvousScore(std::uint64_t key, std::uint64_t member, double weight) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  const double uniform =
      static_cast<double>(HashPair(key, member) >> 11) * kScale;
  return weight == 1.0 ? uniform : std::pow(uniform, 1.0 / weight);
}

}  // namespace nutmeghollow

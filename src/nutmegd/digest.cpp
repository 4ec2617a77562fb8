#include "nutmegd/digest.h"

#include <fmt/format.h>
#include <openssl/evp.h>

namespace nutmeghollow {

std::string Sha256Hex(std::string_view text) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned int index = 0; index < size; ++index) {
    hex += fmt::format("{:02x}", digest[index]);
  }
  return hex;
}

}  // namespace nutmeghollow

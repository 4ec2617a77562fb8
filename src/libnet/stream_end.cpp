#include "libnet/stream_end.h"

namespace nutmeghollow::net {
namespace {

/// Bytes kept; more than the marker and the line breaks around it.
constexpr std::size_t kTailSize = 32;

}  // namespace

void StreamEnd::Append(std::string_view data) {
  if (data.size() >= kTailSize) {
    m_tail.assign(data.substr(data.size() - kTailSize));
    return;
  }
  m_tail.append(data);
  if (m_tail.size() > kTailSize) {
    m_tail.erase(0, m_tail.size() - kTailSize);
  }
}

bool StreamEnd::Reached() const {
  std::string_view tail = m_tail;
  const auto last = tail.find_last_not_of("\r\n");
  if (last == std::string_view::npos || last + 1 == tail.size()) {
    return false;
  }
  tail = tail.substr(0, last + 1);
  for (std::string_view marker : {"data: [DONE]", "data:[DONE]"}) {
    if (!tail.ends_with(marker)) {
      continue;
    }
    const std::string_view before = tail.substr(0, tail.size() - marker.size());
    if (before.empty() || before.back() == '\n' || before.back() == '\r') {
      return true;
    }
  }
  return false;
}

}  // namespace nutmeghollow::net

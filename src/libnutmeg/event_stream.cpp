#include "nutmeghollow/event_stream.h"

#include <algorithm>

namespace nutmeghollow {
namespace {

constexpr std::string_view kIdField = "id:";

/// @return the length of the first event with its empty line, or 0.
std::size_t EventLength(std::string_view text) {
  const auto unix_end = text.find("\n\n");
  const auto dos_end = text.find("\r\n\r\n");
  if (dos_end < unix_end) {
    return dos_end + 4;
  }
  return unix_end == std::string_view::npos ? 0 : unix_end + 2;
}

}  // namespace

std::string EventSplitter::Take(std::string_view data) {
  m_rest.append(data);
  std::size_t whole = 0;
  while (true) {
    const std::string_view rest = std::string_view(m_rest).substr(whole);
    const std::size_t length = EventLength(rest);
    if (length == 0) {
      break;
    }
    ReadEvent(rest.substr(0, length));
    whole += length;
  }
  std::string events = m_rest.substr(0, whole);
  m_rest.erase(0, whole);
  return events;
}

void EventSplitter::ReadEvent(std::string_view event) {
  ++m_events;
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    m_last_id = std::string(line);
  }
}

}  // namespace nutmeghollow

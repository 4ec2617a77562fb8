#include "nutmeghollow/event_stream.h"

#include <algorithm>

namespace nutmeghollow {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data";
/// Bytes of the longest empty line that ends an event.
constexpr std::size_t kEndBytes = 4;

/// @param searched bytes of the text that are known to hold no end.
/// @return the length of the first event with its empty line, or 0.
std::size_t EventLength(std::string_view text, std::size_t searched) {
  // An end may have begun in the last bytes that were searched.
  const std::size_t from = searched - std::min(searched, kEndBytes - 1);
  const auto unix_end = text.find("\n\n", from);
  const auto dos_end = text.find("\r\n\r\n", from);
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
    const std::size_t length = EventLength(rest, m_searched);
    if (length == 0) {
      m_searched = rest.size();
      break;
    }
    ReadEvent(rest.substr(0, length));
    whole += length;
    m_searched = 0;
  }
  std::string events = m_rest.substr(0, whole);
  m_rest.erase(0, whole);
  return events;
}

void EventSplitter::DropPartialEvent() {
  m_rest.clear();
  m_searched = 0;
}

void EventSplitter::ReadEvent(std::string_view event) {
  bool carries_data = false;
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    carries_data |= line.starts_with(kDataField);
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
  m_events += carries_data ? 1 : 0;
}

}  // namespace nutmeghollow

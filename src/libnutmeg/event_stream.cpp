#include "nutmeghollow/event_stream.h"

#include <algorithm>

namespace nutmeghollow {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data";
/// Length of the longest event terminator, "\r\n\r\n".
constexpr std::size_t kMaxTerminatorBytes = 4;

/// @param searched leading bytes of the text known to hold no terminator.
/// @return length of the first event including its terminator, or 0.
std::size_t EventLength(std::string_view text, std::size_t searched) {
  // A terminator may start in the last bytes that were searched.
  const std::size_t from =
      searched - std::min(searched, kMaxTerminatorBytes - 1);
  const auto unix_end = text.find("\n\n", from);
  const auto dos_end = text.find("\r\n\r\n", from);
  if (dos_end < unix_end) {
    return dos_end + 4;
  }
  return unix_end == std::string_view::npos ? 0 : unix_end + 2;
}

}  // namespace

std::string EventSplitter::Take(std::string_view data) {
  m_partial.append(data);
  std::size_t whole = 0;
  while (true) {
    const std::string_view remaining =
        std::string_view(m_partial).substr(whole);
    const std::size_t length = EventLength(remaining, m_searched);
    if (length == 0) {
      m_searched = remaining.size();
      break;
    }
    ReadEvent(remaining.substr(0, length));
    whole += length;
    m_searched = 0;
  }
  std::string events = m_partial.substr(0, whole);
  m_partial.erase(0, whole);
  return events;
}

void EventSplitter::DropPartialEvent() {
  m_partial.clear();
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

#include "nutmeghollow/event_stream.h"

#include <algorithm>

namespace nutmeghollow {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data";
/// A line ends with any of "\r\n", "\n" and "\r".
constexpr std::string_view kLineBreaks = "\r\n";
/// Length of the longest event terminator, "\r\n\r\n".
constexpr std::size_t kMaxTerminatorBytes = 4;

/// @return length of the line break at a position.
std::size_t LineBreakLength(std::string_view text, std::size_t position) {
  return text.substr(position).starts_with(kLineBreaks) ? 2 : 1;
}

/// @param searched leading bytes of the text known to hold no terminator.
/// @return length of the first event including its terminator, or 0.
std::size_t EventLength(std::string_view text, std::size_t searched) {
  // A terminator may start in the last bytes that were searched.
  const std::size_t from =
      searched - std::min(searched, kMaxTerminatorBytes - 1);
  std::size_t line_break = text.find_first_of(kLineBreaks, from);
  while (line_break != std::string_view::npos) {
    const std::size_t line = line_break + LineBreakLength(text, line_break);
    line_break = text.find_first_of(kLineBreaks, line);
    if (line_break == line) {
      return line + LineBreakLength(text, line);
    }
  }
  return 0;
}

}  // namespace

std::string EventSplitter::Take(std::string_view data) {
  if (data.empty()) {
    return {};
  }
  m_partial.append(data);
  // The second half of the line break that ended the previous event.
  std::size_t whole = m_ended_with_cr && data.front() == '\n' ? 1 : 0;
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
  m_ended_with_cr = whole == m_partial.size() && m_partial.back() == '\r';
  std::string events = m_partial.substr(0, whole);
  m_partial.erase(0, whole);
  return events;
}

bool EventSplitter::IsInsideEvent() const {
  std::string_view remaining = m_partial;
  while (!remaining.empty()) {
    const std::size_t end = remaining.find_first_of(kLineBreaks);
    const bool is_comment = remaining.front() == ':';
    if (end == std::string_view::npos || (end > 0 && !is_comment)) {
      return true;
    }
    remaining.remove_prefix(end + 1);
  }
  return false;
}

void EventSplitter::DropPartialEvent() {
  m_partial.clear();
  m_searched = 0;
  m_ended_with_cr = false;
}

void EventSplitter::ReadEvent(std::string_view event) {
  bool carries_data = false;
  while (!event.empty()) {
    const std::size_t end =
        std::min(event.find_first_of(kLineBreaks), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    carries_data |= line.starts_with(kDataField);
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    m_last_id = std::string(line);
  }
  m_events += carries_data ? 1 : 0;
}

}  // namespace nutmeghollow

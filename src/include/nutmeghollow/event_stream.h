/// @file
/// Splits a text/event-stream into whole events.
///
/// Only whole events are relayed, so that a stream that breaks inside one can
/// go on at another upstream without a torn event.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace nutmeghollow {

/// Cuts the bytes of one stream into whole events.
class EventSplitter {
 public:
  /// Takes bytes in. @return the bytes of the events that are whole now.
  std::string Take(std::string_view data);
  /// @return bytes of an event that is not whole.
  const std::string& Rest() const { return m_rest; }
  /// Forgets an event that is not whole: the stream goes on elsewhere.
  void DropRest() { m_rest.clear(); }
  /// @return the id of the last whole event that had one.
  const std::optional<std::string>& LastId() const { return m_last_id; }
  /// @return whole events seen.
  int Events() const { return m_events; }

 private:
  void ReadEvent(std::string_view event);

  std::string m_rest;
  std::optional<std::string> m_last_id;
  int m_events = 0;
};

}  // namespace nutmeghollow

/// @file
/// Splits a text/event-stream into whole events.
///
/// Only whole events are relayed, so that a stream that breaks inside one can
/// go on at another upstream without a torn event.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace nutmeghollow {

/// Most bytes of an event that has not ended. An event of a model engine has a
/// few KiB; a hundred servers that never end one must fit into an instance.
inline constexpr std::size_t kMaxEventBytes = 128 << 10;

/// Cuts the bytes of one stream into whole events.
class EventSplitter {
 public:
  /// Takes bytes in. @return the bytes of the events that are whole now.
  std::string Take(std::string_view data);
  /// @return true when an event has more bytes than any that ends. The stream
  /// is no answer then, and its next bytes must not be taken.
  bool IsOverlong() const { return m_rest.size() > kMaxEventBytes; }
  /// @return bytes of an event that is not whole.
  const std::string& PartialEvent() const { return m_rest; }
  /// Forgets an event that is not whole: the stream goes on elsewhere.
  void DropPartialEvent();
  /// @return the id of the last whole event that had one.
  const std::optional<std::string>& LastId() const { return m_last_id; }
  /// @return whole events that carried data. Comments, by which a stalled
  /// server may keep its connection, do not count.
  int Events() const { return m_events; }

 private:
  void ReadEvent(std::string_view event);

  std::string m_rest;
  std::size_t m_searched = 0;  ///< Bytes of the rest without an event's end.
  std::optional<std::string> m_last_id;
  int m_events = 0;
};

}  // namespace nutmeghollow

/// @file
/// Splits a text/event-stream into complete events.
///
/// Only complete events are relayed, so that a stream that breaks inside an
/// event can be resumed at another upstream without a truncated event.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace nutmeghollow {

/// Limit of the bytes buffered for an incomplete event. Events of a model
/// engine have a few KiB. The buffers of a hundred servers that never terminate
/// an event must fit into the memory of an instance.
inline constexpr std::size_t kMaxEventBytes = 128 << 10;

/// Incremental splitter for the bytes of one stream.
class EventSplitter {
 public:
  /// Appends received bytes. @return the bytes of the events completed by them.
  std::string Take(std::string_view data);
  /// @return true when the incomplete event exceeds kMaxEventBytes. The stream
  /// is then invalid, and no further bytes must be passed to Take.
  bool IsOverlong() const { return m_partial.size() > kMaxEventBytes; }
  /// @return true when the bytes so far end inside an event or a line. A
  /// stream that ends there was broken off, however its response is delimited.
  bool IsInsideEvent() const;
  /// @return bytes of the incomplete event.
  const std::string& PartialEvent() const { return m_partial; }
  /// Discards the incomplete event, before the stream is resumed elsewhere.
  void DropPartialEvent();
  /// @return the id of the last complete event that had one.
  const std::optional<std::string>& LastId() const { return m_last_id; }
  /// @return number of complete events with data. Comments do not count, since
  /// a stalled server may send them as keep-alives.
  int Events() const { return m_events; }

 private:
  void ReadEvent(std::string_view event);

  std::string m_partial;
  std::size_t m_searched = 0;  ///< Bytes of m_partial known to hold no
                               ///< event terminator.
  /// The last event ended with "\r", to which a "\n" may still belong.
  bool m_ended_with_cr = false;
  std::optional<std::string> m_last_id;
  int m_events = 0;
};

}  // namespace nutmeghollow

/// @file
/// Flow control between the writer of a stream and its slower reader.
#pragma once

#include <cstddef>

namespace nutmeghollow {

/// Decides when the writer of a buffer pauses and when it resumes. The writer
/// pauses at the high-water mark and resumes at half of it.
class FlowControl {
 public:
  /// @param high_water unsent bytes at which the writer pauses; above zero.
  explicit FlowControl(std::size_t high_water) : m_high_water(high_water) {}

  /// Records that the writer has appended to the buffer.
  /// @param unsent bytes in the buffer.
  /// @return false when the writer must pause.
  bool NoteWritten(std::size_t unsent) {
    m_paused = m_paused || unsent >= m_high_water;
    return !m_paused;
  }
  /// Records that the reader has taken bytes from the buffer.
  /// @param unsent bytes left in the buffer.
  /// @return true when a writer that paused must resume; once for each pause.
  bool NoteRead(std::size_t unsent) {
    if (!m_paused || unsent > m_high_water / 2) {
      return false;
    }
    m_paused = false;
    return true;
  }

 private:
  std::size_t m_high_water;
  bool m_paused = false;
};

}  // namespace nutmeghollow

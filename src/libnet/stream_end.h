/// @file
/// Detects the end marker of a streamed chat response without parsing it.
#pragma once

#include <string>
#include <string_view>

namespace nutmeghollow::net {

/// Keeps the last bytes of a stream of server-sent events. The stream is
/// complete when its last line is "data: [DONE]". The marker may be split
/// across any number of parts.
class StreamEnd {
 public:
  /// Appends the next part of the stream.
  void Append(std::string_view data);
  /// @return true when the bytes so far end with the marker and a line break.
  bool Reached() const;

 private:
  std::string m_tail;
};

}  // namespace nutmeghollow::net

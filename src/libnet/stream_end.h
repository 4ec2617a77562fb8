/// @file
/// Finds the end marker of a streamed chat answer without parsing it.
#pragma once

#include <string>
#include <string_view>

namespace nutmeghollow::net {

/// Watches the last bytes of a stream of server-sent events. The stream is
/// whole when its last line is "data: [DONE]". The marker may be spread over
/// any number of parts.
class StreamEnd {
 public:
  /// Takes the next part of the stream.
  void Append(std::string_view data);
  /// @return true when the bytes so far end with the marker and a line break.
  bool Reached() const;

 private:
  std::string m_tail;
};

}  // namespace nutmeghollow::net

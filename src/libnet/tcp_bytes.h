/// @file
/// State of a TCP connection and numbers of bytes that passed over it.
#pragma once

#include <cstddef>
#include <optional>

namespace nutmeghollow::net {

/// @return bytes that this process has read from the connection in all, or
/// nothing when the system does not tell.
std::optional<std::size_t> BytesRead(int descriptor);

/// @return true when the peer has reset the connection, also after it had ended
/// its output normally.
bool IsReset(int descriptor);

/// @return bytes written to the connection that the peer's system has not
/// acknowledged; zero when the system does not tell.
std::size_t UnacknowledgedBytes(int descriptor);

}  // namespace nutmeghollow::net

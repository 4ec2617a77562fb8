/// @file
/// Numbers of bytes that passed over a TCP connection.
#pragma once

#include <cstddef>
#include <optional>

namespace nutmeghollow::net {

/// @return bytes that this process has read from the connection in all, or
/// nothing when the system does not tell.
std::optional<std::size_t> BytesRead(int descriptor);

/// @return bytes written to the connection that the peer's system has not
/// acknowledged; zero when the system does not tell.
std::size_t UnacknowledgedBytes(int descriptor);

}  // namespace nutmeghollow::net

/// @file
/// Conversions between endpoints and socket addresses.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/leaf/result.hpp>

#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// An endpoint that is not "IP:PORT".
struct BadEndpoint {
  Endpoint m_endpoint;
};

/// An IP socket address in the form used by system calls.
struct SocketAddress {
  sockaddr_storage m_storage{};
  socklen_t m_size = 0;

  const sockaddr* Get() const {
    return reinterpret_cast<const sockaddr*>(&m_storage);
  }
};

/// Parses "127.0.0.1:80" or "[::1]:80". Host names are not resolved.
/// @return the address, or the error BadEndpoint.
boost::leaf::result<SocketAddress> ParseEndpoint(const Endpoint& endpoint);

/// @return the endpoint of a socket address, in the form that ParseEndpoint
/// accepts.
Endpoint FormatEndpoint(const SocketAddress& address);

/// Opens a non-blocking socket and binds it to an endpoint.
/// @param type SOCK_STREAM (listening) or SOCK_DGRAM.
/// @return the descriptor.
/// @throws std::runtime_error with the reason.
int BindSocket(const Endpoint& endpoint, int type);

/// Resets a TCP connection, without a normal close before it. The descriptor
/// stays open.
/// @return false with errno set when the system refuses.
bool ResetConnection(int descriptor);

}  // namespace nutmeghollow::net

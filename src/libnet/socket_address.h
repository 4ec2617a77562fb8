/// @file
/// Socket addresses from the written form of an endpoint.
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

/// An IP socket address as the system calls take it.
struct SocketAddress {
  sockaddr_storage m_storage{};
  socklen_t m_size = 0;

  const sockaddr* Get() const {
    return reinterpret_cast<const sockaddr*>(&m_storage);
  }
};

/// Reads "127.0.0.1:80" or "[::1]:80". Names are not looked up.
/// @return the address, or the error BadEndpoint.
boost::leaf::result<SocketAddress> ParseEndpoint(const Endpoint& endpoint);

/// @return the written form of a socket address.
Endpoint FormatEndpoint(const SocketAddress& address);

/// Opens a non-blocking socket that is bound to an endpoint.
/// @param type SOCK_STREAM (listening) or SOCK_DGRAM.
/// @return the descriptor.
/// @throws std::runtime_error with the reason.
int BindSocket(const Endpoint& endpoint, int type);

}  // namespace nutmeghollow::net

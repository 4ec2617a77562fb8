/// @file
/// Raw sockets of the fault proxy.
#pragma once

#include <netinet/in.h>

#include <string>

#include "nutmeghollow/types.h"

namespace nutmeghollow::standins {

/// Owns a descriptor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : m_descriptor(descriptor) {}
  ~Socket();
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int Descriptor() const { return m_descriptor; }
  bool Valid() const { return m_descriptor >= 0; }
  /// Has the next close send a reset instead of a regular end.
  void ResetOnClose() const;

 private:
  int m_descriptor = -1;
};

/// @return the address of an IPv4 endpoint.
/// @throws std::runtime_error when it is none.
sockaddr_in SocketAddress(const Endpoint& endpoint);

/// @return the IP number of an address as text.
std::string AddressText(const sockaddr_in& address);

/// Opens a non-blocking socket that listens or, for datagrams, is bound.
/// @param type SOCK_STREAM or SOCK_DGRAM.
/// @throws std::runtime_error when the endpoint cannot be used.
Socket OpenListener(const Endpoint& endpoint, int type);

/// Starts a connection, or connects a datagram socket.
/// @return an invalid socket when it failed at once.
Socket OpenConnection(const sockaddr_in& target, int type);

}  // namespace nutmeghollow::standins

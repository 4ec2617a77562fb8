/// @file
/// Non-blocking IPv4 sockets of the fault proxy.
#pragma once

#include <netinet/in.h>

#include <string>

#include "nutmeghollow/types.h"

namespace nutmeghollow::standins {

/// Owns a socket descriptor.
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
  /// Makes closing a TCP connection send RST instead of FIN.
  void ResetOnClose() const;

 private:
  int m_descriptor = -1;
};

/// @return the address of an IPv4 endpoint.
/// @throws std::runtime_error when it is not an IPv4 endpoint.
sockaddr_in SocketAddress(const Endpoint& endpoint);

/// @return the IP address without the port, in dotted notation.
std::string AddressText(const sockaddr_in& address);

/// Opens a non-blocking socket that is bound and, for TCP, listens.
/// @param type SOCK_STREAM or SOCK_DGRAM.
/// @throws std::runtime_error when binding or listening fails, or when it is
/// not an IPv4 endpoint.
Socket OpenListener(const Endpoint& endpoint, int type);

/// Starts to connect a non-blocking socket, which for TCP completes later.
/// @param type SOCK_STREAM or SOCK_DGRAM.
/// @return an invalid socket when connect() fails immediately.
Socket OpenConnection(const sockaddr_in& target, int type);

}  // namespace nutmeghollow::standins

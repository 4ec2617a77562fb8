#include "standins/socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace nutmeghollow::standins {
namespace {

constexpr int kBacklog = 1024;

const sockaddr* AsSockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace

Socket::~Socket() {
  if (m_descriptor >= 0) {
    close(m_descriptor);
  }
}

Socket::Socket(Socket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(m_descriptor, other.m_descriptor);
  return *this;
}

void Socket::ResetOnClose() const {
  const linger discard_unsent{.l_onoff = 1, .l_linger = 0};
  setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &discard_unsent,
             sizeof(discard_unsent));
}

sockaddr_in SocketAddress(const Endpoint& endpoint) {
  const std::string& text = endpoint.str();
  const auto colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (colon == std::string::npos ||
      inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) !=
          1) {
    throw std::runtime_error("not an IPv4 endpoint: " + text);
  }
  const auto port = std::strtoul(text.c_str() + colon + 1, nullptr, 10);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

std::string AddressText(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return text.data();
}

Socket OpenListener(const Endpoint& endpoint, int type) {
  const sockaddr_in address = SocketAddress(endpoint);
  Socket listener(socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(listener.Descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(listener.Descriptor(), AsSockaddr(address), sizeof(address)) != 0) {
    throw std::runtime_error("cannot bind " + endpoint.str());
  }
  if (type == SOCK_STREAM && listen(listener.Descriptor(), kBacklog) != 0) {
    throw std::runtime_error("cannot listen on " + endpoint.str());
  }
  return listener;
}

Socket OpenConnection(const sockaddr_in& target, int type) {
  Socket connection(socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (type == SOCK_STREAM) {
    const int on = 1;
    setsockopt(connection.Descriptor(), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
  }
  const int result =
      connect(connection.Descriptor(), AsSockaddr(target), sizeof(target));
  if (result != 0 && errno != EINPROGRESS) {
    return {};
  }
  return connection;
}

}  // namespace nutmeghollow::standins

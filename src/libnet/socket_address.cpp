#include "libnet/socket_address.h"

#include <arpa/inet.h>
#include <fmt/core.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <stdexcept>

namespace nutmeghollow::net {
namespace {

constexpr int kListenBacklog = 1024;

bool ParsePort(std::string_view text, std::uint16_t* port) {
  const char* end = text.data() + text.size();
  auto [parsed_end, error] = std::from_chars(text.data(), end, *port);
  return error == std::errc() && parsed_end == end && !text.empty();
}

[[noreturn]] void ThrowSocketError(const Endpoint& endpoint,
                                   const char* operation) {
  throw std::runtime_error(fmt::format("{}: {} failed: {}", endpoint.str(),
                                       operation, std::strerror(errno)));
}

}  // namespace

boost::leaf::result<SocketAddress> ParseEndpoint(const Endpoint& endpoint) {
  const std::string& text = endpoint.str();
  const std::size_t colon = text.rfind(':');
  std::uint16_t port = 0;
  if (colon == std::string::npos ||
      !ParsePort(std::string_view(text).substr(colon + 1), &port)) {
    return boost::leaf::new_error(BadEndpoint{endpoint});
  }
  std::string host = text.substr(0, colon);
  SocketAddress address;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    auto* ip6 = reinterpret_cast<sockaddr_in6*>(&address.m_storage);
    ip6->sin6_family = AF_INET6;
    ip6->sin6_port = htons(port);
    address.m_size = sizeof(*ip6);
    if (inet_pton(AF_INET6, host.c_str(), &ip6->sin6_addr) == 1) {
      return address;
    }
    return boost::leaf::new_error(BadEndpoint{endpoint});
  }
  auto* ip4 = reinterpret_cast<sockaddr_in*>(&address.m_storage);
  ip4->sin_family = AF_INET;
  ip4->sin_port = htons(port);
  address.m_size = sizeof(*ip4);
  if (inet_pton(AF_INET, host.c_str(), &ip4->sin_addr) == 1) {
    return address;
  }
  return boost::leaf::new_error(BadEndpoint{endpoint});
}

Endpoint FormatEndpoint(const SocketAddress& address) {
  char host[INET6_ADDRSTRLEN] = "";
  if (address.m_storage.ss_family == AF_INET6) {
    const auto* ip6 = reinterpret_cast<const sockaddr_in6*>(&address.m_storage);
    inet_ntop(AF_INET6, &ip6->sin6_addr, host, sizeof(host));
    return Endpoint(fmt::format("[{}]:{}", host, ntohs(ip6->sin6_port)));
  }
  const auto* ip4 = reinterpret_cast<const sockaddr_in*>(&address.m_storage);
  inet_ntop(AF_INET, &ip4->sin_addr, host, sizeof(host));
  return Endpoint(fmt::format("{}:{}", host, ntohs(ip4->sin_port)));
}

int BindSocket(const Endpoint& endpoint, int type) {
  boost::leaf::result<SocketAddress> address = ParseEndpoint(endpoint);
  if (!address) {
    throw std::runtime_error(endpoint.str() + ": not an IP address and port");
  }
  const int descriptor = socket(address->m_storage.ss_family,
                                type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    ThrowSocketError(endpoint, "socket");
  }
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  if (bind(descriptor, address->Get(), address->m_size) != 0) {
    close(descriptor);
    ThrowSocketError(endpoint, "bind");
  }
  if (type == SOCK_STREAM && listen(descriptor, kListenBacklog) != 0) {
    close(descriptor);
    ThrowSocketError(endpoint, "listen");
  }
  return descriptor;
}

bool ResetConnection(int descriptor) {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  return connect(descriptor, &none, sizeof(none)) == 0;
}

}  // namespace nutmeghollow::net

#include "libnet/tcp_bytes.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace nutmeghollow::net {
namespace {

/// TCP_CLOSE of <netinet/tcp.h>, which cannot be included beside <linux/tcp.h>.
constexpr int kClosed = 7;

}  // namespace

std::optional<std::size_t> BytesRead(int descriptor) {
  // Data that arrives between the two calls must not count as read.
  tcp_info info{};
  socklen_t size = sizeof(info);
  int unread = 0;
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      ioctl(descriptor, FIONREAD, &unread) != 0) {
    return std::nullopt;
  }
  const std::size_t received = info.tcpi_bytes_received;
  return received - std::min(received, static_cast<std::size_t>(unread));
}

bool IsReset(int descriptor) {
  int error = 0;
  socklen_t error_size = sizeof(error);
  tcp_info info{};
  socklen_t info_size = sizeof(info);
  return (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &error_size) ==
              0 &&
          error != 0) ||
         (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &info_size) ==
              0 &&
          info.tcpi_state == kClosed);
}

std::size_t UnacknowledgedBytes(int descriptor) {
  int count = 0;
  return ioctl(descriptor, SIOCOUTQ, &count) == 0
             ? static_cast<std::size_t>(std::max(count, 0))
             : 0;
}

}  // namespace nutmeghollow::net

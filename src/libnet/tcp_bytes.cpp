#include "libnet/tcp_bytes.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace nutmeghollow::net {

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

std::size_t UnacknowledgedBytes(int descriptor) {
  int count = 0;
  return ioctl(descriptor, SIOCOUTQ, &count) == 0
             ? static_cast<std::size_t>(std::max(count, 0))
             : 0;
}

}  // namespace nutmeghollow::net

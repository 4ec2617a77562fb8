#include "libnet/peer_transport.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "libnet/socket_address.h"

namespace nutmeghollow::net {
namespace {

namespace leaf = boost::leaf;

/// Datagrams read in one iteration of the event loop, so that a flood of
/// datagrams does not delay requests of callers.
constexpr int kMaxReadsPerIteration = 256;
/// Bytes of the IPv4 and UDP headers.
constexpr std::int64_t kIpUdpHeaderBytes = 28;

}  // namespace

PeerTransport::PeerTransport(struct ev_loop* loop,
                             const Endpoint& endpoint,
                             DatagramSeal seal,
                             std::function<void(ReceivedDatagram)> handler)
    : m_descriptor(BindSocket(endpoint, SOCK_DGRAM)),
      m_seal(std::move(seal)),
      m_handler(std::move(handler)),
      m_watcher(loop, m_descriptor, EV_READ, [this](int) { ReadAll(); }) {}

PeerTransport::~PeerTransport() {
  close(m_descriptor);
}

void PeerTransport::Send(const InstanceId& to,
                         const Endpoint& endpoint,
                         std::string_view payload) {
  const bool sent = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(address, ParseEndpoint(endpoint));
        const std::string datagram = m_seal.Seal(to, payload);
        const ssize_t size =
            sendto(m_descriptor, datagram.data(), datagram.size(), 0,
                   address.Get(), address.m_size);
        return !datagram.empty() &&
               size == static_cast<ssize_t>(datagram.size());
      },
      []() { return false; });
  m_send_failures += sent ? 0 : 1;
}

int PeerTransport::Port() const {
  SocketAddress address;
  address.m_size = sizeof(address.m_storage);
  getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address.m_storage),
              &address.m_size);
  const auto* ip4 = reinterpret_cast<const sockaddr_in*>(&address.m_storage);
  return ntohs(ip4->sin_port);  // Same offset in sockaddr_in and sockaddr_in6.
}

void PeerTransport::ReadAll() {
  std::array<char, kDatagramLimit + 1> buffer{};
  for (int i = 0; i < kMaxReadsPerIteration; ++i) {
    SocketAddress source;
    source.m_size = sizeof(source.m_storage);
    const ssize_t size = recvfrom(
        m_descriptor, buffer.data(), buffer.size(), 0,
        reinterpret_cast<sockaddr*>(&source.m_storage), &source.m_size);
    if (size < 0) {
      return;
    }
    Handle({buffer.data(), static_cast<std::size_t>(size)},
           FormatEndpoint(source));
  }
}

void PeerTransport::Handle(std::string_view datagram, const Endpoint& source) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(opened, m_seal.Open(datagram));
        m_handler(ReceivedDatagram{.m_from = opened.m_from,
                                   .m_payload = std::move(opened.m_payload),
                                   .m_endpoint = source});
        return {};
      },
      [&](DatagramRejection reason) {
        m_seal.CountRejection(reason);
        m_rejected_bytes +=
            static_cast<std::int64_t>(datagram.size()) + kIpUdpHeaderBytes;
      },
      []() {});
}

}  // namespace nutmeghollow::net

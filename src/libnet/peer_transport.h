/// @file
/// Authenticated datagrams between instances over UDP.
#pragma once

#include <ev.h>

#include <cstdint>
#include <functional>
#include <string_view>

#include "libnet/datagram_seal.h"
#include "libnet/event_loop.h"
#include "nutmeghollow/membership.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// Sends and receives datagrams of this instance.
class PeerTransport {
 public:
  /// @param endpoint address to bind.
  /// @param seal identity and keys of this instance.
  /// @param handler called for each accepted datagram.
  /// @throws std::runtime_error when the address cannot be bound.
  PeerTransport(struct ev_loop* loop,
                const Endpoint& endpoint,
                DatagramSeal seal,
                std::function<void(ReceivedDatagram)> handler);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Sends a payload to an instance. A datagram that cannot be sent now is
  /// dropped and counted, as if the network had lost it.
  void Send(const InstanceId& to,
            const Endpoint& endpoint,
            std::string_view payload);

  /// @return the seal, which counts the rejected datagrams by reason.
  const DatagramSeal& Seal() const { return m_seal; }
  /// @return the number of datagrams that could not be sent.
  std::uint64_t SendFailures() const { return m_send_failures; }
  /// @return bytes of rejected datagrams, including IP and UDP headers.
  std::int64_t RejectedBytes() const { return m_rejected_bytes; }
  /// @return the bound port, useful when port 0 was requested.
  int Port() const;

 private:
  void ReadAll();
  void Handle(std::string_view datagram, const Endpoint& source);

  int m_descriptor;
  DatagramSeal m_seal;
  std::function<void(ReceivedDatagram)> m_handler;
  std::uint64_t m_send_failures = 0;
  std::int64_t m_rejected_bytes = 0;
  DescriptorWatcher m_watcher;
};

}  // namespace nutmeghollow::net

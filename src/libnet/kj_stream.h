/// @file
/// A KJ stream over a connected socket on a libev loop.
#pragma once

#include <ev.h>
#include <kj/async-io.h>

#include <cstdint>
#include <limits>

namespace nutmeghollow::net {

/// Bytes transferred by RPC connections, including an estimate of IP and TCP
/// headers.
struct PeerTraffic {
  std::int64_t m_sent = 0;
  std::int64_t m_received = 0;
};

/// Owns a non-blocking socket, which may still be connecting. Errors of the
/// socket, including a failed connect, reject the promises with a KJ exception.
class KjStream final : public kj::AsyncIoStream {
 public:
  /// @param descriptor socket that the stream owns and closes.
  /// @param traffic counts the bytes; must outlive the stream.
  KjStream(struct ev_loop* loop, int descriptor, PeerTraffic* traffic);
  ~KjStream() noexcept(false);
  KjStream(const KjStream&) = delete;
  KjStream& operator=(const KjStream&) = delete;

  /// Fails reads once more than this many bytes have been received in total.
  void SetReceiveLimit(std::uint64_t limit) { m_receive_limit = limit; }

  kj::Promise<size_t> tryRead(void* buffer,
                              size_t min_bytes,
                              size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;

 private:
  kj::Promise<size_t> ContinueRead(char* buffer,
                                   size_t min_bytes,
                                   size_t max_bytes,
                                   size_t bytes_read);
  static void OnReadable(struct ev_loop* loop, ev_io* watcher, int events);
  static void OnWritable(struct ev_loop* loop, ev_io* watcher, int events);

  struct ev_loop* m_loop;
  int m_descriptor;
  PeerTraffic* m_traffic;
  std::uint64_t m_received = 0;
  std::uint64_t m_receive_limit = std::numeric_limits<std::uint64_t>::max();
  ev_io m_readable{};
  ev_io m_writable{};
  kj::Own<kj::PromiseFulfiller<void>> m_on_readable;
  kj::Own<kj::PromiseFulfiller<void>> m_on_writable;
};

/// Sets the options of a peer connection: TCP_NODELAY, keepalive, and a timeout
/// of unacknowledged data (TCP_USER_TIMEOUT).
void SetPeerSocketOptions(int descriptor);

}  // namespace nutmeghollow::net

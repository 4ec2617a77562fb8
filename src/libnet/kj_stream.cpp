#include "libnet/kj_stream.h"

#include <kj/debug.h>
#include <kj/vector.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace nutmeghollow::net {
namespace {

/// Bytes of the IP and TCP headers with timestamps, counted once per read or
/// write.
constexpr std::int64_t kSegmentHeaderBytes = 52;
/// Average bytes of pure acknowledgements per segment. A call has three
/// segments, and each of them but the last is acknowledged by the next one.
constexpr std::int64_t kAcknowledgementBytes = kSegmentHeaderBytes / 3;
constexpr int kUserTimeoutMs = 5000;
constexpr int kKeepaliveIdleSeconds = 120;
constexpr int kKeepaliveIntervalSeconds = 3;
constexpr int kKeepaliveCount = 3;

bool WouldBlock(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

void SetOption(int descriptor, int level, int option, int value) {
  setsockopt(descriptor, level, option, &value, sizeof(value));
}

}  // namespace

void SetPeerSocketOptions(int descriptor) {
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveCount);
}

KjStream::KjStream(struct ev_loop* loop, int descriptor, PeerTraffic* traffic)
    : m_loop(loop), m_descriptor(descriptor), m_traffic(traffic) {
  ev_io_init(&m_readable, OnReadable, descriptor, EV_READ);
  m_readable.data = this;
  ev_io_init(&m_writable, OnWritable, descriptor, EV_WRITE);
  m_writable.data = this;
}

KjStream::~KjStream() noexcept(false) {
  ev_io_stop(m_loop, &m_readable);
  ev_io_stop(m_loop, &m_writable);
  close(m_descriptor);
}

kj::Promise<size_t> KjStream::tryRead(void* buffer,
                                      size_t min_bytes,
                                      size_t max_bytes) {
  return ContinueRead(static_cast<char*>(buffer), min_bytes, max_bytes, 0);
}

kj::Promise<size_t> KjStream::ContinueRead(char* buffer,
                                           size_t min_bytes,
                                           size_t max_bytes,
                                           size_t bytes_read) {
  while (bytes_read < min_bytes) {
    const ssize_t size =
        ::read(m_descriptor, buffer + bytes_read, max_bytes - bytes_read);
    if (size > 0) {
      bytes_read += static_cast<size_t>(size);
      m_received += static_cast<std::uint64_t>(size);
      if (m_received > m_receive_limit) {
        return KJ_EXCEPTION(DISCONNECTED, "peer exceeded the receive limit");
      }
      m_traffic->m_received += size + kSegmentHeaderBytes;
      m_traffic->m_sent += kAcknowledgementBytes;
      continue;
    }
    if (size == 0) {
      return bytes_read;
    }
    const int error = errno;
    if (!WouldBlock(error)) {
      return KJ_EXCEPTION(DISCONNECTED, "read failed", error);
    }
    auto wait = kj::newPromiseAndFulfiller<void>();
    m_on_readable = kj::mv(wait.fulfiller);
    ev_io_start(m_loop, &m_readable);
    return wait.promise.then(
        [this, buffer, min_bytes, max_bytes, bytes_read]() {
          return ContinueRead(buffer, min_bytes, max_bytes, bytes_read);
        });
  }
  return bytes_read;
}

kj::Promise<void> KjStream::write(const void* buffer, size_t size) {
  const auto* next = static_cast<const char*>(buffer);
  while (size > 0) {
    const ssize_t sent = send(m_descriptor, next, size, MSG_NOSIGNAL);
    if (sent > 0) {
      next += sent;
      size -= static_cast<size_t>(sent);
      m_traffic->m_sent += sent + kSegmentHeaderBytes;
      m_traffic->m_received += kAcknowledgementBytes;
      continue;
    }
    const int error = errno;
    if (!WouldBlock(error)) {
      return KJ_EXCEPTION(DISCONNECTED, "write failed", error);
    }
    auto wait = kj::newPromiseAndFulfiller<void>();
    m_on_writable = kj::mv(wait.fulfiller);
    ev_io_start(m_loop, &m_writable);
    return wait.promise.then(
        [this, next, size]() { return write(next, size); });
  }
  return kj::READY_NOW;
}

kj::Promise<void> KjStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  // Joins the pieces so that a small message is sent in one segment.
  kj::Vector<kj::byte> joined;
  for (const auto& piece : pieces) {
    joined.addAll(piece);
  }
  kj::Array<kj::byte> bytes = joined.releaseAsArray();
  const kj::byte* begin = bytes.begin();
  const size_t size = bytes.size();
  return write(begin, size).attach(kj::mv(bytes));
}

kj::Promise<void> KjStream::whenWriteDisconnected() {
  return kj::NEVER_DONE;
}

void KjStream::shutdownWrite() {
  shutdown(m_descriptor, SHUT_WR);
}

void KjStream::OnReadable(struct ev_loop* loop,
                          ev_io* watcher,
                          int /*events*/) {
  ev_io_stop(loop, watcher);
  auto fulfiller = kj::mv(static_cast<KjStream*>(watcher->data)->m_on_readable);
  if (fulfiller.get() != nullptr) {
    fulfiller->fulfill();
  }
}

void KjStream::OnWritable(struct ev_loop* loop,
                          ev_io* watcher,
                          int /*events*/) {
  ev_io_stop(loop, watcher);
  auto fulfiller = kj::mv(static_cast<KjStream*>(watcher->data)->m_on_writable);
  if (fulfiller.get() != nullptr) {
    fulfiller->fulfill();
  }
}

}  // namespace nutmeghollow::net

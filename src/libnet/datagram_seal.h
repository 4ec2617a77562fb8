/// @file
/// Authentication and replay protection of datagrams between instances. The
/// payload is not encrypted.
///
/// Layout: version (1 byte), length of the sender's id (1), id, session (8),
/// sequence number (8), payload, first 16 bytes of the HMAC-SHA-256 over all
/// preceding fields and the receiver's id. Numbers are big-endian. The session
/// is the sender's start time, so that a restarted sender starts a new
/// sequence.
#pragma once

#include <array>
#include <bitset>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "libnet/fleet_key.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// Maximum datagram size in bytes, without IP and UDP headers.
constexpr std::size_t kDatagramLimit = 1200;

/// Why a datagram was rejected.
enum class DatagramRejection {
  kMalformed,       ///< Invalid size or unsupported version.
  kBadMac,          ///< No key of the fleet gives this MAC for this receiver.
  kOldSession,      ///< Sent before the sender's last known start.
  kReplayed,        ///< Received before, or older than the replay window.
  kOwn,             ///< The sender is this instance.
  kTooManySenders,  ///< New sender, and the sender limit is reached.
  kCount,
};

/// @return the name of a reason in metrics.
const char* DatagramRejectionName(DatagramRejection reason);

/// An accepted datagram.
struct OpenedDatagram {
  InstanceId m_from;
  std::string m_payload;
};

/// Authenticates the datagrams of one instance: seals outgoing datagrams and
/// opens incoming ones.
class DatagramSeal {
 public:
  /// @param session increases with each start of this instance.
  DatagramSeal(InstanceId self, Incarnation session, FleetKeys keys);

  /// @return the datagram; empty when the id or the payload is too long.
  std::string Seal(const InstanceId& to, std::string_view payload);

  /// Verifies a datagram and records its sequence number.
  /// @return sender and payload, or the error DatagramRejection.
  boost::leaf::result<OpenedDatagram> Open(std::string_view datagram);

  /// Counts a rejected datagram.
  void CountRejection(DatagramRejection reason);

  /// @return the number of datagrams rejected for a reason.
  std::uint64_t Rejected(DatagramRejection reason) const {
    return m_rejected[static_cast<std::size_t>(reason)];
  }

 private:
  /// Sequence numbers of a sender for which acceptance is tracked.
  static constexpr std::size_t kReplayWindow = 1024;

  /// Sequence numbers accepted from one sender.
  struct Sender {
    std::uint64_t m_session = 0;
    std::uint64_t m_highest = 0;
    /// Indexed by sequence number modulo the window.
    std::bitset<kReplayWindow> m_seen;
  };

  boost::leaf::result<void> CheckSequence(const InstanceId& from,
                                          std::uint64_t session,
                                          std::uint64_t sequence);

  InstanceId m_self;
  std::uint64_t m_session;
  FleetKeys m_keys;
  std::uint64_t m_sequence = 0;
  std::map<InstanceId, Sender> m_senders;
  std::array<std::uint64_t, static_cast<std::size_t>(DatagramRejection::kCount)>
      m_rejected{};
};

}  // namespace nutmeghollow::net

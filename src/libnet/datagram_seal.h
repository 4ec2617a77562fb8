/// @file
/// Authentication of datagrams between instances, and protection from replay.
///
/// Layout: version (1 byte), length of the sender's id (1), id, session (8),
/// sequence number (8), payload, first 16 bytes of the HMAC-SHA-256 over all
/// before and the receiver's id. Numbers are big-endian. The session is the
/// sender's start time, so that a restarted sender begins a new sequence.
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

/// Largest datagram in bytes, without IP and UDP headers.
constexpr std::size_t kDatagramLimit = 1200;

/// Why a datagram was not accepted.
enum class DatagramRejection {
  kMalformed,   ///< Too short, too long, or of another version.
  kBadMac,      ///< Not made with a key of this fleet for this receiver.
  kOldSession,  ///< From before the sender's last known start.
  kReplayed,    ///< Seen before, or too old to tell.
  kOwn,         ///< Names this instance as its sender.
  kTooManySenders,
  kCount,
};

/// @return the word for a reason in metrics.
const char* DatagramRejectionName(DatagramRejection reason);

/// An accepted datagram.
struct OpenedDatagram {
  InstanceId m_from;
  std::string m_payload;
};

/// Seals and opens the datagrams of one instance.
class DatagramSeal {
 public:
  /// @param session grows with each start of this instance.
  DatagramSeal(InstanceId self, Incarnation session, FleetKeys keys);

  /// @return the datagram, or nothing when the payload is too long.
  std::string Seal(const InstanceId& to, std::string_view payload);

  /// Checks a datagram and notes its sequence number.
  /// @return sender and payload, or the error DatagramRejection.
  boost::leaf::result<OpenedDatagram> Open(std::string_view datagram);

  /// Notes a datagram that was not accepted.
  void CountRejection(DatagramRejection reason);

  /// @return how many datagrams were not accepted for a reason.
  std::uint64_t Rejected(DatagramRejection reason) const {
    return m_rejected[static_cast<std::size_t>(reason)];
  }

 private:
  static constexpr std::size_t kWindow = 1024;

  /// What has been accepted from one sender.
  struct Sender {
    std::uint64_t m_session = 0;
    std::uint64_t m_highest = 0;
    std::bitset<kWindow> m_seen;  ///< By sequence number modulo the window.
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

#include "libnet/datagram_seal.h"

#include <algorithm>
#include <boost/leaf/error.hpp>

namespace nutmeghollow::net {
namespace {

namespace leaf = boost::leaf;

constexpr char kVersion = 1;
constexpr std::size_t kNumberSize = 8;
constexpr std::size_t kTruncatedMacSize = 16;
constexpr std::size_t kIdLimit = 64;
/// Bytes of all fields except the id and the payload.
constexpr std::size_t kFixedSize = 2 + 2 * kNumberSize + kTruncatedMacSize;
/// Senders whose sequence numbers are tracked.
constexpr std::size_t kSenderLimit = 4096;

void AppendNumber(std::string* out, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>((number >> shift) & 0xFFU));
  }
}

std::uint64_t ReadNumber(std::string_view bytes) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < kNumberSize; ++i) {
    number = number << 8U | static_cast<unsigned char>(bytes[i]);
  }
  return number;
}

/// @return the text that the MAC is computed over.
std::string AuthenticatedText(std::string_view head,
                              const InstanceId& receiver) {
  return std::string(head) + receiver.str();
}

}  // namespace

const char* DatagramRejectionName(DatagramRejection reason) {
  static constexpr const char* kNames[] = {"malformed",   "bad_mac",
                                           "old_session", "replayed",
                                           "own",         "too_many_senders"};
  return kNames[static_cast<int>(reason)];
}

DatagramSeal::DatagramSeal(InstanceId self, Incarnation session, FleetKeys keys)
    : m_self(std::move(self)),
      m_session(session.value()),
      m_keys(std::move(keys)) {}

std::string DatagramSeal::Seal(const InstanceId& to, std::string_view payload) {
  const std::string& id = m_self.str();
  if (id.size() > kIdLimit ||
      kFixedSize + id.size() + payload.size() > kDatagramLimit) {
    return {};
  }
  std::string datagram;
  datagram.push_back(kVersion);
  datagram.push_back(static_cast<char>(id.size()));
  datagram += id;
  AppendNumber(&datagram, m_session);
  AppendNumber(&datagram, ++m_sequence);
  datagram += payload;
  const Mac mac =
      ComputeMac(m_keys.m_keys.front(), AuthenticatedText(datagram, to));
  datagram.append(mac.begin(), mac.begin() + kTruncatedMacSize);
  return datagram;
}

void DatagramSeal::CountRejection(DatagramRejection reason) {
  ++m_rejected[static_cast<std::size_t>(reason)];
}

leaf::result<OpenedDatagram> DatagramSeal::Open(std::string_view datagram) {
  if (datagram.size() < kFixedSize || datagram.size() > kDatagramLimit ||
      datagram[0] != kVersion) {
    return leaf::new_error(DatagramRejection::kMalformed);
  }
  const auto id_size = static_cast<unsigned char>(datagram[1]);
  if (id_size == 0 || id_size > kIdLimit ||
      datagram.size() < kFixedSize + id_size) {
    return leaf::new_error(DatagramRejection::kMalformed);
  }
  const std::string_view head =
      datagram.substr(0, datagram.size() - kTruncatedMacSize);
  const std::string_view mac = datagram.substr(head.size());
  if (!VerifyMac(m_keys, AuthenticatedText(head, m_self), mac)) {
    return leaf::new_error(DatagramRejection::kBadMac);
  }
  const InstanceId from(head.substr(2, id_size));
  if (from == m_self) {
    return leaf::new_error(DatagramRejection::kOwn);
  }
  const std::string_view numbers = head.substr(2 + id_size);
  BOOST_LEAF_CHECK(CheckSequence(from, ReadNumber(numbers),
                                 ReadNumber(numbers.substr(kNumberSize))));
  return OpenedDatagram{from, std::string(numbers.substr(2 * kNumberSize))};
}

leaf::result<void> DatagramSeal::CheckSequence(const InstanceId& from,
                                               std::uint64_t session,
                                               std::uint64_t sequence) {
  auto found = m_senders.find(from);
  if (found == m_senders.end()) {
    if (m_senders.size() >= kSenderLimit) {
      return leaf::new_error(DatagramRejection::kTooManySenders);
    }
    found = m_senders.emplace(from, Sender{.m_session = session}).first;
  }
  Sender& sender = found->second;
  if (session < sender.m_session) {
    return leaf::new_error(DatagramRejection::kOldSession);
  }
  if (session > sender.m_session) {
    sender = Sender{.m_session = session};
  }
  if (sequence + kReplayWindow <= sender.m_highest) {
    return leaf::new_error(DatagramRejection::kReplayed);
  }
  if (sequence > sender.m_highest) {
    const std::uint64_t advance =
        std::min<std::uint64_t>(sequence - sender.m_highest, kReplayWindow);
    for (std::uint64_t i = 0; i < advance; ++i) {
      sender.m_seen.reset((sequence - i) % kReplayWindow);
    }
    sender.m_highest = sequence;
  }
  if (sender.m_seen.test(sequence % kReplayWindow)) {
    return leaf::new_error(DatagramRejection::kReplayed);
  }
  sender.m_seen.set(sequence % kReplayWindow);
  return {};
}

}  // namespace nutmeghollow::net

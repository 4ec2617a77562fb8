/// @file
/// Gossip messages that instances exchange by datagram, and the entries pending
/// dissemination.
///
/// A message is a probe, an acknowledgement or a push, with piggybacked
/// entries. Names of upstreams, customers and instances are sent as 32-bit
/// hashes where the receiver already has the name.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "nutmeghollow/configuration.h"
#include "nutmeghollow/instances.h"
#include "nutmeghollow/peers.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Hash of a name in a message.
using NameHash = Number<struct NameHashTag, std::uint32_t>;

/// @return the hash of a name.
NameHash HashName(std::string_view name);

/// Maximum payload of a datagram in bytes. The rest of the 1,200 bytes is for
/// the envelope that the transport adds.
constexpr std::size_t kGossipPayloadLimit = 1080;

/// Bytes of a datagram besides its payload: IP and UDP headers (28) and the
/// envelope with a sender name of average length (44).
constexpr std::int64_t kDatagramOverhead = 28 + 44;

/// Purpose of a message.
enum class GossipKind {
  kPing,         ///< Probes the receiver, which replies with kAck.
  kAck,          ///< Acknowledges a ping.
  kPingRequest,  ///< Indirect probe: the receiver pings m_target.
  kPush,         ///< Carries entries only; has no reply.
  kCount,
};

/// Addresses and location of an instance.
struct MemberDetails {
  Endpoint m_caller_endpoint;
  Endpoint m_peer_endpoint;
  DataCentreId m_data_centre;
  RegionId m_region;
};

/// Status of an instance as seen by the sender.
struct MemberEntry {
  InstanceId m_id;
  Incarnation m_incarnation;
  InstanceStatus m_status = InstanceStatus::kAlive;
  std::optional<MemberDetails> m_details;
};

/// Revision that an instance has in force.
struct ConfirmationEntry {
  NameHash m_instance;
  Revision m_revision;
};

/// Result of probing an upstream.
enum class ProbeVerdict { kOk, kFailing, kLeaving };

/// Verdict and load of an upstream, from one of its two probers.
struct VerdictEntry {
  NameHash m_upstream;
  int m_slot = 0;  ///< Which of the two probers, 0 or 1.
  ProbeVerdict m_verdict = ProbeVerdict::kOk;
  int m_running = 0;
  int m_queued = 0;  ///< At most 31.
  Duration m_age{};  ///< Since the measurement; at most 5.1 s.
};

/// Requests that the sender has running at an upstream.
struct LoadEntry {
  NameHash m_upstream;
  int m_running = 0;
};

/// Demand of a customer at the sender.
struct DemandEntry {
  NameHash m_customer;
  int m_running = 0;
  int m_queued = 0;
  double m_rate = 0;  ///< Requests per second, with a resolution of 0.01.
};

/// A request suspected of crashing upstreams.
struct SuspectEntry {
  RequestDigest m_digest;
  std::vector<NameHash> m_crashed_upstreams;
  bool m_quarantined = false;
  Duration m_time_left{};
};

/// One message.
struct GossipMessage {
  GossipKind m_kind = GossipKind::kPush;
  /// Number of the probe, chosen by the instance that started it.
  std::uint32_t m_probe = 0;
  InstanceId m_target;        ///< Instance to ping; for kPingRequest.
  Incarnation m_incarnation;  ///< Of the sender.
  bool m_leaving = false;     ///< The sender is about to stop.
  /// Requests addresses: the sender received an entry about an instance whose
  /// addresses it lacks, or lacks those of the receiver.
  bool m_want_details = false;
  Revision m_revision;  ///< In force at the sender.
  Revision m_highest_seen;
  /// Sum of hashes over the sender's member table, to detect that the tables of
  /// sender and receiver differ.
  std::uint32_t m_member_digest = 0;
  bool m_loads_complete = false;  ///< All loads, not only changed ones.
  std::vector<MemberEntry> m_members;
  std::vector<ConfirmationEntry> m_confirmations;
  std::vector<VerdictEntry> m_verdicts;
  std::vector<LoadEntry> m_loads;
  std::vector<DemandEntry> m_demands;
  std::vector<SuspectEntry> m_suspects;
  /// The latest changes up to m_revision, without a gap, oldest first. They
  /// save the receiver a request for them.
  std::vector<ConfigurationChange> m_changes;
};

/// @return the message as a packed Cap'n Proto message.
std::string EncodeGossip(const GossipMessage& message);

/// @return the message, or nullopt when the payload is malformed.
std::optional<GossipMessage> DecodeGossip(std::string_view payload);

/// An upstream and one of its probers.
using VerdictKey = std::pair<UpstreamId, int>;

/// What was last sent to a peer, and what to include in the next message to it.
struct PeerSendState {
  std::map<UpstreamId, int> m_loads;
  std::map<CustomerId, std::pair<int, int>> m_demands;  ///< Running, queued.
  TimePoint m_demands_at{};
  TimePoint m_pushed_at{};
  TimePoint m_urgent_at{};  ///< Last urgent message to the peer.
  TimePoint m_full_loads_at{};
  bool m_details_requested = false;  ///< The peer requested addresses.
  /// The member digest of the peer differs from the own one.
  bool m_members_differ = false;
};

/// Settings of the dissemination of entries.
struct GossipParameters {
  /// Transmissions of an entry, per doubling of the fleet size.
  int m_transmissions_per_doubling = 2;
  /// Peers to which an urgent change detected here is sent immediately.
  int m_origin_fanout = 6;
  /// Peers to which a received urgent change is relayed, in fleets with more
  /// peers than m_origin_fanout.
  int m_relay_fanout = 3;
  /// Minimum time between two batches of urgent messages.
  Duration m_urgent_interval = std::chrono::milliseconds(50);
  /// Time since the last urgent message to a peer after which the next one is
  /// sent even without budget: a quarter of the 2 s within which a change must
  /// be in force. It carries everything that became urgent in the meantime.
  Duration m_max_urgent_delay = std::chrono::milliseconds(500);
  /// Minimum time between two load announcements; each goes to one peer.
  Duration m_load_interval = std::chrono::milliseconds(100);
  /// Fleets up to this size send loads to every peer, larger ones only to the
  /// owners of the upstreams.
  int m_load_to_all_limit = 16;
  /// Time after which all loads are sent to a peer again, changed or not.
  Duration m_full_load_interval = std::chrono::seconds(3);
  Duration m_demand_interval = std::chrono::seconds(2);
  int m_demand_customers = 8;  ///< Most customers per message, busiest first.
  /// Lifetime of loads and demands received from peers.
  Duration m_peer_expiry = std::chrono::seconds(30);
};

/// Entries pending dissemination, with the remaining transmissions. Contents
/// are read from the tables when a message is built, so they are current.
struct GossipState {
  GossipParameters m_parameters;
  std::map<InstanceId, int> m_members;
  std::map<InstanceId, int> m_confirmations;
  std::map<VerdictKey, int> m_verdicts;
  std::map<RequestDigest, int> m_suspects;
  /// Last state of the suspects: number of crashed upstreams, quarantined.
  std::map<RequestDigest, std::pair<std::size_t, bool>> m_known_suspects;
  std::map<InstanceId, PeerSendState> m_send_states;
  Revision m_announced_highest;
  Revision m_announced_revision;
  /// Peer that was the first to send the highest revision.
  InstanceId m_highest_sender;
  Revision m_highest_received;  ///< Highest revision received from a peer.
  /// Peers with a pending urgent message.
  std::deque<InstanceId> m_urgent_recipients;
  std::size_t m_urgent_next = 0;  ///< Position in the ring of peers.
  std::size_t m_sync_next = 0;    ///< Position in the member table.
  TimePoint m_next_load{};
  TimePoint m_next_urgent{};
  TimePoint m_next_scan{};
  TimePoint m_next_expiry{};
  bool m_announced_leaving = false;
  /// An entry named an instance whose addresses are unknown.
  bool m_details_missing = false;
  std::map<NameHash, UpstreamId> m_upstream_names;
  std::map<NameHash, CustomerId> m_customer_names;
  Revision m_names_revision;
  std::size_t m_names_size = 0;
};

}  // namespace nutmeghollow

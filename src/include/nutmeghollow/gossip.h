/// @file
/// Messages that instances exchange by datagram, and what waits to be spread.
///
/// A message is one probe, answer or announcement, with entries piggybacked.
/// Names of upstreams, customers and instances travel as 32-bit hashes where
/// the receiver knows the name already.
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

/// Longest payload of a datagram. The rest of the 1,200 bytes is the
/// envelope that the transport adds.
constexpr std::size_t kGossipPayloadLimit = 1080;

/// Bytes that a datagram has besides its payload: IP and UDP headers (28) and
/// the envelope with a sender name of average length.
constexpr std::int64_t kDatagramOverhead = 28 + 44;

/// Purpose of a message.
enum class GossipKind {
  kPing,         ///< Asks the receiver for an answer.
  kAck,          ///< Answers a ping.
  kPingRequest,  ///< Asks the receiver to ping a third instance.
  kPush,         ///< Only carries entries.
  kCount,
};

/// Addresses and place of an instance.
struct MemberDetails {
  Endpoint m_caller_endpoint;
  Endpoint m_peer_endpoint;
  DataCentreId m_data_centre;
  RegionId m_region;
};

/// What the sender believes about an instance.
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

/// What a prober found at an upstream.
enum class ProbeVerdict { kOk, kFailing, kLeaving };

/// Verdict and load of an upstream, from one of its two probers.
struct VerdictEntry {
  NameHash m_upstream;
  int m_slot = 0;  ///< Which of the two probers, 0 or 1.
  ProbeVerdict m_verdict = ProbeVerdict::kOk;
  int m_running = 0;
  int m_queued = 0;  ///< At most 31.
  Duration m_age{};  ///< Since the upstream measured; at most 5.1 s.
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
  double m_rate = 0;  ///< Requests a second, to 0.01.
};

/// A request that is suspected of crashing upstreams.
struct SuspectEntry {
  RequestDigest m_digest;
  std::vector<NameHash> m_crashed_upstreams;
  bool m_quarantined = false;
  Duration m_time_left{};
};

/// One message.
struct GossipMessage {
  GossipKind m_kind = GossipKind::kPush;
  /// Number of the probe, chosen by the one who asked.
  std::uint32_t m_probe = 0;
  InstanceId m_target;        ///< With kPingRequest.
  Incarnation m_incarnation;  ///< Of the sender.
  bool m_leaving = false;     ///< The sender is about to stop.
  /// The sender heard of an instance whose addresses it does not know.
  bool m_want_details = false;
  Revision m_revision;  ///< In force at the sender.
  Revision m_highest_seen;
  /// Sum over the members that the sender knows, to find differences.
  std::uint32_t m_member_digest = 0;
  bool m_loads_whole = false;  ///< The loads are all, not only changed ones.
  std::vector<MemberEntry> m_members;
  std::vector<ConfirmationEntry> m_confirmations;
  std::vector<VerdictEntry> m_verdicts;
  std::vector<LoadEntry> m_loads;
  std::vector<DemandEntry> m_demands;
  std::vector<SuspectEntry> m_suspects;
  /// The changes that led to m_revision, without a gap, oldest first. They
  /// spare the receiver a call for them.
  std::vector<ConfigurationChange> m_changes;
};

/// @return the message as a packed Cap'n Proto message.
std::string EncodeGossip(const GossipMessage& message);

/// @return the message, or nothing when the payload is malformed.
std::optional<GossipMessage> DecodeGossip(std::string_view payload);

/// An upstream and one of its probers.
using VerdictKey = std::pair<UpstreamId, int>;

/// What one peer was last told about this instance's own traffic.
struct ToldPeer {
  std::map<UpstreamId, int> m_loads;
  std::map<CustomerId, std::pair<int, int>> m_demands;  ///< Running, queued.
  TimePoint m_demands_at{};
  TimePoint m_pushed_at{};
  TimePoint m_urgent_at{};  ///< Last urgent message to it.
  TimePoint m_whole_at{};
  bool m_wants_details = false;
  bool m_differs = false;  ///< Its member table differed from the own one.
};

/// Settings of the spreading of entries.
struct GossipParameters {
  /// Times that an entry is sent, per doubling of the fleet.
  int m_transmissions_per_doubling = 2;
  /// Peers that are told at once about an urgent change found here.
  int m_origin_fanout = 6;
  /// Peers that an urgent change is passed on to, in fleets larger than that.
  int m_relay_fanout = 3;
  /// Shortest time between two batches of urgent changes.
  Duration m_urgent_interval = std::chrono::milliseconds(50);
  /// Time after which an urgent message to a peer waits for the budget no
  /// longer: a quarter of the 2 s in which a change must be in force. It then
  /// takes with it all that became urgent meanwhile.
  Duration m_urgent_wait = std::chrono::milliseconds(500);
  /// Shortest time between two load announcements to one peer.
  Duration m_load_interval = std::chrono::milliseconds(100);
  /// Fleets up to this size tell loads to every peer, larger ones to owners.
  int m_load_to_all_limit = 16;
  /// Time after which a peer is told all loads again, changed or not.
  Duration m_whole_interval = std::chrono::seconds(3);
  Duration m_demand_interval = std::chrono::seconds(2);
  int m_demand_customers = 8;  ///< Busiest customers that are announced.
  /// Announcements of peers older than this are forgotten.
  Duration m_peer_expiry = std::chrono::seconds(30);
};

/// Entries that wait to be spread, with the transmissions left. Contents are
/// taken from the tables when a message is built, so they are never outdated.
struct GossipState {
  GossipParameters m_parameters;
  std::map<InstanceId, int> m_members;
  std::map<InstanceId, int> m_confirmations;
  std::map<VerdictKey, int> m_verdicts;
  std::map<RequestDigest, int> m_suspects;
  std::map<RequestDigest, std::pair<std::size_t, bool>> m_known_suspects;
  std::map<InstanceId, ToldPeer> m_told;
  Revision m_told_highest;
  Revision m_told_revision;
  InstanceId m_highest_from;  ///< Peer that first told of the highest revision.
  Revision m_highest_heard;   ///< Highest revision that a peer told of.
  std::deque<InstanceId> m_urgent_to;  ///< Peers that wait to be told.
  std::size_t m_urgent_next = 0;       ///< Position in the ring of peers.
  std::size_t m_sync_next = 0;         ///< Position in the table of members.
  TimePoint m_next_load{};
  TimePoint m_next_urgent{};
  TimePoint m_next_scan{};
  TimePoint m_next_expiry{};
  bool m_told_leaving = false;
  bool m_lacks_details = false;  ///< Heard of an instance without address.
  std::map<NameHash, UpstreamId> m_upstream_names;
  std::map<NameHash, CustomerId> m_customer_names;
  Revision m_names_revision;
  std::size_t m_names_size = 0;
};

}  // namespace nutmeghollow

/// @file
/// Membership of the fleet: which instances are alive, by mutual probes.
///
/// The protocol is SWIM: each instance pings one other per period, asks
/// others to ping it when no answer comes, and then spreads a suspicion that
/// the suspected instance can refute with a higher incarnation. The platform's
/// lagging instance list only names instances to contact.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "nutmeghollow/gossip.h"
#include "nutmeghollow/instances.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// An instance as named by the platform's list.
struct ListedInstance {
  InstanceId m_id;
  Endpoint m_caller_endpoint;
  Endpoint m_peer_endpoint;
  DataCentreId m_data_centre;
  RegionId m_region;
  bool m_leaving = false;
};

/// A datagram whose sender the transport has authenticated.
struct ReceivedDatagram {
  InstanceId m_from;
  std::string m_payload;
  Endpoint m_endpoint;  ///< Address that it came from; may be empty.
};

/// What adapters report about other instances, emptied each tick.
struct MembershipInbox {
  std::vector<ListedInstance> m_listed;
  std::vector<ReceivedDatagram> m_datagrams;
};

/// Settings of the membership protocol.
struct MembershipParameters {
  Duration m_probe_period = std::chrono::milliseconds(1000);
  /// Time for a direct answer before others are asked to ping.
  Duration m_probe_timeout = std::chrono::milliseconds(300);
  int m_indirect_probes = 2;
  /// Time to refute a suspicion in a fleet of ten; grows with its logarithm.
  Duration m_suspicion = std::chrono::seconds(3);
  /// Longest time for which a dead instance is remembered and contacted.
  Duration m_tombstone = std::chrono::minutes(15);
  /// First and longest wait between contacts to an instance not yet heard.
  Duration m_contact_backoff = std::chrono::seconds(1);
  Duration m_contact_backoff_limit = std::chrono::seconds(8);
  int m_contacts_at_start = 2;  ///< Contacts per period while alone.
  /// An instance that came back this often stays suspect for a while.
  double m_flap_limit = 4.0;
  Duration m_flap_half_life = std::chrono::seconds(30);
  /// A longer gap between ticks means that this process was paused.
  Duration m_pause_limit = std::chrono::milliseconds(700);
};

/// Protocol state of another instance.
struct MemberState {
  bool m_suspected = false;
  TimePoint m_suspected_at{};
  TimePoint m_first_seen{};
  /// Shown as suspect because it came and went too often.
  bool m_damped = false;
  double m_flaps = 0;  ///< Decaying count of returns from suspicion or death.
  TimePoint m_flaps_at{};
  TimePoint m_next_contact{};
  Duration m_backoff{};
};

/// A listed instance that has not been heard from.
struct ContactCandidate {
  ListedInstance m_listed;
  TimePoint m_next_contact{};
  Duration m_backoff{};
};

/// The probe in progress.
struct PendingProbe {
  InstanceId m_target;
  std::uint32_t m_number = 0;
  TimePoint m_sent_at{};
  bool m_indirect = false;
};

/// A probe made for another instance.
struct RelayedProbe {
  InstanceId m_requester;
  std::uint32_t m_requester_number = 0;
  TimePoint m_expires{};
};

/// Counters for metrics.
struct MembershipCounters {
  std::uint64_t m_malformed = 0;  ///< Authentic datagrams not understood.
  std::uint64_t m_suspicions = 0;
  std::uint64_t m_deaths = 0;
  std::uint64_t m_refutations = 0;
  std::uint64_t m_pauses = 0;
};

/// State of the protocol on this instance.
struct MembershipState {
  MembershipParameters m_parameters;
  MembershipCounters m_counters;
  std::map<InstanceId, MemberState> m_members;
  std::map<InstanceId, ContactCandidate> m_candidates;
  std::vector<InstanceId> m_order;  ///< Shuffled ring of probe targets.
  std::size_t m_next_in_order = 0;
  std::optional<PendingProbe> m_pending;
  std::map<std::uint32_t, RelayedProbe> m_relays;
  std::uint32_t m_last_probe = 0;
  TimePoint m_next_probe{};
  TimePoint m_next_contact{};
  TimePoint m_next_sweep{};
  TimePoint m_last_run{};
  /// Grows when an instance appears, vanishes or changes its status.
  std::uint64_t m_version = 1;
  std::uint64_t m_digest_version = 0;
  std::uint32_t m_digest = 0;
};

/// Puts the own instance into the table; call it once before the first tick.
/// The incarnation is taken from the civil time.
void StartMembership(World& world, InstanceRow self, TimePoint now);

/// Runs the protocol: reads the inbox, probes, suspects and spreads.
void RunMembership(World& world, TimePoint now);

/// Tells whether to fetch the platform's list of instances now. Few instances
/// do, and those that know nobody; the others hear of new ones by gossip.
/// Nothing is taken from the budget; note the bytes of the poll afterwards.
bool ShouldFetchInstanceList(World& world, TimePoint now);

/// @return instances that are alive or suspect, the own one included.
int LiveInstances(const World& world);

}  // namespace nutmeghollow

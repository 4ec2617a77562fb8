/// @file
/// Membership of the fleet: failure detection by mutual probes.
///
/// The protocol is SWIM: each instance pings one other instance per period,
/// probes it indirectly through others when no acknowledgement arrives, and
/// then disseminates a suspicion, which the suspected instance can refute with
/// a higher incarnation. The platform's instance list lags behind and is used
/// only to find instances to contact.
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

/// An instance in the platform's list.
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
  Endpoint m_endpoint;  ///< Source address; may be empty.
};

/// Input from the adapters about other instances; emptied in each tick.
struct MembershipInbox {
  std::vector<ListedInstance> m_listed;
  std::vector<ReceivedDatagram> m_datagrams;
};

/// Settings of the membership protocol.
struct MembershipParameters {
  Duration m_probe_period = std::chrono::milliseconds(1000);
  /// Timeout of a direct probe, after which indirect probes are sent.
  Duration m_probe_timeout = std::chrono::milliseconds(300);
  int m_indirect_probes = 2;
  /// Time to refute a suspicion in fleets of up to ten instances; in larger
  /// ones it is multiplied by the decimal logarithm of the fleet size.
  Duration m_suspicion_timeout = std::chrono::seconds(3);
  /// Time for which a dead instance is retained and contacted.
  Duration m_tombstone_lifetime = std::chrono::minutes(15);
  /// Initial and maximum backoff between contacts to an instance that is dead
  /// or has not sent a message yet.
  Duration m_contact_backoff = std::chrono::seconds(1);
  Duration m_contact_backoff_limit = std::chrono::seconds(8);
  /// Contacts per interval while no peer is live.
  int m_contacts_at_start = 2;
  /// Decayed count of flaps above which an instance is damped: shown as suspect
  /// until the count falls below half of the limit.
  double m_flap_limit = 4.0;
  Duration m_flap_half_life = std::chrono::seconds(30);
  /// A longer time between two ticks means that this process was paused.
  Duration m_pause_limit = std::chrono::milliseconds(700);
};

/// Protocol state of another instance.
struct MemberState {
  bool m_suspected = false;
  TimePoint m_suspected_at{};
  TimePoint m_first_seen{};
  /// Shown as suspect because of frequent flaps.
  bool m_damped = false;
  double m_flaps = 0;  ///< Decaying count of returns from suspect or dead.
  TimePoint m_flaps_at{};
  TimePoint m_next_contact{};
  Duration m_backoff{};
};

/// An instance of the platform's list, with the state of contacting it.
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

/// A probe sent on behalf of another instance.
struct RelayedProbe {
  InstanceId m_requester;
  std::uint32_t m_requester_number = 0;
  TimePoint m_expires{};
};

/// Counters for metrics.
struct MembershipCounters {
  std::uint64_t m_malformed = 0;  ///< Authentic datagrams that were rejected.
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
  /// Incremented when an instance is added or removed or changes its status or
  /// incarnation.
  std::uint64_t m_version = 1;
  std::uint64_t m_digest_version = 0;
  std::uint32_t m_digest = 0;
};

/// Adds the own instance to the table; must be called once before the first
/// tick. The incarnation is taken from the wall-clock time, so that it grows
/// over restarts.
void StartMembership(World& world, InstanceRow self, TimePoint now);

/// Runs the protocol: processes the inbox, sends probes, updates statuses and
/// disseminates entries.
void RunMembership(World& world, TimePoint now);

/// @return whether to fetch the platform's list of instances now. Only a few
/// instances poll it, and those without a live peer; the others learn of new
/// instances by gossip. Takes nothing from the budget: the caller records the
/// bytes of the poll with RecordControlBytes.
bool ShouldFetchInstanceList(World& world, TimePoint now);

/// @return the number of instances that are not dead, including the own one.
int LiveInstances(const World& world);

}  // namespace nutmeghollow

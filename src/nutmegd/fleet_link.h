/// @file
/// Connects the instances of a gateway: each sends its digest to the others
/// over UDP, authenticated with a key that the first instance wrote to the
/// platform's tables.
#pragma once

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "libnet/event_loop.h"
#include "libnet/peer_transport.h"
#include "libnet/row_feed.h"
#include "nutmegd/crash_detector.h"
#include "nutmeghollow/entry_directory.h"
#include "nutmeghollow/fleet_digest.h"
#include "nutmeghollow/load_exchange.h"
#include "nutmeghollow/membership.h"
#include "nutmeghollow/metrics.h"
#include "nutmeghollow/rate_exchange.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// Row of the table of instances that holds the fleet key. No instance has
/// this name.
inline constexpr const char* kFleetKeyRow = "~fleet-key";

/// State of this instance that the link reads for its digests.
struct FleetLinkHooks {
  /// @return true when this instance accepts callers.
  std::function<bool()> m_ready;
  /// @return the revision in force at this instance.
  std::function<Revision()> m_revision;
  /// Called with the revision that another instance has in force, and when that
  /// was confirmed to be current, if it was.
  std::function<void(Revision, std::optional<TimePoint> confirmed_at)>
      m_on_revision;
  /// @return what this instance says about its paths to upstreams.
  std::function<UpstreamReach()> m_reach;
  /// @return the age of its proof that its configuration is current; unset when
  /// it has none.
  std::function<std::optional<Duration>()> m_proof_age;
  /// @return as m_proof_age, about the registrations.
  std::function<std::optional<Duration>()> m_registrations_age;
  /// @return true when the store fails for this instance's own reads.
  std::function<bool()> m_store_fails;
  /// @return the version of the newest change in its copy of the registrations.
  std::function<RowVersion()> m_registrations_version;
  /// As m_on_revision, about the registrations.
  std::function<void(RowVersion, std::optional<TimePoint> confirmed_at)>
      m_on_registrations_version;
  /// @return the newest position in the history of the platform's tables that
  /// this instance knows of.
  std::function<RowVersion()> m_store_position;
  /// Called with the newest position that another instance knows of.
  std::function<void(RowVersion)> m_on_store_position;
  /// Called with streams to record for another instance.
  std::function<void(const InstanceId& from, const StreamReport& report)>
      m_on_stream_report;
  /// Called when another instance has recorded a report of this one.
  std::function<void(const InstanceId& from, std::uint32_t report)>
      m_on_recorded;
};

/// Sends and receives digests, and detects which instances are alive.
class FleetLink {
 public:
  /// @param directory, @param pool and @param crash_detector must outlive this
  /// object.
  FleetLink(struct ev_loop* loop,
            InstanceId self,
            Endpoint endpoint,
            net::RowFeed feed,
            std::string table,
            EntryDirectory* directory,
            UpstreamPool* pool,
            CrashDetector* crash_detector,
            FleetLinkHooks hooks);
  ~FleetLink();
  FleetLink(const FleetLink&) = delete;
  FleetLink& operator=(const FleetLink&) = delete;

  /// Sets the fleet key, unless one is set.
  /// @param key_text key as stored in the platform's table of instances.
  void PutKey(const std::string& key_text);
  /// Writes the key again after the platform has lost its row.
  void RestoreKey();
  /// Proposes a key after a short random delay, unless a key is known by then,
  /// for example from another instance's proposal. Called when the table of
  /// instances has been read; does nothing when a key is known.
  void ScheduleKeyProposal();
  /// Sets the address at which an instance receives digests.
  void PutPeer(const InstanceId& id, const Endpoint& endpoint);
  /// Notes that the row of an instance is gone. It may be stopping, and still
  /// serve for a while: it gets digests and answers until it is silent.
  void NoteLeaving(const InstanceId& id);
  /// @return the fleet keys; null until they are known.
  const net::FleetKeys* Keys() const { return m_keys ? &*m_keys : nullptr; }
  /// @return the peer address of an instance; empty when not known.
  Endpoint AddressOf(const InstanceId& id) const;
  /// @return this instance's clock less that of another instance, too high by
  /// the delay of its last digest; nullopt when not known.
  std::optional<Duration> ClockOffsetOf(const InstanceId& id) const;
  /// Sends a digest without waiting for the timer, for example when this
  /// instance starts to leave.
  void SendDigestNow() { SendDigest(); }
  /// Updates in the directory what this instance reports about its reads of the
  /// tables.
  void UpdateOwnEntry();
  /// Sends reports of requests that crash upstreams and of upstreams that are
  /// leaving, if there are any.
  void SendEvents();
  void SendStreamReport(const InstanceId& to, const StreamReport& report);
  /// Confirms that the streams of a report are recorded.
  void SendRecorded(const InstanceId& to, std::uint32_t report);
  /// Tells all instances which upstreams are brittle, and the allocator what
  /// this instance has there. Called when one says that it is.
  void NoteRefusalLimit();
  /// Requests a permit or a lease to send a request to a limited upstream.
  /// @param processes in order of preference; not empty.
  /// @param done called once, possibly before this function returns.
  void RequestPermit(std::vector<LimitedProcess> processes,
                     std::function<void()> done);
  /// @param metrics must not be rendered after this object is gone.
  void RegisterGauges(MetricsRegistry* metrics);
  /// @return instances from which nothing was received for so long that their
  /// rows may be removed; empty unless it is up to this instance to do so.
  std::vector<InstanceId> LostPeers() const;

 private:
  struct Peer {
    Endpoint m_endpoint;
    TimePoint m_known_since{};
    std::optional<TimePoint> m_last_digest_at;
    bool m_leaving = false;  ///< Its row is gone.
    std::optional<Duration> m_clock_offset;
  };

  void ProposeKey();
  void WriteKey(const std::string& key_text);
  void SendDigest();
  void SendToPeers(const FleetDigest& digest);
  void SendLoad(const InstanceId& to, const LoadMessage& message);
  /// Adds the rates that upstreams stated, and sends the digest.
  void SendMessage(const InstanceId& to, FleetDigest digest);
  void CheckPermitTimeouts();
  RateExchange::Hooks LeaseHooks();
  /// Gives unused leases back and ends waiting, while an upstream is brittle.
  void CheckLeases();
  void SendRoomMessage(const InstanceId& to, FleetDigest digest);
  /// Tells the allocator of leases what this instance has at upstreams.
  void SendRoomReports(std::vector<RoomReport> reports);
  void HandleRoomReport(const InstanceId& from, const RoomReport& report);
  void LogRefusal(const InstanceId& from,
                  const RoomReport& report,
                  int room_before);
  void StartLeaseTimer();
  void HandleRooms(const InstanceId& from, const FleetDigest& digest);
  /// Sends to all instances which upstreams are brittle, if any is.
  void SendRefusalLimits();
  void StartLoadRound();
  FleetDigest OwnState() const;
  void Handle(const ReceivedDatagram& datagram);
  void UpdateLiveness();
  Duration Period() const;
  bool Alive(const Peer& peer, TimePoint now) const;

  struct ev_loop* m_loop;
  InstanceId m_self;
  Endpoint m_endpoint;
  net::RowFeed m_feed;
  std::string m_table;
  EntryDirectory* m_directory;
  UpstreamPool* m_pool;
  CrashDetector* m_crash_detector;
  FleetLinkHooks m_hooks;
  net::Timer m_timer;
  net::Timer m_key_timer;
  net::Timer m_load_timer;
  LoadExchange m_loads;
  RateExchange m_rates;
  RoomLeases m_rooms;
  RateExchange m_leases;
  net::Timer m_lease_timer;
  net::Timer m_permit_timer;
  std::map<InstanceId, Peer> m_peers;
  std::optional<net::FleetKeys> m_keys;
  std::string m_key_text;  ///< Of m_keys, as in its row.
  std::unique_ptr<net::PeerTransport> m_transport;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace nutmeghollow

/// @file
/// Joins the instances of a gateway: each tells the others its digest over
/// UDP, authenticated with a key that the first instance put into the
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
#include "nutmeghollow/crash_suspects.h"
#include "nutmeghollow/entry_directory.h"
#include "nutmeghollow/fleet_digest.h"
#include "nutmeghollow/membership.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// Row of the table of instances that holds the fleet's key. No instance has
/// this name.
inline constexpr const char* kFleetKeyRow = "~fleet-key";

/// What the link needs from its instance.
struct FleetLinkHooks {
  /// @return whether this instance takes callers.
  std::function<bool()> m_ready;
  /// @return the revision in force here.
  std::function<Revision()> m_revision;
};

/// Sends and receives digests, and notes who is alive.
class FleetLink {
 public:
  /// @param directory, @param pool and @param suspects must outlive this
  /// object.
  FleetLink(struct ev_loop* loop,
            InstanceId self,
            Endpoint endpoint,
            net::RowFeed feed,
            std::string table,
            EntryDirectory* directory,
            UpstreamPool* pool,
            CrashSuspects* suspects,
            FleetLinkHooks hooks);
  ~FleetLink();
  FleetLink(const FleetLink&) = delete;
  FleetLink& operator=(const FleetLink&) = delete;

  /// Takes the fleet's key, as kept in the platform's table of instances.
  void PutKey(const std::string& key_text);
  /// The table of instances holds no key: offers one after a short, random
  /// time, in which another instance may have been first.
  void ScheduleKeyProposal();
  /// Notes where an instance listens for digests.
  void PutPeer(const InstanceId& id, const Endpoint& endpoint);
  void RemovePeer(const InstanceId& id);
  /// @return the fleet's keys; null until they are known.
  const net::FleetKeys* Keys() const { return m_keys ? &*m_keys : nullptr; }
  /// @return where an instance listens for peers; empty when not known.
  Endpoint AddressOf(const InstanceId& id) const;
  /// Tells the others now, for example that this instance is leaving.
  void SendDigestNow() { Tell(); }
  /// Tells the others of requests that crash upstreams and of upstreams that
  /// are leaving, if there is news.
  void SendEvents();
  /// @return instances that were not heard for a long time and may be
  /// forgotten by all; empty unless it is this instance's part to do so.
  std::vector<InstanceId> LostPeers() const;

 private:
  struct Peer {
    Endpoint m_endpoint;
    TimePoint m_known_since{};
    std::optional<TimePoint> m_heard;
  };

  void OfferKey();
  void Tell();
  void SendToPeers(const FleetDigest& digest);
  FleetDigest OwnState() const;
  void Handle(const ReceivedDatagram& datagram);
  void NoteAlive();
  Duration Period() const;
  bool Alive(const Peer& peer, TimePoint now) const;

  struct ev_loop* m_loop;
  InstanceId m_self;
  Endpoint m_endpoint;
  net::RowFeed m_feed;
  std::string m_table;
  EntryDirectory* m_directory;
  UpstreamPool* m_pool;
  CrashSuspects* m_suspects;
  FleetLinkHooks m_hooks;
  net::Timer m_timer;
  net::Timer m_key_timer;
  std::map<InstanceId, Peer> m_peers;
  std::optional<net::FleetKeys> m_keys;
  std::unique_ptr<net::PeerTransport> m_transport;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace nutmeghollow

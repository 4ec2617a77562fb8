#include "nutmegd/fleet_link.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <random>
#include <utility>

#include "libnet/fleet_key.h"
#include "libnet/log.h"
#include "libnet/text.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

constexpr std::size_t kKeyBytes = 32;
/// Longest wait for the platform's answer about the key.
constexpr Duration kKeyTimeout = std::chrono::milliseconds(1000);
/// Offers of a key are spread over this time, so that most instances of a
/// fleet that starts at once hear of the first one before they make one.
constexpr Duration kOfferSpread = std::chrono::milliseconds(1000);
/// Time between two digests of a small fleet: loads change within a request's
/// life of about a second.
constexpr Duration kShortestPeriod = std::chrono::milliseconds(200);
/// Each instance adds this much, so that a large fleet sends at one rate.
constexpr Duration kPeriodPerPeer = std::chrono::milliseconds(10);
/// Digests that may be lost before an instance counts as dead.
constexpr int kMissedDigests = 4;
/// A new instance is given this long to be heard.
constexpr Duration kFirstContact = std::chrono::milliseconds(2000);
/// A peer that was not heard for this long is gone for good: longer than a
/// restart, a freeze or a cut of a few seconds.
constexpr Duration kForgetAfter = std::chrono::seconds(12);

}  // namespace

FleetLink::FleetLink(struct ev_loop* loop,
                     InstanceId self,
                     Endpoint endpoint,
                     net::RowFeed feed,
                     std::string table,
                     EntryDirectory* directory,
                     UpstreamPool* pool,
                     CrashSuspects* suspects,
                     FleetLinkHooks hooks)
    : m_loop(loop),
      m_self(std::move(self)),
      m_endpoint(std::move(endpoint)),
      m_feed(std::move(feed)),
      m_table(std::move(table)),
      m_directory(directory),
      m_pool(pool),
      m_suspects(suspects),
      m_hooks(std::move(hooks)),
      m_timer(loop, [this] { Tell(); }),
      m_key_timer(loop, [this] { OfferKey(); }) {
  m_timer.Start(kShortestPeriod);
}

FleetLink::~FleetLink() = default;

void FleetLink::NoteKeyMissing() {
  if (m_keys || m_key_timer.Active()) {
    return;
  }
  std::uniform_int_distribution<Duration::rep> spread(0, kOfferSpread.count());
  std::random_device random;
  m_key_timer.Start(Duration(spread(random)));
}

void FleetLink::OfferKey() {
  if (m_keys) {
    return;
  }
  net::FeedWrite write;
  write.m_table = m_table;
  write.m_key = kFleetKeyRow;
  write.m_value = net::ToHex(net::RandomBytes(kKeyBytes));
  write.m_expected = net::FeedVersion(0);
  // Whoever wins, and whether or not the answer comes, the row tells which key
  // holds; it arrives with the rows of the instances.
  m_feed.m_write(write, kKeyTimeout, [](const net::FeedResult& /*result*/) {});
}

void FleetLink::PutKey(const std::string& key_text) {
  if (m_keys) {
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(keys, net::ParseFleetKeys(key_text));
        m_keys = keys;
        const Incarnation session(
            static_cast<std::uint64_t>(net::WallClockTime().value()));
        m_transport = std::make_unique<net::PeerTransport>(
            m_loop, m_endpoint, net::DatagramSeal(m_self, session, keys),
            [this](const ReceivedDatagram& datagram) { Handle(datagram); });
        Tell();
        return {};
      },
      [](const net::BadFleetKey& error) {
        Log(LogLevel::kError, "fleet_key_not_used",
            {{"fault", error.m_reason}});
      },
      [] { Log(LogLevel::kError, "fleet_key_not_used", {}); });
}

void FleetLink::PutPeer(const InstanceId& id, const Endpoint& endpoint) {
  if (id == m_self) {
    return;
  }
  Peer& peer = m_peers[id];
  if (peer.m_endpoint != endpoint) {
    peer = Peer{endpoint, BootTime(), std::nullopt};
  }
}

Endpoint FleetLink::AddressOf(const InstanceId& id) const {
  const auto peer = m_peers.find(id);
  return peer == m_peers.end() ? Endpoint() : peer->second.m_endpoint;
}

void FleetLink::RemovePeer(const InstanceId& id) {
  m_peers.erase(id);
  m_pool->ClearPeerActive(id);
}

Duration FleetLink::Period() const {
  return std::max(kShortestPeriod,
                  kPeriodPerPeer * static_cast<int>(m_peers.size()));
}

FleetDigest FleetLink::OwnState() const {
  FleetDigest digest;
  digest.m_ready = m_hooks.m_ready();
  digest.m_revision = m_hooks.m_revision();
  return digest;
}

void FleetLink::SendToPeers(const FleetDigest& digest) {
  if (m_transport == nullptr) {
    return;
  }
  const std::string payload = EncodeDigest(digest, BootTime());
  for (const auto& [id, peer] : m_peers) {
    m_transport->Send(id, peer.m_endpoint, payload);
  }
}

void FleetLink::TellNews() {
  // Two datagrams, since each list may fill one.
  FleetDigest crashes = OwnState();
  crashes.m_events_only = true;
  FleetDigest leaving = crashes;
  crashes.m_crashes = m_suspects->Reports(kMaxCrashReports, BootTime());
  leaving.m_leaving = m_pool->LeavingToReport(kMaxLeavingUpstreams, BootTime());
  if (!crashes.m_crashes.empty()) {
    SendToPeers(crashes);
  }
  if (!leaving.m_leaving.empty()) {
    SendToPeers(leaving);
  }
}

void FleetLink::Tell() {
  FleetDigest digest = OwnState();
  digest.m_active = m_pool->ActiveByUpstream();
  digest.m_placements = m_pool->TakePlacements();
  SendToPeers(digest);
  TellNews();
  NoteAlive();
  m_pool->SetLoadAge(Period());
  m_timer.Start(Period());
}

void FleetLink::Handle(const ReceivedDatagram& datagram) {
  const TimePoint now = BootTime();
  const auto digest = DecodeDigest(datagram.m_payload, now);
  const auto peer = m_peers.find(datagram.m_from);
  if (!digest || peer == m_peers.end()) {
    return;
  }
  peer->second.m_heard = now;
  for (const CrashReport& report : digest->m_crashes) {
    m_suspects->MergeReport(report, now);
  }
  for (const UpstreamProcess& process : digest->m_leaving) {
    m_pool->NoteLeaving(process, now);
  }
  if (digest->m_events_only) {
    return;
  }
  m_pool->SetPeerActive(datagram.m_from, digest->m_active);
  for (const PartPlacement& placement : digest->m_placements) {
    m_pool->NotePeerPlacement(placement, now);
  }
  if (EntryInstance* entry = m_directory->Find(datagram.m_from)) {
    entry->m_ready = digest->m_ready;
    entry->m_alive = true;
  }
}

bool FleetLink::Alive(const Peer& peer, TimePoint now) const {
  if (!peer.m_heard) {
    return now - peer.m_known_since < kFirstContact;
  }
  return now - *peer.m_heard < Period() * kMissedDigests;
}

void FleetLink::NoteAlive() {
  const TimePoint now = BootTime();
  for (const auto& [id, peer] : m_peers) {
    EntryInstance* entry = m_directory->Find(id);
    const bool alive = Alive(peer, now);
    if (entry != nullptr && entry->m_alive != alive) {
      Log(LogLevel::kInfo, alive ? "instance_alive" : "instance_silent",
          {{"instance", id.str()}});
      entry->m_alive = alive;
    }
    if (!alive) {
      m_pool->ClearPeerActive(id);
    }
  }
}

std::vector<InstanceId> FleetLink::LostPeers() const {
  const TimePoint now = BootTime();
  std::vector<InstanceId> lost;
  std::size_t alive = 0;
  for (const auto& [id, peer] : m_peers) {
    if (Alive(peer, now)) {
      ++alive;
      if (id < m_self) {
        return {};  // The first living instance does it.
      }
    } else if (now - peer.m_heard.value_or(peer.m_known_since) > kForgetAfter) {
      lost.push_back(id);
    }
  }
  // An instance that hears few others may be the one that is cut off.
  return alive * 2 >= m_peers.size() ? lost : std::vector<InstanceId>();
}

}  // namespace nutmeghollow

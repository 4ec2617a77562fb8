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
/// Timeout of writing the key to the platform's table.
constexpr Duration kKeyWriteTimeout = std::chrono::milliseconds(1000);
/// Maximum random delay before a key is proposed. When a whole fleet starts at
/// once, most instances then read the first proposal before they make one.
constexpr Duration kMaxKeyProposalDelay = std::chrono::milliseconds(1000);
/// Time between two digests in a small fleet: loads change within the duration
/// of a request, about a second.
constexpr Duration kMinPeriod = std::chrono::milliseconds(200);
/// Minimum period per peer, so that the rate of datagrams that an instance of a
/// large fleet sends does not grow with the fleet.
constexpr Duration kPeriodPerPeer = std::chrono::milliseconds(10);
/// An instance is considered dead when no digest arrives for this many periods.
constexpr int kMaxMissedDigests = 4;
/// Time within which the first digest of a new instance must arrive.
constexpr Duration kFirstDigestTimeout = std::chrono::milliseconds(2000);
/// A peer from which nothing was received for this long is considered
/// permanently gone: longer than a restart, a freeze or a network interruption
/// of a few seconds.
constexpr Duration kLostPeerTimeout = std::chrono::seconds(12);

/// Interval between checks for permits that were not answered in time.
constexpr Duration kPermitCheckInterval = std::chrono::milliseconds(10);

}  // namespace

FleetLink::FleetLink(struct ev_loop* loop,
                     InstanceId self,
                     Endpoint endpoint,
                     net::RowFeed feed,
                     std::string table,
                     EntryDirectory* directory,
                     UpstreamPool* pool,
                     CrashDetector* crash_detector,
                     FleetLinkHooks hooks)
    : m_loop(loop),
      m_self(std::move(self)),
      m_endpoint(std::move(endpoint)),
      m_feed(std::move(feed)),
      m_table(std::move(table)),
      m_directory(directory),
      m_pool(pool),
      m_crash_detector(crash_detector),
      m_hooks(std::move(hooks)),
      m_timer(loop, [this] { SendDigest(); }),
      m_key_timer(loop, [this] { ProposeKey(); }),
      m_load_timer(loop, [this] { StartLoadRound(); }),
      m_loads(m_self,
              m_directory,
              m_pool,
              [this](const InstanceId& to, const LoadMessage& message) {
                SendLoad(to, message);
              }),
      m_rates(
          m_self,
          m_directory,
          &m_pool->Limits(),
          {.m_send_request =
               [this](const InstanceId& to, const PermitRequest& request) {
                 FleetDigest digest;
                 digest.m_permit_request = request;
                 SendMessage(to, std::move(digest));
               },
           .m_send_response =
               [this](const InstanceId& to, const PermitResponse& response) {
                 FleetDigest digest;
                 digest.m_permit_response = response;
                 SendMessage(to, std::move(digest));
               }}),
      m_leases(m_self,
               m_directory,
               &m_pool->RefusalLimits(),
               LeaseHooks(),
               {.m_max_wait = kLeaseWait}),
      m_lease_timer(loop, [this] { CheckLeases(); }),
      m_permit_timer(loop, [this] { CheckPermitTimeouts(); }) {
  m_timer.Start(kMinPeriod);
  m_load_timer.StartRepeating(kLoadPeriod);
  m_pool->OnRoomReport(
      [this](const RoomReport& report) { SendRoomReports({report}); });
}

FleetLink::~FleetLink() {
  m_pool->OnRoomReport(nullptr);
}

void FleetLink::RegisterGauges(MetricsRegistry* metrics) {
  metrics->SetGauge("nutmeg_gateway_instances", "", [this] {
    return static_cast<double>(m_directory->size());
  });
  metrics->SetGauge("nutmeg_gateway_load_age_seconds", "", [this] {
    return std::chrono::duration<double>(m_loads.Age(BootTime())).count();
  });
  metrics->SetGauge("nutmeg_gateway_choice_load_age_seconds", "",
                    [this] { return m_pool->Statistics().m_load_age_s; });
  metrics->SetGauge("nutmeg_gateway_interpreted_choices", "", [this] {
    return m_pool->Statistics().m_interpreted_share;
  });
  metrics->SetGauge("nutmeg_gateway_load_relay", "",
                    [this] { return m_loads.IsRelay() ? 1.0 : 0.0; });
  metrics->SetGauge("nutmeg_gateway_load_sources", "",
                    [this] { return static_cast<double>(m_loads.Sources()); });
}

void FleetLink::ScheduleKeyProposal() {
  if (m_keys || m_key_timer.Active()) {
    return;
  }
  std::uniform_int_distribution<Duration::rep> delay(
      0, kMaxKeyProposalDelay.count());
  std::random_device random;
  m_key_timer.Start(Duration(delay(random)));
}

void FleetLink::ProposeKey() {
  if (!m_keys) {
    WriteKey(net::ToHex(net::RandomBytes(kKeyBytes)));
  }
}

void FleetLink::RestoreKey() {
  if (m_keys) {
    Log(LogLevel::kWarning, "fleet_key_restored", {});
    WriteKey(m_key_text);
  }
}

void FleetLink::WriteKey(const std::string& key_text) {
  net::FeedWrite write;
  write.m_table = m_table;
  write.m_key = kFleetKeyRow;
  write.m_value = key_text;
  write.m_expected_version = net::FeedVersion(0);
  // The result is ignored: whichever proposal was written first, the row holds
  // the valid key, and it is read with the rows of the instances.
  m_feed.m_write(write, kKeyWriteTimeout,
                 [](const net::FeedResult& /*result*/) {});
}

void FleetLink::PutKey(const std::string& key_text) {
  if (m_keys) {
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(keys, net::ParseFleetKeys(key_text));
        m_keys = keys;
        m_key_text = key_text;
        const Incarnation session(
            static_cast<std::uint64_t>(net::WallClockTime().value()));
        m_transport = std::make_unique<net::PeerTransport>(
            m_loop, m_endpoint, net::DatagramSeal(m_self, session, keys),
            [this](const ReceivedDatagram& datagram) { Handle(datagram); });
        SendDigest();
        return {};
      },
      [](const net::BadFleetKey& error) {
        Log(LogLevel::kError, "fleet_key_not_used",
            {{"fault", error.m_reason}});
      },
      [] { Log(LogLevel::kError, "fleet_key_not_used", {}); });
}

void FleetLink::PutPeer(const InstanceId& id, const Endpoint& endpoint) {
  m_loads.NoteMembersChanged();
  if (id == m_self) {
    return;
  }
  Peer& peer = m_peers[id];
  if (peer.m_endpoint != endpoint || peer.m_leaving) {
    peer = Peer{endpoint, BootTime(), std::nullopt, false, std::nullopt};
  }
}

Endpoint FleetLink::AddressOf(const InstanceId& id) const {
  const auto peer = m_peers.find(id);
  return peer == m_peers.end() ? Endpoint() : peer->second.m_endpoint;
}

std::optional<Duration> FleetLink::ClockOffsetOf(const InstanceId& id) const {
  const auto peer = m_peers.find(id);
  return peer == m_peers.end() ? std::nullopt : peer->second.m_clock_offset;
}

void FleetLink::NoteLeaving(const InstanceId& id) {
  const auto peer = m_peers.find(id);
  if (peer != m_peers.end()) {
    peer->second.m_leaving = true;
  }
  m_loads.Forget(id);
}

Duration FleetLink::Period() const {
  return std::max(kMinPeriod,
                  kPeriodPerPeer * static_cast<int>(m_peers.size()));
}

FleetDigest FleetLink::OwnState() const {
  FleetDigest digest;
  digest.m_ready = m_hooks.m_ready();
  digest.m_revision = m_hooks.m_revision();
  digest.m_reach = m_hooks.m_reach();
  digest.m_clock = BootTime();
  digest.m_proof_age = m_hooks.m_proof_age();
  digest.m_registrations_age = m_hooks.m_registrations_age();
  digest.m_store_fails = m_hooks.m_store_fails();
  digest.m_registrations_version = m_hooks.m_registrations_version();
  digest.m_store_position = m_hooks.m_store_position();
  return digest;
}

void FleetLink::UpdateOwnEntry() {
  if (EntryInstance* self = m_directory->Find(m_self)) {
    self->m_proof_age = m_hooks.m_proof_age();
    self->m_registrations_age = m_hooks.m_registrations_age();
    self->m_store_fails = m_hooks.m_store_fails();
  }
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

void FleetLink::SendLoad(const InstanceId& to, const LoadMessage& message) {
  const auto peer = m_peers.find(to);
  if (m_transport == nullptr || peer == m_peers.end()) {
    return;
  }
  FleetDigest digest;
  digest.m_events_only = true;
  digest.m_load = message;
  digest.m_rates = m_pool->Limits().ToReport(kMaxStatedRates, BootTime());
  m_transport->Send(to, peer->second.m_endpoint,
                    EncodeDigest(digest, BootTime()));
}

void FleetLink::SendMessage(const InstanceId& to, FleetDigest digest) {
  const auto peer = m_peers.find(to);
  if (m_transport == nullptr || peer == m_peers.end()) {
    return;
  }
  digest.m_events_only = true;
  digest.m_rates = m_pool->Limits().ToReport(kMaxStatedRates, BootTime());
  m_transport->Send(to, peer->second.m_endpoint,
                    EncodeDigest(digest, BootTime()));
}

void FleetLink::SendStreamReport(const InstanceId& to,
                                 const StreamReport& report) {
  FleetDigest digest;
  digest.m_stream_report = report;
  SendMessage(to, std::move(digest));
}

void FleetLink::SendRecorded(const InstanceId& to, std::uint32_t report) {
  FleetDigest digest;
  digest.m_recorded_report = report;
  SendMessage(to, std::move(digest));
}

void FleetLink::RequestPermit(std::vector<LimitedProcess> processes,
                              std::function<void()> done) {
  RateExchange& exchange = processes.front().m_slots > 0 ? m_leases : m_rates;
  const InstanceId allocator = exchange.Allocator();
  if (EntryInstance* self = m_directory->Find(m_self)) {
    self->m_ready = m_hooks.m_ready();
  }
  exchange.Request(std::move(processes), std::move(done), BootTime());
  if (exchange.Allocator() != allocator) {
    Log(LogLevel::kInfo, "rate_allocator_chosen",
        {{"allocator", exchange.Allocator().str()},
         {"before", allocator.str()}});
  }
  if (exchange.HasOpenRequests() && !m_permit_timer.Active()) {
    m_permit_timer.Start(kPermitCheckInterval);
  }
}

void FleetLink::CheckPermitTimeouts() {
  m_rates.CheckTimeouts(BootTime());
  m_leases.CheckTimeouts(BootTime());
  const bool waits = m_rates.HasOpenRequests() || m_leases.HasOpenRequests();
  if (waits && !m_permit_timer.Active()) {
    m_permit_timer.Start(kPermitCheckInterval);
  }
}

void FleetLink::StartLoadRound() {
  m_pool->UpdateLimits(BootTime());
  m_rooms.RemoveExpired(BootTime());
  SendRoomReports(m_pool->RoomReports(BootTime()));
  const InstanceId relay = m_loads.Relay();
  m_loads.StartRound(BootTime());
  if (m_loads.Relay() != relay) {
    Log(LogLevel::kInfo, "load_relay_chosen",
        {{"relay", m_loads.Relay().str()}, {"before", relay.str()}});
  }
}

void FleetLink::SendEvents() {
  // Datagrams of their own, since each list may fill one.
  FleetDigest crashes = OwnState();
  crashes.m_events_only = true;
  FleetDigest leaving = crashes;
  crashes.m_crashes =
      m_crash_detector->Suspects().Reports(kMaxCrashReports, BootTime());
  leaving.m_leaving = m_pool->LeavingToReport(kMaxLeavingUpstreams, BootTime());
  if (!crashes.m_crashes.empty()) {
    SendToPeers(crashes);
  }
  if (!leaving.m_leaving.empty()) {
    SendToPeers(leaving);
  }
  SendRefusalLimits();
}

void FleetLink::SendDigest() {
  FleetDigest digest = OwnState();
  if (m_loads.IsFlat()) {
    digest.m_active = m_pool->ActiveByUpstream();
  }
  digest.m_placements = m_pool->TakePlacements();
  digest.m_rates = m_pool->Limits().ToReport(kMaxStatedRates, BootTime());
  SendToPeers(digest);
  SendEvents();
  UpdateLiveness();
  m_timer.Start(Period());
}

void FleetLink::Handle(const ReceivedDatagram& datagram) {
  const TimePoint now = BootTime();
  const auto digest = DecodeDigest(datagram.m_payload, now);
  const auto peer = m_peers.find(datagram.m_from);
  if (!digest || peer == m_peers.end()) {
    return;
  }
  peer->second.m_last_digest_at = now;
  for (const CrashReport& report : digest->m_crashes) {
    m_crash_detector->MergeReport(report);
  }
  for (const UpstreamProcess& process : digest->m_leaving) {
    m_pool->NoteLeaving(process, now);
  }
  for (const StatedRate& stated : digest->m_rates) {
    m_pool->Limits().Merge(stated);
  }
  HandleRooms(datagram.m_from, *digest);
  if (digest->m_permit_request) {
    m_rates.HandleRequest(datagram.m_from, *digest->m_permit_request, now);
  }
  if (digest->m_permit_response) {
    m_rates.HandleResponse(datagram.m_from, *digest->m_permit_response, now);
  }
  if (digest->m_stream_report) {
    m_hooks.m_on_stream_report(datagram.m_from, *digest->m_stream_report);
  }
  if (digest->m_recorded_report != 0) {
    m_hooks.m_on_recorded(datagram.m_from, digest->m_recorded_report);
  }
  if (digest->m_load &&
      !m_loads.Handle(datagram.m_from, *digest->m_load, now)) {
    Log(LogLevel::kWarning, "load_message_not_used",
        {{"instance", datagram.m_from.str()},
         {"reason", std::string("its upstreams are not in order")}});
  }
  if (digest->m_store_position > RowVersion()) {
    m_hooks.m_on_store_position(digest->m_store_position);
  }
  if (digest->m_events_only) {
    return;
  }
  if (digest->m_clock != TimePoint()) {
    peer->second.m_clock_offset = now - digest->m_clock;
  }
  m_loads.NoteDigest(datagram.m_from, digest->m_active, now);
  for (const PartPlacement& placement : digest->m_placements) {
    m_pool->NotePeerPlacement(placement, now);
  }
  if (EntryInstance* entry = m_directory->Find(datagram.m_from)) {
    entry->m_ready = digest->m_ready;
    entry->m_alive = true;
    entry->m_reach = digest->m_reach;
    entry->m_proof_age = digest->m_proof_age;
    entry->m_registrations_age = digest->m_registrations_age;
    entry->m_store_fails = digest->m_store_fails;
    entry->m_revision = digest->m_revision;
    entry->m_registrations_version = digest->m_registrations_version;
    const auto before = [now](const std::optional<Duration>& age) {
      return age ? std::optional(now - *age) : std::nullopt;
    };
    m_hooks.m_on_revision(digest->m_revision, before(digest->m_proof_age));
    m_hooks.m_on_registrations_version(digest->m_registrations_version,
                                       before(digest->m_registrations_age));
  }
}

bool FleetLink::Alive(const Peer& peer, TimePoint now) const {
  if (!peer.m_last_digest_at) {
    return now - peer.m_known_since < kFirstDigestTimeout;
  }
  return now - *peer.m_last_digest_at < Period() * kMaxMissedDigests;
}

void FleetLink::UpdateLiveness() {
  const TimePoint now = BootTime();
  for (const auto& [id, peer] : m_peers) {
    EntryInstance* entry = m_directory->Find(id);
    const bool alive = Alive(peer, now);
    if (entry != nullptr && entry->m_alive != alive) {
      Log(LogLevel::kInfo, alive ? "instance_alive" : "instance_silent",
          {{"instance", id.str()}});
      entry->m_alive = alive;
    }
  }
  std::erase_if(m_peers, [&](const auto& entry) {
    return entry.second.m_leaving && !Alive(entry.second, now);
  });
}

std::vector<InstanceId> FleetLink::LostPeers() const {
  const TimePoint now = BootTime();
  std::vector<InstanceId> lost;
  std::size_t alive = 0;
  std::size_t peers = 0;
  for (const auto& [id, peer] : m_peers) {
    if (peer.m_leaving) {
      continue;
    }
    ++peers;
    if (Alive(peer, now)) {
      ++alive;
      if (id < m_self) {
        return {};  // The first live instance removes the rows.
      }
    } else if (now - peer.m_last_digest_at.value_or(peer.m_known_since) >
               kLostPeerTimeout) {
      lost.push_back(id);
    }
  }
  // An instance that receives digests from less than half of its peers may be
  // the one that is cut off.
  return alive * 2 >= peers ? lost : std::vector<InstanceId>();
}

}  // namespace nutmeghollow

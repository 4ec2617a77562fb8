#include "nutmeghollow/gossip.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>

#include "libnutmeg/gossip.capnp.h"

namespace nutmeghollow {
namespace {

constexpr Duration kAgeUnit = std::chrono::milliseconds(20);
constexpr int kQueuedLimit = 31;
constexpr int kSlotBit = 2;
constexpr int kQueuedShift = 3;
constexpr double kRateUnits = 100.0;
/// Maximum words traversed while decoding; it rejects malicious payloads.
constexpr std::uint64_t kTraversalLimit = 16 * 1024;
constexpr std::size_t kNameLimit = 128;

template <typename Unsigned>
Unsigned Clamped(double value) {
  const auto limit = static_cast<double>(std::numeric_limits<Unsigned>::max());
  return static_cast<Unsigned>(std::clamp(value, 0.0, limit));
}

std::uint8_t PackVerdictState(const VerdictEntry& entry) {
  const int queued = std::clamp(entry.m_queued, 0, kQueuedLimit);
  return static_cast<std::uint8_t>(static_cast<int>(entry.m_verdict) |
                                   (entry.m_slot << kSlotBit) |
                                   (queued << kQueuedShift));
}

void WriteMember(wire::Member::Builder out, const MemberEntry& entry) {
  out.setId(entry.m_id.str());
  out.setIncarnation(entry.m_incarnation.value());
  out.setStatus(static_cast<std::uint8_t>(entry.m_status));
  if (entry.m_details) {
    auto details = out.initDetails();
    details.setCallerEndpoint(entry.m_details->m_caller_endpoint.str());
    details.setPeerEndpoint(entry.m_details->m_peer_endpoint.str());
    details.setDataCentre(entry.m_details->m_data_centre.str());
    details.setRegion(entry.m_details->m_region.str());
  }
}

void WriteVerdict(wire::Verdict::Builder out, const VerdictEntry& entry) {
  out.setUpstream(entry.m_upstream.value());
  out.setRunning(Clamped<std::uint16_t>(entry.m_running));
  out.setAge(
      Clamped<std::uint8_t>(static_cast<double>(entry.m_age / kAgeUnit)));
  out.setState(PackVerdictState(entry));
}

void WriteSuspect(wire::Suspect::Builder out, const SuspectEntry& entry) {
  out.setDigest(entry.m_digest.value());
  auto crashed = out.initCrashedUpstreams(entry.m_crashed_upstreams.size());
  for (std::size_t i = 0; i < entry.m_crashed_upstreams.size(); ++i) {
    crashed.set(i, entry.m_crashed_upstreams[i].value());
  }
  out.setQuarantined(entry.m_quarantined);
  out.setSecondsLeft(Clamped<std::uint32_t>(
      std::chrono::duration<double>(entry.m_time_left).count()));
}

void WriteChange(wire::ConfigurationChange::Builder out,
                 const ConfigurationChange& change) {
  out.setRevision(change.m_revision.value());
  out.setKind(static_cast<std::uint8_t>(change.m_key.m_kind));
  out.setId(change.m_key.m_id);
  out.setDeleted(!change.m_json.has_value());
  if (change.m_json) {
    out.setJson(*change.m_json);
  }
}

void WriteLists(wire::Message::Builder out, const GossipMessage& message) {
  if (!message.m_members.empty()) {
    auto list = out.initMembers(message.m_members.size());
    for (std::size_t i = 0; i < message.m_members.size(); ++i) {
      WriteMember(list[i], message.m_members[i]);
    }
  }
  if (!message.m_confirmations.empty()) {
    auto list = out.initConfirmations(message.m_confirmations.size());
    for (std::size_t i = 0; i < message.m_confirmations.size(); ++i) {
      list[i].setInstance(message.m_confirmations[i].m_instance.value());
      list[i].setRevision(static_cast<std::uint32_t>(
          message.m_confirmations[i].m_revision.value()));
    }
  }
  if (!message.m_verdicts.empty()) {
    auto list = out.initVerdicts(message.m_verdicts.size());
    for (std::size_t i = 0; i < message.m_verdicts.size(); ++i) {
      WriteVerdict(list[i], message.m_verdicts[i]);
    }
  }
  if (!message.m_loads.empty()) {
    auto list = out.initLoads(message.m_loads.size());
    for (std::size_t i = 0; i < message.m_loads.size(); ++i) {
      list[i].setUpstream(message.m_loads[i].m_upstream.value());
      list[i].setRunning(Clamped<std::uint32_t>(message.m_loads[i].m_running));
    }
  }
  if (!message.m_demands.empty()) {
    auto list = out.initDemands(message.m_demands.size());
    for (std::size_t i = 0; i < message.m_demands.size(); ++i) {
      const DemandEntry& entry = message.m_demands[i];
      list[i].setCustomer(entry.m_customer.value());
      list[i].setRunning(Clamped<std::uint16_t>(entry.m_running));
      list[i].setQueued(Clamped<std::uint16_t>(entry.m_queued));
      list[i].setRate(Clamped<std::uint32_t>(entry.m_rate * kRateUnits));
    }
  }
  if (!message.m_suspects.empty()) {
    auto list = out.initSuspects(message.m_suspects.size());
    for (std::size_t i = 0; i < message.m_suspects.size(); ++i) {
      WriteSuspect(list[i], message.m_suspects[i]);
    }
  }
  if (!message.m_changes.empty()) {
    auto list = out.initChanges(message.m_changes.size());
    for (std::size_t i = 0; i < message.m_changes.size(); ++i) {
      WriteChange(list[i], message.m_changes[i]);
    }
  }
}

std::string Text(capnp::Text::Reader text) {
  KJ_REQUIRE(text.size() <= kNameLimit, "text is longer than the limit");
  return {text.begin(), text.size()};
}

MemberEntry ReadMember(wire::Member::Reader in) {
  MemberEntry entry;
  entry.m_id = InstanceId(Text(in.getId()));
  KJ_REQUIRE(!entry.m_id.empty(), "member has no id");
  entry.m_incarnation = Incarnation(in.getIncarnation());
  KJ_REQUIRE(in.getStatus() <= static_cast<int>(InstanceStatus::kDead),
             "unknown instance status");
  entry.m_status = static_cast<InstanceStatus>(in.getStatus());
  if (in.hasDetails()) {
    auto details = in.getDetails();
    entry.m_details = MemberDetails{
        .m_caller_endpoint = Endpoint(Text(details.getCallerEndpoint())),
        .m_peer_endpoint = Endpoint(Text(details.getPeerEndpoint())),
        .m_data_centre = DataCentreId(Text(details.getDataCentre())),
        .m_region = RegionId(Text(details.getRegion()))};
  }
  return entry;
}

VerdictEntry ReadVerdict(wire::Verdict::Reader in) {
  const int state = in.getState();
  const int verdict = state & 3;
  KJ_REQUIRE(verdict <= static_cast<int>(ProbeVerdict::kLeaving),
             "unknown verdict");
  return {.m_upstream = NameHash(in.getUpstream()),
          .m_slot = (state >> kSlotBit) & 1,
          .m_verdict = static_cast<ProbeVerdict>(verdict),
          .m_running = in.getRunning(),
          .m_queued = state >> kQueuedShift,
          .m_age = in.getAge() * kAgeUnit};
}

SuspectEntry ReadSuspect(wire::Suspect::Reader in) {
  SuspectEntry entry;
  entry.m_digest = RequestDigest(in.getDigest());
  for (std::uint32_t hash : in.getCrashedUpstreams()) {
    entry.m_crashed_upstreams.emplace_back(hash);
  }
  entry.m_quarantined = in.getQuarantined();
  entry.m_time_left = std::chrono::seconds(in.getSecondsLeft());
  return entry;
}

ConfigurationChange ReadChange(wire::ConfigurationChange::Reader in) {
  KJ_REQUIRE(in.getKind() < static_cast<int>(ObjectKind::kCount),
             "unknown configuration object kind");
  ConfigurationChange change{
      .m_revision = Revision(in.getRevision()),
      .m_key = {static_cast<ObjectKind>(in.getKind()), Text(in.getId())}};
  if (!in.getDeleted()) {
    change.m_json = Text(in.getJson());
  }
  return change;
}

GossipMessage ReadMessage(wire::Message::Reader in) {
  GossipMessage message;
  KJ_REQUIRE(in.getKind() < static_cast<int>(GossipKind::kCount),
             "unknown message kind");
  message.m_kind = static_cast<GossipKind>(in.getKind());
  message.m_probe = in.getProbe();
  message.m_target = InstanceId(Text(in.getTarget()));
  message.m_incarnation = Incarnation(in.getIncarnation());
  message.m_leaving = in.getLeaving();
  message.m_want_details = in.getWantDetails();
  message.m_revision = Revision(in.getRevision());
  message.m_highest_seen = Revision(in.getHighestSeen());
  message.m_member_digest = in.getMemberDigest();
  message.m_loads_complete = in.getLoadsWhole();
  for (auto member : in.getMembers()) {
    message.m_members.push_back(ReadMember(member));
  }
  for (auto entry : in.getConfirmations()) {
    message.m_confirmations.push_back(
        {NameHash(entry.getInstance()), Revision(entry.getRevision())});
  }
  for (auto verdict : in.getVerdicts()) {
    message.m_verdicts.push_back(ReadVerdict(verdict));
  }
  for (auto load : in.getLoads()) {
    const auto running =
        static_cast<int>(std::min<std::uint32_t>(load.getRunning(), 1U << 20U));
    message.m_loads.push_back({NameHash(load.getUpstream()), running});
  }
  for (auto demand : in.getDemands()) {
    message.m_demands.push_back({NameHash(demand.getCustomer()),
                                 demand.getRunning(), demand.getQueued(),
                                 demand.getRate() / kRateUnits});
  }
  for (auto suspect : in.getSuspects()) {
    message.m_suspects.push_back(ReadSuspect(suspect));
  }
  for (auto change : in.getChanges()) {
    message.m_changes.push_back(ReadChange(change));
  }
  return message;
}

}  // namespace

NameHash HashName(std::string_view name) {
  return NameHash(
      static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size())));
}

std::string EncodeGossip(const GossipMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<wire::Message>();
  out.setKind(static_cast<std::uint8_t>(message.m_kind));
  out.setProbe(message.m_probe);
  if (!message.m_target.empty()) {
    out.setTarget(message.m_target.str());
  }
  out.setIncarnation(message.m_incarnation.value());
  out.setLeaving(message.m_leaving);
  out.setWantDetails(message.m_want_details);
  out.setRevision(message.m_revision.value());
  out.setHighestSeen(message.m_highest_seen.value());
  out.setMemberDigest(message.m_member_digest);
  out.setLoadsWhole(message.m_loads_complete);
  WriteLists(out, message);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<GossipMessage> DecodeGossip(std::string_view payload) {
  std::optional<GossipMessage> message;
  auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(payload.data()), payload.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kTraversalLimit;
    options.nestingLimit = 8;
    capnp::PackedMessageReader reader(stream, options);
    message = ReadMessage(reader.getRoot<wire::Message>());
  });
  if (failure != nullptr) {
    return std::nullopt;
  }
  return message;
}

}  // namespace nutmeghollow

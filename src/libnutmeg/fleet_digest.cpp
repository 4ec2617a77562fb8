#include "nutmeghollow/fleet_digest.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "libnutmeg/digest.capnp.h"

namespace nutmeghollow {
namespace {

/// Maximum words of a message that may be traversed. It rejects payloads that
/// unpack to more than any valid digest contains.
constexpr std::uint64_t kReadLimitWords = 4096;

std::uint32_t AgeMs(TimePoint time, TimePoint now) {
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      age, 0, std::numeric_limits<std::uint32_t>::max()));
}

TimePoint TimeFromAge(std::uint32_t age_ms, TimePoint now) {
  return now - std::chrono::milliseconds(age_ms);
}

void WriteReport(wire::CrashReport::Builder out,
                 const CrashReport& report,
                 TimePoint now) {
  out.setSuspect(report.m_suspect.m_id);
  out.setIsPromptPart(report.m_suspect.m_kind == SuspectKind::kPromptPart);
  out.setCleared(report.m_cleared_at != TimePoint());
  out.setClearedAgeMs(AgeMs(report.m_cleared_at, now));
  const auto& crashes = report.m_crashes;
  const std::size_t count = std::min(crashes.size(), kMaxCrashesPerReport);
  auto list = out.initCrashes(static_cast<unsigned>(count));
  for (unsigned index = 0; index < count; ++index) {
    const CrashOfUpstream& crash = crashes[crashes.size() - count + index];
    list[index].setUpstream(crash.m_upstream.value());
    list[index].setSentAgeMs(AgeMs(crash.m_sent_at, now));
    list[index].setCrashedAgeMs(AgeMs(crash.m_crashed_at, now));
  }
}

CrashReport ReadReport(wire::CrashReport::Reader in, TimePoint now) {
  CrashReport report;
  report.m_suspect = {
      in.getIsPromptPart() ? SuspectKind::kPromptPart : SuspectKind::kRequest,
      in.getSuspect()};
  if (in.getCleared()) {
    report.m_cleared_at = TimeFromAge(in.getClearedAgeMs(), now);
  }
  for (const auto& crash : in.getCrashes()) {
    report.m_crashes.push_back({UpstreamHash(crash.getUpstream()),
                                TimeFromAge(crash.getSentAgeMs(), now),
                                TimeFromAge(crash.getCrashedAgeMs(), now)});
  }
  return report;
}

std::uint16_t ToUInt16(int count) {
  return static_cast<std::uint16_t>(
      std::clamp(count, 0, int{std::numeric_limits<std::uint16_t>::max()}));
}

std::uint16_t CountOf(const ActiveRequests& entry) {
  return ToUInt16(entry.m_count);
}

void WriteLoad(wire::LoadMessage::Builder out, const LoadMessage& load) {
  out.setKind(static_cast<std::uint8_t>(load.m_kind));
  out.setRound(load.m_round);
  out.setFirst(load.m_first.value());
  out.setLast(load.m_last.value());
  out.setAgeMs(AgeMs(TimePoint(), TimePoint() + load.m_age));
  const auto count =
      static_cast<unsigned>(std::min(load.m_active.size(), kMaxLoadEntries));
  auto steps = out.initSteps(count);
  auto counts = out.initCounts(count);
  std::uint32_t previous = load.m_first.value();
  for (unsigned index = 0; index < count; ++index) {
    const std::uint32_t upstream = load.m_active[index].m_upstream.value();
    steps.set(index, upstream - previous);
    counts.set(index, CountOf(load.m_active[index]));
    previous = upstream;
  }
}

/// @return nothing when the kind is not known or the lists differ in length.
std::optional<LoadMessage> ReadLoad(wire::LoadMessage::Reader in) {
  const auto steps = in.getSteps();
  const auto counts = in.getCounts();
  if (in.getKind() > static_cast<std::uint8_t>(LoadMessageKind::kGroup) ||
      steps.size() != counts.size()) {
    return std::nullopt;
  }
  LoadMessage load{static_cast<LoadMessageKind>(in.getKind()),
                   in.getRound(),
                   UpstreamHash(in.getFirst()),
                   UpstreamHash(in.getLast()),
                   std::chrono::milliseconds(in.getAgeMs()),
                   {}};
  std::uint32_t upstream = in.getFirst();
  for (unsigned index = 0; index < steps.size(); ++index) {
    upstream += steps[index];
    load.m_active.push_back({UpstreamHash(upstream), counts[index]});
  }
  return load;
}

void WriteRate(wire::StatedRate::Builder out,
               const StatedRate& stated,
               TimePoint now) {
  out.setUpstream(stated.m_process.m_upstream.value());
  out.setBornMs(stated.m_process.m_start_time_ms);
  out.setLimited(stated.m_rate.has_value());
  out.setRate(static_cast<float>(stated.m_rate.value_or(0)));
  out.setAgeMs(AgeMs(stated.m_stated_at, now));
}

/// @return nothing when the rate is not a non-negative number.
std::optional<StatedRate> ReadRate(wire::StatedRate::Reader in, TimePoint now) {
  StatedRate stated{{UpstreamHash(in.getUpstream()), in.getBornMs()},
                    std::nullopt,
                    TimeFromAge(in.getAgeMs(), now)};
  if (in.getLimited()) {
    stated.m_rate = double{in.getRate()};
    if (!std::isfinite(*stated.m_rate) || *stated.m_rate < 0) {
      return std::nullopt;
    }
  }
  return stated;
}

void WritePermitRequest(wire::PermitRequest::Builder out,
                        const PermitRequest& request) {
  out.setId(request.m_id.value());
  const auto count =
      std::min(request.m_processes.size(), kMaxProcessesPerPermitRequest);
  auto processes = out.initProcesses(static_cast<unsigned>(count));
  for (unsigned index = 0; index < count; ++index) {
    const LimitedProcess& entry = request.m_processes[index];
    processes[index].setUpstream(entry.m_process.m_upstream.value());
    processes[index].setBornMs(entry.m_process.m_start_time_ms);
    processes[index].setRate(static_cast<float>(entry.m_rate));
    processes[index].setSlots(ToUInt16(entry.m_slots));
  }
}

/// @return nothing when a rate is not a non-negative number.
std::optional<PermitRequest> ReadPermitRequest(wire::PermitRequest::Reader in) {
  PermitRequest request{PermitRequestId(in.getId()), {}};
  for (const auto& entry : in.getProcesses()) {
    const double rate = entry.getRate();
    if (!std::isfinite(rate) || rate < 0) {
      return std::nullopt;
    }
    request.m_processes.push_back(
        {{UpstreamHash(entry.getUpstream()), entry.getBornMs()},
         rate,
         entry.getSlots()});
  }
  return request;
}

void WriteResponse(wire::PermitResponse::Builder out,
                   const PermitResponse& response) {
  out.setId(response.m_id.value());
  out.setGranted(response.m_granted.has_value());
  if (response.m_granted) {
    out.setUpstream(response.m_granted->m_upstream.value());
    out.setBornMs(response.m_granted->m_start_time_ms);
  }
  const auto count =
      std::min(response.m_exhausted.size(), kMaxProcessesPerPermitRequest);
  auto exhausted = out.initExhausted(static_cast<unsigned>(count));
  for (unsigned index = 0; index < count; ++index) {
    const PermitDelay& entry = response.m_exhausted[index];
    exhausted[index].setUpstream(entry.m_process.m_upstream.value());
    exhausted[index].setBornMs(entry.m_process.m_start_time_ms);
    exhausted[index].setDelayMs(ToUInt16(static_cast<int>(
        std::chrono::ceil<std::chrono::milliseconds>(entry.m_delay).count())));
  }
}

PermitResponse ReadResponse(wire::PermitResponse::Reader in) {
  PermitResponse response{PermitRequestId(in.getId()), std::nullopt, {}};
  if (in.getGranted()) {
    response.m_granted = {UpstreamHash(in.getUpstream()), in.getBornMs()};
  }
  for (const auto& entry : in.getExhausted()) {
    response.m_exhausted.push_back(
        {{UpstreamHash(entry.getUpstream()), entry.getBornMs()},
         std::chrono::milliseconds(entry.getDelayMs())});
  }
  return response;
}

void WriteStreamReport(wire::StreamReport::Builder out,
                       const StreamReport& report) {
  out.setId(report.m_id);
  const auto count = std::min(report.m_records.size(), kMaxRecordsPerReport);
  auto records = out.initRecords(static_cast<unsigned>(count));
  for (unsigned index = 0; index < count; ++index) {
    records[index].setStream(report.m_records[index].m_stream.value());
    records[index].setOrigin(report.m_records[index].m_origin.value());
  }
}

StreamReport ReadStreamReport(wire::StreamReport::Reader in) {
  StreamReport report{in.getId(), {}};
  for (const auto& record : in.getRecords()) {
    report.m_records.push_back(
        {StreamHash(record.getStream()), OriginHash(record.getOrigin())});
  }
  return report;
}

/// @return zero for a number that no clock reaches.
TimePoint ReadClock(std::uint64_t milliseconds) {
  constexpr std::uint64_t kMax = std::uint64_t{1} << 50;
  return milliseconds > kMax ? TimePoint()
                             : TimePoint(std::chrono::milliseconds(
                                   static_cast<std::int64_t>(milliseconds)));
}

/// @return the age in milliseconds, plus 1, since 0 stands for none.
std::uint32_t EncodeAge(const std::optional<Duration>& age) {
  if (!age) {
    return 0;
  }
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max() - 1;
  const auto age_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age_ms, 0, kMax)) +
         1;
}

std::optional<Duration> DecodeAge(std::uint32_t encoded) {
  return encoded > 0
             ? std::optional<Duration>(std::chrono::milliseconds(encoded - 1))
             : std::nullopt;
}

void WriteRooms(wire::Digest::Builder root,
                const FleetDigest& digest,
                TimePoint now) {
  const auto limit_count =
      std::min(digest.m_refusal_limits.size(), kMaxStatedRates);
  auto limits = root.initRefusalLimits(static_cast<unsigned>(limit_count));
  for (unsigned index = 0; index < limit_count; ++index) {
    WriteRate(limits[index], digest.m_refusal_limits[index], now);
  }
  if (digest.m_room_request) {
    WritePermitRequest(root.initRoomRequest(), *digest.m_room_request);
  }
  if (digest.m_room_response) {
    WriteResponse(root.initRoomResponse(), *digest.m_room_response);
  }
  const auto report_count =
      std::min(digest.m_room_reports.size(), kMaxRoomReports);
  auto reports = root.initRoomReports(static_cast<unsigned>(report_count));
  for (unsigned index = 0; index < report_count; ++index) {
    const RoomReport& report = digest.m_room_reports[index];
    reports[index].setUpstream(report.m_process.m_upstream.value());
    reports[index].setBornMs(report.m_process.m_start_time_ms);
    reports[index].setHeld(ToUInt16(report.m_held));
    reports[index].setEnded(ToUInt16(report.m_ended));
    reports[index].setRefused(ToUInt16(report.m_refused));
  }
}

void ReadRooms(wire::Digest::Reader root, FleetDigest* digest, TimePoint now) {
  for (const auto& entry : root.getRefusalLimits()) {
    if (const auto stated = ReadRate(entry, now)) {
      digest->m_refusal_limits.push_back(*stated);
    }
  }
  if (root.hasRoomRequest()) {
    digest->m_room_request = ReadPermitRequest(root.getRoomRequest());
  }
  if (root.hasRoomResponse()) {
    digest->m_room_response = ReadResponse(root.getRoomResponse());
  }
  for (const auto& entry : root.getRoomReports()) {
    digest->m_room_reports.push_back(
        {{UpstreamHash(entry.getUpstream()), entry.getBornMs()},
         entry.getHeld(),
         entry.getEnded(),
         std::min(entry.getRefused(), entry.getEnded())});
  }
}

}  // namespace

std::string EncodeDigest(const FleetDigest& digest, TimePoint now) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::Digest>();
  root.setReady(digest.m_ready);
  root.setRevision(digest.m_revision.value());
  const auto active_count = std::min(digest.m_active.size(), kMaxActiveEntries);
  auto active = root.initActive(static_cast<unsigned>(active_count));
  for (unsigned index = 0; index < active_count; ++index) {
    active[index].setUpstream(digest.m_active[index].m_upstream.value());
    active[index].setCount(CountOf(digest.m_active[index]));
  }
  const auto placement_count =
      std::min(digest.m_placements.size(), kMaxPlacements);
  auto placements = root.initPlacements(static_cast<unsigned>(placement_count));
  for (unsigned index = 0; index < placement_count; ++index) {
    const PartPlacement& entry = digest.m_placements[index];
    placements[index].setPart(entry.m_part.value());
    placements[index].setUpstream(entry.m_upstream.value());
  }
  const auto report_count = std::min(digest.m_crashes.size(), kMaxCrashReports);
  auto reports = root.initCrashes(static_cast<unsigned>(report_count));
  for (unsigned index = 0; index < report_count; ++index) {
    WriteReport(reports[index], digest.m_crashes[index], now);
  }
  const auto leaving_count =
      std::min(digest.m_leaving.size(), kMaxLeavingUpstreams);
  auto leaving = root.initLeaving(static_cast<unsigned>(leaving_count));
  for (unsigned index = 0; index < leaving_count; ++index) {
    leaving[index].setUpstream(digest.m_leaving[index].m_upstream.value());
    leaving[index].setBornMs(digest.m_leaving[index].m_start_time_ms);
  }
  if (digest.m_load) {
    WriteLoad(root.initLoad(), *digest.m_load);
  }
  const auto rate_count = std::min(digest.m_rates.size(), kMaxStatedRates);
  auto rates = root.initRates(static_cast<unsigned>(rate_count));
  for (unsigned index = 0; index < rate_count; ++index) {
    WriteRate(rates[index], digest.m_rates[index], now);
  }
  if (digest.m_permit_request) {
    WritePermitRequest(root.initPermitRequest(), *digest.m_permit_request);
  }
  if (digest.m_permit_response) {
    WriteResponse(root.initPermitResponse(), *digest.m_permit_response);
  }
  if (digest.m_stream_report) {
    WriteStreamReport(root.initStreamReport(), *digest.m_stream_report);
  }
  root.setRecordedReport(digest.m_recorded_report);
  WriteRooms(root, digest, now);
  root.setNewsOnly(digest.m_events_only);
  root.setReach(static_cast<std::uint8_t>(digest.m_reach));
  root.setClockMs(
      static_cast<std::uint64_t>(std::chrono::floor<std::chrono::milliseconds>(
                                     digest.m_clock.time_since_epoch())
                                     .count()));
  root.setProofAgeMs(EncodeAge(digest.m_proof_age));
  root.setRegistrationsAgeMs(EncodeAge(digest.m_registrations_age));
  root.setStoreFails(digest.m_store_fails);
  root.setRegistrationsVersion(digest.m_registrations_version.value());
  root.setStorePosition(digest.m_store_position.value());
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<FleetDigest> DecodeDigest(std::string_view payload,
                                        TimePoint now) {
  FleetDigest digest;
  try {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(payload.data()), payload.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kReadLimitWords;
    capnp::PackedMessageReader message(stream, options);
    const auto root = message.getRoot<wire::Digest>();
    digest.m_ready = root.getReady();
    digest.m_revision = Revision(root.getRevision());
    for (const auto& entry : root.getActive()) {
      digest.m_active.push_back(
          {UpstreamHash(entry.getUpstream()), entry.getCount()});
    }
    for (const auto& entry : root.getPlacements()) {
      digest.m_placements.push_back(
          {PartId(entry.getPart()), UpstreamHash(entry.getUpstream())});
    }
    for (const auto& report : root.getCrashes()) {
      digest.m_crashes.push_back(ReadReport(report, now));
    }
    for (const auto& entry : root.getLeaving()) {
      digest.m_leaving.push_back(
          {UpstreamHash(entry.getUpstream()), entry.getBornMs()});
    }
    digest.m_events_only = root.getNewsOnly();
    if (root.getReach() <= static_cast<std::uint8_t>(UpstreamReach::kCutOff)) {
      digest.m_reach = static_cast<UpstreamReach>(root.getReach());
    }
    digest.m_clock = ReadClock(root.getClockMs());
    digest.m_proof_age = DecodeAge(root.getProofAgeMs());
    digest.m_registrations_age = DecodeAge(root.getRegistrationsAgeMs());
    digest.m_store_fails = root.getStoreFails();
    digest.m_registrations_version = RowVersion(root.getRegistrationsVersion());
    digest.m_store_position = RowVersion(root.getStorePosition());
    if (root.hasLoad()) {
      digest.m_load = ReadLoad(root.getLoad());
    }
    for (const auto& entry : root.getRates()) {
      if (const auto stated = ReadRate(entry, now)) {
        digest.m_rates.push_back(*stated);
      }
    }
    if (root.hasPermitRequest()) {
      digest.m_permit_request = ReadPermitRequest(root.getPermitRequest());
    }
    if (root.hasStreamReport()) {
      digest.m_stream_report = ReadStreamReport(root.getStreamReport());
    }
    digest.m_recorded_report = root.getRecordedReport();
    if (root.hasPermitResponse()) {
      digest.m_permit_response = ReadResponse(root.getPermitResponse());
    }
    ReadRooms(root, &digest, now);
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
  return digest;
}

}  // namespace nutmeghollow

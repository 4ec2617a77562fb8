#include "nutmeghollow/fleet_digest.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace nutmeghollow {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

TEST(FleetDigest, KeepsFieldsInARoundTrip) {
  FleetDigest digest;
  digest.m_ready = true;
  digest.m_revision = Revision(17);
  digest.m_active = {{UpstreamHash(1), 3}, {UpstreamHash(2), 70000}};
  digest.m_placements = {{PartId(99), UpstreamHash(2)}};
  digest.m_leaving = {{UpstreamHash(5), 1700000000123}};
  digest.m_reach = UpstreamReach::kCutOff;
  digest.m_clock = TimePoint(std::chrono::milliseconds(123456));
  const auto read = DecodeDigest(EncodeDigest(digest, kNow), kNow);
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->m_ready);
  EXPECT_EQ(read->m_revision, Revision(17));
  ASSERT_EQ(read->m_active.size(), 2U);
  EXPECT_EQ(read->m_active[0].m_count, 3);
  EXPECT_EQ(read->m_active[1].m_count, 65535);
  ASSERT_EQ(read->m_placements.size(), 1U);
  EXPECT_EQ(read->m_placements[0].m_part, PartId(99));
  EXPECT_EQ(read->m_leaving, digest.m_leaving);
  EXPECT_EQ(read->m_reach, UpstreamReach::kCutOff);
  EXPECT_EQ(read->m_clock, digest.m_clock);
}

struct ProofCase {
  std::optional<Duration> m_sent;
  std::optional<Duration> m_received;
};

class ProofAge : public testing::TestWithParam<ProofCase> {};

// Failure: a digest of an older build, which states no proof, must not be taken
// for one with a new proof, nor the reverse.
TEST_P(ProofAge, IsKeptInARoundTrip) {
  FleetDigest digest;
  digest.m_proof_age = GetParam().m_sent;
  digest.m_registrations_age = GetParam().m_sent;
  digest.m_store_fails = GetParam().m_sent.has_value();
  digest.m_registrations_version = RowVersion(GetParam().m_sent ? 9 : 0);
  const auto read = DecodeDigest(EncodeDigest(digest, kNow), kNow);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->m_proof_age, GetParam().m_received);
  EXPECT_EQ(read->m_registrations_age, GetParam().m_received);
  EXPECT_EQ(read->m_store_fails, digest.m_store_fails);
  EXPECT_EQ(read->m_registrations_version, digest.m_registrations_version);
}

INSTANTIATE_TEST_SUITE_P(
    Ages,
    ProofAge,
    testing::Values(ProofCase{std::nullopt, std::nullopt},
                    ProofCase{Duration::zero(), Duration::zero()},
                    ProofCase{std::chrono::milliseconds(1600),
                              std::chrono::milliseconds(1600)},
                    ProofCase{std::chrono::hours(24 * 365),
                              std::chrono::milliseconds(0xFFFFFFFEU)}));

// Failure: the age of one table must not be taken for that of the other.
TEST(FleetDigest, AgesOfTheTablesAreKeptApart) {
  FleetDigest digest;
  digest.m_registrations_age = std::chrono::milliseconds(700);
  const auto read = DecodeDigest(EncodeDigest(digest, kNow), kNow);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->m_proof_age, std::nullopt);
  EXPECT_EQ(read->m_registrations_age, std::chrono::milliseconds(700));
}

TEST(FleetDigest, FitsIntoADatagramWhenFull) {
  FleetDigest digest;
  for (std::uint32_t index = 0; index < 200; ++index) {
    digest.m_active.push_back({UpstreamHash(0x80000001U + index * 7919), 40});
    digest.m_placements.push_back({PartId(0x9000000000000001U + index * 104729),
                                   UpstreamHash(0x80000001U + index * 7919)});
  }
  EXPECT_LE(EncodeDigest(digest, kNow).size(), 1100U);
}

/// @return a message with the most entries, spread evenly over the hashes.
LoadMessage FullLoadMessage() {
  LoadMessage load;
  load.m_kind = LoadMessageKind::kOthers;
  load.m_round = 70'000;
  load.m_first = UpstreamHash(12);
  load.m_last = UpstreamHash(0xFFFFFFFFU);
  load.m_age = std::chrono::milliseconds(350);
  for (std::uint32_t index = 0; index < kMaxLoadEntries; ++index) {
    load.m_active.push_back({UpstreamHash(0x1234567U * (index + 1)), 300});
  }
  return load;
}

TEST(FleetDigest, KeepsALoadMessageInARoundTrip) {
  FleetDigest digest;
  digest.m_events_only = true;
  digest.m_load = FullLoadMessage();
  const std::string payload = EncodeDigest(digest, kNow);
  EXPECT_LE(payload.size(), 1100U);
  const auto read = DecodeDigest(payload, kNow);
  ASSERT_TRUE(read);
  ASSERT_TRUE(read->m_load);
  EXPECT_EQ(read->m_load->m_kind, LoadMessageKind::kOthers);
  EXPECT_EQ(read->m_load->m_round, 70'000U);
  EXPECT_EQ(read->m_load->m_first, UpstreamHash(12));
  EXPECT_EQ(read->m_load->m_last, UpstreamHash(0xFFFFFFFFU));
  EXPECT_EQ(read->m_load->m_age, Duration(std::chrono::milliseconds(350)));
  ASSERT_EQ(read->m_load->m_active.size(), kMaxLoadEntries);
  for (std::uint32_t index = 0; index < kMaxLoadEntries; ++index) {
    const ActiveRequests& entry = read->m_load->m_active[index];
    EXPECT_EQ(entry.m_upstream, UpstreamHash(0x1234567U * (index + 1)));
    EXPECT_EQ(entry.m_count, 300);
  }
}

TEST(FleetDigest, EncodesCrashTimesAsAges) {
  using std::chrono::milliseconds;
  FleetDigest digest;
  digest.m_events_only = true;
  digest.m_crashes = {
      {SuspectOf(RequestDigest(7)),
       {{UpstreamHash(1), kNow - milliseconds(900), kNow - milliseconds(800)},
        {UpstreamHash(2), kNow - milliseconds(70), kNow - milliseconds(50)}},
       TimePoint()},
      {SuspectOf(PartId(8)), {}, kNow - milliseconds(20)}};
  // The sender's times are relative to its own clock; the clock of the receiver
  // differs.
  const TimePoint receiver_now = kNow + std::chrono::hours(5);
  const auto read = DecodeDigest(EncodeDigest(digest, kNow), receiver_now);
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->m_events_only);
  ASSERT_EQ(read->m_crashes.size(), 2U);
  ASSERT_EQ(read->m_crashes[0].m_crashes.size(), 2U);
  EXPECT_EQ(read->m_crashes[0].m_crashes[1].m_sent_at,
            receiver_now - milliseconds(70));
  EXPECT_EQ(read->m_crashes[0].m_crashes[1].m_crashed_at,
            receiver_now - milliseconds(50));
  EXPECT_EQ(read->m_crashes[0].m_cleared_at, TimePoint());
  EXPECT_EQ(read->m_crashes[1].m_cleared_at, receiver_now - milliseconds(20));
  EXPECT_EQ(read->m_crashes[0].m_suspect, SuspectOf(RequestDigest(7)));
  EXPECT_EQ(read->m_crashes[1].m_suspect, SuspectOf(PartId(8)));
}

TEST(FleetDigest, OfManyCrashesFitsIntoADatagram) {
  FleetDigest digest;
  digest.m_events_only = true;
  const std::vector<CrashOfUpstream> crashes(
      9, {UpstreamHash(0x90000001U), TimePoint(), TimePoint()});
  for (std::uint64_t index = 0; index < 200; ++index) {
    digest.m_crashes.push_back(
        {SuspectOf(PartId(0x9000000000000001U * (index + 1))), crashes, kNow});
  }
  EXPECT_LE(EncodeDigest(digest, kNow).size(), 1080U);
}

TEST(FleetDigest, KeepsWhatIsSaidAboutBrittleUpstreams) {
  const UpstreamProcess process{UpstreamHash(0x90000001U), 1700000000123};
  FleetDigest digest;
  digest.m_events_only = true;
  digest.m_refusal_limits = {{process, 8.0, kNow}};
  digest.m_room_request = PermitRequest{PermitRequestId(5), {{process, 8, 64}}};
  digest.m_room_response =
      PermitResponse{PermitRequestId(6), process, {{process, Duration(7000)}}};
  digest.m_room_reports = {{process, 12, 1, 1}};
  const auto read = DecodeDigest(EncodeDigest(digest, kNow), kNow);
  ASSERT_TRUE(read);
  ASSERT_EQ(read->m_refusal_limits.size(), 1U);
  EXPECT_EQ(read->m_refusal_limits[0].m_rate, 8.0);
  EXPECT_FALSE(read->m_permit_request);
  ASSERT_TRUE(read->m_room_request);
  EXPECT_EQ(read->m_room_request->m_processes[0].m_slots, 64);
  ASSERT_TRUE(read->m_room_response);
  EXPECT_EQ(read->m_room_response->m_granted, process);
  ASSERT_EQ(read->m_room_reports.size(), 1U);
  EXPECT_EQ(read->m_room_reports[0].m_process, process);
  EXPECT_EQ(read->m_room_reports[0].m_held, 12);
  EXPECT_EQ(read->m_room_reports[0].m_refused, 1);
}

TEST(FleetDigest, OfManyRoomReportsFitsIntoADatagram) {
  FleetDigest digest;
  digest.m_events_only = true;
  for (std::uint32_t index = 0; index < 200; ++index) {
    const UpstreamProcess process{UpstreamHash(0x1234567U * (index + 1)),
                                  1700000000123 + 77777 * index};
    digest.m_refusal_limits.push_back({process, 8.1, kNow});
    digest.m_room_reports.push_back({process, 300, 0, 0});
  }
  EXPECT_LE(EncodeDigest(digest, kNow).size(), 1100U);
}

class BadDigest : public testing::TestWithParam<std::string> {};

TEST_P(BadDigest, IsRejected) {
  EXPECT_FALSE(DecodeDigest(GetParam(), kNow));
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BadDigest,
                         testing::Values(std::string(),
                                         std::string("\xff\xff\xff\xff"),
                                         std::string(40, '\x7f')));

/// Corrupted and truncated payloads must be decoded or rejected without a
/// crash.
class CorruptedDigest : public testing::TestWithParam<unsigned> {};

TEST_P(CorruptedDigest, IsDecodedOrRejected) {
  std::mt19937 random(GetParam());
  FleetDigest digest;
  digest.m_active = {{UpstreamHash(1), 3}, {UpstreamHash(2), 7}};
  digest.m_placements = {{PartId(99), UpstreamHash(2)}};
  digest.m_leaving = {{UpstreamHash(5), 1700000000123}};
  digest.m_crashes = {{SuspectOf(RequestDigest(7)),
                       {{UpstreamHash(1), kNow, kNow}},
                       TimePoint()}};
  digest.m_load = FullLoadMessage();
  digest.m_load->m_active.resize(GetParam());
  digest.m_refusal_limits = {{{UpstreamHash(5), 17}, 8.0, kNow}};
  digest.m_room_request =
      PermitRequest{PermitRequestId(5), {{{UpstreamHash(5), 17}, 8, 64}}};
  digest.m_room_reports = {{{UpstreamHash(5), 17}, 3, 1, 1}};
  const std::string whole = EncodeDigest(digest, kNow);
  int read = 0;
  constexpr int kRounds = 5000;
  for (int round = 0; round < kRounds; ++round) {
    std::string corrupted = whole;
    for (int change = 0; change < 3; ++change) {
      corrupted[random() % corrupted.size()] = static_cast<char>(random());
    }
    corrupted.resize(1 + random() % corrupted.size());
    read += DecodeDigest(corrupted, kNow) ? 1 : 0;
  }
  EXPECT_GT(read, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CorruptedDigest, testing::Range(1U, 6U));

}  // namespace
}  // namespace nutmeghollow

// Plays fleets of 1 to 295 instances before brittle upstreams.
#include "nutmeghollow/room_leases.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "nutmeghollow/fleet_digest.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

constexpr double kTickMs = 1;
constexpr double kPlayMs = 8000;
/// Requests in progress are reported every so often.
constexpr int kReportMs = 200;
/// From then on all instances know that the upstreams are brittle.
constexpr double kKnownMs = 200;
constexpr double kStatedRefusals = 8;
constexpr std::size_t kProcesses = 4;

TimePoint At(double ms) {
  return TimePoint(std::chrono::seconds(100)) +
         Duration(static_cast<std::int64_t>(ms * 1e3));
}

UpstreamProcess ProcessAt(std::size_t index) {
  return {UpstreamHash(static_cast<std::uint32_t>(index + 1)), 5};
}

LimitedProcess Brittle(std::size_t index, int slots) {
  return {ProcessAt(index), kStatedRefusals, slots};
}

enum class Trouble {
  kNone,
  kLoss,               ///< 5% of the messages are lost.
  kAllocatorRestarts,  ///< It forgets all leases, every two seconds.
  kSlowUpstreams,      ///< Their room is two thirds of their slots.
};

struct FleetCase {
  std::size_t m_instances;
  int m_slots;
  double m_work_ms;
  double m_demand;      ///< Relative to what the slots serve.
  double m_unevenness;  ///< Share of the requests that one instance gets.
  Trouble m_trouble;
  double m_least_use;  ///< Of the room, or of the demand if that is less.
};

std::ostream& operator<<(std::ostream& out, const FleetCase& fleet_case) {
  return out << fleet_case.m_instances << " instances, " << fleet_case.m_slots
             << " slots, work " << fleet_case.m_work_ms << " ms, demand "
             << fleet_case.m_demand << ", uneven " << fleet_case.m_unevenness
             << ", trouble " << static_cast<int>(fleet_case.m_trouble);
}

/// Instances and upstreams without a queue.
class Fleet {
 public:
  explicit Fleet(const FleetCase& fleet_case) : m_case(fleet_case) {
    for (std::size_t index = 0; index < fleet_case.m_instances; ++index) {
      m_ids.emplace_back("i" + std::to_string(index));
      m_instances.push_back(std::make_unique<Instance>());
    }
    for (std::size_t index = 0; index < m_ids.size(); ++index) {
      for (const InstanceId& id : m_ids) {
        m_instances[index]->m_directory.Put(
            {.m_id = id, .m_ready = true, .m_link_mbps = 100});
      }
      Start(index);
    }
    m_allocator = IndexOf(m_instances[0]->m_exchange->ChooseAllocator(At(0)));
  }

  void Play() {
    for (; m_now_ms < kPlayMs; m_now_ms += kTickMs) {
      const auto tick = static_cast<int>(m_now_ms);
      if (m_case.m_trouble == Trouble::kAllocatorRestarts && tick > 0 &&
          tick % 2000 == 0) {
        m_instances[m_allocator]->m_rooms = RoomLeases();
      }
      Deliver();
      End();
      for (std::size_t index = 0; index < m_instances.size(); ++index) {
        m_instances[index]->m_exchange->CheckTimeouts(At(m_now_ms));
        if (tick % 10 == 0) {
          m_instances[index]->m_exchange->EndWaiting(At(m_now_ms));
          ReturnUnused(index);
        }
        const auto offset = static_cast<int>(index * 7 % kReportMs);
        if (tick % kReportMs == offset || tick == kKnownMs) {
          ReportAll(index);
        }
      }
      Arrive();
    }
  }

  /// @return the most requests that an upstream refused within a second, after
  /// all instances knew that it is brittle.
  std::size_t WorstSecond() const {
    std::size_t worst = 0;
    for (const Upstream& upstream : m_upstreams) {
      const std::vector<double>& times = upstream.m_refused;
      for (auto begin = times.begin(); begin != times.end(); ++begin) {
        const auto end = std::lower_bound(begin, times.end(), *begin + 1000);
        worst = std::max(worst, static_cast<std::size_t>(end - begin));
      }
    }
    return worst;
  }

  /// @return requests served relative to what the room allowed.
  double Use() const {
    const double possible = static_cast<double>(kProcesses) * Room() *
                            (kPlayMs - kUsedFromMs) / m_case.m_work_ms;
    return static_cast<double>(m_served) / possible;
  }

  int Room() const {
    return m_case.m_trouble == Trouble::kSlowUpstreams ? m_case.m_slots * 2 / 3
                                                       : m_case.m_slots;
  }

 private:
  static constexpr double kUsedFromMs = 2000;

  struct Instance {
    EntryDirectory m_directory;
    RateLimits m_limits{{.m_permit_lifetime = milliseconds(40)}};
    RoomLeases m_rooms;
    std::unique_ptr<RateExchange> m_exchange;
    std::vector<int> m_active = std::vector<int>(kProcesses);
  };
  struct Upstream {
    int m_running = 0;
    std::vector<double> m_refused;
  };
  struct Message {
    double m_due_ms;
    std::size_t m_from;
    std::size_t m_to;
    std::string m_payload;
  };
  struct Work {
    double m_end_ms;
    std::size_t m_instance;
    std::size_t m_process;
    bool m_refused;
    friend bool operator<(const Work& a, const Work& b) {
      return a.m_end_ms < b.m_end_ms;
    }
  };

  std::size_t IndexOf(const InstanceId& id) const {
    return static_cast<std::size_t>(std::find(m_ids.begin(), m_ids.end(), id) -
                                    m_ids.begin());
  }

  void Start(std::size_t index) {
    Instance& instance = *m_instances[index];
    RateExchange::Hooks hooks;
    hooks.m_send_request = [this, index](const auto& to, const auto& request) {
      FleetDigest digest;
      digest.m_room_request = request;
      Send(index, IndexOf(to), digest);
    };
    hooks.m_send_response = [this, index](const auto& to,
                                          const auto& response) {
      FleetDigest digest;
      digest.m_room_response = response;
      Send(index, IndexOf(to), digest);
    };
    hooks.m_grant = [this, index](const auto& to, const auto& process,
                                  double share, TimePoint now) {
      return m_instances[index]->m_rooms.Grant(to, process, share, m_ids.size(),
                                               now);
    };
    instance.m_exchange = std::make_unique<RateExchange>(
        m_ids[index], &instance.m_directory, &instance.m_limits, hooks,
        RateExchangeParameters{.m_max_wait = kLeaseWait});
  }

  void Send(std::size_t from, std::size_t to, const FleetDigest& digest) {
    const bool lost = m_case.m_trouble == Trouble::kLoss &&
                      std::uniform_real_distribution<double>()(m_random) < 0.05;
    if (!lost) {
      m_in_flight.push_back(
          {m_now_ms + 1, from, to, EncodeDigest(digest, At(m_now_ms))});
    }
  }

  void Deliver() {
    for (Message& message : std::exchange(m_in_flight, {})) {
      if (message.m_due_ms > m_now_ms) {
        m_in_flight.push_back(std::move(message));
        continue;
      }
      const TimePoint now = At(m_now_ms);
      const auto digest = DecodeDigest(message.m_payload, now);
      Instance& receiver = *m_instances[message.m_to];
      const InstanceId& from = m_ids[message.m_from];
      if (digest->m_room_request) {
        receiver.m_exchange->HandleRequest(from, *digest->m_room_request, now);
      }
      if (digest->m_room_response) {
        receiver.m_exchange->HandleResponse(from, *digest->m_room_response,
                                            now);
      }
      for (const RoomReport& report : digest->m_room_reports) {
        receiver.m_rooms.HandleReport(from, report, now);
        receiver.m_exchange->GrantWaiting(report.m_process, now);
      }
    }
  }

  RoomReport ReportOf(std::size_t index, std::size_t process) const {
    const Instance& instance = *m_instances[index];
    const auto unused = static_cast<int>(
        instance.m_limits.Permits(ProcessAt(process), At(m_now_ms)));
    return {ProcessAt(process), instance.m_active[process] + unused, 0, 0};
  }

  void SendReports(std::size_t index, const std::vector<RoomReport>& reports) {
    if (index == m_allocator) {
      for (const RoomReport& report : reports) {
        m_instances[index]->m_rooms.HandleReport(m_ids[index], report,
                                                 At(m_now_ms));
        m_instances[index]->m_exchange->GrantWaiting(report.m_process,
                                                     At(m_now_ms));
      }
      return;
    }
    FleetDigest digest;
    digest.m_room_reports = reports;
    Send(index, m_allocator, digest);
  }

  void ReportAll(std::size_t index) {
    if (m_now_ms < kKnownMs) {
      return;
    }
    std::vector<RoomReport> reports;
    for (std::size_t process = 0; process < kProcesses; ++process) {
      m_instances[index]->m_limits.NoteResponse(
          ProcessAt(process), kStatedRefusals, At(m_now_ms), At(m_now_ms));
      reports.push_back(ReportOf(index, process));
    }
    SendReports(index, reports);
  }

  void End() {
    while (!m_work.empty() && m_work.begin()->m_end_ms <= m_now_ms) {
      const Work work = *m_work.begin();
      m_work.erase(m_work.begin());
      --m_instances[work.m_instance]->m_active[work.m_process];
      if (!work.m_refused) {
        --m_upstreams[work.m_process].m_running;
        m_served += m_now_ms >= kUsedFromMs ? 1 : 0;
      }
      if (m_now_ms >= kKnownMs) {
        RoomReport report = ReportOf(work.m_instance, work.m_process);
        report.m_ended = 1;
        report.m_refused = work.m_refused ? 1 : 0;
        SendReports(work.m_instance, {report});
      }
    }
  }

  void Arrive() {
    const double per_tick =
        m_case.m_demand * kProcesses * Room() * kTickMs / m_case.m_work_ms;
    for (int count = std::poisson_distribution<int>(per_tick)(m_random);
         count > 0; --count) {
      const bool uneven = std::uniform_real_distribution<double>()(m_random) <
                          m_case.m_unevenness;
      Request(uneven ? m_instances.size() / 2
                     : m_random() % m_instances.size());
    }
  }

  void Request(std::size_t index) {
    if (m_now_ms < kKnownMs) {
      Run(index, m_random() % kProcesses);
      return;
    }
    Instance& instance = *m_instances[index];
    if (RunWithLease(index)) {
      return;
    }
    std::vector<LimitedProcess> wanted;
    const std::size_t first = m_random() % kProcesses;
    for (std::size_t step = 0; step < kProcesses; ++step) {
      const std::size_t process = (first + step) % kProcesses;
      if (instance.m_limits.MayRequestPermit(ProcessAt(process),
                                             At(m_now_ms))) {
        wanted.push_back(Brittle(process, m_case.m_slots));
      }
    }
    if (!wanted.empty()) {
      instance.m_exchange->Request(
          std::move(wanted), [this, index] { RunWithLease(index); },
          At(m_now_ms));
    }
  }

  bool RunWithLease(std::size_t index) {
    for (std::size_t process = 0; process < kProcesses; ++process) {
      if (m_instances[index]->m_limits.TakePermit(ProcessAt(process),
                                                  At(m_now_ms))) {
        Run(index, process);
        return true;
      }
    }
    return false;
  }

  void ReturnUnused(std::size_t index) {
    for (std::size_t process = 0; process < kProcesses; ++process) {
      const auto unused =
          static_cast<int>(m_instances[index]->m_limits.RemoveUnused(
              ProcessAt(process), At(m_now_ms)));
      if (unused > 0) {
        RoomReport report = ReportOf(index, process);
        report.m_ended = unused;
        SendReports(index, {report});
      }
    }
  }

  void Run(std::size_t index, std::size_t process) {
    Upstream& upstream = m_upstreams[process];
    ++m_instances[index]->m_active[process];
    const bool refused = upstream.m_running >= Room();
    if (refused && m_now_ms >= kKnownMs) {
      upstream.m_refused.push_back(m_now_ms);
    }
    upstream.m_running += refused ? 0 : 1;
    m_work.insert(
        {m_now_ms + (refused ? 1 : m_case.m_work_ms), index, process, refused});
  }

  FleetCase m_case;
  std::vector<InstanceId> m_ids;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::vector<Upstream> m_upstreams{kProcesses};
  std::vector<Message> m_in_flight;
  std::multiset<Work> m_work;
  std::size_t m_allocator = 0;
  std::size_t m_served = 0;
  double m_now_ms = 0;
  std::mt19937_64 m_random{11};
};

class RoomLeasesFleet : public ::testing::TestWithParam<FleetCase> {};

TEST_P(RoomLeasesFleet, BrittleUpstreamsRefuseFewAndServeWhatTheyCan) {
  Fleet fleet(GetParam());
  fleet.Play();
  EXPECT_LE(fleet.WorstSecond(), kStatedRefusals);
  EXPECT_GE(fleet.Use(),
            GetParam().m_least_use * std::min(1.0, GetParam().m_demand));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RoomLeasesFleet,
    testing::Values(FleetCase{1, 6, 30, 3, 0, Trouble::kNone, 0.9},
                    FleetCase{7, 6, 30, 0.6, 0, Trouble::kNone, 0.9},
                    FleetCase{7, 6, 30, 3, 0, Trouble::kNone, 0.9},
                    FleetCase{7, 6, 30, 3, 0.9, Trouble::kNone, 0.9},
                    FleetCase{7, 6, 100, 3, 0, Trouble::kLoss, 0.8},
                    FleetCase{7, 6, 100, 3, 0, Trouble::kAllocatorRestarts,
                              0.5},
                    FleetCase{7, 6, 100, 3, 0, Trouble::kSlowUpstreams, 0.9},
                    FleetCase{7, 64, 1500, 1.5, 0, Trouble::kNone, 0.9},
                    FleetCase{91, 6, 30, 3, 0, Trouble::kNone, 0.9},
                    FleetCase{91, 64, 1500, 2, 0.5, Trouble::kLoss, 0.8},
                    FleetCase{91, 64, 300, 3, 0, Trouble::kSlowUpstreams, 0.9},
                    FleetCase{295, 6, 30, 3, 0, Trouble::kNone, 0.9},
                    FleetCase{295, 64, 300, 0.8, 0, Trouble::kNone, 0.9},
                    FleetCase{295, 64, 300, 3, 0, Trouble::kLoss, 0.8}));

int GrantAll(RoomLeases* rooms, double share, double ms) {
  int granted = 0;
  while (granted < 100 &&
         !rooms->Grant(InstanceId("a"), Brittle(0, 6), share, 3, At(ms))) {
    ++granted;
  }
  return granted;
}

struct RoomCase {
  const char* m_name;
  double m_share;
  double m_asked_ms;
  int m_held_by_others;
  int m_refused;
  int m_granted;
};
class RoomLeasesTable : public ::testing::TestWithParam<RoomCase> {};

TEST_P(RoomLeasesTable, GrantsNoMoreThanThereIsRoomFor) {
  const RoomCase& room_case = GetParam();
  RoomLeases rooms;
  const InstanceId other("b");
  rooms.HandleReport(other, {ProcessAt(0), room_case.m_held_by_others, 0, 0},
                     At(0));
  for (int count = 0; count < room_case.m_refused; ++count) {
    rooms.HandleReport(other, {ProcessAt(0), room_case.m_held_by_others, 1, 1},
                       At(room_case.m_asked_ms));
    rooms.HandleReport(other, {ProcessAt(0), room_case.m_held_by_others, 0, 0},
                       At(room_case.m_asked_ms));
  }
  EXPECT_EQ(GrantAll(&rooms, room_case.m_share, room_case.m_asked_ms),
            room_case.m_granted)
      << room_case.m_name;
}
INSTANTIATE_TEST_SUITE_P(
    Table,
    RoomLeasesTable,
    testing::Values(RoomCase{"half at first", 1, 0, 0, 0, 3},
                    RoomCase{"more as it learns", 1, 300, 0, 0, 4},
                    RoomCase{"one trial above the slots", 1, 500, 0, 0, 7},
                    RoomCase{"others hold some", 1, 500, 4, 0, 3},
                    RoomCase{"others are silent", 1, 1000, 4, 0, 7},
                    RoomCase{"part of the fleet", 0.5, 600, 0, 0, 3},
                    RoomCase{"an instance alone", 0.01, 600, 0, 0, 1},
                    RoomCase{"nearly all refusals", 1, 600, 0, 6, 0}));

TEST(RoomLeases, ARefusalShrinksTheRoomUntilItGrowsAgain) {
  RoomLeases rooms;
  EXPECT_EQ(GrantAll(&rooms, 1, 0), 3);
  EXPECT_EQ(GrantAll(&rooms, 1, 499), 2);
  const InstanceId holder("a");
  rooms.HandleReport(holder, {ProcessAt(0), 4, 1, 1}, At(600));
  EXPECT_EQ(rooms.FiguresOf(ProcessAt(0), At(600)).m_room, 4);
  EXPECT_EQ(GrantAll(&rooms, 1, 600), 0);
  rooms.HandleReport(holder, {ProcessAt(0), 4, 0, 0}, At(1500));
  EXPECT_EQ(GrantAll(&rooms, 1, 1599), 0);
  EXPECT_EQ(GrantAll(&rooms, 1, 1600), 1);
}

struct WaitCase {
  const char* m_name;
  double m_given_back_ms;
  bool m_is_granted;
};
class RoomLeasesWait : public ::testing::TestWithParam<WaitCase> {};

TEST_P(RoomLeasesWait, ARequestGetsALeaseThatIsGivenBackInTime) {
  EntryDirectory directory;
  RateLimits limits;
  limits.NoteResponse(ProcessAt(0), kStatedRefusals, At(0), At(0));
  RoomLeases rooms;
  RateExchange::Hooks hooks;
  hooks.m_grant = [&](const auto& to, const auto& process, double share,
                      TimePoint now) {
    return rooms.Grant(to, process, share, 1, now);
  };
  RateExchange exchange(InstanceId("only"), &directory, &limits, hooks,
                        {.m_max_wait = kLeaseWait});
  const InstanceId other("other");
  while (!rooms.Grant(other, Brittle(0, 6), 1, 1, At(0))) {
  }
  int answered = 0;
  exchange.Request(
      {Brittle(0, 6)}, [&] { ++answered; }, At(1));
  EXPECT_EQ(answered, 0);
  for (double ms = 2; ms <= 40; ++ms) {
    if (ms == GetParam().m_given_back_ms) {
      rooms.HandleReport(other, {ProcessAt(0), 2, 1, 0}, At(ms));
      exchange.GrantWaiting(ProcessAt(0), At(ms));
    }
    exchange.EndWaiting(At(ms));
  }
  EXPECT_EQ(answered, 1) << GetParam().m_name;
  EXPECT_FALSE(exchange.HasWaiting());
  EXPECT_EQ(limits.Permits(ProcessAt(0), At(40)) == 1, GetParam().m_is_granted);
  EXPECT_EQ(limits.MayRequestPermit(ProcessAt(0), At(26)),
            GetParam().m_is_granted);
}
INSTANTIATE_TEST_SUITE_P(Table,
                         RoomLeasesWait,
                         testing::Values(WaitCase{"in time", 20, true},
                                         WaitCase{"too late", 30, false}));

TEST(RoomLeases, LostReportsDoNotUseUpTheRoom) {
  RoomLeases rooms;
  GrantAll(&rooms, 1, 300);
  rooms.HandleReport(InstanceId("a"), {ProcessAt(0), 0, 0, 0}, At(350));
  const int kept = rooms.FiguresOf(ProcessAt(0), At(350)).m_used;
  EXPECT_GT(kept, 0) << "they may be on their way";
  rooms.HandleReport(InstanceId("a"), {ProcessAt(0), 0, 0, 0}, At(400));
  EXPECT_EQ(rooms.FiguresOf(ProcessAt(0), At(400)).m_used, 0);
}

}  // namespace
}  // namespace nutmeghollow

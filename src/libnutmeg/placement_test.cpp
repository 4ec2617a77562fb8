#include "nutmeghollow/placement.h"

#include <gtest/gtest.h>

#include "libnutmeg/placement_fixture.h"
#include "nutmeghollow/explain.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kChats = 600;

/// @return the engine of each chat when no other request runs and the chat
/// memory is empty.
std::map<std::uint64_t, UpstreamId> Homes(PlacementFixture& fixture) {
  std::map<std::uint64_t, UpstreamId> homes;
  for (std::uint64_t chat = 1; chat <= kChats; ++chat) {
    fixture.m_world.m_placement.m_chats = ChatMemory();
    fixture.m_world.m_loads.m_views.clear();
    RequestRow& row = fixture.Send(chat);
    homes[chat] = row.m_upstream;
    fixture.End(row);
  }
  return homes;
}

struct ChurnCase {
  const char* m_name;
  int m_lost;
  UpstreamStatus m_status;
};

class EngineChurn : public testing::TestWithParam<ChurnCase> {};

TEST_P(EngineChurn, MovesOnlyTheChatsOfLostEngines) {
  PlacementFixture fixture(12);
  const auto before = Homes(fixture);
  std::set<UpstreamId> lost;
  for (int index = 0; index < GetParam().m_lost; ++index) {
    fixture.Engine(index).m_status = GetParam().m_status;
    lost.insert(fixture.Engine(index).m_id);
  }
  const auto during = Homes(fixture);
  for (const auto& [chat, engine] : before) {
    EXPECT_FALSE(lost.contains(during.at(chat)));
    EXPECT_TRUE(lost.contains(engine) || during.at(chat) == engine);
  }
  for (int index = 0; index < GetParam().m_lost; ++index) {
    fixture.Engine(index).m_status = UpstreamStatus::kUsable;
  }
  EXPECT_EQ(Homes(fixture), before);
}

INSTANTIATE_TEST_SUITE_P(
    Tables,
    EngineChurn,
    testing::Values(ChurnCase{"OneEjected", 1, UpstreamStatus::kEjected},
                    ChurnCase{"ThreeEjected", 3, UpstreamStatus::kEjected},
                    ChurnCase{"OneLeaving", 1, UpstreamStatus::kLeaving},
                    ChurnCase{"ThreeLeaving", 3, UpstreamStatus::kLeaving}),
    [](const auto& info) { return std::string(info.param.m_name); });

TEST(Placement, FlappingEngineKeepsItsChatsAtOneInstance) {
  PlacementFixture fixture(12, 7);
  UpdateOwners(fixture.m_world, fixture.m_now);
  const ChatKey chat(5);
  const UpstreamId home = EntryEngine(fixture.m_world, fixture.Route(), chat);
  for (const UpstreamStatus status :
       {UpstreamStatus::kEjected, UpstreamStatus::kUsable,
        UpstreamStatus::kEjected}) {
    fixture.m_world.m_upstreams.Find(home)->m_status = status;
    EXPECT_EQ(EntryEngine(fixture.m_world, fixture.Route(), chat), home);
  }
}

TEST(Placement, ReturnsToTheEngineThatTookTheChatOver) {
  PlacementFixture fixture(12);
  RequestRow& first = fixture.Send(7);
  UpstreamRow& home = *fixture.m_world.m_upstreams.Find(first.m_upstream);
  fixture.End(first);
  home.m_status = UpstreamStatus::kEjected;
  RequestRow& second = fixture.Send(7);
  const UpstreamId other = second.m_upstream;
  EXPECT_NE(other, home.m_id);
  fixture.End(second);
  home.m_status = UpstreamStatus::kUsable;
  home.m_slow_start_since = fixture.m_now + seconds(1);
  fixture.Advance(seconds(2));
  EXPECT_EQ(fixture.Send(7).m_upstream, other);
}

/// Requests at a slow engine never end: its load reaches the bound and not
/// more, and further requests go to other engines.
TEST(Placement, BoundsASlowEngine) {
  PlacementFixture fixture(12);
  fixture.m_world.m_placement_parameters.m_prefix_wait = Duration::zero();
  const UpstreamId slow = fixture.Engine(0).m_id;
  std::deque<RequestRow*> others;
  for (std::uint64_t chat = 1; chat <= 5000; ++chat) {
    fixture.m_now += milliseconds(10);
    RequestRow& row = fixture.Send(chat);
    ASSERT_EQ(row.m_phase, RequestPhase::kPlaced);
    if (row.m_upstream != slow) {
      others.push_back(&row);
    }
    if (others.size() > 88) {
      fixture.End(*others.front());
      others.pop_front();
    }
  }
  const std::vector<int> loads = fixture.Loads();
  EXPECT_LE(loads[0], 10) << "88 requests at the others, mean 8, bound 1.25";
  EXPECT_GE(loads[0], 8);
}

/// Body size of a request whose prefix holder is full, and whether it still
/// waits for the holder after a time.
struct WaitCase {
  const char* m_name;
  int m_body_bytes;
  Duration m_waited{};
  bool m_waits;
};

class PrefixWait : public testing::TestWithParam<WaitCase> {};

TEST_P(PrefixWait, LastsAsLongAsThePrefixIsWorth) {
  PlacementFixture fixture(4);
  NewRequest request;
  request.m_id = RequestId(1);
  request.m_chat = ChatKey(99);
  request.m_route = RouteId("model");
  request.m_body_size = Bytes(GetParam().m_body_bytes);
  RequestRow& first = fixture.Arrive(request);
  fixture.Run();
  UpstreamRow& holder = *fixture.m_world.m_upstreams.Find(first.m_upstream);
  fixture.End(first);
  ChangeRunning(fixture.m_world, holder, 8, fixture.m_now);
  request.m_id = RequestId(2);
  RequestRow& second = fixture.Arrive(request);
  fixture.Run();
  fixture.Advance(GetParam().m_waited);
  EXPECT_EQ(second.m_phase == RequestPhase::kAdmitted, GetParam().m_waits);
  EXPECT_NE(second.m_upstream, holder.m_id);
}

INSTANTIATE_TEST_SUITE_P(
    Tables,
    PrefixWait,
    testing::Values(
        WaitCase{"CheapPrefix", 2000, milliseconds(0), false},
        WaitCase{"LongPrefix", 16000, milliseconds(390), true},
        WaitCase{"LongPrefixLater", 16000, milliseconds(410), false},
        WaitCase{"LongestWait", 160000, milliseconds(490), true},
        WaitCase{"AfterLongestWait", 160000, milliseconds(510), false}),
    [](const auto& info) { return std::string(info.param.m_name); });

/// A chat whose home engine is near its bound and owned by another instance.
class Reservation : public testing::Test {
 protected:
  Reservation() : m_fixture(4, 2) {
    for (int index = 0; index < 4; ++index) {
      ChangeRunning(m_fixture.m_world, m_fixture.Engine(index), 3,
                    m_fixture.m_now);
    }
    // The reservation request is paid from the control budget, which refills
    // over time.
    AvailableControlBytes(m_fixture.m_world, ControlClass::kReservation,
                          m_fixture.m_now);
    m_fixture.Advance(seconds(10));
    for (std::uint64_t chat = 1; m_row == nullptr && chat < 1000; ++chat) {
      RequestRow& row = m_fixture.Send(chat);
      if (row.m_phase == RequestPhase::kReserving) {
        m_row = &row;
      } else {
        m_fixture.End(row);
      }
    }
    m_reservation =
        std::get<ReserveAtOwner>(m_fixture.m_world.m_actions.back());
  }

  void Respond(bool granted, const UpstreamId& alternative) {
    m_fixture.m_world.m_reservation_inbox.m_responses.push_back(
        {m_reservation.m_request, m_reservation.m_upstream, granted,
         alternative});
    m_fixture.Run();
  }

  PlacementFixture m_fixture;
  RequestRow* m_row = nullptr;
  ReserveAtOwner m_reservation;
};

TEST_F(Reservation, IsRequestedFromTheOwner) {
  EXPECT_EQ(m_reservation.m_owner, InstanceId("instance-001"));
  EXPECT_EQ(
      m_fixture.m_world.m_upstreams.Find(m_reservation.m_upstream)->m_owner,
      m_reservation.m_owner);
}

TEST_F(Reservation, PlacesWhenGranted) {
  Respond(true, UpstreamId());
  EXPECT_EQ(m_row->m_phase, RequestPhase::kPlaced);
  EXPECT_EQ(m_row->m_upstream, m_reservation.m_upstream);
}

TEST_F(Reservation, TakesTheAlternative) {
  UpstreamId other;
  for (int index = 0; index < 4; ++index) {
    if (m_fixture.Engine(index).m_id != m_reservation.m_upstream) {
      other = m_fixture.Engine(index).m_id;
    }
  }
  Respond(false, other);
  EXPECT_EQ(m_row->m_phase, RequestPhase::kPlaced);
  EXPECT_EQ(m_row->m_upstream, other);
}

TEST_F(Reservation, DecidesAloneAfterTheTimeout) {
  m_fixture.Advance(milliseconds(19));
  EXPECT_EQ(m_row->m_phase, RequestPhase::kReserving);
  m_fixture.Advance(milliseconds(2));
  EXPECT_EQ(m_row->m_phase, RequestPhase::kPlaced);
  Respond(true, UpstreamId());  // A late response has no effect.
  EXPECT_EQ(m_fixture.Customer().m_running, 1);
}

TEST_F(Reservation, OwnerGrantsUpToItsBound) {
  PlacementFixture owner(4);
  int granted = 0;
  for (std::uint64_t number = 1; number <= 20; ++number) {
    owner.m_world.m_reservation_inbox.m_requests.push_back(
        {ReservationId(number), InstanceId("instance-009"),
         owner.Engine(0).m_id, RouteId("model")});
    owner.Run();
    const auto response =
        std::get<SendReservationResponse>(owner.m_world.m_actions.back());
    granted += response.m_granted ? 1 : 0;
    EXPECT_NE(response.m_granted, !response.m_alternative.empty());
  }
  EXPECT_EQ(granted, 5) << "the bound at the least mean of 4";
}

TEST(Placement, SendsServiceCallsToTheLeastLoadedUpstream) {
  PlacementFixture fixture(1);
  ServiceRow& service = fixture.m_world.m_services[ServiceId("orders")];
  service.m_id = ServiceId("orders");
  for (const char* name : {"orders-1", "orders-2", "orders-3"}) {
    service.m_upstreams.push_back(fixture.AddUpstream(name).m_id);
  }
  std::set<UpstreamId> used;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    NewRequest request;
    request.m_id = RequestId(id);
    request.m_kind = RequestKind::kService;
    request.m_service = ServiceId("orders");
    request.m_customer = CustomerId("band");
    RequestRow& row = fixture.Arrive(request);
    fixture.Run();
    ASSERT_EQ(row.m_phase, RequestPhase::kPlaced);
    used.insert(row.m_upstream);
  }
  EXPECT_EQ(used.size(), 3U);
}

TEST(Placement, ExplainsWhereAChatGoes) {
  PlacementFixture fixture(12);
  RequestRow& row = fixture.Send(7);
  fixture.m_now += seconds(4);
  const Explanation explanation =
      Explain(fixture.m_world, ChatKey(7), RouteId("model"), fixture.m_now);
  EXPECT_TRUE(explanation.m_route_found);
  EXPECT_EQ(explanation.m_home, row.m_upstream);
  EXPECT_EQ(explanation.m_order.size(), 12U);
  EXPECT_EQ(explanation.m_order[0].m_id, row.m_upstream);
  EXPECT_EQ(explanation.m_order[0].m_local_running, 1);
  EXPECT_EQ(explanation.m_holders, std::vector{row.m_upstream});
  EXPECT_EQ(explanation.m_last->m_reason, PlacementReason::kHome);
  EXPECT_EQ(explanation.m_last_age, seconds(4));
}

}  // namespace
}  // namespace nutmeghollow

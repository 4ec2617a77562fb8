#include "nutmeghollow/placement.h"

#include <gtest/gtest.h>

#include "libnutmeg/placement_fixture.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(Placement, ReturnsChatToItsEngine) {
  PlacementFixture fixture(12);
  RequestRow& first = fixture.Send(7);
  ASSERT_EQ(first.m_phase, RequestPhase::kPlaced);
  const UpstreamId home = first.m_upstream;
  EXPECT_EQ(fixture.m_world.m_upstreams.Find(home)->m_local_running, 1);
  EXPECT_EQ(fixture.Customer().m_running, 1);
  EXPECT_EQ(fixture.Customer().m_queued, 0);
  fixture.End(first);
  EXPECT_EQ(fixture.Customer().m_running, 0);
  EXPECT_EQ(fixture.Send(7).m_upstream, home);
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

}  // namespace
}  // namespace nutmeghollow

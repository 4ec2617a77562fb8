#include "nutmeghollow/configuration_schema.h"

#include <gtest/gtest.h>

#include "nutmeghollow/configuration_system.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

constexpr char kTokenDigest[] =
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

struct SchemaCase {
  const char* m_name;
  ObjectKind m_kind;
  const char* m_id;
  const char* m_json;
  std::vector<std::string> m_places;  ///< Of the expected findings, in order.
};

class SchemaTest : public testing::TestWithParam<SchemaCase> {
 protected:
  /// Applies a small configuration whose objects the cases refer to.
  void SetUp() override {
    ConfigurationTransfer transfer{.m_revision = Revision(5), .m_whole = true};
    auto add = [&](ObjectKind kind, const char* id, const char* json) {
      transfer.m_changes.push_back({Revision(1), {kind, id}, json});
    };
    add(ObjectKind::kPriority, "high", R"({"rank":1})");
    add(ObjectKind::kUpstream, "e1", R"({"address":"127.0.0.1:1"})");
    add(ObjectKind::kUpstream, "s1",
        R"({"kind":"service","address":"127.0.0.1:2"})");
    add(ObjectKind::kRoute, "m", R"({"upstreams":["e1"]})");
    add(ObjectKind::kCustomer, "band",
        (std::string(R"({"token_digests":[")") + kTokenDigest +
         R"("],"priority":"high"})")
            .c_str());
    ApplyTransfer(m_world, transfer, TimePoint{});
  }

  World m_world;
};

TEST_P(SchemaTest, ReportsAllFindingsWithTheirPlaces) {
  const SchemaCase& param = GetParam();
  const std::optional<std::string> json =
      param.m_json == nullptr ? std::nullopt
                              : std::optional<std::string>(param.m_json);
  std::vector<std::string> places;
  for (const Finding& finding : ValidateChange(
           m_world.m_configuration, {param.m_kind, param.m_id}, json)) {
    EXPECT_FALSE(finding.m_message.empty());
    places.push_back(finding.m_place);
  }
  EXPECT_EQ(places, param.m_places);
}

constexpr auto kCustomer = ObjectKind::kCustomer;
constexpr auto kRoute = ObjectKind::kRoute;
constexpr auto kUpstream = ObjectKind::kUpstream;
constexpr auto kService = ObjectKind::kService;
constexpr auto kPriority = ObjectKind::kPriority;
constexpr auto kChange = ObjectKind::kPlannedChange;

INSTANTIATE_TEST_SUITE_P(
    Cases,
    SchemaTest,
    testing::Values(
        SchemaCase{"GoodRoute",
                   kRoute,
                   "org/llama-3",
                   R"({"upstreams":["e1"],"bound":1.5,"queue_limit":9,
                       "queue_deadline_ms":100,"retry_budget":0.2})",
                   {}},
        SchemaCase{"GoodUpstream",
                   kUpstream,
                   "e2",
                   R"({"kind":"engine","address":"[::1]:80","weight":2,
                       "capacity":8,"data_centre":"a","region":"r",
                       "enforces_fencing":false,"wanted":{"model":"x"}})",
                   {}},
        SchemaCase{"NotJson",
                   kRoute,
                   "m",
                   "{",
                   {"route/m", "route/m/upstreams"}},
        SchemaCase{"NotAnObject",
                   kPriority,
                   "p",
                   "[1]",
                   {"priority/p", "priority/p/rank"}},
        SchemaCase{
            "ManyFindings",
            kRoute,
            "m",
            R"({"upstreams":["e1","gone","s1","e1"],"bound":0.5,
                       "queue_limit":"many","colour":1})",
            {"route/m/upstreams/3", "route/m/bound", "route/m/queue_limit",
             "route/m/colour", "route/m/upstreams/1", "route/m/upstreams/2"}},
        SchemaCase{"BadAddress",
                   kUpstream,
                   "e3",
                   R"({"address":"host:80"})",
                   {"upstream/e3/address"}},
        SchemaCase{"BadPort",
                   kUpstream,
                   "e3",
                   R"({"address":"127.0.0.1:70000"})",
                   {"upstream/e3/address"}},
        SchemaCase{"WantedOfService",
                   kUpstream,
                   "s2",
                   R"({"kind":"service","address":"127.0.0.1:3",
                       "wanted":{"model":"x"}})",
                   {"upstream/s2/wanted"}},
        SchemaCase{"UnknownWanted",
                   kUpstream,
                   "e3",
                   R"({"address":"127.0.0.1:3","wanted":{"colour":"x"}})",
                   {"upstream/e3/wanted/colour"}},
        SchemaCase{"DanglingPriority",
                   kCustomer,
                   "c",
                   R"({"priority":"low"})",
                   {"customer/c/priority"}},
        SchemaCase{"TokenOfAnother",
                   kCustomer,
                   "c",
                   R"({"token_digests":["0123456789abcdef0123456789abcdef)"
                   R"(0123456789abcdef0123456789abcdef"]})",
                   {"customer/c/token_digests"}},
        SchemaCase{"TokenInClear",
                   kCustomer,
                   "c",
                   R"({"token_digests":["secret"]})",
                   {"customer/c/token_digests"}},
        SchemaCase{
            "ServiceWithEngine",
            kService,
            "orders",
            R"({"upstreams":["e1"],"status_path":"status"})",
            {"service/orders/status_path", "service/orders/upstreams/0"}},
        SchemaCase{"BadId",
                   kPriority,
                   "a b",
                   R"({"rank":1})",
                   {"priority/a b"}},
        SchemaCase{"DeleteReferred",
                   kUpstream,
                   "e1",
                   nullptr,
                   {"route/m/upstreams/0"}},
        SchemaCase{"DeleteReferredPriority",
                   kPriority,
                   "high",
                   nullptr,
                   {"customer/band/priority"}},
        SchemaCase{"DeleteAbsent", kRoute, "x", nullptr, {"route/x"}},
        SchemaCase{"KindOfReferredChanges",
                   kUpstream,
                   "e1",
                   R"({"kind":"service","address":"127.0.0.1:1"})",
                   {"route/m/upstreams/0"}},
        SchemaCase{"PlanWithBadObject",
                   kChange,
                   "night",
                   R"({"at_ms":5,"kind":"route","id":"m",
                       "object":{"bound":"x"}})",
                   {"change/night/object: route/m/upstreams",
                    "change/night/object: route/m/bound"}},
        SchemaCase{"PlanOfFields",
                   kChange,
                   "night",
                   R"({"at_ms":5,"kind":"route","id":"m","merge":true,
                       "object":{"bound":0.1}})",
                   {"change/night/object: route/m/bound"}},
        SchemaCase{"PlanOfPlan",
                   kChange,
                   "night",
                   R"({"at_ms":5,"kind":"change","id":"m","object":null})",
                   {"change/night/kind"}},
        SchemaCase{"PlanWithoutTime",
                   kChange,
                   "night",
                   R"({"kind":"route","id":"m","object":null})",
                   {"change/night/at_ms"}}),
    [](const auto& info) { return info.param.m_name; });

}  // namespace
}  // namespace nutmeghollow

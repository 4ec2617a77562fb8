#include "nutmegctl/view.h"

#include <gtest/gtest.h>

namespace nutmeghollow::ctl {
namespace {

using Json = nlohmann::json;

struct FormatCase {
  const char* m_name;
  View m_view;
  const char* m_response;
  const char* m_text;
};

class FormatResponseTest : public ::testing::TestWithParam<FormatCase> {};

TEST_P(FormatResponseTest, ReturnsReadableText) {
  EXPECT_EQ(
      FormatResponse(GetParam().m_view, Json::parse(GetParam().m_response)),
      GetParam().m_text);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    FormatResponseTest,
    ::testing::Values(
        FormatCase{"FieldsWithDots", View::kStatus,
                   R"({"result":"ok","budget":{"rate":1700},"ready":true})",
                   "budget.rate                       1700\n"
                   "ready                             true\n"},
        FormatCase{"ExplanationAsTable", View::kExplain,
                   R"({"result":"ok","home":"e1","order":[)"
                   R"({"upstream":"e1","load":4,"bound":8},)"
                   R"({"upstream":"engine-2","load":12,"bound":8}]})",
                   "home                              e1\n"
                   "order:\n"
                   "bound  load  upstream\n"
                   "8      4     e1\n"
                   "8      12    engine-2\n"},
        FormatCase{
            "RouteAsTable", View::kExplainRoute,
            R"({"result":"ok","instance":"g0","revision":13,"route":"safe",)"
            R"("customer":"c","priority":0,"homes":null,"cut_off":true,)"
            R"("peer_load_age_ms":250,"evacuated":[{"data_centre":"d2",)"
            R"("upstreams":3,"own_active":1}],"cold":[{"id":"p1",)"
            R"("remaining_ms":900}],"services":[{"service":"plain",)"
            R"("weight":1.0,"chosen":"p0","spread":false,"mean_load":1.5,)"
            R"("bound":6.0,"upstreams":[{"id":"p0","data_centre":"d1",)"
            R"("load":2.0,"report_age_ms":40,"cost":0.25,"rank":0,)"
            R"("unread_tokens":0.0,"cold_ms":0,"verdict":"none",)"
            R"("verdict_ends_ms":null,"chosen":true},{"id":"p1",)"
            R"("data_centre":"d2","load":1.0,"report_age_ms":null,)"
            R"("cost":null,"rank":null,"unread_tokens":null,"cold_ms":900,)"
            R"("verdict":"evacuated","verdict_ends_ms":null,)"
            R"("chosen":false}]},{"service":"other","weight":0.5,)"
            R"("chosen":null,"spread":false,"mean_load":0.0,"bound":3.0,)"
            R"("upstreams":[]}]})",
            "route safe at g0, revision 13, customer c, priority 0, homes -\n"
            "the instance is cut off from the upstreams and forwards "
            "requests\n"
            "evacuated: d2 (3 upstreams, 1 requests here)\n"
            "cold: p1 (900 ms)\n"
            "loads of other instances are 250 ms old\n"
            "\n"
            "service plain (weight 1.0): to p0; mean load 1.5, bound 6.0\n"
            "   upstream  data_centre  load  age_ms  cost  rank  unread  "
            "cold_ms  verdict    ends_ms\n"
            "*  p0        d1           2.0   40      0.25  0     0.0     0"
            "        none       -\n"
            "   p1        d2           1.0   -       -     -     -       900"
            "      evacuated  -\n"
            "\n"
            "service other (weight 0.5): no upstream; mean load 0.0, bound "
            "3.0\n"
            "  upstream  data_centre  load  age_ms  cost  rank  unread  "
            "cold_ms  verdict  ends_ms\n"},
        FormatCase{"ListOfNames", View::kExplain,
                   R"({"result":"ok","owners":["n1","n2"]})",
                   "owners                            [\"n1\",\"n2\"]\n"},
        FormatCase{"Conflict", View::kChange, R"({"result":"conflict"})",
                   "conflict; nothing was changed\n"}),
    [](const auto& info) { return info.param.m_name; });

}  // namespace
}  // namespace nutmeghollow::ctl

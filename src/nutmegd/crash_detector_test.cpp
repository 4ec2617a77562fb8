#include "nutmegd/crash_detector.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/scripted_server.h"

namespace nutmeghollow {
namespace {

/// A broken attempt at an upstream that nobody listens for.
class CrashDetectorTest : public ::testing::Test {
 protected:
  CrashDetectorTest() : m_loop(ev_loop_new(0)) {
    net::ScriptedServer server(
        m_loop, [](const std::string&) { return net::ScriptedReply(); });
    m_attempt.m_endpoint = server.Address();
    m_attempt.m_digest = RequestDigest(7);
    m_attempt.m_upstream = UpstreamId("u");
    m_attempt.m_sent_at = net::BootTime();
  }
  ~CrashDetectorTest() override {
    m_detector.reset();
    ev_loop_destroy(m_loop);
  }

  void Check() {
    m_detector.emplace(
        m_loop, &m_metrics,
        [this](std::function<void(bool)> decided) {
          m_decided = std::move(decided);
        },
        [this] { ++m_reports; });
    m_detector->CheckForCrash(m_attempt, [this] { ++m_done; });
    while (!m_decided) {
      ev_run(m_loop, EVRUN_ONCE);
    }
  }

  struct ev_loop* m_loop;
  MetricsRegistry m_metrics;
  BrokenAttempt m_attempt;
  std::function<void(bool)> m_decided;
  int m_reports = 0;
  int m_done = 0;
  std::optional<CrashDetector> m_detector;
};

TEST_F(CrashDetectorTest, HoldsTheVerdictUntilThePathsAreChecked) {
  Check();
  EXPECT_EQ(m_done, 0);
  EXPECT_EQ(m_reports, 0);
  EXPECT_EQ(m_detector->Suspects().size(), 0U);
  m_decided(false);
  EXPECT_EQ(m_done, 1);
  EXPECT_EQ(m_reports, 1);
  EXPECT_EQ(m_detector->Suspects().size(), 1U);
}

TEST_F(CrashDetectorTest, NeitherCountsNorReportsWhatACutOffInstanceSees) {
  Check();
  m_decided(true);
  EXPECT_EQ(m_done, 1);
  EXPECT_EQ(m_reports, 0);
  EXPECT_EQ(m_detector->Suspects().size(), 0U);
  EXPECT_EQ(m_metrics.CounterValue("nutmeg_route_crashes"), 0U);
}

}  // namespace
}  // namespace nutmeghollow

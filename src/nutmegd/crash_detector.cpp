#include "nutmegd/crash_detector.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/log.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

/// @return the ids as in a request's header: hexadecimal, separated by commas.
std::string FormatParts(const std::vector<PartId>& parts) {
  std::string text;
  for (const PartId& part : parts) {
    text += fmt::format("{}{:x}", text.empty() ? "" : ",", part.value());
  }
  return text;
}

/// A reachable host without a listening upstream refuses within a round trip.
/// An unreachable host must not delay the retry any longer.
constexpr Duration kCheckTimeout = std::chrono::milliseconds(100);

}  // namespace

CrashDetector::CrashDetector(struct ev_loop* loop,
                             MetricsRegistry* metrics,
                             CutOffCheck is_cut_off,
                             std::function<void()> on_crash)
    : m_metrics(metrics),
      m_is_cut_off(std::move(is_cut_off)),
      m_on_crash(std::move(on_crash)),
      m_checker(loop) {}

void CrashDetector::CheckForCrash(const BrokenAttempt& attempt,
                                  std::function<void()> done) {
  const TimePoint broke_at = BootTime();
  m_checker.Check(attempt.m_endpoint, kCheckTimeout,
                  [this, attempt, broke_at,
                   done = std::move(done)](net::ConnectOutcome outcome) {
                    if (outcome == net::ConnectOutcome::kRefused) {
                      HandleRefusal(attempt, broke_at, done);
                    } else {
                      done();
                    }
                  });
}

void CrashDetector::HandleRefusal(const BrokenAttempt& attempt,
                                  TimePoint broke_at,
                                  const std::function<void()>& done) {
  m_is_cut_off([this, attempt, broke_at, done](bool cut_off) {
    if (cut_off) {
      m_metrics->Count("nutmeg_route_crashes_not_counted", "");
      Log(LogLevel::kInfo, "crash_not_counted",
          {{"request", attempt.m_request.str()},
           {"upstream", attempt.m_upstream.str()},
           {"reason", std::string("this instance is cut off")}});
    } else {
      RecordCrash(attempt, broke_at);
    }
    done();
  });
}

void CrashDetector::RecordCrash(const BrokenAttempt& attempt,
                                TimePoint crashed_at) {
  const TimePoint now = BootTime();
  const CrashOfUpstream crash{HashOf(attempt.m_upstream), attempt.m_sent_at,
                              crashed_at};
  m_metrics->Count("nutmeg_route_crashes", "");
  const bool refused =
      m_suspects.NoteCrash(SuspectOf(attempt.m_digest), crash, now);
  Log(refused ? LogLevel::kWarning : LogLevel::kInfo,
      refused ? "request_refused_for_crashes" : "upstream_crashed",
      {{"request", attempt.m_request.str()},
       {"upstream", attempt.m_upstream.str()},
       {"digest", static_cast<std::int64_t>(attempt.m_digest.value())},
       {"parts", FormatParts(attempt.m_shared_parts)}});
  for (const PartId& part : attempt.m_shared_parts) {
    if (m_suspects.NoteCrash(SuspectOf(part), crash, now)) {
      LogRefusal(SuspectOf(part), "own crash");
    }
  }
  m_on_crash();
}

void CrashDetector::MergeReport(const CrashReport& report) {
  if (m_suspects.MergeReport(report, BootTime())) {
    LogRefusal(report.m_suspect, "report of another instance");
  }
}

void CrashDetector::NotePartsServed(const std::vector<PartId>& shared_parts) {
  const TimePoint now = BootTime();
  for (const PartId& part : shared_parts) {
    m_suspects.NoteServed(SuspectOf(part), now);
  }
}

Duration CrashDetector::RefusedFor(
    const RequestDigest& digest,
    const std::vector<PartId>& shared_parts) const {
  const TimePoint now = BootTime();
  Duration refused_for = m_suspects.RefusedFor(SuspectOf(digest), now);
  for (const PartId& part : shared_parts) {
    refused_for =
        std::max(refused_for, m_suspects.RefusedFor(SuspectOf(part), now));
  }
  return refused_for;
}

void CrashDetector::LogRefusal(const Suspect& suspect, const char* reason) {
  if (suspect.m_kind != SuspectKind::kPromptPart) {
    return;
  }
  m_metrics->Count("nutmeg_route_refused_parts", "");
  Log(LogLevel::kWarning, "prompt_part_refused_for_crashes",
      {{"part", fmt::format("{:x}", suspect.m_id)},
       {"reason", std::string(reason)}});
}

}  // namespace nutmeghollow

#include "nutmegd/store_reads.h"

#include <fmt/format.h>

#include <string>
#include <utility>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/log.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::FeedResult;
using net::FeedStatus;

/// During an outage, an instance calls at least every 2.5 s, and a call without
/// a response ends after 1.4 s.
constexpr Duration kRecentFailure = std::chrono::milliseconds(4000);
constexpr const char* kCalls = "nutmeg_gateway_store_calls";

const char* NameOf(FeedStatus status) {
  switch (status) {
    case FeedStatus::kDone:
      return "done";
    case FeedStatus::kHistoryNotRetained:
      return "history_not_retained";
    case FeedStatus::kRejected:
      return "rejected";
    case FeedStatus::kConflict:
      return "conflict";
    case FeedStatus::kUnknown:
      return "unknown";
    case FeedStatus::kOutdated:
      return "outdated";
  }
  return "unknown";
}

net::FeedCallback CountResult(MetricsRegistry* metrics,
                              const char* call,
                              net::FeedCallback callback) {
  return [metrics, call, callback = std::move(callback)](FeedResult result) {
    metrics->Count(kCalls, fmt::format("call=\"{}\",result=\"{}\"", call,
                                       NameOf(result.m_status)));
    callback(std::move(result));
  };
}

}  // namespace

StoreReads::StoreReads(MetricsRegistry* metrics,
                       std::function<void()> on_change)
    : m_metrics(metrics), m_on_change(std::move(on_change)) {
  m_metrics->SetGauge("nutmeg_gateway_store_fails", "",
                      [this] { return Fails() ? 1.0 : 0.0; });
}

net::RowFeed StoreReads::Counted(const net::RowFeed& feed) const {
  MetricsRegistry* metrics = m_metrics;
  net::RowFeed counted;
  counted.m_read_all = [=](const std::string& table, Duration timeout,
                           net::FeedCallback callback) {
    feed.m_read_all(table, timeout,
                    CountResult(metrics, "all", std::move(callback)));
  };
  counted.m_wait_changes = [=](const std::string& table, net::FeedVersion after,
                               Duration wait, Duration timeout,
                               net::FeedCallback callback) {
    feed.m_wait_changes(table, after, wait, timeout,
                        CountResult(metrics, "changes", std::move(callback)));
  };
  counted.m_write = [=](const net::FeedWrite& write, Duration timeout,
                        net::FeedCallback callback) {
    feed.m_write(write, timeout,
                 CountResult(metrics, "write", std::move(callback)));
  };
  if (feed.m_compare) {
    counted.m_compare = [=](const std::string& table,
                            const std::vector<net::FeedRow>& rows,
                            Duration timeout, net::FeedCallback callback) {
      feed.m_compare(table, rows, timeout,
                     CountResult(metrics, "compare", std::move(callback)));
    };
  }
  return counted;
}

void StoreReads::Connect(PeerFeedHooks* hooks) {
  hooks->m_may_call_store = [this] {
    const bool allowed = m_access.MayCall(BootTime(), Draw());
    if (!allowed) {
      m_metrics->Count("nutmeg_gateway_store_calls_withheld", "");
    }
    return allowed;
  };
  hooks->m_on_store_result = [this](bool answered) { HandleResult(answered); };
}

bool StoreReads::FailedRecently() const {
  return m_access.FailedWithin(kRecentFailure, BootTime());
}

bool StoreReads::Fails() const {
  return m_access.Fails(BootTime());
}

void StoreReads::HandleResult(bool answered) {
  const bool before = Fails();
  if (answered) {
    m_access.NoteSuccess();
  } else {
    m_access.NoteFailure(BootTime(), Draw());
  }
  if (Fails() != before) {
    net::Log(net::LogLevel::kInfo, answered ? "store_answers" : "store_fails",
             {});
    m_on_change();
  }
}

double StoreReads::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

}  // namespace nutmeghollow

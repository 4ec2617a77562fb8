#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libnet/log.h"
#include "libnet/text.h"
#include "nutmegd/peer_feed.h"
#include "nutmegd/peer_feed_format.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::FeedResult;
using net::FeedStatus;
using net::FeedVersion;
using net::Log;
using net::LogLevel;
using net::ToHex;

constexpr std::size_t kNonceBytes = 12;
/// A reader that failed is not asked for this long, doubled with each further
/// failure. The upper bound is about the time of a restart or a freeze.
constexpr Duration kMinReaderBackoff = std::chrono::milliseconds(500);
constexpr Duration kMaxReaderBackoff = std::chrono::milliseconds(4000);
constexpr int kMaxDoublings = 3;
/// Number of readers that may fail for one request before the platform is
/// called: a silent one takes up to 1.2 s, the next one 0.4 s, and a change has
/// to be in force within 3 s.
constexpr int kMaxReadersPerRequest = 2;
/// Number of sources that may fail for one request for newer rows: all others
/// of a small fleet.
constexpr int kMaxCopySources = 6;
/// A source that fails within this time did not delay the request.
constexpr Duration kQuickFailure = std::chrono::milliseconds(200);
/// Time for a reader's response beyond its own wait for the platform.
constexpr Duration kReaderTimeoutMargin = std::chrono::milliseconds(400);
/// Interval between checks whether the reader of a request is still one.
constexpr Duration kReaderCheckPeriod = std::chrono::milliseconds(50);
/// A connection within the data centre takes about a millisecond.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);

/// @return the callback, with the result reported before it is called.
net::FeedCallback ReportResult(const PeerFeedHooks& hooks,
                               const net::FeedCallback& callback) {
  if (!hooks.m_on_store_result) {
    return callback;
  }
  return [on_result = hooks.m_on_store_result, callback](FeedResult result) {
    on_result(result.m_status == FeedStatus::kDone ||
              result.m_status == FeedStatus::kHistoryNotRetained ||
              result.m_status == FeedStatus::kOutdated);
    callback(std::move(result));
  };
}

/// @return the reads of the feed, with their results reported to the hooks.
net::RowFeed ReportReads(const net::RowFeed& direct,
                         const PeerFeedHooks& hooks) {
  net::RowFeed feed = direct;
  feed.m_read_all = [direct, hooks](const std::string& table, Duration timeout,
                                    const net::FeedCallback& callback) {
    direct.m_read_all(table, timeout, ReportResult(hooks, callback));
  };
  feed.m_wait_changes = [direct, hooks](const std::string& table,
                                        net::FeedVersion after, Duration wait,
                                        Duration timeout,
                                        const net::FeedCallback& callback) {
    direct.m_wait_changes(table, after, wait, timeout,
                          ReportResult(hooks, callback));
  };
  return feed;
}

/// A feed that requests changes from other instances first.
class PeerFeed : public std::enable_shared_from_this<PeerFeed> {
 public:
  PeerFeed(struct ev_loop* loop,
           net::HttpClient& client,
           net::RowFeed direct,
           PeerFeedHooks hooks)
      : m_client(client),
        m_direct(std::move(direct)),
        m_hooks(std::move(hooks)),
        m_timer(loop, [this] { CheckReaders(); }) {}

  void WaitChanges(const std::string& table,
                   net::FeedVersion after,
                   Duration wait,
                   Duration timeout,
                   const net::FeedCallback& callback) {
    const auto request = std::make_shared<Request>();
    request->m_table = table;
    request->m_after = after;
    request->m_wait = wait;
    request->m_timeout = timeout;
    request->m_callback = callback;
    TryNext(request, {FeedStatus::kRejected, {}, {}, "no source", {}});
  }

  /// Reads a whole table from the platform; when it does not answer, from a
  /// reader, whose copy may be older.
  void ReadAll(const std::string& table,
               Duration timeout,
               const net::FeedCallback& callback) {
    const auto request = std::make_shared<Request>();
    request->m_table = table;
    request->m_timeout = timeout;
    request->m_callback = callback;
    request->m_reads_all = true;
    request->m_store_tried = true;
    if (!MayCallStore()) {
      TryNext(request, Withheld());
      return;
    }
    m_direct.m_read_all(
        table, timeout, [request, weak = weak_from_this()](FeedResult result) {
          const auto self = weak.lock();
          if (result.m_status == FeedStatus::kDone || self == nullptr) {
            if (self != nullptr) {
              // Lower than before when the platform itself went back.
              self->m_versions[request->m_table] = result.m_version;
            }
            request->m_callback(std::move(result));
            return;
          }
          request->m_store_is_outdated =
              result.m_status == FeedStatus::kOutdated;
          self->TryNext(request, std::move(result));
        });
  }

  /// Reads rows from an instance that has newer ones.
  void ReadCopy(const std::string& table,
                FeedVersion after,
                Duration timeout,
                const net::FeedCallback& callback) {
    const auto request = std::make_shared<Request>();
    request->m_table = table;
    request->m_timeout = timeout;
    request->m_callback = callback;
    request->m_after = after;
    request->m_from_newer = true;
    request->m_store_tried = true;
    TryNext(
        request,
        {FeedStatus::kRejected, {}, {}, "no live instance has newer rows", {}});
    ++m_copy_requests;
  }

 private:
  /// A request of a follower, which is sent to one source after the other.
  struct Request {
    std::string m_table;
    net::FeedVersion m_after;
    Duration m_wait{};
    Duration m_timeout{};
    TimePoint m_started_at = BootTime();
    net::FeedCallback m_callback;
    int m_failed_sources = 0;
    std::vector<Endpoint> m_tried;
    bool m_store_tried = false;
    bool m_store_is_outdated = false;  ///< It answered with an earlier state.
    /// The sources are the instances with newer rows.
    bool m_from_newer = false;
    bool m_reads_all = false;  ///< The whole table is wanted.
  };
  using RequestPtr = std::shared_ptr<Request>;

  /// A request that a reader has not answered yet.
  struct Wait {
    net::HttpCallId m_call;
    Endpoint m_reader;
    RequestPtr m_request;
  };

  /// A reader that failed.
  struct Backoff {
    int m_failures = 0;
    TimePoint m_until{};
  };

  bool MayCallStore() const {
    return !m_hooks.m_may_call_store || m_hooks.m_may_call_store();
  }

  static FeedResult Withheld() {
    return {FeedStatus::kRejected,
            {},
            {},
            "withheld, since the store refused this instance",
            {}};
  }

  /// Sends the request to the next source.
  /// @param failure result of the previous one.
  void TryNext(const RequestPtr& request, FeedResult failure) {
    const net::FleetKeys* keys = m_hooks.m_keys();
    const int max_sources =
        request->m_from_newer ? kMaxCopySources : kMaxReadersPerRequest;
    const bool may_ask_reader =
        keys != nullptr && request->m_failed_sources < max_sources;
    const std::optional<Endpoint> reader =
        may_ask_reader ? NextReader(*request) : std::nullopt;
    if (reader) {
      AskReader(request, *reader, *keys);
    } else if (request->m_store_tried) {
      if (request->m_store_is_outdated) {
        failure.m_status = FeedStatus::kOutdated;
      }
      request->m_callback(std::move(failure));
    } else {
      AskStore(request);
    }
  }

  std::vector<Endpoint> SourcesOf(const Request& request) const {
    if (!request.m_from_newer) {
      return m_hooks.m_readers();
    }
    std::vector<Endpoint> newer = m_hooks.m_newer
                                      ? m_hooks.m_newer(request.m_table)
                                      : std::vector<Endpoint>();
    if (!newer.empty()) {
      // Each request begins with another one: a copy need not help.
      const auto first =
          static_cast<std::ptrdiff_t>(m_copy_requests % newer.size());
      std::rotate(newer.begin(), newer.begin() + first, newer.end());
    }
    return newer;
  }

  /// @return the first source that was not tried for the request and is not in
  /// backoff.
  std::optional<Endpoint> NextReader(const Request& request) {
    const TimePoint now = BootTime();
    for (const Endpoint& reader : SourcesOf(request)) {
      const auto backoff = m_backoffs.find(reader);
      const bool tried =
          std::find(request.m_tried.begin(), request.m_tried.end(), reader) !=
          request.m_tried.end();
      const bool backs_off = !request.m_from_newer &&
                             backoff != m_backoffs.end() &&
                             backoff->second.m_until > now;
      if (!tried && !backs_off) {
        return reader;
      }
    }
    return std::nullopt;
  }

  /// Once another source was silent, the copy must be confirmed to be current
  /// without a further wait, before keys may no longer be used.
  static bool AsksWithoutWait(const Request& request) {
    return request.m_wait == Duration::zero() ||
           BootTime() - request.m_started_at > kQuickFailure;
  }

  void AskStore(const RequestPtr& request) {
    request->m_store_tried = true;
    if (!MayCallStore()) {
      TryNext(request, Withheld());
      return;
    }
    const Duration wait =
        request->m_tried.empty() ? request->m_wait : Duration::zero();
    m_direct.m_wait_changes(request->m_table, request->m_after, wait,
                            request->m_timeout - (request->m_wait - wait),
                            [request, weak = weak_from_this(),
                             requested_at = BootTime()](FeedResult result) {
                              const auto self = weak.lock();
                              const bool answered =
                                  result.m_status == FeedStatus::kDone ||
                                  result.m_status ==
                                      FeedStatus::kHistoryNotRetained;
                              if (answered) {
                                result.m_confirmed_at = requested_at;
                              }
                              if (answered && self != nullptr) {
                                self->NoteConfirmed(request->m_table, result);
                              }
                              if (answered || self == nullptr) {
                                request->m_callback(std::move(result));
                                return;
                              }
                              request->m_store_is_outdated =
                                  result.m_status == FeedStatus::kOutdated;
                              self->TryNext(request, std::move(result));
                            });
  }

  void AskReader(const RequestPtr& request,
                 const Endpoint& reader,
                 const net::FleetKeys& keys) {
    request->m_tried.push_back(reader);
    const bool without_wait = AsksWithoutWait(*request);
    const std::string nonce = ToHex(net::RandomBytes(kNonceBytes));
    net::HttpCall call;
    call.m_endpoint = reader;
    call.m_path = fmt::format(
        "{}?table={}&after={}&nonce={}{}{}{}{}", kFeedPath, request->m_table,
        request->m_after.value(), nonce, kPackedParameter, kWholeParameter,
        without_wait ? kWithoutWait : "",
        request->m_from_newer ? kUnconfirmedParameter : "");
    call.m_headers = {{kMacHeader, HexMac(keys, call.m_path)}};
    call.m_connect_timeout = kConnectTimeout;
    call.m_head_timeout = without_wait ? kReaderTimeoutMargin
                                       : request->m_wait + kReaderTimeoutMargin;
    call.m_total_timeout = request->m_wait + request->m_timeout;
    const std::uint64_t number = ++m_last_wait;
    const net::HttpCallId id = net::Fetch(
        m_client, std::move(call), kResponseLimit,
        [=, this, self = shared_from_this(),
         requested_at = BootTime()](const net::HttpResponse& response) {
          const Wait done = std::move(m_waits.at(number));
          m_waits.erase(number);
          FeedResult result =
              ReadResponse(response, m_hooks.m_keys(), nonce, requested_at);
          if (result.m_status == FeedStatus::kDone && m_hooks.m_on_version) {
            m_hooks.m_on_version(result.m_version);
          }
          if (IsOlderCopy(*done.m_request, result) ||
              IsOutdated(*done.m_request, result)) {
            // The reader is sound, and another one may have a newer copy.
            TryNext(request, {FeedStatus::kUnknown,
                              {},
                              {},
                              "the copy of another instance is older",
                              {}});
            return;
          }
          if (result.m_status == FeedStatus::kDone && without_wait &&
              !IsNewer(request->m_table, result)) {
            // Not a failure of the reader. It did not delay the request, so
            // the others may be asked too.
            TryNext(request, {FeedStatus::kUnknown,
                              {},
                              {},
                              "no source has a newer copy",
                              {}});
            return;
          }
          HandleResponse(done, std::move(result));
        });
    m_waits.emplace(number, Wait{id, reader, request});
    if (!m_timer.Active()) {
      m_timer.StartRepeating(kReaderCheckPeriod);
    }
  }

  void HandleResponse(const Wait& done, FeedResult result) {
    if (result.m_status == FeedStatus::kDone) {
      if (!done.m_request->m_from_newer) {
        m_backoffs.erase(done.m_reader);
        NoteConfirmed(done.m_request->m_table, result);
      }
      result.m_source = done.m_reader;
      done.m_request->m_callback(std::move(result));
      return;
    }
    if (!done.m_request->m_from_newer) {
      Backoff& backoff = m_backoffs[done.m_reader];
      backoff.m_until =
          BootTime() + std::min(kMinReaderBackoff * (1 << backoff.m_failures),
                                kMaxReaderBackoff);
      backoff.m_failures = std::min(backoff.m_failures + 1, kMaxDoublings);
    }
    HandleFailure(done, std::move(result));
  }

  void HandleFailure(const Wait& wait, FeedResult failure) {
    Log(LogLevel::kInfo, "reader_failed",
        {{"reader", wait.m_reader.str()},
         {"table", wait.m_request->m_table},
         {"reason", failure.m_detail}});
    ++wait.m_request->m_failed_sources;
    failure.m_status = FeedStatus::kUnknown;
    TryNext(wait.m_request, std::move(failure));
  }

  /// Ends the requests to instances that are silent or stop: their answers may
  /// not come before the time-out, which is longer than a change may take.
  void CheckReaders() {
    const std::vector<Endpoint> readers = m_hooks.m_readers();
    std::vector<Wait> ended;
    for (auto wait = m_waits.begin(); wait != m_waits.end();) {
      if (wait->second.m_request->m_from_newer ||
          std::find(readers.begin(), readers.end(), wait->second.m_reader) !=
              readers.end()) {
        ++wait;
        continue;
      }
      m_client.Cancel(wait->second.m_call);
      ended.push_back(std::move(wait->second));
      wait = m_waits.erase(wait);
    }
    if (m_waits.empty()) {
      m_timer.Stop();
    }
    for (const Wait& wait : ended) {
      HandleFailure(wait,
                    {FeedStatus::kUnknown, {}, {}, "no longer a reader", {}});
    }
  }

  /// @return true for a whole table that is older than the one here.
  bool IsOlderCopy(const Request& request, const FeedResult& result) {
    const bool is_whole = result.m_is_whole || request.m_reads_all;
    return result.m_status == FeedStatus::kDone && is_whole &&
           !request.m_from_newer &&
           result.m_version < m_versions[request.m_table];
  }

  /// @return true for rows that another instance took from an outdated response
  /// of the platform.
  bool IsOutdated(const Request& request, const FeedResult& result) const {
    return result.m_status == FeedStatus::kDone && !request.m_from_newer &&
           m_hooks.m_is_outdated && result.m_confirmed_at &&
           m_hooks.m_is_outdated(result.m_version, *result.m_confirmed_at);
  }

  void NoteConfirmed(const std::string& table, const FeedResult& result) {
    FeedVersion& version = m_versions[table];
    version = std::max(version, result.m_version);
    TimePoint& newest = m_confirmed_at[table];
    newest = std::max(newest, result.m_confirmed_at.value_or(newest));
  }

  /// @return true when the result has rows, or a later confirmation than those
  /// before it: a copy as old as the one here must not end the search.
  bool IsNewer(const std::string& table, const FeedResult& result) {
    return !result.m_rows.empty() ||
           result.m_confirmed_at > m_confirmed_at[table];
  }

  net::HttpClient& m_client;
  net::RowFeed m_direct;
  PeerFeedHooks m_hooks;
  std::map<Endpoint, Backoff> m_backoffs;
  /// Latest confirmation of each table that was received.
  std::map<std::string, TimePoint> m_confirmed_at;
  /// Highest version of each table that was received.
  std::map<std::string, FeedVersion> m_versions;
  std::uint64_t m_copy_requests = 0;
  std::uint64_t m_last_wait = 0;
  std::map<std::uint64_t, Wait> m_waits;
  net::Timer m_timer;
};

}  // namespace

net::RowFeed MakePeerFeed(struct ev_loop* loop,
                          net::HttpClient& client,
                          const net::RowFeed& direct,
                          PeerFeedHooks hooks) {
  net::RowFeed feed = ReportReads(direct, hooks);
  auto peers = std::make_shared<PeerFeed>(loop, client, feed, std::move(hooks));
  feed.m_read_all = [peers](const std::string& table, Duration timeout,
                            const net::FeedCallback& callback) {
    peers->ReadAll(table, timeout, callback);
  };
  feed.m_read_copy = [peers](const std::string& table, net::FeedVersion after,
                             Duration timeout,
                             const net::FeedCallback& callback) {
    peers->ReadCopy(table, after, timeout, callback);
  };
  feed.m_wait_changes =
      [peers](const std::string& table, net::FeedVersion after, Duration wait,
              Duration timeout, const net::FeedCallback& callback) {
        peers->WaitChanges(table, after, wait, timeout, callback);
      };
  return feed;
}

}  // namespace nutmeghollow

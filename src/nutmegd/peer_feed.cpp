#include "nutmegd/peer_feed.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "libnet/log.h"
#include "libnet/text.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::FeedResult;
using net::FeedStatus;
using net::Log;
using net::LogLevel;
using net::ToHex;
using nlohmann::json;

constexpr const char* kMacHeader = "nutmeg-mac";
constexpr const char* kFeedPath = "/feed";
constexpr std::size_t kNonceBytes = 12;
constexpr int kStatusGone = 410;
constexpr int kStatusForbidden = 403;
constexpr int kStatusUnavailable = 503;
/// Requests wait for the follower's next confirmation, which happens within
/// this time while the platform responds.
constexpr Duration kMaxWait = std::chrono::milliseconds(6000);
/// The next readers are used for this long after a failure: the time of a
/// restart or a freeze.
constexpr Duration kFailoverDuration = std::chrono::seconds(5);
/// Time for a reader's response beyond its own wait for the platform.
constexpr Duration kReaderTimeoutMargin = std::chrono::milliseconds(400);
constexpr Duration kExpiryCheckPeriod = std::chrono::milliseconds(250);
/// Interval between checks whether the reader of a request is still one.
constexpr Duration kReaderCheckPeriod = std::chrono::milliseconds(50);
/// A connection within the data centre takes about a millisecond.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
/// Maximum size of a response: several times the rows of all tables of a large
/// fleet.
constexpr Bytes kResponseLimit{8 << 20};

std::string HexMac(const net::FleetKeys& keys, std::string_view text) {
  const net::Mac mac = net::ComputeMac(keys.m_keys.front(), text);
  return ToHex({reinterpret_cast<const char*>(mac.data()), mac.size()});
}

/// @return true when a MAC in hex was made with one of the keys.
bool HasValidMac(const net::FleetKeys& keys,
                 std::string_view text,
                 const std::string& hex) {
  return std::any_of(
      keys.m_keys.begin(), keys.m_keys.end(),
      [&](const std::string& key) { return HexMac({{key}}, text) == hex; });
}

/// Serializes rows as MessagePack.
/// @param offset time from the receipt of the request to the confirmation of
/// the rows; negative when they were confirmed earlier.
std::string Serialize(const FeedResult& result, Duration offset) {
  json rows = json::array();
  for (const net::FeedRow& row : result.m_rows) {
    const std::vector<std::uint8_t> value(row.m_value.begin(),
                                          row.m_value.end());
    rows.push_back(
        {row.m_key, json::binary(value), row.m_version.value(), row.m_removed});
  }
  const std::vector<std::uint8_t> packed = json::to_msgpack(
      {result.m_version.value(), offset.count(), std::move(rows)});
  return {packed.begin(), packed.end()};
}

FeedResult Deserialize(const std::string& body, TimePoint requested_at) {
  FeedResult result;
  try {
    const json message = json::from_msgpack(body);
    result.m_version = net::FeedVersion(message.at(0).get<std::uint64_t>());
    result.m_confirmed_at =
        requested_at + Duration(message.at(1).get<std::int64_t>());
    for (const json& item : message.at(2)) {
      const auto& value = item.at(1).get_binary();
      result.m_rows.push_back(
          {item.at(0).get<std::string>(),
           std::string(value.begin(), value.end()),
           net::FeedVersion(item.at(2).get<std::uint64_t>()),
           item.at(3).get<bool>()});
    }
    result.m_status = FeedStatus::kDone;
  } catch (const json::exception& error) {
    return {FeedStatus::kUnknown, {}, {}, error.what(), {}};
  }
  return result;
}

}  // namespace

PeerFeedServer::PeerFeedServer(struct ev_loop* loop, FleetKeysHook keys)
    : m_keys(std::move(keys)), m_timer(loop, [this] { ExpirePending(); }) {
  m_timer.StartRepeating(kExpiryCheckPeriod);
}

void PeerFeedServer::Add(const std::string& table,
                         const TableFollower* follower) {
  m_followers[table] = follower;
}

bool PeerFeedServer::Authentic(const net::HttpRequest& request) const {
  const net::FleetKeys* keys = m_keys();
  return keys != nullptr &&
         HasValidMac(*keys, request.m_target,
                     net::HeaderValue(request.m_headers, kMacHeader));
}

void PeerFeedServer::Handle(
    const std::shared_ptr<net::HttpExchange>& exchange) {
  const net::HttpRequest& request = exchange->Request();
  const auto parameter = [&](const char* name) {
    const auto found = request.m_query.find(name);
    return found == request.m_query.end() ? std::string() : found->second;
  };
  const std::string after = parameter("after");
  std::uint64_t version = 0;
  std::from_chars(after.data(), after.data() + after.size(), version);
  const auto follower = m_followers.find(parameter("table"));
  if (!Authentic(request) || follower == m_followers.end()) {
    exchange->Respond(kStatusForbidden, {}, "");
    return;
  }
  const PendingRequest pending{exchange, parameter("table"),
                               net::FeedVersion(version), parameter("nonce"),
                               BootTime()};
  if (!follower->second->IsCurrent() ||
      follower->second->Version() > pending.m_after) {
    Respond(pending);
    return;
  }
  m_pending.push_back(pending);
}

void PeerFeedServer::Respond(const PendingRequest& pending) {
  const TableFollower& follower = *m_followers.at(pending.m_table);
  const net::FleetKeys* keys = m_keys();
  if (!follower.IsCurrent() || keys == nullptr) {
    pending.m_exchange->Respond(kStatusUnavailable, {}, "");
    return;
  }
  const FeedResult result = follower.ChangesAfter(pending.m_after);
  if (result.m_status != FeedStatus::kDone) {
    pending.m_exchange->Respond(kStatusGone, {}, "");
    return;
  }
  std::string body =
      Serialize(result, follower.ConfirmedAt() - pending.m_received_at);
  const std::string mac = HexMac(*keys, pending.m_nonce + body);
  pending.m_exchange->Respond(200, {{kMacHeader, mac}}, std::move(body));
}

void PeerFeedServer::RespondToPending(const std::string& table) {
  std::vector<PendingRequest> earlier = std::exchange(m_pending, {});
  for (PendingRequest& pending : earlier) {
    if (pending.m_table == table) {
      Respond(pending);
    } else {
      m_pending.push_back(std::move(pending));
    }
  }
}

void PeerFeedServer::ExpirePending() {
  const TimePoint now = BootTime();
  std::erase_if(m_pending, [&](const PendingRequest& pending) {
    // While the platform does not respond, the client should try another
    // source immediately.
    const bool expired = now - pending.m_received_at >= kMaxWait ||
                         !m_followers.at(pending.m_table)->IsCurrent();
    if (expired) {
      pending.m_exchange->Respond(kStatusUnavailable, {}, "");
    }
    return expired || pending.m_exchange->CallerDisconnected();
  });
}

namespace {

/// @return the callback, with the result reported before it is called.
net::FeedCallback ReportResult(const PeerFeedHooks& hooks,
                               const net::FeedCallback& callback) {
  if (!hooks.m_on_store_result) {
    return callback;
  }
  return [on_result = hooks.m_on_store_result, callback](FeedResult result) {
    on_result(result.m_status == FeedStatus::kDone ||
              result.m_status == FeedStatus::kHistoryNotRetained);
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

/// A feed that requests changes from readers first.
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
    const TimePoint requested_at = BootTime();
    const net::FleetKeys* keys = m_hooks.m_keys();
    const std::vector<Endpoint> readers = m_hooks.m_readers();
    if (keys == nullptr || readers.empty()) {
      m_direct.m_wait_changes(table, after, wait, timeout, callback);
      return;
    }
    // After a while, the preferred reader is tried again.
    if (requested_at - m_failed_over_at > kFailoverDuration) {
      m_reader_index = 0;
    }
    const Endpoint& reader = readers[m_reader_index % readers.size()];
    const std::string nonce = ToHex(net::RandomBytes(kNonceBytes));
    net::HttpCall call;
    call.m_endpoint = reader;
    call.m_path = fmt::format("{}?table={}&after={}&nonce={}", kFeedPath, table,
                              after.value(), nonce);
    call.m_headers = {{kMacHeader, HexMac(*keys, call.m_path)}};
    call.m_connect_timeout = kConnectTimeout;
    call.m_head_timeout = wait + kReaderTimeoutMargin;
    call.m_total_timeout = wait + timeout;
    const std::uint64_t number = ++m_last_wait;
    const net::HttpCallId id =
        net::Fetch(m_client, std::move(call), kResponseLimit,
                   [=, this, self = shared_from_this()](
                       const net::HttpResponse& response) {
                     Wait done = std::move(m_waits.at(number));
                     m_waits.erase(number);
                     FeedResult result = Read(response, nonce, requested_at);
                     if (result.m_status == FeedStatus::kDone ||
                         result.m_status == FeedStatus::kHistoryNotRetained) {
                       callback(std::move(result));
                       return;
                     }
                     ++m_reader_index;
                     m_failed_over_at = BootTime();
                     UseDirect(done, result.m_detail);
                   });
    m_waits.emplace(number, Wait{id, reader, table, [=, this] {
                                   AskPlatform(table, after, timeout, callback);
                                 }});
    if (!m_timer.Active()) {
      m_timer.StartRepeating(kReaderCheckPeriod);
    }
  }

 private:
  /// A request that a reader has not answered yet.
  struct Wait {
    net::HttpCallId m_call;
    Endpoint m_reader;
    std::string m_table;
    std::function<void()> m_use_direct;
  };

  /// Asks without a wait: the copy of a table whose reader failed must be
  /// confirmed to be current before keys may no longer be used.
  void AskPlatform(const std::string& table,
                   net::FeedVersion after,
                   Duration timeout,
                   const net::FeedCallback& callback) {
    m_direct.m_wait_changes(
        table, after, Duration::zero(), timeout,
        [callback, requested_at = BootTime()](FeedResult result) {
          result.m_confirmed_at = requested_at;
          callback(std::move(result));
        });
  }

  static void UseDirect(const Wait& wait, const std::string& reason) {
    Log(LogLevel::kInfo, "reader_failed",
        {{"reader", wait.m_reader.str()},
         {"table", wait.m_table},
         {"reason", reason}});
    wait.m_use_direct();
  }

  /// Ends the requests to instances that are silent or stop: their answers may
  /// not come before the time-out, which is longer than a change may take.
  void CheckReaders() {
    const std::vector<Endpoint> readers = m_hooks.m_readers();
    std::vector<Wait> ended;
    for (auto wait = m_waits.begin(); wait != m_waits.end();) {
      if (std::find(readers.begin(), readers.end(), wait->second.m_reader) !=
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
      UseDirect(wait, "no longer a reader");
    }
  }

  FeedResult Read(const net::HttpResponse& response,
                  const std::string& nonce,
                  TimePoint requested_at) const {
    FeedResult failed;
    failed.m_detail = fmt::format("status {} {}", response.m_status,
                                  response.m_call_result.m_detail);
    if (response.m_call_result.m_outcome != net::HttpCallOutcome::kComplete) {
      return failed;
    }
    if (response.m_status == kStatusGone) {
      failed.m_status = FeedStatus::kHistoryNotRetained;
      return failed;
    }
    const net::FleetKeys* keys = m_hooks.m_keys();
    if (response.m_status != 200 || keys == nullptr ||
        !HasValidMac(*keys, nonce + response.m_body,
                     net::HeaderValue(response.m_headers, kMacHeader))) {
      return failed;
    }
    return Deserialize(response.m_body, requested_at);
  }

  net::HttpClient& m_client;
  net::RowFeed m_direct;
  PeerFeedHooks m_hooks;
  std::size_t m_reader_index = 0;  ///< Modulo the number of readers.
  TimePoint m_failed_over_at{};
  std::uint64_t m_last_wait = 0;
  std::map<std::uint64_t, Wait> m_waits;
  net::Timer m_timer;
};

}  // namespace

net::RowFeed MakePeerFeed(struct ev_loop* loop,
                          net::HttpClient& client,
                          net::RowFeed direct,
                          PeerFeedHooks hooks) {
  net::RowFeed feed = ReportReads(direct, hooks);
  auto peers = std::make_shared<PeerFeed>(loop, client, feed, std::move(hooks));
  feed.m_wait_changes =
      [peers](const std::string& table, net::FeedVersion after, Duration wait,
              Duration timeout, const net::FeedCallback& callback) {
        peers->WaitChanges(table, after, wait, timeout, callback);
      };
  return feed;
}

}  // namespace nutmeghollow

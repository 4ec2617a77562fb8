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
using net::HexOf;
using net::Log;
using net::LogLevel;
using nlohmann::json;

constexpr const char* kMacHeader = "nutmeg-mac";
constexpr const char* kFeedPath = "/feed";
constexpr std::size_t kNonceBytes = 12;
constexpr int kStatusGone = 410;
constexpr int kStatusForbidden = 403;
constexpr int kStatusUnavailable = 503;
/// Questions wait for the next proof of the follower, which comes within this
/// time while the platform answers.
constexpr Duration kLongestWait = std::chrono::milliseconds(6000);
/// A reader that failed is passed over for this long: a restart or a freeze.
constexpr Duration kTurnLife = std::chrono::seconds(5);
/// Time for a reader's answer beyond its own wait for the platform.
constexpr Duration kReaderMargin = std::chrono::milliseconds(400);
constexpr Duration kCheckPeriod = std::chrono::milliseconds(250);
/// A peer in the same data centre is reached within a millisecond or so.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
/// Rows of all tables of a large fleet, several times over.
constexpr Bytes kAnswerLimit{8 << 20};
/// Memory of the HTTP library for a connection of a peer.
constexpr Bytes kConnectionMemory{2 << 10};
constexpr Bytes kHeaderLimit{4 << 10};

std::string MacOf(const net::FleetKeys& keys, std::string_view text) {
  const net::Mac mac = net::ComputeMac(keys.m_keys.front(), text);
  return HexOf({reinterpret_cast<const char*>(mac.data()), mac.size()});
}

/// @return whether a code in hex was made with one of the keys.
bool HasMac(const net::FleetKeys& keys,
            std::string_view text,
            const std::string& hex) {
  return std::any_of(
      keys.m_keys.begin(), keys.m_keys.end(),
      [&](const std::string& key) { return MacOf({{key}}, text) == hex; });
}

/// Packs rows and their age. @param offset from the question's receipt to when
/// the rows were known to be the newest; may be negative.
std::string Pack(const FeedResult& result, Duration offset) {
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

FeedResult Unpack(const std::string& body, TimePoint asked_at) {
  FeedResult result;
  try {
    const json message = json::from_msgpack(body);
    result.m_version = net::FeedVersion(message.at(0).get<std::uint64_t>());
    result.m_current_at =
        asked_at + Duration(message.at(1).get<std::int64_t>());
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

net::HttpServerOptions ServerOptions() {
  net::HttpServerOptions options;
  options.m_body_limit = kConnectionMemory;
  options.m_header_limit = kHeaderLimit;
  options.m_connection_memory = kConnectionMemory;
  return options;
}

}  // namespace

PeerFeedServer::PeerFeedServer(struct ev_loop* loop,
                               const Endpoint& endpoint,
                               FleetKeysHook keys)
    : m_keys(std::move(keys)),
      m_server(loop,
               endpoint,
               ServerOptions(),
               [this](const std::shared_ptr<net::HttpExchange>& exchange) {
                 Handle(exchange);
               }),
      m_timer(loop, [this] { EndOldQuestions(); }) {
  m_timer.StartRepeating(kCheckPeriod);
}

void PeerFeedServer::Add(const std::string& table,
                         const TableFollower* follower) {
  m_followers[table] = follower;
}

bool PeerFeedServer::Authentic(const net::HttpRequest& request) const {
  const net::FleetKeys* keys = m_keys();
  return keys != nullptr &&
         HasMac(*keys, request.m_target,
                net::HeaderValue(request.m_headers, kMacHeader));
}

void PeerFeedServer::Handle(
    const std::shared_ptr<net::HttpExchange>& exchange) {
  const net::HttpRequest& request = exchange->Request();
  const auto field = [&](const char* name) {
    const auto found = request.m_query.find(name);
    return found == request.m_query.end() ? std::string() : found->second;
  };
  const std::string after = field("after");
  std::uint64_t version = 0;
  std::from_chars(after.data(), after.data() + after.size(), version);
  const auto follower = m_followers.find(field("table"));
  if (!Authentic(request) || follower == m_followers.end()) {
    exchange->Respond(kStatusForbidden, {}, "");
    return;
  }
  const Question question{exchange, field("table"), net::FeedVersion(version),
                          field("nonce"), BootTime()};
  if (!follower->second->Current() ||
      follower->second->Version() > question.m_after) {
    Answer(question);
    return;
  }
  m_waiting.push_back(question);
}

void PeerFeedServer::Answer(const Question& question) {
  const TableFollower& follower = *m_followers.at(question.m_table);
  const net::FleetKeys* keys = m_keys();
  if (!follower.Current() || keys == nullptr) {
    question.m_exchange->Respond(kStatusUnavailable, {}, "");
    return;
  }
  const FeedResult result = follower.ChangesAfter(question.m_after);
  if (result.m_status != FeedStatus::kDone) {
    question.m_exchange->Respond(kStatusGone, {}, "");
    return;
  }
  std::string body =
      Pack(result, follower.CurrentAt() - question.m_received_at);
  const std::string mac = MacOf(*keys, question.m_nonce + body);
  question.m_exchange->Respond(200, {{kMacHeader, mac}}, std::move(body));
}

void PeerFeedServer::NoteCurrent(const std::string& table) {
  std::vector<Question> waiting = std::exchange(m_waiting, {});
  for (Question& question : waiting) {
    if (question.m_table == table) {
      Answer(question);
    } else {
      m_waiting.push_back(std::move(question));
    }
  }
}

void PeerFeedServer::EndOldQuestions() {
  const TimePoint now = BootTime();
  std::erase_if(m_waiting, [&](const Question& question) {
    // Without the platform the asker should look for another way at once.
    const bool old = now - question.m_received_at >= kLongestWait ||
                     !m_followers.at(question.m_table)->Current();
    if (old) {
      question.m_exchange->Respond(kStatusUnavailable, {}, "");
    }
    return old || question.m_exchange->CallerGone();
  });
}

namespace {

/// A feed that asks readers first.
class PeerFeed : public std::enable_shared_from_this<PeerFeed> {
 public:
  PeerFeed(net::HttpClient& client, net::RowFeed direct, PeerFeedHooks hooks)
      : m_client(client),
        m_direct(std::move(direct)),
        m_hooks(std::move(hooks)) {}

  void WaitChanges(const std::string& table,
                   net::FeedVersion after,
                   Duration wait,
                   Duration timeout,
                   const net::FeedCallback& callback) {
    const TimePoint asked_at = BootTime();
    const net::FleetKeys* keys = m_hooks.m_keys();
    const std::vector<Endpoint> readers = m_hooks.m_readers();
    if (keys == nullptr || readers.empty()) {
      m_direct.m_wait_changes(table, after, wait, timeout, callback);
      return;
    }
    // The turn falls back to the first reader after a while.
    if (asked_at - m_turned_at > kTurnLife) {
      m_turn = 0;
    }
    const Endpoint& reader = readers[m_turn % readers.size()];
    const std::string nonce = HexOf(net::RandomBytes(kNonceBytes));
    net::HttpCall call;
    call.m_endpoint = reader;
    call.m_path = fmt::format("{}?table={}&after={}&nonce={}", kFeedPath, table,
                              after.value(), nonce);
    call.m_headers = {{kMacHeader, MacOf(*keys, call.m_path)}};
    call.m_connect_timeout = kConnectTimeout;
    call.m_head_timeout = wait + kReaderMargin;
    call.m_total_timeout = wait + timeout;
    net::Fetch(
        m_client, std::move(call), kAnswerLimit,
        [=, this, self = shared_from_this()](const net::HttpAnswer& answer) {
          FeedResult result = Read(answer, nonce, asked_at);
          if (result.m_status == FeedStatus::kDone ||
              result.m_status == FeedStatus::kHistoryNotRetained) {
            callback(std::move(result));
            return;
          }
          ++m_turn;
          m_turned_at = BootTime();
          Log(LogLevel::kInfo, "reader_failed",
              {{"reader", reader.str()},
               {"table", table},
               {"reason", result.m_detail}});
          m_direct.m_wait_changes(table, after, wait, timeout, callback);
        });
  }

 private:
  FeedResult Read(const net::HttpAnswer& answer,
                  const std::string& nonce,
                  TimePoint asked_at) const {
    FeedResult failed;
    failed.m_detail =
        fmt::format("status {} {}", answer.m_status, answer.m_end.m_detail);
    if (answer.m_end.m_kind != net::HttpEndKind::kComplete) {
      return failed;
    }
    if (answer.m_status == kStatusGone) {
      failed.m_status = FeedStatus::kHistoryNotRetained;
      return failed;
    }
    const net::FleetKeys* keys = m_hooks.m_keys();
    if (answer.m_status != 200 || keys == nullptr ||
        !HasMac(*keys, nonce + answer.m_body,
                net::HeaderValue(answer.m_headers, kMacHeader))) {
      return failed;
    }
    return Unpack(answer.m_body, asked_at);
  }

  net::HttpClient& m_client;
  net::RowFeed m_direct;
  PeerFeedHooks m_hooks;
  std::size_t m_turn = 0;  ///< Which reader is asked.
  TimePoint m_turned_at{};
};

}  // namespace

net::RowFeed MakePeerFeed(net::HttpClient& client,
                          net::RowFeed direct,
                          PeerFeedHooks hooks) {
  net::RowFeed feed = direct;
  auto peers =
      std::make_shared<PeerFeed>(client, std::move(direct), std::move(hooks));
  feed.m_wait_changes =
      [peers](const std::string& table, net::FeedVersion after, Duration wait,
              Duration timeout, const net::FeedCallback& callback) {
        peers->WaitChanges(table, after, wait, timeout, callback);
      };
  return feed;
}

}  // namespace nutmeghollow

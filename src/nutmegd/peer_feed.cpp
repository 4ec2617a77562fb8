#include "nutmegd/peer_feed.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

#include "libnet/text.h"
#include "nutmegd/peer_feed_format.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::FeedResult;
using net::FeedStatus;

/// Requests wait for the follower's next confirmation, which happens within
/// this time while the platform responds.
constexpr Duration kMaxWait = std::chrono::milliseconds(6000);
constexpr Duration kExpiryCheckPeriod = std::chrono::milliseconds(250);

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
  const PendingRequest pending{exchange,
                               parameter("table"),
                               net::FeedVersion(version),
                               parameter("nonce"),
                               BootTime(),
                               parameter("packed") == "1",
                               parameter("whole") == "1",
                               parameter("unconfirmed") == "1"};
  if (!follower->second->IsCurrent() ||
      follower->second->Version() > pending.m_after ||
      parameter("wait") == "0") {
    Respond(pending);
    return;
  }
  m_pending.push_back(pending);
}

void PeerFeedServer::Respond(const PendingRequest& pending) {
  const TableFollower& follower = *m_followers.at(pending.m_table);
  const net::FleetKeys* keys = m_keys();
  const bool has_copy =
      pending.m_unconfirmed ? follower.HasRows() : follower.IsCurrent();
  if (!has_copy || keys == nullptr) {
    pending.m_exchange->Respond(kStatusUnavailable, {}, "");
    return;
  }
  const Duration offset = follower.ConfirmedAt() - pending.m_received_at;
  if (pending.m_packed) {
    RespondPacked(pending, offset);
    return;
  }
  const FeedResult result = follower.ChangesAfter(pending.m_after);
  if (result.m_status != FeedStatus::kDone) {
    pending.m_exchange->Respond(kStatusGone, {}, "");
    return;
  }
  std::string body = SerializeRows(result, offset);
  const std::string mac = HexMac(*keys, pending.m_nonce + body);
  pending.m_exchange->Respond(200, {{kMacHeader, mac}}, std::move(body));
}

void PeerFeedServer::RespondPacked(const PendingRequest& pending,
                                   Duration offset) {
  const TableFollower& follower = *m_followers.at(pending.m_table);
  const bool is_whole = !follower.Retains(pending.m_after);
  if (is_whole && !pending.m_whole) {
    pending.m_exchange->Respond(kStatusGone, {}, "");
    return;
  }
  const PackedChanges& packed = Pack(pending, is_whole);
  const std::string offset_text = std::to_string(offset.count());
  const std::string mac =
      HexMac(*m_keys(), (is_whole ? kWholeMark : "") + pending.m_nonce +
                            offset_text + packed.m_body);
  net::HeaderList headers{{kMacHeader, mac}, {kOffsetHeader, offset_text}};
  if (is_whole) {
    headers.emplace_back(kWholeHeader, "1");
  }
  pending.m_exchange->Respond(200, headers, packed.m_body);
}

const PeerFeedServer::PackedChanges& PeerFeedServer::Pack(
    const PendingRequest& pending,
    bool is_whole) {
  const TableFollower& follower = *m_followers.at(pending.m_table);
  PackedChanges& packed = m_packed[pending.m_table];
  const bool same_rows = packed.m_version == follower.Version() &&
                         packed.m_updates == follower.Updates() &&
                         packed.m_is_whole == is_whole &&
                         (is_whole || packed.m_after == pending.m_after);
  if (packed.m_body.empty() || !same_rows) {
    const FeedResult result =
        is_whole ? follower.AllRows() : follower.ChangesAfter(pending.m_after);
    packed = {pending.m_after, follower.Version(), follower.Updates(), is_whole,
              Compress(SerializeRows(result, Duration::zero()))};
  }
  return packed;
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

}  // namespace nutmeghollow

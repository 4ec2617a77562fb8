/// @file
/// Lets instances follow the platform's tables through one another.
///
/// The server responds from the copies of this instance's followers, over HTTP
/// on the peer address, with the semantics of the platform's own feed. A
/// response contains the time at which its rows were confirmed to be current,
/// relative to the receipt of the request, so that the client never assumes a
/// later confirmation than the actual one. Requests and responses carry a MAC
/// made with the fleet key.
#pragma once

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/fleet_key.h"
#include "libnet/http_client.h"
#include "libnet/http_server.h"
#include "libnet/row_feed.h"
#include "nutmegd/table_follower.h"

namespace nutmeghollow {

/// @return the fleet keys; null until they are known.
using FleetKeysHook = std::function<const net::FleetKeys*()>;

/// Serves the tables to other instances.
class PeerFeedServer {
 public:
  PeerFeedServer(struct ev_loop* loop, FleetKeysHook keys);

  /// Adds a table to serve.
  /// @param follower copy of the table; must outlive this object.
  void Add(const std::string& table, const TableFollower* follower);
  /// Responds to a request, now or when the copy of the table is confirmed.
  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);
  /// Responds to the pending requests for a table. Called when its follower has
  /// confirmed its copy, possibly with changes.
  void RespondToPending(const std::string& table);

 private:
  /// A request that waits for changes or the next confirmation.
  struct PendingRequest {
    std::shared_ptr<net::HttpExchange> m_exchange;
    std::string m_table;
    net::FeedVersion m_after;
    std::string m_nonce;
    TimePoint m_received_at{};
    bool m_packed = false;  ///< The response may be compressed.
    bool m_whole = false;   ///< The response may be the whole table.
    /// The response may be an unconfirmed copy.
    bool m_unconfirmed = false;
  };
  /// The last packed response for a table, without its time.
  struct PackedChanges {
    net::FeedVersion m_after;
    net::FeedVersion m_version;
    std::uint64_t m_updates = 0;  ///< Of the follower.
    bool m_is_whole = false;
    std::string m_body;  ///< Empty when there is none.
  };

  void Respond(const PendingRequest& pending);
  void RespondPacked(const PendingRequest& pending, Duration offset);
  /// @return the packed changes for a request, or the whole table.
  const PackedChanges& Pack(const PendingRequest& pending, bool is_whole);
  void ExpirePending();
  bool Authentic(const net::HttpRequest& request) const;

  FleetKeysHook m_keys;
  std::map<std::string, const TableFollower*> m_followers;
  std::vector<PendingRequest> m_pending;
  std::map<std::string, PackedChanges> m_packed;
  net::Timer m_timer;
};

/// Keys and readers of a feed through peers.
struct PeerFeedHooks {
  FleetKeysHook m_keys;
  /// @return peer addresses of the readers to send requests to, in the order of
  /// preference; empty when this instance should read from the platform itself.
  std::function<std::vector<Endpoint>()> m_readers;
  /// @return peer addresses of instances with newer rows of a table, from which
  /// copies are read. May be empty.
  std::function<std::vector<Endpoint>(const std::string& table)> m_newer = {};
  /// @return true when a read may be sent to the platform now; it then counts
  /// as sent. May be empty: then reads may be sent at any time.
  std::function<bool()> m_may_call_store;
  /// Called with each result of a read from the platform. May be empty.
  /// @param answered false when the read was refused or not answered; true also
  /// when the response was outdated.
  std::function<void(bool answered)> m_on_store_result;
  /// @return true when a copy that is confirmed up to a version must be older
  /// than its confirmation. May be empty.
  std::function<bool(net::FeedVersion version, TimePoint confirmed_at)>
      m_is_outdated = {};
  /// Called with the version of each copy of another instance. May be empty.
  std::function<void(net::FeedVersion version)> m_on_version = {};
};

/// Makes a feed whose requests for changes are sent to the first reader that
/// has not failed recently. When it fails or is no longer one, the next reader
/// is used, then the platform itself. Reads of whole tables are sent to the
/// platform first, writes only there. m_may_call_store may withhold reads.
/// @param client must outlive the feed.
/// @param direct feed that calls the platform.
net::RowFeed MakePeerFeed(struct ev_loop* loop,
                          net::HttpClient& client,
                          const net::RowFeed& direct,
                          PeerFeedHooks hooks);

}  // namespace nutmeghollow

/// @file
/// Lets instances follow the platform's tables through one another.
///
/// The server answers from the copies of this instance's followers, over HTTP
/// on the peer address, in the manner of the platform's own feed. An answer
/// tells when its rows were known to be the newest, relative to when the
/// question came, so the asker's proof is never younger than the truth. Both
/// ways carry a code made with the fleet key.
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

/// @return the fleet's keys; null until they are known.
using FleetKeysHook = std::function<const net::FleetKeys*()>;

/// Answers other instances' questions about tables.
class PeerFeedServer {
 public:
  /// @throws std::runtime_error when the endpoint cannot be listened on.
  PeerFeedServer(struct ev_loop* loop,
                 const Endpoint& endpoint,
                 FleetKeysHook keys);

  /// Serves a table from a follower that outlives this object.
  void Add(const std::string& table, const TableFollower* follower);
  /// @return the port listened on, useful after asking for port 0.
  int Port() const { return m_server.Port(); }
  /// A follower has a new proof, and perhaps changes: answers who waits.
  void RespondToPending(const std::string& table);

 private:
  struct Question {
    std::shared_ptr<net::HttpExchange> m_exchange;
    std::string m_table;
    net::FeedVersion m_after;
    std::string m_nonce;
    TimePoint m_received_at{};
  };

  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);
  void Answer(const Question& question);
  void EndOldQuestions();
  bool Authentic(const net::HttpRequest& request) const;

  FleetKeysHook m_keys;
  std::map<std::string, const TableFollower*> m_followers;
  std::vector<Question> m_waiting;
  net::HttpServer m_server;
  net::Timer m_timer;
};

/// Where a feed's questions may go.
struct PeerFeedHooks {
  FleetKeysHook m_keys;
  /// @return peer addresses of readers to ask, best first; empty when this
  /// instance should ask the platform itself.
  std::function<std::vector<Endpoint>()> m_readers;
};

/// Makes a feed whose waits for changes go to readers; when none answers, and
/// for everything else, the platform is asked.
/// @param client must outlive the hooks.
net::RowFeed MakePeerFeed(net::HttpClient& client,
                          net::RowFeed direct,
                          PeerFeedHooks hooks);

}  // namespace nutmeghollow

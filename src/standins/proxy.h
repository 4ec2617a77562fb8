/// @file
/// Fault proxy: links that forward TCP or UDP, each with faults that can be
/// changed while it runs, for all senders or for single ones.
#pragma once

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "libnet/event_loop.h"
#include "libnet/http_server.h"
#include "standins/socket.h"

namespace nutmeghollow::standins {

/// Faults of a link.
struct LinkFaults {
  Duration m_delay{};            ///< One way.
  bool m_blocked = false;        ///< Nothing passes; connections go silent.
  bool m_refuse = false;         ///< New connections are reset.
  double m_drop = 0.0;           ///< Share of datagrams that are lost.
  int m_cut_count = 0;           ///< Connections still to be cut...
  std::int64_t m_cut_after = 0;  ///< ...once so many answer bytes passed.
};

/// A path from an endpoint to a target.
class Link {
 public:
  virtual ~Link() = default;

  /// Changes faults as a control body says.
  /// @param source IP number that they are for; empty for all others.
  void Change(const std::string& source, const nlohmann::json& body);

  /// @return what passed, for the statistics.
  virtual nlohmann::json Stats() const = 0;

 protected:
  /// @return the faults in force for a sender.
  LinkFaults& Faults(const std::string& source);

  /// Silences the open connections of a sender for good.
  virtual void SilenceOpen(const std::string& source) = 0;
  /// Resets the open connections of a sender.
  virtual void ResetOpen(const std::string& source) = 0;

 private:
  LinkFaults m_faults;
  std::map<std::string, LinkFaults> m_by_source;
};

/// Makes a link that forwards TCP connections.
std::unique_ptr<Link> MakeTcpLink(struct ev_loop* loop,
                                  const Endpoint& listen,
                                  const Endpoint& target);

/// Makes a link that forwards datagrams in both directions.
std::unique_ptr<Link> MakeUdpLink(struct ev_loop* loop,
                                  const Endpoint& listen,
                                  const Endpoint& target);

/// All links, and the HTTP interface that controls them.
class FaultProxy {
 public:
  explicit FaultProxy(struct ev_loop* loop) : m_loop(loop) {}

  /// Answers one HTTP request.
  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);

 private:
  void AddLinks(const nlohmann::json& body);
  void Control(const nlohmann::json& body);

  struct ev_loop* m_loop;
  /// One name may stand for a TCP and a UDP link on the same port.
  std::multimap<std::string, std::unique_ptr<Link>> m_links;
};

}  // namespace nutmeghollow::standins

/// @file
/// Fault proxy: links that forward TCP or UDP and inject faults, which can be
/// changed at run time for all source addresses or for single ones.
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

/// Faults injected on a link.
struct LinkFaults {
  Duration m_delay{};            ///< Added in each direction.
  bool m_blocked = false;        ///< Forwards nothing; connections stall.
  bool m_refuse = false;         ///< New connections are reset.
  double m_drop_fraction = 0.0;  ///< Of datagrams, 0 to 1.
  int m_cut_count = 0;           ///< Connections to reset at m_cut_after.
  std::int64_t m_cut_after = 0;  ///< Response bytes forwarded before a reset.
};

/// Forwards from a listening endpoint to a target.
class Link {
 public:
  virtual ~Link() = default;

  /// Sets the faults that a control request contains.
  /// @param source IP address that they apply to; empty for the addresses
  /// without faults of their own.
  /// @param body body of the control request.
  void UpdateFaults(const std::string& source, const nlohmann::json& body);

  /// @return traffic counters for /control/stats.
  virtual nlohmann::json Stats() const = 0;

 protected:
  /// @return the faults that apply to a source address.
  LinkFaults& Faults(const std::string& source);

  /// Stalls the open connections of a source address, or all when it is empty:
  /// they stay open and never forward again.
  virtual void StallConnections(const std::string& source) = 0;
  /// Resets the open connections of a source address, or all when it is empty.
  virtual void ResetConnections(const std::string& source) = 0;

 private:
  LinkFaults m_default_faults;
  std::map<std::string, LinkFaults> m_faults_by_source;
};

/// Creates a link that forwards TCP connections.
std::unique_ptr<Link> MakeTcpLink(struct ev_loop* loop,
                                  const Endpoint& listen,
                                  const Endpoint& target);

/// Creates a link that forwards datagrams in both directions.
std::unique_ptr<Link> MakeUdpLink(struct ev_loop* loop,
                                  const Endpoint& listen,
                                  const Endpoint& target);

/// All links, and the HTTP interface that controls them.
class FaultProxy {
 public:
  explicit FaultProxy(struct ev_loop* loop) : m_loop(loop) {}

  /// Responds to one HTTP request.
  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);

 private:
  void AddLinks(const nlohmann::json& body);
  void ApplyControl(const nlohmann::json& body);

  struct ev_loop* m_loop;
  /// By name. A TCP and a UDP link on the same port share a name.
  std::multimap<std::string, std::unique_ptr<Link>> m_links;
};

}  // namespace nutmeghollow::standins

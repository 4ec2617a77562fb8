/// @file
/// The gateway: serves HTTP routes that operators configure in the platform's
/// tables, with upstreams that register themselves there.
///
/// All that must last is the platform's. An instance that starts reads the
/// configuration and the registrations, writes one row that names itself, and
/// is ready; it needs no other instance for that.
#pragma once

#include <ev.h>

#include <functional>
#include <memory>
#include <string>

#include "libnet/http_client.h"
#include "libnet/route_protocol.h"
#include "libnet/row_feed.h"
#include "nutmegd/settings.h"

namespace nutmeghollow {

/// Makes the calls to the platform's tables at an address that may change.
using RowFeedMaker =
    std::function<net::RowFeed(net::HttpClient&, std::function<Endpoint()>)>;

/// One running gateway.
class Gateway {
 public:
  /// Opens all endpoints.
  /// @param settings_file read again on SIGHUP and when it changes.
  /// @throws std::runtime_error when an endpoint cannot be listened on.
  Gateway(struct ev_loop* loop,
          const Settings& settings,
          std::string settings_file,
          net::RouteProtocol protocol,
          const RowFeedMaker& make_feed);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Runs until the planned stop has ended. @return the exit code.
  int Run();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace nutmeghollow

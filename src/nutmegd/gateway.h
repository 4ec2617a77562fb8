/// @file
/// Gateway for HTTP routes. Operators configure the routes in the platform's
/// tables, and upstreams register themselves there.
///
/// All persistent state is in the platform's tables. An instance is ready once
/// it has read the configuration and the registrations and, with customers
/// configured, while the configuration is recent enough to accept their keys.
/// It does not depend on other instances. It also writes its own row when it
/// starts.
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

/// Creates the access to the platform's tables. The second argument returns the
/// platform's current address, which may change.
using RowFeedFactory =
    std::function<net::RowFeed(net::HttpClient&, std::function<Endpoint()>)>;

/// One running gateway.
class Gateway {
 public:
  /// Listens on all endpoints.
  /// @param settings_file reloaded on SIGHUP and when its content changes.
  /// @throws std::runtime_error when an endpoint cannot be listened on.
  Gateway(struct ev_loop* loop,
          const Settings& settings,
          std::string settings_file,
          net::RouteProtocol protocol,
          const RowFeedFactory& make_feed);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Runs until the drain is complete. @return the exit code.
  int Run();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace nutmeghollow

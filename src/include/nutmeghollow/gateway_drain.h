/// @file
/// Planned stop of a gateway: which requests it still accepts, and when it
/// ends.
///
/// Callers who looked its address up before are served for some time. A request
/// that is accepted during the stop ends before it: either its own time limit
/// guarantees that, or no other instance could take the request.
#pragma once

#include <cstddef>
#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// What a gateway does next in its planned stop.
enum class DrainStep {
  kServe,          ///< Accepts connections and serves requests.
  kStopListening,  ///< Serves the connections that are open.
  kEndRequests,    ///< Ends the requests that upstreams still work on.
  kExit,
};

/// Settings of a planned stop.
struct GatewayDrainParameters {
  /// Time from the start of the stop until the process is killed.
  Duration m_grace = std::chrono::seconds(8);
  /// Time for which callers are told to use an address.
  Duration m_entry_ttl = std::chrono::seconds(1);
  /// A stopping instance serves for this multiple of the TTL of an entry
  /// response, since some callers use a response for three times its TTL.
  int m_serve_ttl_factor = 4;
  /// No connections are accepted in this last part of the time for which the
  /// instance serves, so that requests on those accepted before are read.
  Duration m_listen_margin = std::chrono::milliseconds(300);
  /// Requests are ended this long before the process would be killed, at most a
  /// sixth of the grace period.
  Duration m_request_margin = std::chrono::milliseconds(700);
  /// The process ends at the latest this long before it would be killed, also
  /// while a response is still being written.
  Duration m_exit_margin = std::chrono::milliseconds(150);
  /// An estimate admits a request in this first part of the stop only, at most
  /// a quarter of the grace period: callers do not know yet that the instance
  /// stops.
  Duration m_estimates_for = std::chrono::seconds(2);
};

/// A planned stop from its start to the end of the process.
class GatewayDrain {
 public:
  GatewayDrain(TimePoint started_at, const GatewayDrainParameters& parameters);

  /// @param time_left until the request's own time limit.
  /// @param estimate how long such requests take; nothing when not known.
  /// @param others_ready whether another instance accepts callers.
  /// @return whether a request that arrives now may be served.
  bool MayAccept(TimePoint now,
                 Duration time_left,
                 std::optional<Duration> estimate,
                 bool others_ready) const;

  /// @param open_requests requests that upstreams still work on.
  /// @param open_responses responses that are not written to their end.
  DrainStep Next(TimePoint now,
                 std::size_t open_requests,
                 std::size_t open_responses) const;

  TimePoint StartedAt() const { return m_started_at; }

 private:
  TimePoint m_started_at;
  TimePoint m_estimates_until;
  TimePoint m_listens_until;
  TimePoint m_serves_until;
  TimePoint m_requests_until;
  TimePoint m_exits_at;
};

}  // namespace nutmeghollow

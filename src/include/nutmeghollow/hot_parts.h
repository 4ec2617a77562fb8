/// @file
/// Detects chats whose request rate exceeds what one engine can serve, and
/// computes how many engines to spread them over.
///
/// The case in mind is one chat with a tenth of all requests, sent by hundreds
/// of instances that receive each other's loads with a delay of seconds. Every
/// instance then sees the same engine as idle, and all send there at once. The
/// request rate of a chat is known far more accurately than the engines that
/// run it now, so the number of engines is computed from the rate alone.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Identifies a part of a prompt; identical parts have equal ids.
using PartId = Number<struct PartTag>;

/// Settings of the detection of hot parts.
struct HotPartParameters {
  /// Length of the sliding window: two digest rounds at 360 instances.
  Duration m_window = std::chrono::seconds(7);
  /// Largest load of one chat at an engine, as a fraction of the mean load. The
  /// engine also serves its share of the other chats, and the sum must stay
  /// below the bound.
  double m_load_fraction = 0.35;
  /// With fewer requests in the window the rate estimate is not reliable.
  int m_min_requests = 10;
};

/// Counts the requests of each chat in a sliding window.
class HotPartTracker {
 public:
  explicit HotPartTracker(HotPartParameters parameters = {})
      : m_parameters(parameters) {}

  /// Counts a request of a chat, sent by any instance.
  void Note(PartId chat, TimePoint now);
  /// @param engines number of engines of the service.
  /// @return the number of engines to spread the chat over; one when it is not
  /// hot.
  std::size_t Spread(PartId chat, std::size_t engines) const;
  /// @return requests of the chat per second, averaged over the window.
  double Rate(PartId chat, TimePoint now) const;

 private:
  /// Request counts of one half of the window.
  struct Half {
    std::unordered_map<PartId, int> m_requests;
    int m_total = 0;
  };

  int Count(PartId chat) const;

  HotPartParameters m_parameters;
  Half m_current;
  Half m_previous;
  TimePoint m_half_started_at{};
};

}  // namespace nutmeghollow

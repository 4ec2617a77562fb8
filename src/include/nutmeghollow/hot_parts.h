/// @file
/// Chats that take so much of a service's traffic that one engine cannot hold
/// them, and over how many engines they are to be spread.
///
/// The load it answers: one chat with a tenth of all requests, sent by hundreds
/// of instances that learn of each other's loads only seconds later. Each
/// instance then finds the same engine free, and all send there at once. How
/// often a chat is sent is known far better than where it runs now, so the
/// number of its engines follows from its rate alone.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Identifies a part of a prompt; equal parts have equal ids.
using PartId = Number<struct PartTag>;

/// Settings of spreading.
struct HotPartParameters {
  /// Requests are counted over this time: two rounds of digests at 360
  /// instances.
  Duration m_window = std::chrono::seconds(7);
  /// Load of a chat at one engine, as a part of the mean load. An engine also
  /// bears its share of the rest and must stay below the bound on both.
  double m_load_fraction = 0.35;
  /// Fewer requests in the window say nothing of a chat's rate.
  int m_min_requests = 10;
};

/// Counts the requests of each chat in a sliding window.
class HotPartTracker {
 public:
  explicit HotPartTracker(HotPartParameters parameters = {})
      : m_parameters(parameters) {}

  /// Notes a request of a chat, sent by any instance.
  void Note(PartId chat, TimePoint now);
  /// @return over how many of a service's engines a chat is to be spread; one
  /// when it is not hot.
  std::size_t Spread(PartId chat, std::size_t engines) const;

 private:
  /// Requests in one half of the window.
  struct Half {
    std::unordered_map<PartId, int> m_requests;
    int m_total = 0;
  };

  HotPartParameters m_parameters;
  Half m_current;
  Half m_previous;
  TimePoint m_turned_at{};
};

}  // namespace nutmeghollow

/// @file
/// Keeps short urgent prompts apart from long ones at the engines of a service.
///
/// An engine processes prompts one after the other, so that a short prompt that
/// arrives after a long one misses its target. Counts of other instances do not
/// tell where long prompts wait. Instead, all instances derive from the ids of
/// the engines alone a part of them that is seldom the first choice for long
/// prompts and often for short urgent ones. No message is needed, and a chat
/// stays at the engine that caches it.
#pragma once

#include <cstdint>

namespace nutmeghollow {

/// Class of a prompt among those of its service.
enum class PromptClass : std::uint8_t {
  kShortUrgent,  ///< Most urgent rank, shared parts below the mean.
  kLong,         ///< Less urgent, shared parts far above the mean.
  kOther,
};

/// Kinds of prompts of a service, as seen by an instance.
class PromptMix {
 public:
  /// Counts a request. @param priority rank, 0 is the most urgent.
  void Note(int priority, double shared_tokens);
  PromptClass ClassOf(int priority, double shared_tokens) const;
  /// @return true when both classes have a share of the requests for which it
  /// pays to keep them apart.
  bool IsMixed() const;

 private:
  int m_first_rank = 0;  ///< The most urgent one seen.
  int m_count = 0;  ///< Requests seen, up to those that the averages cover.
  double m_mean_tokens = 0;
  double m_short_urgent = 0;  ///< Share of the requests.
  double m_long = 0;          ///< Share of the requests.
};

/// @return weight of an engine in the rendezvous order of a prompt; 1 for an
/// engine outside the part for short urgent prompts.
double ClassWeight(PromptClass prompt, std::uint64_t engine_hash);

}  // namespace nutmeghollow

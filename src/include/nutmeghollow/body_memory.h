/// @file
/// Bounds the memory of request bodies.
///
/// A body reserves its capacity before its bytes are stored, until no attempt
/// needs it any more. When the budget is used up, incomplete bodies give way to
/// others: one that has made no progress for a while, or else the largest one
/// if it is larger than the body that needs the memory. Complete bodies belong
/// to requests that may have run, and never give way.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Settings of the budget, in bytes.
struct BodyMemoryParameters {
  std::size_t m_total = 56 << 20;  ///< Of all bodies together.
  /// Bodies of at most this size may use the whole budget, larger ones three
  /// quarters of it, so that large bodies do not keep out small ones.
  std::size_t m_small = 64 << 10;
  /// A body without progress for this long gives way before others.
  Duration m_stall = std::chrono::seconds(1);
};

/// Identifies a body within a BodyMemory.
using BodyId = Number<struct BodyTag>;

/// Counts the capacity of request bodies and decides which ones give way.
class BodyMemory {
 public:
  explicit BodyMemory(BodyMemoryParameters parameters = {})
      : m_parameters(parameters) {}

  /// Applies to later reservations.
  void SetParameters(BodyMemoryParameters parameters) {
    m_parameters = parameters;
  }

  /// Adds an empty body.
  /// @param drop called once if the body gives way; it must free its memory.
  BodyId Open(std::function<void()> drop, TimePoint now);
  /// Removes a body and frees what it has reserved.
  void Close(BodyId id);
  /// Notes that bytes of the body have arrived.
  void NoteProgress(BodyId id, TimePoint now);
  /// Marks a body as complete: it no longer gives way.
  void Complete(BodyId id);
  /// Reserves memory for a body; others may give way.
  /// @param capacity total bytes of the body, not less than before.
  /// @return false if the body may not have as much; nothing changes for it.
  [[nodiscard]] bool Reserve(BodyId id, std::size_t capacity, TimePoint now);

  /// @return bytes reserved by all bodies.
  std::size_t Reserved() const { return m_reserved; }
  /// Notes that a request is refused, since its body did not get memory.
  void NoteRefused() { ++m_refused; }
  /// @return requests that were refused.
  std::int64_t Refused() const { return m_refused; }
  /// @return bodies that gave way.
  std::int64_t Dropped() const { return m_dropped; }

 private:
  struct Body {
    std::function<void()> m_drop;
    std::size_t m_capacity = 0;
    TimePoint m_progress_at{};
    bool m_complete = false;
  };

  bool Fits(const Body& body, std::size_t capacity) const;
  /// @return the body that gives way first; nothing if none does.
  std::optional<BodyId> ChooseDropped(BodyId requester,
                                      std::size_t capacity,
                                      TimePoint now) const;

  BodyMemoryParameters m_parameters;
  std::map<BodyId, Body> m_bodies;
  BodyId m_last_id;
  std::size_t m_reserved = 0;
  std::int64_t m_refused = 0;
  std::int64_t m_dropped = 0;
};

/// Place of one body in the budget for the lifetime of this object. Without a
/// budget it always grants memory.
class BodyReservation {
 public:
  BodyReservation() = default;
  /// @param memory null for no budget. @param drop see BodyMemory::Open.
  BodyReservation(std::shared_ptr<BodyMemory> memory,
                  std::function<void()> drop,
                  TimePoint now);
  ~BodyReservation();
  BodyReservation(BodyReservation&& other) noexcept;
  BodyReservation& operator=(BodyReservation&& other) noexcept;
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  /// See BodyMemory.
  [[nodiscard]] bool Reserve(std::size_t capacity, TimePoint now);
  void NoteProgress(TimePoint now);
  void NoteRefused();
  void Complete();

 private:
  std::shared_ptr<BodyMemory> m_memory;
  BodyId m_id;
};

}  // namespace nutmeghollow

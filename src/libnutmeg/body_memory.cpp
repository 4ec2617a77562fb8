#include "nutmeghollow/body_memory.h"

#include <utility>

namespace nutmeghollow {

BodyId BodyMemory::Open(std::function<void()> drop, TimePoint now) {
  m_last_id = m_last_id.Next();
  Body body;
  body.m_drop = std::move(drop);
  body.m_progress_at = now;
  m_bodies.emplace(m_last_id, std::move(body));
  return m_last_id;
}

void BodyMemory::Close(BodyId id) {
  const auto found = m_bodies.find(id);
  if (found == m_bodies.end()) {
    return;
  }
  m_reserved -= found->second.m_capacity;
  m_bodies.erase(found);
}

void BodyMemory::NoteProgress(BodyId id, TimePoint now) {
  const auto found = m_bodies.find(id);
  if (found != m_bodies.end()) {
    found->second.m_progress_at = now;
  }
}

void BodyMemory::Complete(BodyId id) {
  const auto found = m_bodies.find(id);
  if (found != m_bodies.end()) {
    found->second.m_complete = true;
  }
}

bool BodyMemory::Fits(const Body& body, std::size_t capacity) const {
  const std::size_t limit = capacity <= m_parameters.m_small
                                ? m_parameters.m_total
                                : m_parameters.m_total / 4 * 3;
  return m_reserved - body.m_capacity + capacity <= limit;
}

std::optional<BodyId> BodyMemory::ChooseDropped(BodyId requester,
                                                std::size_t capacity,
                                                TimePoint now) const {
  const Body* stalled = nullptr;
  const Body* largest = nullptr;
  BodyId stalled_id;
  BodyId largest_id;
  for (const auto& [id, body] : m_bodies) {
    if (id == requester || body.m_complete || body.m_capacity == 0) {
      continue;
    }
    if (now - body.m_progress_at >= m_parameters.m_stall &&
        (stalled == nullptr || body.m_progress_at < stalled->m_progress_at)) {
      stalled = &body;
      stalled_id = id;
    }
    if (body.m_capacity > capacity &&
        (largest == nullptr || body.m_capacity > largest->m_capacity)) {
      largest = &body;
      largest_id = id;
    }
  }
  if (stalled != nullptr) {
    return stalled_id;
  }
  return largest != nullptr ? std::optional(largest_id) : std::nullopt;
}

bool BodyMemory::Reserve(BodyId id, std::size_t capacity, TimePoint now) {
  const auto found = m_bodies.find(id);
  if (found == m_bodies.end()) {
    return false;  // It has given way.
  }
  Body& body = found->second;
  while (!Fits(body, capacity)) {
    const std::optional<BodyId> dropped = ChooseDropped(id, capacity, now);
    if (!dropped) {
      return false;
    }
    ++m_dropped;
    const std::function<void()> drop =
        std::move(m_bodies.find(*dropped)->second.m_drop);
    Close(*dropped);
    drop();
  }
  m_reserved += capacity - body.m_capacity;
  body.m_capacity = capacity;
  return true;
}

BodyReservation::BodyReservation(std::shared_ptr<BodyMemory> memory,
                                 std::function<void()> drop,
                                 TimePoint now)
    : m_memory(std::move(memory)) {
  if (m_memory != nullptr) {
    m_id = m_memory->Open(std::move(drop), now);
  }
}

BodyReservation::~BodyReservation() {
  if (m_memory != nullptr) {
    m_memory->Close(m_id);
  }
}

BodyReservation::BodyReservation(BodyReservation&& other) noexcept
    : m_memory(std::move(other.m_memory)), m_id(other.m_id) {}

BodyReservation& BodyReservation::operator=(BodyReservation&& other) noexcept {
  std::swap(m_memory, other.m_memory);
  std::swap(m_id, other.m_id);
  return *this;
}

bool BodyReservation::Reserve(std::size_t capacity, TimePoint now) {
  return m_memory == nullptr || m_memory->Reserve(m_id, capacity, now);
}

void BodyReservation::NoteProgress(TimePoint now) {
  if (m_memory != nullptr) {
    m_memory->NoteProgress(m_id, now);
  }
}

void BodyReservation::NoteRefused() {
  if (m_memory != nullptr) {
    m_memory->NoteRefused();
  }
}

void BodyReservation::Complete() {
  if (m_memory != nullptr) {
    m_memory->Complete(m_id);
  }
}

}  // namespace nutmeghollow

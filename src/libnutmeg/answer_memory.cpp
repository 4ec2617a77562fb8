#include "nutmeghollow/answer_memory.h"

#include <algorithm>
#include <utility>

namespace nutmeghollow {

bool ResponseMemoryBudget::MayTake(std::size_t held, std::size_t more) const {
  const std::size_t free =
      m_parameters.m_total - std::min(m_held, m_parameters.m_total);
  const std::size_t limit =
      std::clamp(free, m_parameters.m_least, m_parameters.m_most);
  return held + more <= limit;
}

BufferedBody::~BufferedBody() {
  m_memory->Release(m_room);
}

BufferedBody::BufferedBody(BufferedBody&& other) noexcept
    : m_memory(other.m_memory),
      m_text(std::exchange(other.m_text, {})),
      m_room(std::exchange(other.m_room, 0)) {}

BufferedBody& BufferedBody::operator=(BufferedBody&& other) noexcept {
  std::swap(m_memory, other.m_memory);
  std::swap(m_text, other.m_text);
  std::swap(m_room, other.m_room);
  return *this;
}

bool BufferedBody::Reserve(std::size_t room) {
  if (room <= m_room) {
    return true;
  }
  if (!m_memory->MayTake(m_room, room - m_room)) {
    return false;
  }
  m_memory->Take(room - m_room);
  m_text.reserve(room);
  m_room = room;
  return true;
}

bool BufferedBody::Append(std::string_view data) {
  // A string left to itself takes twice what it holds.
  const std::size_t needed = m_text.size() + data.size();
  const bool has_room = needed <= m_room ||
                        Reserve(std::max(needed, m_room + m_room / 4)) ||
                        Reserve(needed);
  if (has_room) {
    m_text.append(data);
  }
  return has_room;
}

std::string BufferedBody::Release() {
  m_memory->Release(std::exchange(m_room, 0));
  return std::exchange(m_text, {});
}

}  // namespace nutmeghollow

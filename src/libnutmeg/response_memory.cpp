#include "nutmeghollow/response_memory.h"

#include <algorithm>
#include <utility>

namespace nutmeghollow {

bool ResponseMemoryBudget::MayReserve(std::size_t reserved,
                                      std::size_t more) const {
  const std::size_t free =
      m_parameters.m_total - std::min(m_reserved, m_parameters.m_total);
  const std::size_t limit = std::clamp(free, m_parameters.m_min_per_response,
                                       m_parameters.m_max_per_response);
  return reserved + more <= limit;
}

BufferedBody::~BufferedBody() {
  m_budget->Release(m_capacity);
}

BufferedBody::BufferedBody(BufferedBody&& other) noexcept
    : m_budget(other.m_budget),
      m_text(std::exchange(other.m_text, {})),
      m_capacity(std::exchange(other.m_capacity, 0)) {}

BufferedBody& BufferedBody::operator=(BufferedBody&& other) noexcept {
  std::swap(m_budget, other.m_budget);
  std::swap(m_text, other.m_text);
  std::swap(m_capacity, other.m_capacity);
  return *this;
}

bool BufferedBody::Reserve(std::size_t capacity) {
  if (capacity <= m_capacity) {
    return true;
  }
  if (!m_budget->MayReserve(m_capacity, capacity - m_capacity)) {
    return false;
  }
  m_budget->Reserve(capacity - m_capacity);
  m_text.reserve(capacity);
  m_capacity = capacity;
  return true;
}

bool BufferedBody::Append(std::string_view data) {
  // Grows by a quarter; std::string would double its capacity.
  const std::size_t needed = m_text.size() + data.size();
  const bool has_capacity =
      needed <= m_capacity ||
      Reserve(std::max(needed, m_capacity + m_capacity / 4)) || Reserve(needed);
  if (has_capacity) {
    m_text.append(data);
  }
  return has_capacity;
}

std::string BufferedBody::Release() {
  m_budget->Release(std::exchange(m_capacity, 0));
  return std::exchange(m_text, {});
}

}  // namespace nutmeghollow

#include "nutmeghollow/answer_memory.h"

#include <algorithm>
#include <utility>

namespace nutmeghollow {

bool AnswerMemory::MayTake(std::size_t held, std::size_t more) const {
  const std::size_t free =
      m_parameters.m_total - std::min(m_held, m_parameters.m_total);
  const std::size_t limit =
      std::clamp(free, m_parameters.m_least, m_parameters.m_most);
  return held + more <= limit;
}

HeldBody::~HeldBody() {
  m_memory->Release(m_text.size());
}

HeldBody::HeldBody(HeldBody&& other) noexcept
    : m_memory(other.m_memory), m_text(std::exchange(other.m_text, {})) {}

HeldBody& HeldBody::operator=(HeldBody&& other) noexcept {
  std::swap(m_memory, other.m_memory);
  std::swap(m_text, other.m_text);
  return *this;
}

bool HeldBody::Append(std::string_view data) {
  if (!m_memory->MayTake(m_text.size(), data.size())) {
    return false;
  }
  m_memory->Take(data.size());
  m_text.append(data);
  return true;
}

std::string HeldBody::Release() {
  m_memory->Release(m_text.size());
  return std::exchange(m_text, {});
}

}  // namespace nutmeghollow

#include "nutmeghollow/response_memory.h"

#include <algorithm>
#include <utility>

namespace nutmeghollow {
namespace {

/// The size of most parts that are appended.
constexpr std::size_t kBlockBytes = 4 << 10;

}  // namespace

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
      m_blocks(std::exchange(other.m_blocks, {})),
      m_size(std::exchange(other.m_size, 0)),
      m_capacity(std::exchange(other.m_capacity, 0)) {}

BufferedBody& BufferedBody::operator=(BufferedBody&& other) noexcept {
  std::swap(m_budget, other.m_budget);
  std::swap(m_blocks, other.m_blocks);
  std::swap(m_size, other.m_size);
  std::swap(m_capacity, other.m_capacity);
  return *this;
}

bool BufferedBody::Reserve(std::size_t capacity) {
  if (!m_budget->MayReserve(m_capacity, capacity - m_capacity)) {
    return false;
  }
  m_budget->Reserve(capacity - m_capacity);
  m_capacity = capacity;
  return true;
}

std::string& BufferedBody::NextBlock() {
  const std::size_t index = m_size / kBlockBytes;
  if (index == m_blocks.size()) {
    m_blocks.emplace_back();
  }
  std::string& block = m_blocks[index];
  const std::size_t capacity =
      std::min(kBlockBytes, m_capacity - index * kBlockBytes);
  if (block.capacity() < capacity) {
    // A string that holds data would at least double its capacity.
    std::string larger;
    larger.reserve(capacity);
    larger.append(block);
    block = std::move(larger);
  }
  return block;
}

bool BufferedBody::Append(std::string_view data) {
  const std::size_t needed = m_size + data.size();
  if (needed > m_capacity) {
    // Grows by a quarter within the first block, then by whole blocks.
    const std::size_t preferred =
        needed <= kBlockBytes
            ? std::min(kBlockBytes, m_capacity + m_capacity / 4)
            : (needed + kBlockBytes - 1) / kBlockBytes * kBlockBytes;
    if (!Reserve(std::max(needed, preferred)) && !Reserve(needed)) {
      return false;
    }
  }
  while (!data.empty()) {
    std::string& block = NextBlock();
    const std::string_view part = data.substr(0, kBlockBytes - block.size());
    block.append(part);
    m_size += part.size();
    data.remove_prefix(part.size());
  }
  return true;
}

std::string BufferedBody::Release() {
  std::string text;
  text.reserve(std::exchange(m_size, 0));
  for (std::string& block : std::exchange(m_blocks, {})) {
    text.append(std::exchange(block, {}));
  }
  m_budget->Release(std::exchange(m_capacity, 0));
  return text;
}

}  // namespace nutmeghollow

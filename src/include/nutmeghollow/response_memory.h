/// @file
/// Bounds the memory of upstream responses that are buffered until complete.
///
/// The limit of each response is the number of bytes that are free in the
/// budget, so a single large response fits, and many responses that never end
/// share the memory evenly.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace nutmeghollow {

/// Settings of the budget.
struct ResponseMemoryParameters {
  /// Bytes of all responses together: a sixth of the smallest instance's
  /// 160 MB, because a response that is sent to a slow caller exists twice.
  std::size_t m_total = 24 << 20;
  /// Upper limit of one response in bytes, however few there are.
  std::size_t m_max_per_response = 8 << 20;
  /// Limit that one response always has, in bytes, however many there are: far
  /// above the size of an order or a label.
  std::size_t m_min_per_response = 64 << 10;
};

/// Counts the bytes of buffered responses.
class ResponseMemoryBudget {
 public:
  explicit ResponseMemoryBudget(ResponseMemoryParameters parameters = {})
      : m_parameters(parameters) {}

  /// @param reserved bytes that the response has reserved already.
  /// @param more bytes to be reserved in addition.
  /// @return whether the response may reserve them.
  bool MayReserve(std::size_t reserved, std::size_t more) const;
  void Reserve(std::size_t bytes) { m_reserved += bytes; }
  void Release(std::size_t bytes) { m_reserved -= bytes; }
  /// @return bytes reserved by all responses.
  std::size_t Reserved() const { return m_reserved; }

 private:
  ResponseMemoryParameters m_parameters;
  std::size_t m_reserved = 0;
};

/// Body of one response. Its capacity counts against the budget for the
/// lifetime of this object.
class BufferedBody {
 public:
  /// @param budget must outlive this object.
  explicit BufferedBody(ResponseMemoryBudget* budget) : m_budget(budget) {}
  ~BufferedBody();
  BufferedBody(BufferedBody&& other) noexcept;
  BufferedBody& operator=(BufferedBody&& other) noexcept;
  BufferedBody(const BufferedBody&) = delete;
  BufferedBody& operator=(const BufferedBody&) = delete;

  /// @return false when the limit is reached; nothing is appended then.
  [[nodiscard]] bool Append(std::string_view data);
  /// @return the body, which no longer counts against the budget.
  std::string Release();
  std::size_t size() const { return m_size; }

 private:
  /// Reserves capacity for a body of this size in bytes.
  /// @return false when the limit is reached.
  bool Reserve(std::size_t capacity);
  /// @return the block that takes the next byte, with its whole capacity.
  std::string& NextBlock();

  ResponseMemoryBudget* m_budget;
  /// Blocks of one size, since a body that is moved to larger and larger
  /// strings takes a multiple of its size. All but the last are full.
  std::vector<std::string> m_blocks;
  std::size_t m_size = 0;
  std::size_t m_capacity = 0;
};

}  // namespace nutmeghollow

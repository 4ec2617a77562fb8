/// @file
/// Bounds the memory of answers that are held until they are whole.
///
/// Each answer may hold as many bytes as all of them leave free, so a large
/// answer passes alone, and many that never end share the memory evenly.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace nutmeghollow {

/// Settings of the bound.
struct ResponseMemoryParameters {
  /// Of all answers together: a sixth of the smallest instance's 160 MB, since
  /// an answer on its way to a slow caller exists twice.
  std::size_t m_total = 24 << 20;
  /// Of one answer, however few there are.
  std::size_t m_most = 8 << 20;
  /// Of one answer, however many there are: far above an order's or a label's.
  std::size_t m_least = 64 << 10;
};

/// Counts the bytes that answers hold.
class ResponseMemoryBudget {
 public:
  explicit ResponseMemoryBudget(ResponseMemoryParameters parameters = {})
      : m_parameters(parameters) {}

  /// @return whether an answer that holds `held` bytes may take `more`.
  bool MayTake(std::size_t held, std::size_t more) const;
  void Take(std::size_t bytes) { m_held += bytes; }
  void Release(std::size_t bytes) { m_held -= bytes; }
  /// @return bytes that all answers hold.
  std::size_t Held() const { return m_held; }

 private:
  ResponseMemoryParameters m_parameters;
  std::size_t m_held = 0;
};

/// The body of one answer, counted with the room that it has taken as long as
/// it exists.
class BufferedBody {
 public:
  /// @param memory must outlive this object.
  explicit BufferedBody(ResponseMemoryBudget* memory) : m_memory(memory) {}
  ~BufferedBody();
  BufferedBody(BufferedBody&& other) noexcept;
  BufferedBody& operator=(BufferedBody&& other) noexcept;
  BufferedBody(const BufferedBody&) = delete;
  BufferedBody& operator=(const BufferedBody&) = delete;

  /// @return false when the memory's bound is reached; nothing is added then.
  [[nodiscard]] bool Append(std::string_view data);
  /// @return the body, which is no longer counted.
  std::string Release();
  std::size_t size() const { return m_text.size(); }

 private:
  /// Takes room for a text of this size. @return false at the bound.
  bool Reserve(std::size_t room);

  ResponseMemoryBudget* m_memory;
  std::string m_text;
  std::size_t m_room = 0;
};

}  // namespace nutmeghollow

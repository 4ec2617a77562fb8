/// @file
/// Finds out whether a process listens at an endpoint.
#pragma once

#include <ev.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// What an attempt to connect showed.
enum class ConnectOutcome {
  kAccepted,  ///< Somebody listens.
  kRefused,   ///< The host answers, and nobody listens.
  kUnknown,   ///< No answer in time, or the network fails.
};

/// Opens connections and closes them at once, without sending a byte.
class ConnectChecker {
 public:
  explicit ConnectChecker(struct ev_loop* loop);
  /// Callbacks that are due are not made any more.
  ~ConnectChecker();
  ConnectChecker(const ConnectChecker&) = delete;
  ConnectChecker& operator=(const ConnectChecker&) = delete;

  /// Checks an endpoint. The callback may be made before this returns.
  /// @param timeout after which the outcome is kUnknown.
  void Check(const Endpoint& endpoint,
             Duration timeout,
             std::function<void(ConnectOutcome)> callback);

 private:
  struct Attempt;

  void End(std::uint64_t id, ConnectOutcome outcome);

  struct ev_loop* m_loop;
  std::uint64_t m_last_id = 0;
  std::map<std::uint64_t, std::unique_ptr<Attempt>> m_attempts;
};

}  // namespace nutmeghollow::net

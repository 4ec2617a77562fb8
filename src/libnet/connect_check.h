/// @file
/// Checks whether a process listens on an endpoint.
#pragma once

#include <ev.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// Result of an attempt to connect.
enum class ConnectOutcome {
  kAccepted,  ///< A process listens.
  kRefused,   ///< The host is up, but no process listens.
  kUnknown,   ///< Timeout, network failure or invalid endpoint.
};

/// Opens connections and closes them at once, without sending a byte.
class ConnectChecker {
 public:
  explicit ConnectChecker(struct ev_loop* loop);
  /// Aborts the attempts in progress without calling their callbacks.
  ~ConnectChecker();
  ConnectChecker(const ConnectChecker&) = delete;
  ConnectChecker& operator=(const ConnectChecker&) = delete;

  /// Checks an endpoint.
  /// @param timeout after which the outcome is kUnknown.
  /// @param callback called once with the outcome, possibly before this
  /// returns.
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

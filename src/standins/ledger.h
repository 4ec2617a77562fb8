/// @file
/// Ledger of a stand-in service: which idempotency keys ran, in a file that
/// all servers of the service share and that outlives each of them.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "standins/program.h"

namespace nutmeghollow::standins {

/// State of an idempotency key.
enum class KeyState { kNever, kRunning, kDone };

/// What the ledger tells about a key.
struct LedgerEntry {
  KeyState m_state = KeyState::kNever;
  int m_status = 0;
  std::string m_body;
};

/// Reads and appends the shared file.
class Ledger {
 public:
  /// @param server name of this server, unique within the service.
  Ledger(const std::string& path, const std::string& server);

  /// Notes that a call began.
  void Begin(const std::string& key, const std::string& request_id);
  /// Notes that a call took effect: the one line that counts as a run.
  void Run(const std::string& key,
           const std::string& request_id,
           int status,
           const std::string& body);
  /// @return the state of a key. Calls that a server began and lost by a
  /// restart did not run.
  LedgerEntry Find(const std::string& key) const;

 private:
  std::string m_path;
  std::string m_server;
  RecordFile m_file;
};

}  // namespace nutmeghollow::standins

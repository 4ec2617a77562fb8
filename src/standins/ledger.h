/// @file
/// Persistent log of the idempotency keys that a stand-in service ran. All
/// servers of the service share its file, which survives their restarts.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "standins/program.h"

namespace nutmeghollow::standins {

/// State of an idempotency key.
enum class KeyState { kNotRun, kRunning, kDone };

/// Recorded state of an idempotency key, with the response once it ran.
struct LedgerEntry {
  KeyState m_state = KeyState::kNotRun;
  int m_status = 0;
  std::string m_body;
};

/// Appends to the shared file and reads it.
class Ledger {
 public:
  /// @param path the shared file.
  /// @param server name of this server, unique within the service.
  Ledger(const std::string& path, const std::string& server);

  /// Records the start of a call.
  void Begin(const std::string& key, const std::string& request_id);
  /// Records that a call took effect. Only this record counts as a run.
  void Run(const std::string& key,
           const std::string& request_id,
           int status,
           const std::string& body);
  /// @return the state of a key. Calls that were in progress on a server when
  /// it restarted count as not run.
  LedgerEntry Find(const std::string& key) const;

 private:
  std::string m_path;
  std::string m_server;
  RecordFile m_file;
};

}  // namespace nutmeghollow::standins

#include "standins/ledger.h"

#include <fstream>
#include <set>

namespace nutmeghollow::standins {

Ledger::Ledger(const std::string& path, const std::string& server)
    : m_path(path), m_server(server), m_file(path) {
  m_file.Append(nlohmann::json{{"boot", server}}.dump());
}

void Ledger::Begin(const std::string& key, const std::string& request_id) {
  m_file.Append(nlohmann::json{
      {"begin", key}, {"server", m_server}, {"request", request_id}}
                    .dump());
}

void Ledger::Run(const std::string& key,
                 const std::string& request_id,
                 int status,
                 const std::string& body) {
  m_file.Append(nlohmann::json{
      {"run", key},
      {"server", m_server},
      {"request", request_id},
      {"status", status},
      {"body",
       body}}.dump());
}

LedgerEntry Ledger::Find(const std::string& key) const {
  LedgerEntry entry;
  std::set<std::string> running_servers;
  std::ifstream file(m_path);
  std::string line;
  while (std::getline(file, line)) {
    const auto record = ParseObject(line);
    if (record.is_discarded()) {
      continue;
    }
    if (record.contains("boot")) {
      running_servers.erase(record["boot"].get<std::string>());
    } else if (record.value("begin", "") == key) {
      running_servers.insert(record.value("server", ""));
    } else if (record.value("run", "") == key) {
      entry.m_state = KeyState::kDone;
      entry.m_status = record.value("status", 0);
      entry.m_body = record.value("body", "");
      return entry;
    }
  }
  if (!running_servers.empty()) {
    entry.m_state = KeyState::kRunning;
  }
  return entry;
}

}  // namespace nutmeghollow::standins

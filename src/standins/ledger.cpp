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
  std::set<std::string> running_at;
  std::ifstream file(m_path);
  std::string text;
  while (std::getline(file, text)) {
    const auto line = ParseObject(text);
    if (line.is_discarded()) {
      continue;
    }
    if (line.contains("boot")) {
      running_at.erase(line["boot"].get<std::string>());
    } else if (line.value("begin", "") == key) {
      running_at.insert(line.value("server", ""));
    } else if (line.value("run", "") == key) {
      entry.m_state = KeyState::kDone;
      entry.m_status = line.value("status", 0);
      entry.m_body = line.value("body", "");
      return entry;
    }
  }
  if (!running_at.empty()) {
    entry.m_state = KeyState::kRunning;
  }
  return entry;
}

}  // namespace nutmeghollow::standins

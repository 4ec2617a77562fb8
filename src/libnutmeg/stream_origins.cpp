#include "nutmeghollow/stream_origins.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

using nlohmann::json;

constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kRecordBytes = 2 * kNumberBytes;

/// Little-endian, so that a row reads the same on every machine.
void AppendNumber(std::string* text, std::uint64_t number) {
  for (std::size_t byte = 0; byte < kNumberBytes; ++byte) {
    text->push_back(static_cast<char>(number >> (8 * byte)));
  }
}

std::uint64_t ReadNumber(std::string_view text) {
  std::uint64_t number = 0;
  for (std::size_t byte = 0; byte < kNumberBytes; ++byte) {
    number |= std::uint64_t{static_cast<unsigned char>(text[byte])}
              << (8 * byte);
  }
  return number;
}

}  // namespace

std::string EncodeRecords(const std::vector<StreamRecord>& records) {
  std::string value;
  for (const StreamRecord& record : records) {
    AppendNumber(&value, record.m_stream.value());
    AppendNumber(&value, record.m_origin.value());
  }
  return value;
}

std::string EncodeOrigins(
    const std::map<ServiceId, std::set<OriginHash>>& origins) {
  json object = json::object();
  for (const auto& [service, hashes] : origins) {
    for (const OriginHash hash : hashes) {
      object[service.str()].push_back(hash.value());
    }
  }
  return object.dump();
}

std::optional<std::map<ServiceId, std::set<OriginHash>>> DecodeOrigins(
    const std::string& value) {
  const json object = json::parse(value, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  std::map<ServiceId, std::set<OriginHash>> origins;
  for (const auto& [service, hashes] : object.items()) {
    for (const json& hash : hashes) {
      if (!hash.is_number_unsigned()) {
        return std::nullopt;
      }
      origins[ServiceId(service)].insert(OriginHash(hash.get<std::uint64_t>()));
    }
  }
  return origins;
}

StreamHash StreamHashOf(const PublicRequestId& attempt) {
  return StreamHash(HashText(attempt.str()));
}

void StreamOrigins::Begin(StreamHash stream, OriginHash origin) {
  m_own[stream] = {origin, TimePoint()};
}

void StreamOrigins::End(StreamHash stream, bool complete, TimePoint now) {
  const auto found = m_own.find(stream);
  if (found == m_own.end()) {
    return;
  }
  if (complete) {
    m_own.erase(found);
  } else {
    found->second.m_ended_at = now;
  }
}

void StreamOrigins::NoteServing(
    const std::map<ServiceId, std::set<OriginHash>>& serving,
    TimePoint now) {
  for (const auto& [service, origins] : serving) {
    for (const OriginHash origin : origins) {
      m_last_seen[service][origin] = now;
    }
  }
  for (auto& [service, origins] : m_last_seen) {
    // An expired origin is kept for a while, so that reading a row which still
    // has it does not make it possible again.
    std::erase_if(origins, [&](const auto& entry) {
      return now - entry.second >= 2 * m_parameters.m_origin_expiry;
    });
  }
}

void StreamOrigins::NoteHistory(
    const std::map<ServiceId, std::set<OriginHash>>& history,
    bool is_first,
    TimePoint now) {
  if (is_first) {
    m_first_history = history;
    m_first_history_at = now;
  }
  for (const auto& [service, origins] : history) {
    for (const OriginHash origin : origins) {
      m_last_seen[service].try_emplace(origin, now);
    }
  }
}

std::map<ServiceId, std::set<OriginHash>> StreamOrigins::Possible(
    TimePoint now) const {
  std::map<ServiceId, std::set<OriginHash>> possible;
  for (const auto& [service, origins] : m_last_seen) {
    for (const auto& [origin, seen_at] : origins) {
      if (now - seen_at < m_parameters.m_origin_expiry) {
        possible[service].insert(origin);
      }
    }
  }
  return possible;
}

bool StreamOrigins::NeedsRecords(TimePoint now) const {
  const auto possible = Possible(now);
  return std::any_of(possible.begin(), possible.end(),
                     [](const auto& entry) { return entry.second.size() > 1; });
}

std::vector<StreamRecord> StreamOrigins::InProgress() const {
  std::vector<StreamRecord> records;
  for (const auto& [stream, entry] : m_own) {
    if (entry.m_ended_at == TimePoint()) {
      records.push_back({stream, entry.m_origin});
    }
  }
  return records;
}

void StreamOrigins::RemoveExpired(TimePoint now) {
  std::erase_if(m_own, [&](const auto& entry) {
    const TimePoint ended_at = entry.second.m_ended_at;
    return ended_at != TimePoint() &&
           now - ended_at >= m_parameters.m_retention;
  });
}

std::size_t StreamOrigins::ReplaceOthers(const std::vector<std::string>& rows) {
  std::size_t malformed = 0;
  m_others.clear();
  for (const std::string& row : rows) {
    if (row.size() % kRecordBytes != 0) {
      ++malformed;
      continue;
    }
    std::string_view records = row;
    for (; !records.empty(); records.remove_prefix(kRecordBytes)) {
      const OriginHash origin(ReadNumber(records.substr(kNumberBytes)));
      const auto [known, is_first] =
          m_others.try_emplace(StreamHash(ReadNumber(records)), origin);
      if (!is_first && known->second != kUnknownOrigin) {
        known->second = origin;
      }
    }
  }
  return malformed;
}

std::optional<OriginHash> StreamOrigins::Find(StreamHash stream) const {
  const auto other = m_others.find(stream);
  const auto own = m_own.find(stream);
  if (own != m_own.end() &&
      (other == m_others.end() || other->second != kUnknownOrigin)) {
    return own->second.m_origin;
  }
  return other == m_others.end() ? std::nullopt : std::optional(other->second);
}

std::optional<OriginHash> StreamOrigins::OnlyPossible(const ServiceId& service,
                                                      TimePoint now) const {
  if (!m_first_history) {
    return std::nullopt;
  }
  const auto possible = Possible(now);
  const auto now_possible = possible.find(service);
  if (now_possible != possible.end() && now_possible->second.size() == 1) {
    return *now_possible->second.begin();
  }
  // Streams of a single origin are not recorded. Another origin that came since
  // is recorded by the instances that began streams with it.
  const auto before = m_first_history->find(service);
  const bool was_single =
      before != m_first_history->end() && before->second.size() == 1 &&
      now - m_first_history_at < m_parameters.m_restart_window;
  return was_single ? std::optional(*before->second.begin()) : std::nullopt;
}

}  // namespace nutmeghollow

#include "nutmegd/instance_rows.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <utility>

#include "libnet/log.h"
#include "libnet/socket_address.h"
#include "nutmeghollow/feed_readers.h"
#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

using net::Log;
using net::LogLevel;
using nlohmann::json;

/// Timeout of a write: several times the duration of a slow one.
constexpr Duration kWriteTimeout = std::chrono::milliseconds(1500);
/// Delay before a failed write is retried.
constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(700);
/// How often the rows of lost instances are removed.
constexpr Duration kCleanupPeriod = std::chrono::seconds(3);

std::string MakeRow(const InstanceSettings& self) {
  return json{{"caller", self.m_advertised_caller_address.str()},
              {"peer", self.m_advertised_peer_address.str()},
              {"data_centre", self.m_data_centre.str()},
              {"region", self.m_region.str()},
              {"link_mbps", self.m_link_mbps}}
      .dump();
}

}  // namespace

InstanceRows::InstanceRows(struct ev_loop* loop,
                           const Settings* settings,
                           net::RowFeed feed,
                           EntryDirectory* directory,
                           FleetLink* fleet,
                           std::function<void(int)> on_count)
    : m_settings(settings),
      m_feed(std::move(feed)),
      m_directory(directory),
      m_fleet(fleet),
      m_on_count(std::move(on_count)),
      m_write_timer(loop, [this] { SyncOwnRow(); }),
      m_cleanup_timer(loop, [this] { RemoveLostRows(); }) {
  m_cleanup_timer.StartRepeating(kCleanupPeriod);
}

void InstanceRows::HandleRow(const net::FeedRow& row) {
  if (row.m_key == kFleetKeyRow) {
    if (!row.m_removed) {
      m_fleet->PutKey(row.m_value);
    } else if (row.m_may_return) {
      m_fleet->RestoreKey();
    }
    return;
  }
  const InstanceId id(row.m_key);
  const EntryInstance* instance = m_directory->Find(id);
  const bool is_self = id == m_settings->m_instance.m_id;
  if (row.m_removed && row.m_may_return && !is_self && instance != nullptr &&
      instance->m_alive) {
    return;  // It writes its row again.
  }
  if (row.m_removed) {
    HandleRemoved(id);
  } else {
    HandleWritten(id, row.m_value);
  }
  m_on_count(std::max(1, static_cast<int>(m_directory->size())));
}

void InstanceRows::HandleWritten(const InstanceId& id,
                                 const std::string& value) {
  const json row = json::parse(value, nullptr, false);
  const auto text = [&row](const char* name) {
    const auto field = row.is_object() ? row.find(name) : row.end();
    return field != row.end() && field->is_string() ? field->get<std::string>()
                                                    : std::string();
  };
  const Endpoint caller(text("caller"));
  const Endpoint peer(text("peer"));
  if (!net::ParseEndpoint(caller) || !net::ParseEndpoint(peer)) {
    Log(LogLevel::kWarning, "instance_row_not_used",
        {{"key", id.str()}, {"caller", caller.str()}, {"peer", peer.str()}});
    return;
  }
  const auto link = row.find("link_mbps");
  m_directory->PutRow(
      {id, caller, DataCentreId(text("data_centre")), RegionId(text("region")),
       true, true,
       link != row.end() && link->is_number() ? link->get<double>() : 0.0});
  m_fleet->PutPeer(id, peer);
}

void InstanceRows::HandleRemoved(const InstanceId& id) {
  m_directory->Remove(id);
  m_fleet->NoteLeaving(id);
  if (id == m_settings->m_instance.m_id && !m_leaving) {
    WriteOwnRow();  // Another instance considered this one lost.
  }
}

std::vector<Endpoint> InstanceRows::Readers() {
  m_fleet->UpdateOwnEntry();
  const std::vector<InstanceId> sources =
      ChooseSources(*m_directory, m_settings->m_instance.m_id);
  LogSources(sources);
  std::vector<Endpoint> addresses;
  for (const InstanceId& id : sources) {
    const Endpoint address = m_fleet->AddressOf(id);
    if (!address.empty()) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

std::vector<Endpoint> InstanceRows::SourcesOfNewerRows(
    const std::function<bool(const EntryInstance&)>& has_newer_rows) const {
  const InstanceSettings& self = m_settings->m_instance;
  std::vector<std::tuple<bool, std::uint64_t, Endpoint>> order;
  for (const auto& [id, instance] : m_directory->Instances()) {
    const Endpoint address = m_fleet->AddressOf(id);
    if (instance.m_alive && has_newer_rows(instance) && !address.empty()) {
      order.emplace_back(instance.m_data_centre != self.m_data_centre,
                         HashText(self.m_id.str() + "/" + id.str()), address);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<Endpoint> addresses;
  addresses.reserve(order.size());
  for (const auto& [remote, hash, address] : order) {
    addresses.push_back(address);
  }
  return addresses;
}

void InstanceRows::LogSources(const std::vector<InstanceId>& sources) {
  const InstanceId preferred = sources.empty() ? InstanceId() : sources.front();
  if (preferred == m_preferred_source) {
    return;
  }
  Log(LogLevel::kInfo, "reader_chosen",
      {{"reader", preferred.empty() ? std::string("none, reads itself")
                                    : preferred.str()},
       {"sources", static_cast<std::int64_t>(sources.size())}});
  m_preferred_source = preferred;
}

void InstanceRows::WriteOwnRow() {
  m_leaving = false;
  SyncOwnRow();
}

void InstanceRows::RemoveOwnRow() {
  m_leaving = true;
  SyncOwnRow();
}

void InstanceRows::SyncOwnRow() {
  net::FeedWrite write;
  write.m_table = kInstanceTable;
  write.m_key = m_settings->m_instance.m_id.str();
  if (!m_leaving) {
    write.m_value = MakeRow(m_settings->m_instance);
  }
  m_feed.m_write(write, kWriteTimeout, [this](const net::FeedResult& result) {
    if (result.m_status != net::FeedStatus::kDone) {
      Log(LogLevel::kWarning, "instance_row_not_written",
          {{"reason", result.m_detail}});
      m_write_timer.Start(kWriteRetryDelay);
    }
  });
}

void InstanceRows::RemoveLostRows() {
  for (const InstanceId& id : m_fleet->LostPeers()) {
    Log(LogLevel::kInfo, "instance_row_removed", {{"instance", id.str()}});
    net::FeedWrite write;
    write.m_table = kInstanceTable;
    write.m_key = id.str();
    m_feed.m_write(write, kWriteTimeout, [](const net::FeedResult& result) {
      if (result.m_status != net::FeedStatus::kDone) {
        Log(LogLevel::kWarning, "instance_row_not_removed",
            {{"reason", result.m_detail}});
      }
    });
  }
}

}  // namespace nutmeghollow

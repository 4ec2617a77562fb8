// Applies configuration transfers and derives table rows from their objects.
#include <iterator>
#include <string_view>

#include "nutmeghollow/configuration_schema.h"
#include "nutmeghollow/configuration_system.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

void DeriveCustomer(World& world, const std::string& id, const ObjectRow* row) {
  const CustomerId customer(id);
  auto& by_token = world.m_configuration.m_customers_by_token;
  auto found = world.m_customers.find(customer);
  if (found != world.m_customers.end()) {
    // A token may already belong to a customer that was applied before.
    for (const std::string& digest : found->second.m_token_digests) {
      const auto owner = by_token.find(digest);
      if (owner != by_token.end() && owner->second == customer) {
        by_token.erase(owner);
      }
    }
  }
  if (row == nullptr) {
    world.m_customers.erase(customer);
    return;
  }
  Findings ignored;
  CustomerRow parsed = ParseCustomer(id, row->m_json, ignored);
  for (const std::string& digest : parsed.m_token_digests) {
    by_token[digest] = customer;
  }
  CustomerRow& target = world.m_customers[customer];
  parsed.m_running = target.m_running;
  parsed.m_queued = target.m_queued;
  parsed.m_rate = target.m_rate;
  parsed.m_rate_at = target.m_rate_at;
  target = std::move(parsed);
}

/// Copies the configured fields to an upstream row; its runtime state stays.
void UpdateUpstream(UpstreamRow& target, const UpstreamRow& parsed) {
  target.m_kind = parsed.m_kind;
  target.m_data_centre = parsed.m_data_centre;
  target.m_region = parsed.m_region;
  target.m_weight = parsed.m_weight;
  target.m_capacity = parsed.m_capacity;
  target.m_enforces_fencing = parsed.m_enforces_fencing;
  target.m_wanted_state = parsed.m_wanted_state;
}

void DeriveUpstream(World& world,
                    const std::string& id,
                    const ObjectRow* row,
                    TimePoint now) {
  const UpstreamId upstream(id);
  if (row == nullptr) {
    world.m_upstreams.m_rows.erase(upstream);
    return;
  }
  Findings ignored;
  UpstreamRow parsed = ParseUpstream(id, row->m_json, ignored);
  UpstreamRow* target = world.m_upstreams.Find(upstream);
  if (target != nullptr && target->m_endpoint == parsed.m_endpoint) {
    UpdateUpstream(*target, parsed);
    return;
  }
  // A new address means a new process, so the status and load report of the
  // old one are discarded. Requests in flight still count on this instance.
  parsed.m_status_since = now;
  if (world.m_configuration.Ready()) {
    parsed.m_slow_start_since = now;
  }
  if (target != nullptr) {
    parsed.m_local_running = target->m_local_running;
    parsed.m_owner = target->m_owner;
  }
  world.m_upstreams.m_rows[upstream] = std::move(parsed);
}

/// Replaces or erases a row without runtime state.
template <typename Table, typename Parser>
void DerivePlainRow(Table& table,
                    const std::string& id,
                    const ObjectRow* row,
                    Parser parse) {
  const typename Table::key_type key(id);
  if (row == nullptr) {
    table.erase(key);
    return;
  }
  Findings ignored;
  table[key] = parse(id, row->m_json, ignored);
}

void DeriveRow(World& world,
               const ObjectKey& key,
               const ObjectRow* row,
               TimePoint now) {
  switch (key.m_kind) {
    case ObjectKind::kCustomer:
      DeriveCustomer(world, key.m_id, row);
      break;
    case ObjectKind::kUpstream:
      DeriveUpstream(world, key.m_id, row, now);
      break;
    case ObjectKind::kRoute:
      DerivePlainRow(world.m_routes, key.m_id, row, ParseRoute);
      break;
    case ObjectKind::kService:
      DerivePlainRow(world.m_services, key.m_id, row, ParseService);
      break;
    case ObjectKind::kPriority:
      DerivePlainRow(world.m_priorities, key.m_id, row, ParsePriority);
      break;
    case ObjectKind::kPlannedChange:
    case ObjectKind::kCount:
      break;
  }
}

void RecordChange(World& world, const ConfigurationChange& change) {
  auto& recent = world.m_configuration.m_recent_changes;
  recent.push_back(change);
  if (recent.size() >
      world.m_configuration_state.m_parameters.m_recent_change_limit) {
    recent.pop_front();
  }
}

void ApplyChange(World& world,
                 const ConfigurationChange& change,
                 TimePoint now) {
  auto& objects = world.m_configuration.m_objects;
  if (!change.m_json) {
    objects.erase(change.m_key);
    DeriveRow(world, change.m_key, nullptr, now);
    return;
  }
  ObjectRow& row = objects[change.m_key];
  row = {change.m_revision, *change.m_json};
  DeriveRow(world, change.m_key, &row, now);
}

/// Removes the objects that are absent from a full configuration.
void RemoveAbsent(World& world,
                  const std::map<ObjectKey, const ConfigurationChange*>& whole,
                  TimePoint now) {
  auto& objects = world.m_configuration.m_objects;
  for (auto row = objects.begin(); row != objects.end();) {
    const auto next = std::next(row);
    if (!whole.contains(row->first)) {
      DeriveRow(world, row->first, nullptr, now);
      objects.erase(row);
    }
    row = next;
  }
}

void ApplyFullTransfer(World& world,
                       const ConfigurationTransfer& transfer,
                       TimePoint now) {
  std::map<ObjectKey, const ConfigurationChange*> whole;
  for (const ConfigurationChange& change : transfer.m_changes) {
    if (change.m_json) {
      whole[change.m_key] = &change;
    }
  }
  RemoveAbsent(world, whole, now);
  for (const auto& [key, change] : whole) {
    const ObjectRow* current = world.m_configuration.Find(key);
    if (current == nullptr || current->m_revision != change->m_revision) {
      ApplyChange(world, *change, now);
    }
  }
  // A full configuration doesn't list the changes between the two revisions,
  // so the recent changes would have a gap.
  world.m_configuration.m_recent_changes.clear();
  world.m_configuration.m_revision = transfer.m_revision;
}

/// Applies the changes that follow the local revision, up to the first gap.
void ApplyIncrementalTransfer(World& world,
                              const ConfigurationTransfer& transfer,
                              TimePoint now) {
  Revision& revision = world.m_configuration.m_revision;
  for (const ConfigurationChange& change : transfer.m_changes) {
    if (change.m_revision <= revision) {
      continue;
    }
    if (change.m_revision != revision.Next()) {
      return;
    }
    ApplyChange(world, change, now);
    RecordChange(world, change);
    revision = change.m_revision;
  }
}

}  // namespace

bool ApplyTransfer(World& world,
                   const ConfigurationTransfer& transfer,
                   TimePoint now) {
  ConfigurationTable& table = world.m_configuration;
  const Revision before = table.m_revision;
  if (transfer.m_revision <= before) {
    return false;
  }
  if (transfer.m_whole) {
    ApplyFullTransfer(world, transfer, now);
  } else {
    ApplyIncrementalTransfer(world, transfer, now);
  }
  NUTMEG_CHECK(table.m_revision >= before,
               "the configuration revision never decreases");
  if (table.m_revision == before) {
    return false;
  }
  ++table.m_generation;
  table.m_highest_seen = std::max(table.m_highest_seen, table.m_revision);
  auto self = world.m_instances.m_rows.find(world.m_instances.m_self);
  if (self != world.m_instances.m_rows.end()) {
    self->second.m_revision = table.m_revision;
  }
  world.m_tick_again = true;
  return true;
}

ConfigurationTransfer MakeTransfer(const World& world, Revision since) {
  const ConfigurationTable& table = world.m_configuration;
  ConfigurationTransfer transfer{.m_revision = table.m_revision,
                                 .m_since = since};
  if (since >= table.m_revision) {
    return transfer;
  }
  const auto& recent = table.m_recent_changes;
  transfer.m_whole = recent.empty() || recent.front().m_revision > since.Next();
  if (transfer.m_whole) {
    for (const auto& [key, row] : table.m_objects) {
      transfer.m_changes.push_back({row.m_revision, key, row.m_json});
    }
    return transfer;
  }
  for (const ConfigurationChange& change : recent) {
    if (change.m_revision > since) {
      transfer.m_changes.push_back(change);
    }
  }
  return transfer;
}

}  // namespace nutmeghollow

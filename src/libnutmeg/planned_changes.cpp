#include "nutmeghollow/planned_changes.h"

#include <algorithm>
#include <string>

#include "nutmeghollow/configuration_schema.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

/// Rereads the due times of all planned changes from the configuration.
void RefreshDueTimes(World& world) {
  PlannedChangeState& state = world.m_planned_changes;
  state.m_generation = world.m_configuration.m_generation;
  state.m_due.clear();
  const auto& objects = world.m_configuration.m_objects;
  for (auto row = objects.lower_bound({ObjectKind::kPlannedChange, ""});
       row != objects.end() && row->first.m_kind == ObjectKind::kPlannedChange;
       ++row) {
    Findings ignored;
    state.m_due[row->first.m_id] =
        ParsePlannedChange(row->first.m_id, row->second.m_json, ignored).m_at;
  }
  std::erase_if(state.m_last_attempts, [&](const auto& entry) {
    return !state.m_due.contains(entry.first);
  });
}

/// @return how long after its due time this instance submits a change, or
/// std::nullopt when it is not a candidate.
std::optional<Duration> TakeoverDelay(const World& world,
                                      const std::string& id) {
  const PlannedChangeParameters& parameters =
      world.m_planned_changes.m_parameters;
  const std::string job = "change/" + id;
  for (int rank = 0; rank < parameters.m_candidates; ++rank) {
    if (ChosenForJob(world, job, rank + 1)) {
      return parameters.m_takeover_delay * rank;
    }
  }
  return std::nullopt;
}

void Submit(World& world, const std::string& id, const ObjectRow& row) {
  Findings ignored;
  const PlannedChange planned = ParsePlannedChange(id, row.m_json, ignored);
  // The plan's revision is part of the command id, so that a later plan with
  // the same name gets a different id.
  world.m_operators.m_inbox.m_commands.push_back(
      {.m_ticket = world.m_operators.NewTicket(),
       .m_command = CommandId("change/" + id + "/" +
                              std::to_string(row.m_revision.value())),
       .m_operator = planned.m_operator,
       .m_action = CommandAction::kApplyPlanned,
       .m_key = {ObjectKind::kPlannedChange, id},
       .m_expected = row.m_revision});
}

void SubmitIfDue(World& world,
                 const std::string& id,
                 WallTime due,
                 TimePoint now) {
  const WallTime wall = world.m_hooks.m_wall_time();
  if (wall < due) {
    return;
  }
  const std::optional<Duration> delay = TakeoverDelay(world, id);
  const auto overdue = std::chrono::milliseconds(wall.value() - due.value());
  if (!delay || overdue < *delay) {
    return;
  }
  auto& attempts = world.m_planned_changes.m_last_attempts;
  auto last = attempts.find(id);
  if (last != attempts.end() &&
      now - last->second < world.m_operators.m_parameters.m_command_timeout) {
    return;
  }
  const ObjectRow* row =
      world.m_configuration.Find({ObjectKind::kPlannedChange, id});
  if (row != nullptr) {
    attempts[id] = now;
    Submit(world, id, *row);
  }
}

}  // namespace

void RunPlannedChanges(World& world, TimePoint now) {
  PlannedChangeState& state = world.m_planned_changes;
  if (now < state.m_next_check) {
    return;
  }
  state.m_next_check = now + state.m_parameters.m_check_period;
  if (state.m_generation != world.m_configuration.m_generation) {
    RefreshDueTimes(world);
  }
  for (const auto& [id, due] : state.m_due) {
    SubmitIfDue(world, id, due, now);
  }
}

}  // namespace nutmeghollow

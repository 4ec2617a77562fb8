#include "nutmeghollow/requests.h"

#include "nutmeghollow/check.h"

#include <utility>

namespace nutmeghollow {
namespace {

bool IsAwaitingPlacement(RequestPhase phase) {
  return phase == RequestPhase::kQueued || phase == RequestPhase::kAdmitted ||
         phase == RequestPhase::kReserving;
}

}  // namespace

RequestRow& RequestTable::Add(const NewRequest& request, TimePoint now) {
  auto [position, inserted] = m_rows.try_emplace(request.m_id);
  NUTMEG_CHECK(inserted, "request ids are unique");
  RequestRow& row = position->second;
  row.m_request = request;
  row.m_arrived_at = now;
  row.m_phase_since = now;
  row.m_deadline = now + request.m_timeout;
  m_by_phase[static_cast<int>(RequestPhase::kArrived)].insert(request.m_id);
  return row;
}

RequestRow* RequestTable::Find(RequestId id) {
  auto found = m_rows.find(id);
  return found == m_rows.end() ? nullptr : &found->second;
}

const RequestRow* RequestTable::Find(RequestId id) const {
  auto found = m_rows.find(id);
  return found == m_rows.end() ? nullptr : &found->second;
}

void RequestTable::SetPhase(RequestRow& row,
                            RequestPhase phase,
                            TimePoint now) {
  NUTMEG_CHECK(row.m_phase != RequestPhase::kDone,
               "a finished request does not change");
  const RequestId id = row.m_request.m_id;
  if (IsAwaitingPlacement(row.m_phase) && !IsAwaitingPlacement(phase)) {
    m_queue_changes.push_back({id, false});
  }
  if (phase == RequestPhase::kQueued) {
    m_queue_changes.push_back({id, true});
  }
  m_by_phase[static_cast<int>(row.m_phase)].erase(id);
  m_by_phase[static_cast<int>(phase)].insert(id);
  row.m_phase = phase;
  row.m_phase_since = now;
}

void RequestTable::Remove(RequestId id) {
  auto found = m_rows.find(id);
  NUTMEG_CHECK(found != m_rows.end(), "only a known request is removed");
  if (found == m_rows.end()) {
    return;
  }
  NUTMEG_CHECK(found->second.m_phase == RequestPhase::kDone,
               "only a finished request is removed");
  m_by_phase[static_cast<int>(found->second.m_phase)].erase(id);
  m_rows.erase(found);
}

std::vector<QueueChange> RequestTable::TakeQueueChanges() {
  return std::exchange(m_queue_changes, {});
}

const std::set<RequestId>& RequestTable::InPhase(RequestPhase phase) const {
  return m_by_phase[static_cast<int>(phase)];
}

}  // namespace nutmeghollow

#include "nutmeghollow/copy_use.h"

#include <algorithm>

namespace nutmeghollow {
namespace {

bool IsOver(const std::optional<Duration>& age,
            const std::optional<Duration>& limit) {
  return age && limit && *age > *limit;
}

}  // namespace

bool MayLackChanges(const CopyTimes& ages, const CopyTimes& limits) {
  return IsOver(ages.m_configuration, limits.m_configuration) ||
         IsOver(ages.m_registrations, limits.m_registrations);
}

CopyUse UseOfCopies(const EntryDirectory& directory,
                    const InstanceId& self,
                    const CopyTimes& ages,
                    const CopyTimes& limits) {
  if (!MayLackChanges(ages, limits)) {
    return CopyUse::kAll;
  }
  bool any_known = false;
  bool any_alive = false;
  for (const auto& [id, instance] : directory.Instances()) {
    if (id == self) {
      continue;
    }
    any_known = true;
    if (!instance.m_alive) {
      continue;
    }
    any_alive = true;
    // In an outage of the store, proofs are still young at its beginning.
    if (!instance.m_store_fails && instance.m_proof_age &&
        !IsOver(instance.m_proof_age, limits.m_configuration)) {
      return CopyUse::kNone;
    }
  }
  return any_known && !any_alive ? CopyUse::kAnonymous : CopyUse::kAll;
}

const char* NameOf(CopyUse use) {
  switch (use) {
    case CopyUse::kAll:
      return "all";
    case CopyUse::kAnonymous:
      return "anonymous";
    case CopyUse::kNone:
      return "none";
  }
  return "none";
}

}  // namespace nutmeghollow

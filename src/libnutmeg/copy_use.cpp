#include "nutmeghollow/copy_use.h"

#include <algorithm>

namespace nutmeghollow {
namespace {

bool IsOver(const std::optional<Duration>& age,
            const std::optional<Duration>& limit) {
  return age && limit && *age > *limit;
}

/// @return true when this instance's copy of a table is over the limit, but
/// another instance's is not.
bool IsBehind(const std::optional<Duration>& age,
              const std::optional<Duration>& age_elsewhere,
              const std::optional<Duration>& limit) {
  return IsOver(age, limit) && age_elsewhere && !IsOver(age_elsewhere, limit);
}

/// Where the age of the change is unknown, half of the limit is left for the
/// time until it became known here.
bool IsMissingTooLong(const std::optional<MissingChange>& missing,
                      const std::optional<Duration>& limit) {
  return missing && limit &&
         (missing->m_known_for > *limit / 2 ||
          IsOver(missing->m_max_age, limit));
}

}  // namespace

bool LacksChangeInForce(const EntryDirectory& directory,
                        const InstanceId& self,
                        const CopyVersions& versions,
                        const CopyTimes& limits) {
  const bool configuration_is_late =
      IsMissingTooLong(versions.m_missing_revision, limits.m_configuration);
  const bool registrations_are_late = IsMissingTooLong(
      versions.m_missing_registrations, limits.m_registrations);
  if (!configuration_is_late && !registrations_are_late) {
    return false;
  }
  int known = 0;
  int alive = 0;
  for (const auto& [id, other] : directory.Instances()) {
    if (id == self) {
      continue;
    }
    ++known;
    alive += other.m_alive ? 1 : 0;
    if (other.m_alive && !other.m_store_fails &&
        ((configuration_is_late && other.m_revision > versions.m_revision) ||
         (registrations_are_late &&
          other.m_registrations_version > versions.m_registrations))) {
      return true;
    }
  }
  return 2 * alive < known;
}

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
    if (!instance.m_store_fails &&
        (IsBehind(ages.m_configuration, instance.m_proof_age,
                  limits.m_configuration) ||
         IsBehind(ages.m_registrations, instance.m_registrations_age,
                  limits.m_registrations))) {
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

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

/// Counts the other instances.
struct Others {
  int m_known = 0;
  int m_alive = 0;

  void Add(const EntryInstance& other) {
    ++m_known;
    m_alive += other.m_alive ? 1 : 0;
  }
  /// @return true when this instance is likely cut off: it hears less than half
  /// of the others.
  bool AreMostlySilent() const { return 2 * m_alive < m_known; }
};

/// Time that a change may take to arrive through this instance's own feed after
/// another instance has it. After an outage, every change may be older than the
/// limit, and it would be missing for that long.
constexpr Duration kArrivalTime = std::chrono::milliseconds(300);

/// Half of the limit is left for the time until the change became known here;
/// less if it may be older than that.
bool IsMissingTooLong(const std::optional<MissingChange>& missing,
                      const std::optional<Duration>& limit) {
  if (!missing || !limit) {
    return false;
  }
  const bool may_be_over_limit =
      missing->m_known_for > kArrivalTime && IsOver(missing->m_max_age, limit);
  return may_be_over_limit || missing->m_known_for > *limit / 2;
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
  Others others;
  for (const auto& [id, other] : directory.Instances()) {
    if (id == self) {
      continue;
    }
    others.Add(other);
    if (other.m_alive && !other.m_store_fails &&
        ((configuration_is_late && other.m_revision > versions.m_revision) ||
         (registrations_are_late &&
          other.m_registrations_version > versions.m_registrations))) {
      return true;
    }
  }
  return others.AreMostlySilent();
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
  Others others;
  for (const auto& [id, instance] : directory.Instances()) {
    if (id == self) {
      continue;
    }
    others.Add(instance);
    // In an outage of the store, proofs are still young at its beginning.
    if (instance.m_alive && !instance.m_store_fails &&
        (IsBehind(ages.m_configuration, instance.m_proof_age,
                  limits.m_configuration) ||
         IsBehind(ages.m_registrations, instance.m_registrations_age,
                  limits.m_registrations))) {
      return CopyUse::kNone;
    }
  }
  const bool may_lack_keys =
      IsOver(ages.m_configuration, limits.m_configuration);
  return may_lack_keys && others.AreMostlySilent() ? CopyUse::kAnonymous
                                                   : CopyUse::kAll;
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

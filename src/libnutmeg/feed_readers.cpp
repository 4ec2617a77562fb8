#include "nutmeghollow/feed_readers.h"

#include <algorithm>
#include <set>
#include <utility>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

/// Whether the age of the proof decides about an election.
enum class ProofRule { kFresh, kAnyAge };

bool MayRead(const EntryInstance& instance, ProofRule rule) {
  return instance.m_alive && !instance.m_store_fails &&
         (rule == ProofRule::kAnyAge ||
          instance.m_proof_age.value_or(Duration::zero()) <=
              kMaxReaderProofAge);
}

std::vector<InstanceId> ChooseByRule(const EntryDirectory& directory,
                                     const DataCentreId& data_centre,
                                     ProofRule rule) {
  std::vector<std::pair<std::uint64_t, InstanceId>> order;
  for (const auto& [id, instance] : directory.Instances()) {
    if (instance.m_data_centre == data_centre && MayRead(instance, rule)) {
      order.emplace_back(HashText(id.str()), id);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<InstanceId> readers;
  for (const auto& [hash, id] : order) {
    if (readers.size() < kReadersPerDataCentre) {
      readers.push_back(id);
    }
  }
  return readers;
}

/// @return the primary readers of the other data centres. The order depends on
/// `self`, so that the instances of a data centre without readers spread over
/// those of the others.
std::vector<InstanceId> RemoteReaders(const EntryDirectory& directory,
                                      const EntryInstance& self,
                                      ProofRule rule) {
  std::set<DataCentreId> others;
  for (const auto& [id, instance] : directory.Instances()) {
    if (instance.m_data_centre != self.m_data_centre) {
      others.insert(instance.m_data_centre);
    }
  }
  std::vector<std::pair<std::uint64_t, InstanceId>> order;
  for (const DataCentreId& other : others) {
    const auto readers = ChooseByRule(directory, other, rule);
    if (!readers.empty()) {
      order.emplace_back(HashText(self.m_id.str() + "/" + other.str()),
                         readers.front());
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<InstanceId> remote;
  remote.reserve(order.size());
  for (const auto& [hash, id] : order) {
    remote.push_back(id);
  }
  return remote;
}

std::vector<InstanceId> SourcesByRule(const EntryDirectory& directory,
                                      const EntryInstance& self,
                                      ProofRule rule) {
  std::vector<InstanceId> local =
      ChooseByRule(directory, self.m_data_centre, rule);
  if (!local.empty() && local.front() == self.m_id) {
    return {};
  }
  std::vector<InstanceId> sources = RemoteReaders(directory, self, rule);
  if (!local.empty() && local.back() == self.m_id) {
    // The backup prefers another source than the primary's copy.
    local.pop_back();
    sources.insert(sources.end(), local.begin(), local.end());
  } else {
    sources.insert(sources.begin(), local.begin(), local.end());
  }
  return sources;
}

}  // namespace

std::vector<InstanceId> ChooseReaders(const EntryDirectory& directory,
                                      const DataCentreId& data_centre) {
  return ChooseByRule(directory, data_centre, ProofRule::kFresh);
}

std::vector<InstanceId> ChooseSources(const EntryDirectory& directory,
                                      const InstanceId& self) {
  const auto found = directory.Instances().find(self);
  if (found == directory.Instances().end()) {
    return {};
  }
  const EntryInstance& own = found->second;
  const bool any_fresh =
      std::any_of(directory.Instances().begin(), directory.Instances().end(),
                  [](const auto& entry) {
                    return MayRead(entry.second, ProofRule::kFresh);
                  });
  return SourcesByRule(directory, own,
                       any_fresh ? ProofRule::kFresh : ProofRule::kAnyAge);
}

}  // namespace nutmeghollow

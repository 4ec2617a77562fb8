#include "nutmeghollow/fleet_digest.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <limits>

#include "libnutmeg/digest.capnp.h"

namespace nutmeghollow {
namespace {

/// Words of a message that may be read, against payloads that unpack to more
/// than any digest holds.
constexpr std::uint64_t kReadLimitWords = 4096;

}  // namespace

std::string EncodeDigest(const FleetDigest& digest) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::Digest>();
  root.setReady(digest.m_ready);
  root.setRevision(digest.m_revision.value());
  const auto active_count = std::min(digest.m_active.size(), kMostActive);
  auto active = root.initActive(static_cast<unsigned>(active_count));
  for (unsigned index = 0; index < active_count; ++index) {
    const ActiveRequests& entry = digest.m_active[index];
    active[index].setUpstream(entry.m_upstream.value());
    active[index].setCount(static_cast<std::uint16_t>(std::clamp(
        entry.m_count, 0, int{std::numeric_limits<std::uint16_t>::max()})));
  }
  const auto placement_count =
      std::min(digest.m_placements.size(), kMostPlacements);
  auto placements = root.initPlacements(static_cast<unsigned>(placement_count));
  for (unsigned index = 0; index < placement_count; ++index) {
    const PartPlacement& entry = digest.m_placements[index];
    placements[index].setPart(entry.m_part.value());
    placements[index].setUpstream(entry.m_upstream.value());
  }
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<FleetDigest> DecodeDigest(std::string_view payload) {
  FleetDigest digest;
  try {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(payload.data()), payload.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kReadLimitWords;
    capnp::PackedMessageReader message(stream, options);
    const auto root = message.getRoot<wire::Digest>();
    digest.m_ready = root.getReady();
    digest.m_revision = Revision(root.getRevision());
    for (const auto& entry : root.getActive()) {
      digest.m_active.push_back(
          {UpstreamHash(entry.getUpstream()), entry.getCount()});
    }
    for (const auto& entry : root.getPlacements()) {
      digest.m_placements.push_back(
          {PartId(entry.getPart()), UpstreamHash(entry.getUpstream())});
    }
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
  return digest;
}

}  // namespace nutmeghollow

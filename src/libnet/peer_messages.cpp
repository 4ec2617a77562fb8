#include "libnet/peer_messages.h"

#include <kj/debug.h>

namespace nutmeghollow::net::detail {
namespace {

/// Maximum message size (16 MiB): a full configuration at the design size,
/// with room for growth.
constexpr std::uint64_t kMaxMessageWords = 2 * 1024 * 1024;

/// Prefixes each field with its length, so that two different handshakes never
/// have the same text.
std::string ProofText(const char* role, const PeerHandshake& handshake) {
  std::string text(role);
  for (const std::string* field :
       {&handshake.m_client.str(), &handshake.m_server.str(),
        &handshake.m_client_nonce, &handshake.m_server_nonce}) {
    text += std::to_string(field->size());
    text += ':';
    text += *field;
  }
  return text;
}

}  // namespace

capnp::ReaderOptions MessageLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  options.nestingLimit = 16;
  return options;
}

std::string ClientProofText(const PeerHandshake& handshake) {
  return ProofText("client", handshake);
}

std::string ServerProofText(const PeerHandshake& handshake) {
  return ProofText("server", handshake);
}

kj::ArrayPtr<const kj::byte> AsData(std::string_view bytes) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()),
                      bytes.size());
}

std::string FromData(kj::ArrayPtr<const kj::byte> data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

std::string FromText(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

void WriteTransfer(wire::Transfer::Builder out,
                   const ConfigurationTransfer& transfer) {
  out.setRevision(transfer.m_revision.value());
  out.setWhole(transfer.m_whole);
  out.setSince(transfer.m_since.value());
  auto changes = out.initChanges(transfer.m_changes.size());
  for (std::size_t i = 0; i < transfer.m_changes.size(); ++i) {
    const ConfigurationChange& change = transfer.m_changes[i];
    changes[i].setRevision(change.m_revision.value());
    changes[i].setKind(static_cast<std::uint8_t>(change.m_key.m_kind));
    changes[i].setId(change.m_key.m_id);
    changes[i].setDeleted(!change.m_json.has_value());
    if (change.m_json) {
      changes[i].setJson(*change.m_json);
    }
  }
}

ConfigurationTransfer ReadTransfer(wire::Transfer::Reader in) {
  ConfigurationTransfer transfer;
  transfer.m_revision = Revision(in.getRevision());
  transfer.m_whole = in.getWhole();
  transfer.m_since = Revision(in.getSince());
  for (auto change : in.getChanges()) {
    KJ_REQUIRE(change.getKind() < static_cast<int>(ObjectKind::kCount),
               "unknown object kind");
    ConfigurationChange& added = transfer.m_changes.emplace_back();
    added.m_revision = Revision(change.getRevision());
    added.m_key = {static_cast<ObjectKind>(change.getKind()),
                   FromText(change.getId())};
    if (!change.getDeleted()) {
      added.m_json = FromText(change.getJson());
    }
  }
  return transfer;
}

}  // namespace nutmeghollow::net::detail

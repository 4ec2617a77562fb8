/// @file
/// Authentication proofs and message conversions for both ends of peer RPC.
///
/// Internal to peer_client.cpp and peer_server.cpp.
#pragma once

#include <capnp/message.h>
#include <kj/common.h>

#include <string>
#include <string_view>

#include "libnet/fleet_key.h"
#include "libnet/peer.capnp.h"
#include "nutmeghollow/configuration.h"

namespace nutmeghollow::net::detail {

/// Bytes of a nonce.
constexpr std::size_t kNonceSize = 16;

/// The two ends of a connection and their nonces.
struct PeerHandshake {
  InstanceId m_client;
  InstanceId m_server;
  std::string m_client_nonce;
  std::string m_server_nonce;
};

/// @return the limits of one message, which are the same at both ends.
capnp::ReaderOptions MessageLimits();

/// @return the text that the client computes its MAC over.
std::string ClientProofText(const PeerHandshake& handshake);
/// @return the text that the server computes its MAC over.
std::string ServerProofText(const PeerHandshake& handshake);

/// @return a view of bytes as a message field, without a copy.
kj::ArrayPtr<const kj::byte> AsData(std::string_view bytes);
/// @return a copy of a message field.
std::string FromData(kj::ArrayPtr<const kj::byte> data);
std::string FromText(capnp::Text::Reader text);

void WriteTransfer(wire::Transfer::Builder out,
                   const ConfigurationTransfer& transfer);
/// @return the transfer.
/// @throws kj::Exception when it is malformed or has an unknown object kind.
ConfigurationTransfer ReadTransfer(wire::Transfer::Reader in);

}  // namespace nutmeghollow::net::detail

#pragma once

#include "connection_error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisystile {

/// Version of the peer protocol; both sides must use the same.
inline constexpr std::uint32_t peerProtocolVersion = 1;

/// Maximum size in bytes of each frame of the handshake.
inline constexpr std::uint32_t maximalHandshakeBytes = 1024;

/// Identity of the other end of a link, authenticated with the fleet's key.
struct peer_identity
{
    daemon_id id;
    incarnation incarnationNumber;

    auto operator<=>(const peer_identity &) const = default;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(id, incarnationNumber);
    }
};

/// First frame in each direction: protocol version and challenge.
struct peer_challenge
{
    std::uint32_t protocol = peerProtocolVersion;
    std::string nonce;
};

/// Second frame in each direction: the sender's identity and the response to the received challenge.
struct peer_proof
{
    peer_identity identity;
    std::string code;
};

peer_challenge makeChallenge();
peer_proof makeProof(const std::string &key, const peer_identity &self, const peer_challenge &received);

std::string encodeChallenge(const peer_challenge &challenge);
std::string encodeProof(const peer_proof &proof);
/// Errors: connection_error{frame_malformed, protocol_version_differs}.
leaf::result<peer_challenge> decodeChallenge(std::string_view bytes);
/// Checks the proof against the challenge that was sent. Errors: connection_error{frame_malformed, key_refused}.
leaf::result<peer_identity> acceptProof(const std::string &key, const peer_challenge &sent, std::string_view bytes);

} // namespace daisystile

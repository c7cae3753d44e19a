#include "peer_handshake.h"

#include "frame_archive.h"

namespace daisystile {

static constexpr std::size_t nonceBytes = 16;

static std::string codeFor(const std::string &key, const peer_identity &identity, const std::string &nonce)
{
    return hmacSha256(key, nonce + identity.id.value + '\0' + std::to_string(identity.incarnationNumber.value));
}

peer_challenge makeChallenge()
{
    return {peerProtocolVersion, randomBytes(nonceBytes)};
}

peer_proof makeProof(const std::string &key, const peer_identity &self, const peer_challenge &received)
{
    return {self, codeFor(key, self, received.nonce)};
}

std::string encodeChallenge(const peer_challenge &challenge)
{
    return encodeFields(challenge.protocol, challenge.nonce);
}

std::string encodeProof(const peer_proof &proof)
{
    return encodeFields(proof.identity, proof.code);
}

leaf::result<peer_challenge> decodeChallenge(std::string_view bytes)
{
    peer_challenge challenge;
    if (bytes.size() > maximalHandshakeBytes || !decodeFields(bytes, challenge.protocol, challenge.nonce) || challenge.nonce.size() != nonceBytes) {
        return leaf::new_error(connection_error {connection_failure::frame_malformed, "challenge"});
    }
    if (challenge.protocol != peerProtocolVersion) {
        return leaf::new_error(connection_error {
            connection_failure::protocol_version_differs, "expected " + std::to_string(peerProtocolVersion) + ", found " + std::to_string(challenge.protocol)});
    }
    return challenge;
}

leaf::result<peer_identity> acceptProof(const std::string &key, const peer_challenge &sent, std::string_view bytes)
{
    peer_proof proof;
    if (bytes.size() > maximalHandshakeBytes || !decodeFields(bytes, proof.identity, proof.code)) {
        return leaf::new_error(connection_error {connection_failure::frame_malformed, "proof"});
    }
    if (!equalInConstantTime(proof.code, codeFor(key, proof.identity, sent.nonce))) {
        return leaf::new_error(connection_error {connection_failure::key_refused, proof.identity.id.value});
    }
    return proof.identity;
}

} // namespace daisystile

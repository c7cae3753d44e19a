#include "secret.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace daisystile {

static constexpr std::size_t sha256Bytes = 32;

sha256_digest sha256(std::string_view text)
{
    sha256_digest digest;
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), digest.bytes.data(), &size, EVP_sha256(), nullptr);
    return digest;
}

bool equalInConstantTime(const sha256_digest &left, const sha256_digest &right)
{
    return CRYPTO_memcmp(left.bytes.data(), right.bytes.data(), left.bytes.size()) == 0;
}

std::string sha256Hex(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * sha256Bytes);
    for (const unsigned char byte : sha256(text).bytes) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

std::string hmacSha256(std::string_view key, std::string_view text)
{
    std::array<unsigned char, sha256Bytes> code {};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(text.data()), text.size(), code.data(), &size);
    return {reinterpret_cast<const char *>(code.data()), size};
}

std::string randomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(count));
    return bytes;
}

} // namespace daisystile

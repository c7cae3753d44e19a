#pragma once

#include "client_account.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace daisystile {

/// The client accounts of a configuration by the digests of their keys. Immutable.
class key_directory
{
public:
    explicit key_directory(const std::vector<client_account> &accounts);

    /// Whether there are client accounts, so that requests need a key.
    bool keysNeeded() const;
    /// Position of the account that holds the key in the list of accounts; none if no account does.
    std::optional<std::size_t> holderOf(const sha256_digest &key) const;
    std::size_t keyCount() const;

private:
    struct entry
    {
        sha256_digest key;
        std::uint32_t account = 0;
    };

    // Sorted by key.
    std::vector<entry> m_entries;
    bool m_keysNeeded = false;
};

} // namespace daisystile

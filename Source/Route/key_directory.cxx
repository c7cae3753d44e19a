#include "key_directory.h"

#include <algorithm>

namespace daisystile {

key_directory::key_directory(const std::vector<client_account> &accounts)
    : m_keysNeeded(!accounts.empty())
{
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        for (const auto &key : accounts[i].keys) {
            m_entries.push_back({key, static_cast<std::uint32_t>(i)});
        }
    }
    std::stable_sort(m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) { return left.key < right.key; });
}

bool key_directory::keysNeeded() const
{
    return m_keysNeeded;
}

// The search compares digests, whose bytes a client can't choose; the found one is compared in constant time.
std::optional<std::size_t> key_directory::holderOf(const sha256_digest &key) const
{
    const auto found = std::lower_bound(m_entries.begin(), m_entries.end(), key, [](const auto &held, const auto &wanted) { return held.key < wanted; });
    if (found == m_entries.end() || !equalInConstantTime(found->key, key)) {
        return std::nullopt;
    }
    return found->account;
}

std::size_t key_directory::keyCount() const
{
    return m_entries.size();
}

} // namespace daisystile

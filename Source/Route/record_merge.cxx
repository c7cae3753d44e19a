#include "record_merge.h"

#include <algorithm>
#include <functional>

namespace daisystile {

std::string greatestRecords(const std::vector<std::string_view> &bodies, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const auto body : bodies) {
        for (std::size_t begin = 0; begin + recordBytes <= body.size(); begin += recordBytes) {
            records.push_back(body.substr(begin, recordBytes));
        }
    }
    count = std::min(count, records.size());
    // string_view compares as unsigned bytes.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), records.end(), std::greater<>());
    std::string merged;
    merged.reserve(count * recordBytes);
    for (std::size_t i = 0; i < count; ++i) {
        merged.append(records[i]);
    }
    return merged;
}

} // namespace daisystile

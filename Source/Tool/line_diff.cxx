#include "line_diff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace daisystile {

namespace {

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

std::string lineDiff(const std::string &before, const std::string &after)
{
    const auto left = linesOf(before);
    const auto right = linesOf(after);
    // common[i][j]: length of the longest common subsequence of left[i..] and right[j..].
    std::vector<std::vector<std::size_t>> common(left.size() + 1, std::vector<std::size_t>(right.size() + 1, 0));
    for (auto i = left.size(); i-- > 0;) {
        for (auto j = right.size(); j-- > 0;) {
            common[i][j] = left[i] == right[j] ? common[i + 1][j + 1] + 1 : std::max(common[i + 1][j], common[i][j + 1]);
        }
    }
    std::string result;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < left.size() || j < right.size()) {
        if (i < left.size() && j < right.size() && left[i] == right[j]) {
            result += "  " + left[i] + "\n";
            ++i;
            ++j;
        } else if (i < left.size() && (j == right.size() || common[i + 1][j] >= common[i][j + 1])) {
            result += "- " + left[i] + "\n";
            ++i;
        } else {
            result += "+ " + right[j] + "\n";
            ++j;
        }
    }
    return result;
}

} // namespace daisystile

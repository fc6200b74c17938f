#include <Configuration/nearest_name.h>

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace bilberryyard {

namespace {

    // Longer input cannot be a mistyped name; the limit bounds the cost of the edit distance for malicious input.
    constexpr size_t maximumTypedLength = 64;

    // Levenshtein distance with one row of the dynamic programming table.
    size_t editDistance(std::string_view first, std::string_view second)
    {
        std::vector<size_t> row(second.size() + 1);
        std::iota(row.begin(), row.end(), 0);
        for (size_t i = 1; i <= first.size(); ++i) {
            size_t diagonal = std::exchange(row[0], i);
            for (size_t j = 1; j <= second.size(); ++j) {
                size_t const substitution = diagonal + (first[i - 1] == second[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substitution });
            }
        }
        return row.back();
    }

} // namespace

std::optional<std::string_view> nearestName(std::string_view typed, std::span<std::string_view const> known)
{
    if (typed.size() > maximumTypedLength)
        return std::nullopt;
    std::optional<std::string_view> best;
    size_t bestDistance = 0;
    for (auto const name : known) {
        size_t const distance = editDistance(typed, name);
        if (distance <= std::max<size_t>(1, name.size() / 3) && (!best || distance < bestDistance)) {
            best = name;
            bestDistance = distance;
        }
    }
    return best;
}

std::string nameHint(std::string_view typed, std::span<std::string_view const> known)
{
    if (auto const near = nearestName(typed, known))
        return "; did you mean '" + std::string(*near) + "'?";
    std::string hint = "; known: ";
    for (auto const name : known)
        hint += (name == known.front() ? "" : ", ") + std::string(name);
    return hint;
}

} // namespace bilberryyard

#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace bilberryyard {

/// What placement may require of the server of a new flow.
enum class placement_criterion : uint8_t {
    /// No rule forbids new flows to the server. A server without this criterion is never chosen.
    Permitted,
    /// Announced in the state Ready.
    Ready,
    /// Draining for less than the handshake timeout.
    RecentlyDraining,
    /// A control host has received an announcement recently; met by every server while the directory is stale.
    Announced,
    /// Neither ejected nor being probed with another handshake.
    Responsive,
    /// Its responses to callers look complete.
    Trusted,
};

/// A set of criteria that a server meets, or that a level of placement requires.
class placement_criteria {
public:
    constexpr placement_criteria() = default;

    /// @param criteria The members of the set.
    template <typename... Criteria>
    static constexpr placement_criteria of(Criteria... criteria)
    {
        placement_criteria result;
        ((result.m_bits |= bitOf(criteria)), ...);
        return result;
    }

    constexpr placement_criteria& add(placement_criterion criterion)
    {
        m_bits |= bitOf(criterion);
        return *this;
    }

    /// Adds a criterion that holds only under a condition.
    constexpr placement_criteria& addIf(bool condition, placement_criterion criterion)
    {
        return condition ? add(criterion) : *this;
    }

    constexpr bool contains(placement_criteria other) const { return (m_bits & other.m_bits) == other.m_bits; }

    auto operator<=>(placement_criteria const&) const = default;

private:
    static constexpr uint32_t bitOf(placement_criterion criterion)
    {
        return uint32_t { 1 } << static_cast<uint32_t>(criterion);
    }

    uint32_t m_bits = 0;
};

/// One level of placement: a new flow goes to a server that meets the criteria of the first level that any server of
/// its service meets.
struct placement_level {
    char const* name = "";
    placement_criteria required;
};

/// All levels, from the strictest to the weakest. What callers can do without is given up first: evidence from other
/// callers, then from this balancer's own packets, then the missing announcement. Permitted is in all of them.
inline constexpr std::array<placement_level, 5> placementLevels { {
    { "healthy",
        placement_criteria::of(placement_criterion::Permitted, placement_criterion::Ready,
            placement_criterion::Announced, placement_criterion::Responsive, placement_criterion::Trusted) },
    { "responsive",
        placement_criteria::of(placement_criterion::Permitted, placement_criterion::Ready,
            placement_criterion::Announced, placement_criterion::Responsive) },
    { "announced",
        placement_criteria::of(
            placement_criterion::Permitted, placement_criterion::Ready, placement_criterion::Announced) },
    { "ready", placement_criteria::of(placement_criterion::Permitted, placement_criterion::Ready) },
    { "draining", placement_criteria::of(placement_criterion::Permitted, placement_criterion::RecentlyDraining) },
} };

/// @return Index of the strictest level that a server with these criteria meets; nullopt if it meets none.
constexpr std::optional<size_t> strictestLevel(placement_criteria met)
{
    for (size_t index = 0; index < placementLevels.size(); ++index) {
        if (met.contains(placementLevels[index].required))
            return index;
    }
    return std::nullopt;
}

} // namespace bilberryyard

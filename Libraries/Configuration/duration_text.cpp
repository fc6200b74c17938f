#include <Configuration/duration_text.h>

#include <Base/error_kind.h>
#include <array>
#include <charconv>

namespace bilberryyard {

namespace {

    struct duration_unit {
        std::string_view name;
        duration length;
    };

    constexpr std::array<duration_unit, 6> units { {
        { "ns", std::chrono::nanoseconds(1) },
        { "us", std::chrono::microseconds(1) },
        { "ms", std::chrono::milliseconds(1) },
        { "s", std::chrono::seconds(1) },
        { "m", std::chrono::minutes(1) },
        { "h", std::chrono::hours(1) },
    } };

    constexpr duration maximumDuration = std::chrono::hours(1000);

    absl::Status durationError(std::string_view text, std::string_view reason)
    {
        return makeError(
            error_kind::InvalidArgument, "'" + std::string(text) + "' is not a duration: " + std::string(reason));
    }

} // namespace

absl::StatusOr<duration> parseDuration(std::string_view text)
{
    int64_t count = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc() || text.starts_with('-'))
        return durationError(text, "expected a whole number and a unit, such as 3s or 500ms");
    std::string_view const unitName = text.substr(static_cast<size_t>(end - text.data()));
    if (unitName.empty())
        return durationError(text, "the unit is missing (ns, us, ms, s, m or h)");
    for (auto const& unit : units) {
        if (unit.name != unitName)
            continue;
        if (count > maximumDuration / unit.length)
            return durationError(text, "the longest is 1000h");
        return count * unit.length;
    }
    return durationError(text, "the unit must be ns, us, ms, s, m or h");
}

std::string formatDuration(duration value)
{
    for (auto unit = units.rbegin() + 2; unit != units.rend(); ++unit) {
        if (value % unit->length == duration::zero())
            return std::to_string(value / unit->length) + std::string(unit->name);
    }
    return std::to_string(value.count()) + "ns";
}

} // namespace bilberryyard

#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Finds the known name that is most similar to a mistyped one.
/// @return The known name with the smallest edit distance; nothing when that distance exceeds a third of the known
///     name's length (but a distance of 1 is always allowed).
std::optional<std::string_view> nearestName(std::string_view typed, std::span<std::string_view const> known);

/// Creates the hint that is appended to the error message for an unknown name.
/// @return "; did you mean 'NAME'?" when nearestName() finds one, otherwise "; known: NAME, NAME...".
std::string nameHint(std::string_view typed, std::span<std::string_view const> known);

} // namespace bilberryyard

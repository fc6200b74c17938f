#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Finds the name that a person most likely meant.
/// @param typed What was typed.
/// @param known The names that exist.
/// @return The known name with the smallest edit distance, when that is at most a third of its length
///     and at least one.
std::optional<std::string_view> nearestName(std::string_view typed, std::span<std::string_view const> known);

/// @param typed What was typed.
/// @param known The names that exist.
/// @return "; did you mean 'NAME'?" when a name is near, otherwise "; known: NAME, NAME...".
std::string nameHint(std::string_view typed, std::span<std::string_view const> known);

} // namespace bilberryyard

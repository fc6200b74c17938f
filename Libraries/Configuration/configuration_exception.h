#pragma once

#include <Configuration/exception_target.h>
#include <Configuration/setting_key.h>
#include <compare>
#include <string>

namespace bilberryyard {

/// A value of a setting that replaces defaults and overrides for one service or server, with the reason for it.
struct configuration_exception {
    exception_target target;
    std::string key;
    setting_value value;
    std::string reason;
    std::string author;
    auto operator<=>(configuration_exception const&) const = default;
};

} // namespace bilberryyard

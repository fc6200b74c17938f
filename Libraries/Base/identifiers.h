#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace bilberryyard {

/// An integer identifier that does not convert to identifiers of another kind.
template <typename Tag>
struct identifier {
    uint32_t value = 0;
    auto operator<=>(identifier const&) const = default;
};

/// A host of the system: an entry host or a control host. Assigned in the settings.
using host_id = identifier<struct host_tag>;
/// A backend server, numbered in the order of the first announcements in a deployment.
using server_id = identifier<struct server_tag>;
/// An availability zone.
using zone_id = identifier<struct zone_tag>;
/// A service that callers reach at one address and port.
using service_id = identifier<struct service_tag>;

/// Represents "no server" in compact tables.
inline constexpr server_id noServer { UINT32_MAX };

} // namespace bilberryyard

template <typename Tag>
struct std::hash<bilberryyard::identifier<Tag>> {
    size_t operator()(bilberryyard::identifier<Tag> const& id) const noexcept
    {
        return std::hash<uint32_t> {}(id.value);
    }
};

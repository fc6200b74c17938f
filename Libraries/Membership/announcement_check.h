#pragma once

#include <Membership/backend_announcement.h>
#include <string_view>

namespace bilberryyard {

/// Why an announcement names no server that can be used.
enum class announcement_defect : uint8_t {
    None,
    /// The identifier is empty, too long, or no printable text.
    Identifier,
    Service,
    Zone,
    Version,
    /// The port is 0, or the address is not that of a single IPv4 host.
    Address,
    /// There are no slots.
    Slots,
    /// The start time is negative.
    StartTime,
};

/// Maximum size of each text of an announcement in bytes. A page of the directory in one datagram holds many of them.
inline constexpr size_t maximumAnnouncementText = 255;

/// Decides whether an announcement may enter a directory. It is checked wherever announcements come in: from servers,
/// from other hosts and from saved files.
/// @param announcement With the state Gone only its identifier and start time matter, since a leave has no other
///     fields.
/// @return The first defect; None if the announcement can be used.
announcement_defect findDefect(backend_announcement const& announcement);

/// @return A stable name for logs and metrics.
std::string_view nameOf(announcement_defect defect);

} // namespace bilberryyard

#pragma once

#include <Base/monotonic_time.h>
#include <Membership/server_announcement.h>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// Orders the announcements of one server: by incarnation, then by a logical counter that each
/// receiving entry host sets to one more than it has seen, then by that host. No clock is involved.
struct report_stamp {
    uint64_t incarnation = 0;
    uint32_t sequence = 0;
    host_id receiver;
    auto operator<=>(report_stamp const&) const = default;
};

/// What entry hosts tell each other about a backend server.
struct server_record {
    server_id id;
    server_announcement announcement;
    report_stamp stamp;
    /// How long ago the sender saw the lease renewed, by the sender's own clock. A duration and not a
    /// time, so that clocks of two hosts are never compared.
    duration age {};
    /// For how long the sender has seen the present incarnation serving. Without it a restarted host would put every
    /// server through a cold start again and move buckets.
    duration servingFor {};
    auto operator<=>(server_record const&) const = default;
};

} // namespace bilberryyard

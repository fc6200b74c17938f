#pragma once

#include <Base/monotonic_time.h>
#include <Membership/server_announcement.h>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// Orders the announcements of one server by incarnation, then by a logical counter that the receiving entry host
/// sets to one more than the highest it knows, then by that host. Does not depend on clocks.
struct report_stamp {
    uint64_t incarnation = 0;
    uint32_t sequence = 0;
    host_id receiver;
    auto operator<=>(report_stamp const&) const = default;
};

/// What entry hosts send each other about a backend server.
struct server_record {
    server_id id;
    server_announcement announcement;
    report_stamp stamp;
    /// Time since the lease was renewed, by the sender's clock. A duration rather than a point in time, so that the
    /// clocks of two hosts are never compared.
    duration age {};
    /// How long the current incarnation has been serving, as far as the sender knows. Without it, a restarted host
    /// would start a new cold start for every server and move buckets.
    duration servingFor {};
    auto operator<=>(server_record const&) const = default;
};

} // namespace bilberryyard

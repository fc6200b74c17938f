#pragma once

#include <Fleet/directory_feed.h>
#include <Fleet/directory_pages.h>
#include <Fleet/directory_view.h>
#include <Placement/flow_token.h>
#include <string>

namespace bilberryyard {

/// Announcements and directories with simulated time, without sockets.
struct directory_fixture {
    static constexpr duration announcementInterval = std::chrono::milliseconds(1'200);
    static constexpr duration lateThreshold = std::chrono::milliseconds(1'440);

    static monotonic_time at(int milliseconds)
    {
        return monotonic_time {} + std::chrono::milliseconds { 1'000'000 + milliseconds };
    }
    static ip_endpoint controlHost(int number)
    {
        return { ip_address::fromIpv4(0x0a010000U + static_cast<uint32_t>(number)), 7'720 };
    }
    static std::string idOf(int number) { return "i-" + std::to_string(1'000'000 + number); }
    static uint32_t tokenOf(int number) { return flowToken(idOf(number)); }

    static backend_announcement announcementOf(
        int number, uint64_t sequence, backend_state state = backend_state::Ready, int zones = 5)
    {
        backend_announcement result;
        result.id = idOf(number);
        result.tag = 0x1234567800000000 + static_cast<uint64_t>(number);
        result.service = number % 5 == 0 ? "gallery-service" : "orders-service";
        result.address = { ip_address::fromIpv4(0x0a000000U + static_cast<uint32_t>(number)), 8'080 };
        result.zone = "zone-" + std::to_string(number % zones);
        result.version = "v1";
        result.slots = 2;
        result.startedAtMs = 1'785'320'285'162;
        result.sequence = sequence;
        result.state = state;
        return result;
    }

    /// Feeds that call markLate() as often as a control host does, so that they do not regard themselves as suspended.
    static void checkLate(directory_feed& feed, int from, int until)
    {
        for (int time = from; time <= until; time += 400)
            feed.markLate(lateThreshold, at(time));
    }

    /// @return A copy of the feed's directory in pages, as its control host sends it.
    static directory_pages pagesOf(directory_feed const& feed, ip_endpoint const& host, monotonic_time now)
    {
        auto [records, revision] = feed.records(now);
        directory_pages pages;
        pages.assign(std::move(records), { { host, feed.epoch(), revision } }, server_scope::All);
        return pages;
    }
};

} // namespace bilberryyard

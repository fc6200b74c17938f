#include "measurements.h"

#include <Base/error_kind.h>
#include <Fleet/directory_feed.h>
#include <Fleet/directory_fetch.h>
#include <Fleet/directory_pages.h>
#include <Fleet/directory_view.h>
#include <Fleet/fleet_codec.h>
#include <allocation_counter.h>
#include <cstdio>
#include <processor_time.h>

namespace bilberryyard {

namespace {

    constexpr int serversPerHost = 10;
    constexpr int controlHosts = 5;
    // As control hosts and backend servers send them.
    constexpr double leasesPerSecond = 2.5;
    constexpr double announcementIntervalSeconds = 1.2;

    monotonic_time const start = monotonic_time {} + std::chrono::seconds(1'000);

    backend_announcement announcementOf(int number, uint64_t sequence)
    {
        backend_announcement result;
        result.id = "i-" + std::to_string(1'000'000'000 + number);
        result.tag = 0x1234567800000000 + static_cast<uint64_t>(number);
        result.service = number % 5 == 0 ? "gallery" : "orderdesk";
        result.address = { ip_address::fromIpv4(0x0a000000U + static_cast<uint32_t>(number)), 8'080 };
        result.zone = "zone-" + std::to_string(number % controlHosts);
        result.version = "v1";
        result.slots = 2;
        result.startedAtMs = 1'785'320'285'162;
        result.sequence = sequence;
        return result;
    }

    struct directory_costs {
        size_t leaseBytes = 0;
        size_t changeBytes = 0;
        size_t directoryBytes = 0;
        size_t pages = 0;
        double announceMicroseconds = 0;
        double pageMicroseconds = 0;
        double fetchMilliseconds = 0;
        int64_t feedBytes = 0;
        int64_t viewBytes = 0;
    };

    /// Receives the whole directory page by page, as a balancer that starts.
    void fetchDirectory(directory_pages& source, ip_endpoint const& host, directory_view& view, directory_costs& costs)
    {
        directory_fetch fetch({ server_scope::All, "zone-1", 0, 0, {}, known_records::Included });
        double sending = 0;
        double receiving = 0;
        while (!fetch.isComplete()) {
            auto const& request = fetch.nextRequest(start);
            auto const begin = processorSeconds();
            auto const& bytes = source.encodedPageAt(request.cursor, request.zone);
            auto const encoded = processorSeconds();
            auto const message = decodeFleetMessage(bytes);
            view.apply(host, std::get<directory_page>(*message), start);
            fetch.accept(std::get<directory_page>(*message));
            sending += encoded - begin;
            receiving += processorSeconds() - encoded;
            costs.directoryBytes += bytes.size();
            ++costs.pages;
        }
        costs.pageMicroseconds = sending / static_cast<double>(costs.pages) * 1e6;
        costs.fetchMilliseconds = receiving * 1e3;
    }

    directory_costs measure(int hosts)
    {
        directory_costs costs;
        int const servers = hosts * serversPerHost;
        ip_endpoint const host { ip_address::fromIpv4(0x0a010001), 7'720 };
        auto const beforeFeed = allocation_counter::allocatedBytes();
        directory_feed feed({}, 5);
        for (int number = 0; number < servers; ++number)
            feed.announce(announcementOf(number, 1), start);
        feed.drainChanges(start);
        feed.drainRenewals();
        costs.feedBytes = static_cast<int64_t>(allocation_counter::allocatedBytes() - beforeFeed);
        auto const begin = processorSeconds();
        for (int number = 0; number < servers; ++number)
            feed.announce(announcementOf(number, 2), start);
        costs.announceMicroseconds = (processorSeconds() - begin) / servers * 1e6;
        costs.leaseBytes = encodeFleetMessage(feed.lease()).size();
        feed.announce(announcementOf(servers, 1), start);
        costs.changeBytes = encodeFleetMessage(*feed.drainChanges(start)).size();
        directory_pages pages;
        auto [records, revision] = feed.records(start);
        pages.assign(std::move(records), { { host, feed.epoch(), revision } }, server_scope::All);
        auto const beforeView = allocation_counter::allocatedBytes();
        directory_view view;
        fetchDirectory(pages, host, view, costs);
        costs.viewBytes = static_cast<int64_t>(allocation_counter::allocatedBytes() - beforeView);
        return costs;
    }

} // namespace

absl::Status measureDirectory()
{
    std::printf(
        "directory of backend servers, %d servers a host, %d control hosts, no change\n", serversPerHost, controlHosts);
    std::printf("%6s %8s | %12s %12s %10s %7s %9s %9s | %12s %12s %9s %9s\n", "hosts", "servers", "balancer B/s",
        "change B", "fetch kB", "pages", "fetch ms", "view kB", "control kB/s", "announce %", "page us", "feed kB");
    for (int const hosts : { 100, 300, 1'000, 3'000 }) {
        auto const costs = measure(hosts);
        auto const balancerBytes = controlHosts * leasesPerSecond * static_cast<double>(costs.leaseBytes);
        auto const controlBytes = hosts * leasesPerSecond * static_cast<double>(costs.leaseBytes);
        // Of one core, for the announcements that one control host receives, without HTTP.
        auto const announcementsPerSecond = hosts * serversPerHost / announcementIntervalSeconds / controlHosts;
        std::printf("%6d %8d | %12.0f %12zu %10.1f %7zu %9.2f %9.0f | %12.2f %12.4f %9.1f %9.0f\n", hosts,
            hosts * serversPerHost, balancerBytes, costs.changeBytes, static_cast<double>(costs.directoryBytes) / 1e3,
            costs.pages, costs.fetchMilliseconds, static_cast<double>(costs.viewBytes) / 1e3, controlBytes / 1e3,
            announcementsPerSecond * costs.announceMicroseconds / 1e4, costs.pageMicroseconds,
            static_cast<double>(costs.feedBytes) / 1e3);
    }
    return absl::OkStatus();
}

} // namespace bilberryyard

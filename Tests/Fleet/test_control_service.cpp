#include "control_fixture.h"

#include <Base/boot_clock.h>
#include <Base/error_kind.h>
#include <Fleet/balancer_control.h>
#include <Fleet/control_service.h>
#include <Fleet/directory_feed.h>
#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <map>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace bilberryyard;

namespace {

struct age_row {
    char const* name;
    /// Control hosts whose reports arrive, in this order.
    std::vector<int> reporters;
    bool isChecked;
};
std::ostream& operator<<(std::ostream& stream, age_row const& row) { return stream << row.name; }

age_row const ageRows[] = {
    { "host that the server has left", { 1 }, false },
    { "both hosts", { 1, 2 }, true },
    { "host that the server announces itself to", { 2 }, true },
    { "host that the balancer does not know", { 3 }, false },
};

// Guards against a live server that counts as overdue because a control host that it has left reports its age first.
BOOST_DATA_TEST_CASE_F(control_fixture, age_is_checked_by_the_host_that_the_server_announces_itself_to, ageRows, row)
{
    balancer_probe probe(settingsOf(9, { 1 }, host_role::Balancer));
    auto const now = bootTime();
    ip_endpoint const hosts[] = { {}, { addressOf(1), 27'921 }, { addressOf(2), 27'921 }, { addressOf(3), 27'921 } };
    backend_announcement announcement;
    announcement.id = "i-1";
    announcement.service = "orders";
    announcement.address = { ip_address::fromIpv4(0x0a000001), 80 };
    announcement.startedAtMs = 100;
    for (int const number : { 1, 2 }) {
        directory_feed feed({}, static_cast<uint64_t>(number));
        announcement.sequence = static_cast<uint64_t>(number);
        feed.announce(announcement, now);
        probe.control.receive(hosts[number], *feed.drainChanges(now), now);
    }
    auto const token = flowToken(announcement.id);
    BOOST_REQUIRE(probe.router.pool().find(token));
    for (auto const reporter : row.reporters) {
        age_response const report { { { token, std::chrono::milliseconds(reporter == 2 ? 100 : 1'300) } } };
        probe.control.receive(hosts[reporter], report, now);
    }
    auto const checkedAt = probe.router.pool().find(token)->announcementCheckedAt;
    BOOST_CHECK(checkedAt == (row.isChecked ? now : monotonic_time()));
}

// Guards against rejecting a repeated store request, and against replacing the content of a stored version.
BOOST_FIXTURE_TEST_CASE(stored_version_is_acknowledged_again_and_keeps_its_content, control_fixture)
{
    running_control_host const host(settingsOf(1, { 1 }), metrics);
    BOOST_REQUIRE(storeWithin(*host.service, 5, std::chrono::seconds(8)).status.ok());
    BOOST_TEST(host.service->store({ 5, "6" }).status.ok());
    BOOST_TEST(host.service->store({ 3, "3" }).status.ok());
    auto const read = host.service->read();
    BOOST_REQUIRE(read.status.ok());
    BOOST_TEST(read.document.version == 5u);
    BOOST_TEST(read.document.bytes == "5");
}

// Guards against a member without a majority that stores documents, or serves reads from its local state.
BOOST_FIXTURE_TEST_CASE(member_without_a_majority_neither_stores_nor_reads, control_fixture)
{
    running_control_host const host(settingsOf(1, { 1, 2, 3 }), metrics);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    BOOST_CHECK(errorKindOf(host.service->store({ 5, "5" }).status) == error_kind::Unavailable);
    BOOST_CHECK(errorKindOf(host.service->read().status) == error_kind::Unavailable);
}

// Guards against callers that have to wait for an election after a power loss of all hosts.
BOOST_FIXTURE_TEST_CASE(saved_state_serves_balancers_before_a_leader_is_elected, control_fixture)
{
    auto const settings = settingsOf(1, { 1, 2, 3 });
    {
        running_control_host const first(settings, metrics);
        running_control_host const second(settingsOf(2, { 1, 2, 3 }), metrics);
        BOOST_REQUIRE(storeAtLeader({ first.service.get(), second.service.get() }, 5));
        backend_announcement announcement;
        announcement.id = "i-1";
        announcement.service = "orders";
        announcement.address = { ip_address::fromIpv4(0x0a000001), 80 };
        announcement.startedAtMs = 100;
        BOOST_REQUIRE(first.service->announce(announcement).ok());
        std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
    }
    // The other members stay down, so there is no leader.
    running_control_host const restartedHost(settings, metrics);
    balancer_probe probe(settingsOf(9, { 1 }, host_role::Balancer));
    BOOST_TEST(probe.waitUntilReady(std::chrono::seconds(1)));
    BOOST_TEST(probe.router.version() == 5u);
    BOOST_TEST(probe.router.pool().readyCount("orders") == 1u);
    BOOST_CHECK(!restartedHost.service->read().status.ok());
}

// Guards against one full directory per hello message: when many balancers start, each sends several hello messages
// before the first response arrives.
BOOST_FIXTURE_TEST_CASE(repeated_hellos_get_one_full_directory, control_fixture)
{
    running_control_host const host(settingsOf(1, { 1 }), metrics);
    backend_announcement announcement;
    announcement.id = "i-1";
    announcement.service = "orders";
    announcement.address = { ip_address::fromIpv4(0x0a000001), 80 };
    BOOST_REQUIRE(host.service->announce(announcement).ok());
    auto channel = peer_channel::create({ addressOf(9), 27'921 }).value();
    fleet_host const balancer { { addressOf(9), 27'921 }, host_role::Balancer, "a", "host-9", 0, {},
        directory_protocol::Renewals };
    // After the first hello message the control host sends changes to the balancer.
    channel.send(
        { addressOf(1), 27'921 }, hello_message { balancer, 0, 1, 0, host_list::NotRequested, server_scope::Own });
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    bool isEmpty = false;
    while (!isEmpty)
        channel.receive(bootTime(), isEmpty);
    for (int count = 0; count < 20; ++count)
        channel.send(
            { addressOf(1), 27'921 }, hello_message { balancer, 0, 0, 0, host_list::NotRequested, server_scope::Own });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    int directories = 0;
    for (isEmpty = false; !isEmpty;) {
        auto const message = channel.receive(bootTime(), isEmpty);
        auto const* const update = message ? std::get_if<directory_update>(&message->message) : nullptr;
        directories += update && !update->records.empty() ? 1 : 0;
    }
    BOOST_TEST(directories == 1);
}

// Guards against host lists in every hello response, which are large in a large deployment.
BOOST_FIXTURE_TEST_CASE(hello_without_a_host_request_gets_only_the_receiver, control_fixture)
{
    running_control_host const host(settingsOf(1, { 1 }), metrics);
    auto channel = peer_channel::create({ addressOf(9), 27'921 }).value();
    fleet_host const other { { addressOf(8), 27'921 }, host_role::Control, "a", "host-8", 27'922, {} };
    fleet_host const self { { addressOf(9), 27'921 }, host_role::Control, "a", "host-9", 27'922, {} };
    std::map<host_list, size_t> listed;
    channel.send(
        { addressOf(1), 27'921 }, hello_message { other, 0, 0, 0, host_list::NotRequested, server_scope::Own });
    for (auto const hosts : { host_list::NotRequested, host_list::Requested }) {
        channel.send({ addressOf(1), 27'921 }, hello_message { self, 0, 0, 0, hosts, server_scope::Own });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        for (bool isEmpty = false; !isEmpty;) {
            auto const message = channel.receive(bootTime(), isEmpty);
            auto const* const helloResponse = message ? std::get_if<hello_response>(&message->message) : nullptr;
            if (helloResponse)
                listed[hosts] = helloResponse->hosts.size();
        }
    }
    BOOST_TEST(listed[host_list::NotRequested] == 1u);
    BOOST_TEST(listed[host_list::Requested] == 3u);
}

struct restart_row {
    char const* name;
    int servers;
    /// Full directories that a balancer receives without a request.
    int pushed;
};
std::ostream& operator<<(std::ostream& stream, restart_row const& row) { return stream << row.name; }

restart_row const restartRows[] = {
    { "small directory is sent unrequested", 1, 1 },
    { "large directory is sent on request", 4'000, 0 },
};

// Guards against a burst of traffic when all control hosts restart at once: each of hundreds of balancers needs one
// copy of a large directory, not one from each control host.
BOOST_DATA_TEST_CASE_F(
    control_fixture, restarted_control_host_sends_a_large_directory_only_on_request, restartRows, row)
{
    fleet_host const balancer { { addressOf(9), 27'921 }, host_role::Balancer, "a", "host-9", 0, {},
        directory_protocol::Renewals };
    auto const settings = settingsOf(1, { 1 });
    {
        running_control_host const host(settings, metrics);
        BOOST_REQUIRE(storeWithin(*host.service, 5, std::chrono::seconds(8)).status.ok());
        for (int number = 1; number <= row.servers; ++number) {
            backend_announcement announcement;
            announcement.id = "i-" + std::to_string(number);
            announcement.service = "orders";
            announcement.address = { ip_address::fromIpv4(0x0a000000U + static_cast<uint32_t>(number)), 80 };
            BOOST_REQUIRE(host.service->announce(announcement).ok());
        }
        auto channel = peer_channel::create(balancer.peer).value();
        hello_message const helloMessage { balancer, 0, 1, 0, host_list::NotRequested, server_scope::Own };
        channel.send({ addressOf(1), 27'921 }, helloMessage);
        std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
    }
    auto channel = peer_channel::create(balancer.peer).value();
    auto const countDirectories = [&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        int count = 0;
        for (bool isEmpty = false; !isEmpty;) {
            auto const message = channel.receive(bootTime(), isEmpty);
            auto const* const update = message ? std::get_if<directory_update>(&message->message) : nullptr;
            count += update && update->records.size() == static_cast<size_t>(row.servers) ? 1 : 0;
        }
        return count;
    };
    running_control_host const restartedHost(settings, metrics);
    BOOST_TEST(countDirectories() == row.pushed);
    channel.send(
        { addressOf(1), 27'921 }, hello_message { balancer, 5, 0, 0, host_list::NotRequested, server_scope::All });
    BOOST_TEST(countDirectories() == 1 - row.pushed);
}

// Guards against a balancer that waits forever because the control host that it requested all servers from is down.
// Another control host has already sent its own servers, and must still send all on request.
BOOST_FIXTURE_TEST_CASE(all_servers_are_sent_to_a_balancer_that_has_those_of_one_host, control_fixture)
{
    running_control_host const host(settingsOf(1, { 1 }), metrics);
    backend_announcement announcement;
    announcement.id = "i-1";
    announcement.service = "orders";
    announcement.address = { ip_address::fromIpv4(0x0a000001), 80 };
    BOOST_REQUIRE(host.service->announce(announcement).ok());
    auto channel = peer_channel::create({ addressOf(9), 27'921 }).value();
    fleet_host const balancer { { addressOf(9), 27'921 }, host_role::Balancer, "a", "host-9", 0, {},
        directory_protocol::Renewals };
    directory_view view;
    std::map<server_scope, int> received;
    for (auto const scope : { server_scope::Own, server_scope::All }) {
        auto const knownPosition = view.positionOf({ addressOf(1), 27'921 });
        channel.send({ addressOf(1), 27'921 },
            hello_message { balancer, 0, knownPosition.epoch, knownPosition.revision, host_list::NotRequested, scope });
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        for (bool isEmpty = false; !isEmpty;) {
            auto const message = channel.receive(bootTime(), isEmpty);
            auto const* const update = message ? std::get_if<directory_update>(&message->message) : nullptr;
            if (!update)
                continue;
            view.apply(message->sender, *update, bootTime());
            ++received[update->scope];
        }
    }
    BOOST_TEST(received[server_scope::Own] >= 1);
    BOOST_TEST(received[server_scope::All] == 1);
}

// Guards against full directories from every control host when all hosts restart: a balancer requests one from the
// first control host that responds, and none from another within 300 ms.
BOOST_FIXTURE_TEST_CASE(balancer_requests_all_servers_from_the_first_control_host_only, control_fixture)
{
    balancer_probe probe(settingsOf(9, {}, host_role::Balancer));
    std::vector<peer_channel> controls;
    std::vector<server_scope> requestedScopes;
    hello_response const helloResponse;
    for (int number = 1; number <= 3; ++number)
        controls.push_back(peer_channel::create({ addressOf(number), 27'921 }).value());
    for (int number = 1; number <= 3; ++number)
        probe.control.receive({ addressOf(number), 27'921 }, helloResponse, bootTime());
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    for (auto& control : controls) {
        for (bool isEmpty = false; !isEmpty;) {
            auto const message = control.receive(bootTime(), isEmpty);
            auto const* const hello = message ? std::get_if<hello_message>(&message->message) : nullptr;
            if (hello)
                requestedScopes.push_back(hello->servers);
        }
    }
    BOOST_CHECK((requestedScopes == std::vector { server_scope::All }));
}

// Guards against a rolling upgrade in which a balancer of the previous release receives no renewals, and stops using
// all servers.
BOOST_FIXTURE_TEST_CASE(balancer_without_leases_gets_renewals, control_fixture)
{
    running_control_host const host(settingsOf(1, { 1 }), metrics);
    backend_announcement announcement;
    announcement.id = "i-1";
    announcement.service = "orders";
    announcement.address = { ip_address::fromIpv4(0x0a000001), 80 };
    auto channel = peer_channel::create({ addressOf(9), 27'921 }).value();
    std::map<directory_protocol, int> renewals;
    std::map<directory_protocol, int> leases;
    for (auto const protocol : { directory_protocol::Renewals, directory_protocol::Leases }) {
        fleet_host const balancer { { addressOf(9), 27'921 }, host_role::Balancer, "a", "host-9", 0, {}, protocol };
        channel.send(
            { addressOf(1), 27'921 }, hello_message { balancer, 0, 0, 0, host_list::NotRequested, server_scope::Own });
        // Discards what was sent before the host knew this protocol.
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
        for (bool isEmpty = false; !isEmpty;)
            channel.receive(bootTime(), isEmpty);
        for (int count = 0; count < 3; ++count) {
            ++announcement.sequence;
            BOOST_REQUIRE(host.service->announce(announcement).ok());
            std::this_thread::sleep_for(std::chrono::milliseconds(450));
        }
        for (bool isEmpty = false; !isEmpty;) {
            auto const message = channel.receive(bootTime(), isEmpty);
            auto const* const update = message ? std::get_if<directory_update>(&message->message) : nullptr;
            if (!update)
                continue;
            renewals[protocol] += static_cast<int>(update->renewed.size());
            leases[protocol] += update->lease == lease_renewal::Yes ? 1 : 0;
        }
    }
    BOOST_TEST(renewals[directory_protocol::Renewals] >= 2);
    BOOST_TEST(leases[directory_protocol::Renewals] == 0);
    BOOST_TEST(renewals[directory_protocol::Leases] == 0);
    BOOST_TEST(leases[directory_protocol::Leases] >= 2);
}

// Guards against a balancer of this release that waits forever for pages from control hosts of the previous one.
BOOST_FIXTURE_TEST_CASE(balancer_becomes_ready_with_control_hosts_without_leases, control_fixture)
{
    balancer_probe probe(settingsOf(9, {}, host_role::Balancer));
    ip_endpoint const host { addressOf(1), 27'921 };
    fleet_host const record { host, host_role::Control, "a", "host-1", 27'922, {}, directory_protocol::Renewals };
    auto const now = bootTime();
    probe.control.receive(host, hello_response { { record }, 5, std::chrono::seconds(60), true }, now);
    probe.control.receive(host, tableOf(5), now);
    backend_announcement announcement;
    announcement.id = "i-1";
    announcement.service = "orders";
    announcement.address = { ip_address::fromIpv4(0x0a000001), 80 };
    directory_update const directory { 7, 0, 1, { { announcement, {} } }, {}, server_scope::All };
    probe.control.receive(host, directory, now);
    probe.control.updateReadiness(now);
    BOOST_TEST(probe.control.isReady());
    auto const later = now + std::chrono::seconds(3);
    probe.control.receive(host, directory_update { 7, 1, 1, {}, { flowToken("i-1") } }, later);
    BOOST_CHECK(probe.router.pool().find(flowToken("i-1"))->liveness.latest() == later);
}

// Guards against calls that get no response because the host stops while it handles them. The process ends when run()
// has returned, so all calls must have returned by then; a call that is not ended waits for up to 900 ms.
BOOST_FIXTURE_TEST_CASE(planned_stop_answers_calls_in_progress, control_fixture)
{
    struct call_result {
        error_kind kind = error_kind::Internal;
        monotonic_time returnedAt;
    };
    // Time for a thread to be scheduled after its call has returned.
    constexpr std::chrono::milliseconds tolerance { 200 };
    // Checks of Boost.Test are not thread-safe, so the callers only store their results.
    std::vector<call_result> results(16);
    // Without a majority, a call waits until its timeout.
    running_control_host const host(settingsOf(1, { 1, 2, 3 }), metrics);
    std::atomic<size_t> started { 0 };
    std::vector<std::thread> callers;
    for (auto& result : results) {
        callers.emplace_back([&] {
            ++started;
            result.kind = errorKindOf(host.service->store({ 5, "5" }).status);
            result.returnedAt = bootTime();
        });
    }
    while (started < results.size())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    host.stop();
    auto const stoppedAt = bootTime();
    backend_announcement announcement;
    announcement.id = "i-1";
    BOOST_CHECK(errorKindOf(host.service->announce(announcement).status()) == error_kind::Unavailable);
    for (auto& caller : callers)
        caller.join();
    for (auto const& result : results) {
        BOOST_CHECK(result.kind == error_kind::Unavailable);
        BOOST_CHECK(result.returnedAt <= stoppedAt + tolerance);
    }
}

// Guards against a heartbeat of another writer, with an identifier that is no text, after which no balancer can read
// the directory or its saved copy (review case 1).
BOOST_FIXTURE_TEST_CASE(announcement_without_a_readable_identifier_is_refused, control_fixture)
{
    auto const settings = settingsOf(1, { 1, 2, 3 });
    {
        running_control_host const first(settings, metrics);
        running_control_host const second(settingsOf(2, { 1, 2, 3 }), metrics);
        BOOST_REQUIRE(storeAtLeader({ first.service.get(), second.service.get() }, 5));
        backend_announcement announcement;
        announcement.service = "orders";
        announcement.address = { ip_address::fromIpv4(0x0a000001), 80 };
        announcement.id = "\xff\xfe\x30";
        BOOST_CHECK(errorKindOf(first.service->announce(announcement).status()) == error_kind::InvalidArgument);
        BOOST_TEST(metrics.counter("announcements_refused_identifier_total").value() == 1u);
        announcement.id = "i-1";
        BOOST_REQUIRE(first.service->announce(announcement).ok());
        std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
    }
    running_control_host const restartedHost(settings, metrics);
    balancer_probe probe(settingsOf(9, { 1 }, host_role::Balancer));
    BOOST_TEST(probe.waitUntilReady(std::chrono::seconds(1)));
    BOOST_TEST(probe.router.pool().readyCount("orders") == 1u);
}

// Guards against one heartbeat of another writer, with a service that no configuration names, that resets the flows of
// a live server at the same address and keeps new flows from it (review case 2).
BOOST_FIXTURE_TEST_CASE(announcement_of_an_unconfigured_service_ends_no_server, control_fixture)
{
    running_control_host const host(settingsOf(1, { 1 }), metrics);
    BOOST_REQUIRE(storeWithin(*host.service, 5, std::chrono::seconds(8)).status.ok());
    backend_announcement server;
    server.id = "i-1";
    server.service = "orders";
    server.address = { ip_address::fromIpv4(0x0a000001), 80 };
    server.startedAtMs = 100;
    BOOST_REQUIRE(host.service->announce(server).ok());
    auto foreign = server;
    foreign.id = "i-2";
    foreign.service = "nobody";
    foreign.startedAtMs = 200;
    BOOST_REQUIRE(host.service->announce(foreign).ok());
    balancer_probe probe(settingsOf(9, { 1 }, host_role::Balancer));
    BOOST_REQUIRE(probe.waitUntilReady(std::chrono::seconds(5)));
    auto const* const backend = probe.router.pool().find(flowToken("i-1"));
    BOOST_REQUIRE(backend);
    BOOST_CHECK(backend->entry.state() == backend_state::Ready);
    // A new server of the service takes over the address, so the flows of its predecessor are reset.
    foreign.service = "orders";
    foreign.sequence = 1;
    BOOST_REQUIRE(host.service->announce(foreign).ok());
    for (auto const deadline = bootTime() + std::chrono::seconds(2);
         backend->entry.state() == backend_state::Ready && bootTime() < deadline;)
        probe.run(std::chrono::milliseconds(20));
    BOOST_CHECK(backend->entry.state() == backend_state::Gone);
}

// Guards against a host that lost its disk and cannot join the group again.
BOOST_FIXTURE_TEST_CASE(host_with_an_empty_disk_joins_again, control_fixture)
{
    running_control_host const first(settingsOf(1, { 1, 2, 3 }), metrics);
    running_control_host const second(settingsOf(2, { 1, 2, 3 }), metrics);
    auto const third = settingsOf(3, { 1, 2, 3 });
    {
        running_control_host const member(third, metrics);
        BOOST_REQUIRE(storeAtLeader({ first.service.get(), second.service.get(), member.service.get() }, 5));
    }
    std::filesystem::remove_all(third.dataFolder);
    std::filesystem::create_directories(third.dataFolder);
    auto rejoining = third;
    rejoining.bootstrap = bootstrap_permission::Forbidden;
    running_control_host const host(rejoining, metrics);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    // A member leads or knows the leader; an applicant knows no leader.
    auto const response = host.service->read();
    BOOST_TEST((response.status.ok() || response.leader.has_value()));
}

// Guards against a founder that was replaced while it was suspended or its disk was full, and then founds the group
// again instead of joining it: it takes part in no vote until its process restarts, so later losses stop the group.
BOOST_FIXTURE_TEST_CASE(replaced_founder_joins_again, control_fixture)
{
    running_control_host const first(settingsOf(1, { 1, 2, 3 }), metrics);
    running_control_host const second(settingsOf(2, { 1, 2, 3 }), metrics);
    running_control_host const third(settingsOf(3, { 1, 2, 3 }), metrics);
    running_control_host const spare(settingsOf(4, { 1, 2, 3 }), metrics);
    std::vector const hosts { first.service.get(), second.service.get(), third.service.get() };
    BOOST_REQUIRE(storeAtLeader(hosts, 5));
    // The spare host has to be a learner before it can replace a voter.
    auto const isMember = [](control_service& service) {
        auto const response = service.read();
        return response.status.ok() || response.leader.has_value();
    };
    auto const waitForMember = [&](control_service& service, std::chrono::seconds timeout) {
        for (auto const deadline = bootTime() + timeout; !isMember(service) && bootTime() < deadline;)
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        return isMember(service);
    };
    BOOST_REQUIRE(waitForMember(*spare.service, std::chrono::seconds(8)));
    third.setSuspended(true);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    BOOST_REQUIRE(storeAtLeader({ first.service.get(), second.service.get(), spare.service.get() }, 6));
    third.setSuspended(false);
    third.service->wake().raise();
    BOOST_TEST(waitForMember(*third.service, std::chrono::seconds(8)));
    // It stays a member.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    BOOST_TEST(isMember(*third.service));
    // With the returned host, the group survives the loss of two of its first members, one after the other.
    first.stop();
    BOOST_REQUIRE(storeAtLeader({ second.service.get(), third.service.get(), spare.service.get() }, 7));
    std::this_thread::sleep_for(std::chrono::seconds(4));
    second.stop();
    BOOST_TEST(storeAtLeader({ third.service.get(), spare.service.get() }, 8));
}

} // namespace

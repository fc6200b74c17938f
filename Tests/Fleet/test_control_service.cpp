#include <Base/boot_clock.h>
#include <Base/error_kind.h>
#include <Fleet/balancer_control.h>
#include <Fleet/control_service.h>
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

route_table tableOf(uint64_t version)
{
    route_table table;
    table.version = version;
    table.services = { { "orders", 0 } };
    service_route route;
    route.services = { { 0, 1 } };
    table.routes[{ ip_address::fromIpv4(0xc6120001), 443 }] = route;
    return table;
}

/// Control hosts on loopback addresses; documents hold nothing but their version.
class control_fixture {
public:
    control_fixture()
        : m_folder(std::filesystem::temp_directory_path() / ("bilberryyard-fleet-" + std::to_string(getpid())))
    {
        std::filesystem::remove_all(m_folder);
    }
    ~control_fixture() { std::filesystem::remove_all(m_folder); }

    static ip_address addressOf(int number)
    {
        return ip_address::fromIpv4(0x7f580100U + static_cast<uint32_t>(number));
    }

    fleet_settings settingsOf(int number, std::vector<int> const& seeds, host_role role = host_role::Control)
    {
        fleet_settings settings;
        settings.name = "host-" + std::to_string(number);
        settings.zone = "a";
        settings.role = role;
        settings.address = addressOf(number);
        settings.peerPort = 27'921;
        for (auto const seed : seeds)
            settings.seeds.push_back({ addressOf(seed), 27'922 });
        settings.bootstrap = bootstrap_permission::Granted;
        settings.dataFolder = (m_folder / settings.name).string();
        settings.control = ip_endpoint { settings.address, 27'922 };
        std::filesystem::create_directories(settings.dataFolder);
        return settings;
    }

    /// A control host that runs until the end of its life.
    class running {
    public:
        running(fleet_settings const& settings, metrics_registry& metrics)
            : service(control_service::create(
                settings, [](std::string const& bytes) { return tableOf(std::stoull(bytes)); },
                [] { return std::nullopt; }, metrics)
                          .value())
            , m_thread([this] { service->run([this] { return m_isStopping.load(); }); })
        {
        }
        ~running()
        {
            m_isStopping = true;
            service->wake().raise();
            m_thread.join();
        }

        std::unique_ptr<control_service> service;

    private:
        std::atomic<bool> m_isStopping { false };
        std::thread m_thread;
    };

    static document_response storeWithin(control_service& service, uint64_t version, std::chrono::seconds limit)
    {
        auto const end = bootTime() + limit;
        document_response answer;
        do {
            answer = service.store({ version, std::to_string(version) });
        } while (!answer.status.ok() && bootTime() < end);
        return answer;
    }

    /// Stores a version at whichever of the hosts leads.
    static bool storeAtLeader(std::vector<control_service*> const& hosts, uint64_t version)
    {
        for (auto const end = bootTime() + std::chrono::seconds(10); bootTime() < end;) {
            for (auto* const host : hosts) {
                if (host->store({ version, std::to_string(version) }).status.ok())
                    return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    metrics_registry metrics;

private:
    std::filesystem::path m_folder;
};

/// What a balancer knows, without packets.
class balancer_probe {
public:
    explicit balancer_probe(fleet_settings const& settings)
        : m_channel(peer_channel::create({ settings.address, settings.peerPort }).value())
        , router({}, "a", 1)
        , control(settings, m_channel, router, bootTime())
    {
    }

    bool waitUntilReady(std::chrono::seconds limit)
    {
        for (auto const end = bootTime() + limit; bootTime() < end && !control.isReady();) {
            control.step(bootTime());
            bool isEmpty = false;
            while (!isEmpty) {
                if (auto const message = m_channel.receive(bootTime(), isEmpty))
                    control.receive(message->sender, message->message, bootTime());
            }
            control.updateReadiness(bootTime());
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return control.isReady();
    }

private:
    peer_channel m_channel;

public:
    token_router router;
    balancer_control control;
};

// Guards against an acknowledgement that is refused when it is asked for again, and against content that changes
// under its number.
BOOST_FIXTURE_TEST_CASE(stored_version_is_acknowledged_again_and_keeps_its_content, control_fixture)
{
    running const host(settingsOf(1, { 1 }), metrics);
    BOOST_REQUIRE(storeWithin(*host.service, 5, std::chrono::seconds(8)).status.ok());
    BOOST_TEST(host.service->store({ 5, "6" }).status.ok());
    BOOST_TEST(host.service->store({ 3, "3" }).status.ok());
    auto const read = host.service->read();
    BOOST_REQUIRE(read.status.ok());
    BOOST_TEST(read.document.version == 5u);
    BOOST_TEST(read.document.bytes == "5");
}

// Guards against a host without a majority that stores, or answers reads from what it remembers.
BOOST_FIXTURE_TEST_CASE(lonely_founder_neither_stores_nor_reads, control_fixture)
{
    running const host(settingsOf(1, { 1, 2, 3 }), metrics);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    BOOST_CHECK(errorKindOf(host.service->store({ 5, "5" }).status) == error_kind::Unavailable);
    BOOST_CHECK(errorKindOf(host.service->read().status) == error_kind::Unavailable);
}

// Guards against callers that wait for an election after everything has lost power.
BOOST_FIXTURE_TEST_CASE(last_known_state_serves_balancers_before_a_leader_is_found, control_fixture)
{
    auto const settings = settingsOf(1, { 1, 2, 3 });
    {
        running const first(settings, metrics);
        running const second(settingsOf(2, { 1, 2, 3 }), metrics);
        BOOST_REQUIRE(storeAtLeader({ first.service.get(), second.service.get() }, 5));
        backend_announcement announcement;
        announcement.id = "i-1";
        announcement.service = "orders";
        announcement.address = { ip_address::fromIpv4(0x0a000001), 80 };
        announcement.startedAtMs = 100;
        first.service->announce(announcement);
        std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
    }
    // The other members stay away, so there is no leader.
    running const again(settings, metrics);
    balancer_probe probe(settingsOf(9, { 1 }, host_role::Balancer));
    BOOST_TEST(probe.waitUntilReady(std::chrono::seconds(1)));
    BOOST_TEST(probe.router.version() == 5u);
    BOOST_TEST(probe.router.pool().readyCount("orders") == 1u);
    BOOST_CHECK(!again.service->read().status.ok());
}

// Start of many balancers: each greets several times before the answer is there, and gets the directory once.
BOOST_FIXTURE_TEST_CASE(impatient_greetings_are_answered_with_one_directory, control_fixture)
{
    running const host(settingsOf(1, { 1 }), metrics);
    backend_announcement announcement;
    announcement.id = "i-1";
    announcement.service = "orders";
    announcement.address = { ip_address::fromIpv4(0x0a000001), 80 };
    host.service->announce(announcement);
    auto channel = peer_channel::create({ addressOf(9), 27'921 }).value();
    fleet_host const balancer { { addressOf(9), 27'921 }, host_role::Balancer, "a", "host-9", 0, {} };
    // The first greeting makes the balancer known; changes are sent to it from then on.
    channel.send({ addressOf(1), 27'921 }, hello_message { balancer, 0, 1, 0, host_list::Unwanted, server_scope::Own });
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    bool isEmpty = false;
    while (!isEmpty)
        channel.receive(bootTime(), isEmpty);
    for (int count = 0; count < 20; ++count)
        channel.send(
            { addressOf(1), 27'921 }, hello_message { balancer, 0, 0, 0, host_list::Unwanted, server_scope::Own });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    int directories = 0;
    for (isEmpty = false; !isEmpty;) {
        auto const message = channel.receive(bootTime(), isEmpty);
        auto const* const update = message ? std::get_if<directory_update>(&message->message) : nullptr;
        directories += update && !update->records.empty() ? 1 : 0;
    }
    BOOST_TEST(directories == 1);
}

// Greetings of a large deployment: only those that ask are answered with all hosts.
BOOST_FIXTURE_TEST_CASE(greeting_that_asks_for_no_hosts_gets_the_receiver_alone, control_fixture)
{
    running const host(settingsOf(1, { 1 }), metrics);
    auto channel = peer_channel::create({ addressOf(9), 27'921 }).value();
    fleet_host const other { { addressOf(8), 27'921 }, host_role::Control, "a", "host-8", 27'922, {} };
    fleet_host const self { { addressOf(9), 27'921 }, host_role::Control, "a", "host-9", 27'922, {} };
    std::map<host_list, size_t> listed;
    channel.send({ addressOf(1), 27'921 }, hello_message { other, 0, 0, 0, host_list::Unwanted, server_scope::Own });
    for (auto const hosts : { host_list::Unwanted, host_list::Wanted }) {
        channel.send({ addressOf(1), 27'921 }, hello_message { self, 0, 0, 0, hosts, server_scope::Own });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        for (bool isEmpty = false; !isEmpty;) {
            auto const message = channel.receive(bootTime(), isEmpty);
            auto const* const welcome = message ? std::get_if<hello_response>(&message->message) : nullptr;
            if (welcome)
                listed[hosts] = welcome->hosts.size();
        }
    }
    BOOST_TEST(listed[host_list::Unwanted] == 1u);
    BOOST_TEST(listed[host_list::Wanted] == 3u);
}

struct start_row {
    char const* name;
    int servers;
    /// Whole directories that a balancer gets without asking.
    int pushed;
};
std::ostream& operator<<(std::ostream& stream, start_row const& row) { return stream << row.name; }

start_row const startRows[] = {
    { "a small directory goes along", 1, 1 },
    { "a large directory is asked for", 4'000, 0 },
};

// Start of all control hosts at once: hundreds of balancers need one copy of what is known, not one from each.
BOOST_DATA_TEST_CASE_F(control_fixture, starting_control_host_sends_a_large_directory_once_asked, startRows, row)
{
    fleet_host const balancer { { addressOf(9), 27'921 }, host_role::Balancer, "a", "host-9", 0, {} };
    auto const settings = settingsOf(1, { 1 });
    {
        running const host(settings, metrics);
        BOOST_REQUIRE(storeWithin(*host.service, 5, std::chrono::seconds(8)).status.ok());
        for (int number = 1; number <= row.servers; ++number) {
            backend_announcement announcement;
            announcement.id = "i-" + std::to_string(number);
            announcement.service = "orders";
            announcement.address = { ip_address::fromIpv4(0x0a000000U + static_cast<uint32_t>(number)), 80 };
            host.service->announce(announcement);
        }
        auto channel = peer_channel::create(balancer.peer).value();
        hello_message const greeting { balancer, 0, 1, 0, host_list::Unwanted, server_scope::Own };
        channel.send({ addressOf(1), 27'921 }, greeting);
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
    running const again(settings, metrics);
    BOOST_TEST(countDirectories() == row.pushed);
    channel.send({ addressOf(1), 27'921 }, hello_message { balancer, 5, 0, 0, host_list::Unwanted, server_scope::All });
    BOOST_TEST(countDirectories() == 1 - row.pushed);
}

// Guards against a balancer that waits for ever because the control host that it asked first is away: another one has
// sent its own servers by then, and still has to send all.
BOOST_FIXTURE_TEST_CASE(all_servers_are_sent_to_a_balancer_that_has_those_of_one_host, control_fixture)
{
    running const host(settingsOf(1, { 1 }), metrics);
    backend_announcement announcement;
    announcement.id = "i-1";
    announcement.service = "orders";
    announcement.address = { ip_address::fromIpv4(0x0a000001), 80 };
    host.service->announce(announcement);
    auto channel = peer_channel::create({ addressOf(9), 27'921 }).value();
    fleet_host const balancer { { addressOf(9), 27'921 }, host_role::Balancer, "a", "host-9", 0, {} };
    directory_view view;
    std::map<server_scope, int> received;
    for (auto const scope : { server_scope::Own, server_scope::All }) {
        auto const held = view.positionOf({ addressOf(1), 27'921 });
        channel.send({ addressOf(1), 27'921 },
            hello_message { balancer, 0, held.epoch, held.revision, host_list::Unwanted, scope });
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

// Restart of everything: a balancer asks the first control host that speaks, and no other within 300 ms.
BOOST_FIXTURE_TEST_CASE(balancer_asks_the_first_control_host_for_all_servers, control_fixture)
{
    balancer_probe probe(settingsOf(9, {}, host_role::Balancer));
    std::vector<peer_channel> controls;
    std::vector<server_scope> asked;
    hello_response const welcome;
    for (int number = 1; number <= 3; ++number)
        controls.push_back(peer_channel::create({ addressOf(number), 27'921 }).value());
    for (int number = 1; number <= 3; ++number)
        probe.control.receive({ addressOf(number), 27'921 }, welcome, bootTime());
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    for (auto& control : controls) {
        for (bool isEmpty = false; !isEmpty;) {
            auto const message = control.receive(bootTime(), isEmpty);
            auto const* const hello = message ? std::get_if<hello_message>(&message->message) : nullptr;
            if (hello)
                asked.push_back(hello->servers);
        }
    }
    BOOST_CHECK((asked == std::vector { server_scope::All }));
}

// Guards against a host that lost its disk and is never taken back.
BOOST_FIXTURE_TEST_CASE(host_with_an_empty_disk_joins_again, control_fixture)
{
    running const first(settingsOf(1, { 1, 2, 3 }), metrics);
    running const second(settingsOf(2, { 1, 2, 3 }), metrics);
    auto const third = settingsOf(3, { 1, 2, 3 });
    {
        running const founder(third, metrics);
        BOOST_REQUIRE(storeAtLeader({ first.service.get(), second.service.get(), founder.service.get() }, 5));
    }
    std::filesystem::remove_all(third.dataFolder);
    std::filesystem::create_directories(third.dataFolder);
    auto returning = third;
    returning.bootstrap = bootstrap_permission::Forbidden;
    running const host(returning, metrics);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    // A member redirects to the leader, or leads; an applicant knows no leader.
    auto const answer = host.service->read();
    BOOST_TEST((answer.status.ok() || answer.leader.has_value()));
}

} // namespace

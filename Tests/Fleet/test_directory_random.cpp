#include "directory_fixture.h"

#include <algorithm>
#include <array>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>

using namespace bilberryyard;

namespace {

constexpr int controlCount = 3;
constexpr int balancerCount = 2;
constexpr int addressCount = 12;
constexpr int stepMs = 50;
constexpr int publicationMs = 400;
constexpr int responseWaitMs = 1'000;

/// A control host: its own directory, and what it has received from the others.
struct control_host_model {
    std::unique_ptr<directory_feed> feed;
    directory_view others;
    /// Neither answers calls nor sends anything until this time.
    int absentUntil = 0;
    bool restartsThen = false;
    directory_update saved;
};

struct server_model {
    backend_announcement announcement;
    int control = 0;
    int nextCallAt = 0;
    /// Time of the last acknowledged announcement; nullopt before the first one.
    std::optional<int> acknowledgedAt;
    int acknowledgedBy = 0;
    backend_state acknowledgedState = backend_state::Ready;
    int endsAt = 0;
    bool leaves = false;
};

struct delayed_call {
    int at;
    int control;
    backend_announcement announcement;
};

/// Servers that start, move, restart under their identifier, drain, leave and crash, control hosts that are suspended
/// and restart, lost updates, and calls that arrive late or twice; in simulated time without sockets.
class fleet_model : directory_fixture {
public:
    explicit fleet_model(unsigned seed)
        : m_random(seed)
    {
        for (int number = 0; number < controlCount; ++number) {
            start(m_controls[number]);
            m_controls[number].others.setServices(m_services, at(0));
        }
        for (auto& balancer : m_balancers)
            balancer.setServices(m_services, at(0));
    }

    void run(int durationMs)
    {
        for (m_now = 0; m_now < durationMs; m_now += stepMs) {
            stepControls();
            deliverDelayedCalls();
            stepServers();
            if (m_now % publicationMs == 0)
                publish(m_now % (5 * publicationMs) == 0 ? update_loss::None : update_loss::Some);
            if (m_now % (5 * publicationMs) != 0)
                continue;
            // A control host may contradict what another one has just sent.
            publish(update_loss::None);
            publish(update_loss::None);
            checkBalancers();
        }
    }

    int checkedServers() const { return m_checkedServers; }

private:
    enum class update_loss : uint8_t { None, Some };

    int draw(int limit) { return static_cast<int>(m_random() % static_cast<unsigned>(limit)); }
    bool happens(int percentage) { return draw(100) < percentage; }
    bool isPresent(int control) const { return m_now >= m_controls[control].absentUntil; }

    void start(control_host_model& control)
    {
        control.feed = std::make_unique<directory_feed>(backend_directory_settings(), ++m_epoch);
        control.feed->setServices(m_services);
    }

    /// Restores the saved directory and offers it to the balancers, as a control host does when it starts.
    void restart(int number)
    {
        auto& control = m_controls[number];
        start(control);
        control.others = {};
        control.others.setServices(m_services, at(m_now));
        for (auto& record : control.saved.records)
            record.age = backend_directory_settings().announcementTimeout;
        control.saved.scope = server_scope::All;
        passOn(control, control.others.apply(controlHost(number), control.saved, at(m_now)));
        std::vector<feed_position> positions { { controlHost(number), control.feed->epoch(), 0 } };
        auto records = control.others.records(positions, at(m_now));
        directory_pages pages;
        pages.assign(std::move(records), std::move(positions), server_scope::All);
        for (auto& balancer : m_balancers)
            balancer.apply(controlHost(number), pages.pageAt({}, "zone-1"), at(m_now));
    }

    void stepControls()
    {
        for (int number = 0; number < controlCount; ++number) {
            auto& control = m_controls[number];
            if (control.restartsThen && isPresent(number)) {
                control.restartsThen = false;
                restart(number);
            }
            bool const areAllPresent = isPresent(0) && isPresent(1) && isPresent(2);
            if (!areAllPresent || draw(4'000 / stepMs * controlCount) > 0)
                continue;
            control.restartsThen = happens(50);
            control.absentUntil = m_now + stepMs * (1 + draw(8'000 / stepMs));
        }
    }

    void deliverDelayedCalls()
    {
        for (auto const& call : m_delayedCalls) {
            if (call.at == m_now && isPresent(call.control))
                m_controls[call.control].feed->announce(call.announcement, at(m_now));
        }
        std::erase_if(m_delayedCalls, [&](auto const& call) { return call.at <= m_now; });
    }

    void startServers()
    {
        for (int address = 0; address < addressCount; ++address) {
            if (m_servers.contains(address) || m_now < m_addressFreeAt[address] || !happens(5))
                continue;
            server_model server;
            bool const isRestart = !m_endedIds.empty() && happens(40);
            auto const number = isRestart ? m_endedIds.back() : ++m_lastNumber;
            if (isRestart)
                m_endedIds.pop_back();
            server.announcement = announcementOf(number, 0);
            server.announcement.service = "orders";
            server.announcement.address.port = static_cast<uint16_t>(8'000 + address);
            server.announcement.address.address = ip_address::fromIpv4(0x0a000001U);
            server.announcement.startedAtMs = 1'000'000 + m_now;
            server.control = draw(controlCount);
            server.nextCallAt = m_now;
            server.endsAt = m_now + stepMs * (20 + draw(20'000 / stepMs));
            server.leaves = happens(50);
            m_numbers[address] = number;
            m_servers.emplace(address, server);
        }
    }

    void end(int address)
    {
        auto& server = m_servers.at(address);
        if (server.leaves) {
            auto leave = announcementOf(m_numbers[address], 0, backend_state::Gone);
            leave.startedAtMs = server.announcement.startedAtMs;
            leave.address = {};
            send(server.control, leave);
        }
        m_endedIds.insert(m_endedIds.begin() + draw(static_cast<int>(m_endedIds.size()) + 1), m_numbers[address]);
        m_addressFreeAt[address] = m_now + stepMs * (1 + draw(6'000 / stepMs));
        m_servers.erase(address);
    }

    bool send(int control, backend_announcement const& announcement)
    {
        if (happens(15)) {
            auto const delay = stepMs * (1 + draw(15'000 / stepMs));
            m_delayedCalls.push_back({ m_now + delay, draw(controlCount), announcement });
        }
        if (!isPresent(control))
            return false;
        m_controls[control].feed->announce(announcement, at(m_now));
        return true;
    }

    void stepServers()
    {
        startServers();
        for (int address = 0; address < addressCount; ++address) {
            auto const entry = m_servers.find(address);
            if (entry == m_servers.end())
                continue;
            auto& server = entry->second;
            if (m_now >= server.endsAt) {
                end(address);
                continue;
            }
            if (m_now < server.nextCallAt)
                continue;
            ++server.announcement.sequence;
            if (server.leaves && m_now >= server.endsAt - 4'000)
                server.announcement.state = backend_state::Draining;
            if (send(server.control, server.announcement)) {
                server.acknowledgedAt = m_now;
                server.acknowledgedBy = server.control;
                server.acknowledgedState = server.announcement.state;
                server.nextCallAt = m_now + 1'200;
                // An acknowledgement is lost now and then.
                if (happens(5))
                    server.control = (server.control + 1) % controlCount;
            } else {
                server.control = (server.control + 1) % controlCount;
                server.nextCallAt = m_now + responseWaitMs;
            }
        }
    }

    /// Does with changes what a control host does.
    static void passOn(control_host_model& control, directory_view::changes const& changes)
    {
        for (auto const& id : changes.changed)
            control.feed->recordElsewhere(control.others.directory().find(id)->announcement);
        for (auto const& [token, liveness] : changes.renewed) {
            auto const* const id = control.others.findId(token);
            if (id && liveness.lease)
                control.feed->release(*id);
            else if (id)
                control.feed->contradictLate(*id, liveness.lastSeenAt);
        }
    }

    template <typename Function>
    void deliver(int sender, directory_view& receiver, directory_update const& update, Function onChanges)
    {
        auto const host = controlHost(sender);
        auto const changes = receiver.apply(host, update, at(m_now));
        onChanges(changes);
        if (changes.isComplete == directory_view::completeness::Complete)
            return;
        auto const position = receiver.positionOf(host);
        if (auto const missing = m_controls[sender].feed->updateSince(position.epoch, position.revision, at(m_now)))
            onChanges(receiver.apply(host, *missing, at(m_now)));
    }

    void publish(update_loss loss)
    {
        for (int sender = 0; sender < controlCount; ++sender) {
            if (!isPresent(sender))
                continue;
            auto& control = m_controls[sender];
            control.feed->markLate(lateThreshold, at(m_now));
            auto const changes = control.feed->drainChanges(at(m_now));
            auto const update = changes ? *changes : control.feed->lease();
            control.saved = control.feed->fullUpdate(at(m_now));
            auto const others = control.others.directory().entries();
            for (auto const& [id, entry] : others)
                control.saved.records.push_back({ entry.announcement, {} });
            for (auto& balancer : m_balancers) {
                if (loss == update_loss::None || !happens(20))
                    deliver(sender, balancer, update, [](auto const&) {});
            }
            for (int number = 0; number < controlCount; ++number) {
                auto& other = m_controls[number];
                if (number != sender && isPresent(number))
                    deliver(sender, other.others, update, [&](auto const& result) { passOn(other, result); });
            }
        }
    }

    void checkBalancers()
    {
        for (auto& balancer : m_balancers) {
            balancer.reevaluate(at(m_now));
            for (auto const& [address, server] : m_servers)
                check(balancer, server);
            balancer.expire(at(m_now));
        }
    }

    void check(directory_view const& balancer, server_model const& server)
    {
        auto const& expected = server.announcement;
        if (!server.acknowledgedAt || m_now - *server.acknowledgedAt > 1'200
            || m_controls[server.acknowledgedBy].absentUntil > *server.acknowledgedAt)
            return;
        ++m_checkedServers;
        BOOST_TEST_CONTEXT("server " << expected.id << " at " << m_now << " ms")
        {
            auto const* const entry = balancer.directory().find(expected.id);
            BOOST_REQUIRE(entry);
            BOOST_TEST(entry->announcement.startedAtMs == expected.startedAtMs);
            BOOST_TEST(entry->announcement.address.port == expected.address.port);
            BOOST_CHECK(entry->state() == server.acknowledgedState);
            BOOST_CHECK(balancer.livenessOf(expected.id).latest() >= at(*server.acknowledgedAt));
        }
    }

    std::mt19937 m_random;
    std::set<std::string> const m_services { "orders" };
    std::array<control_host_model, controlCount> m_controls;
    std::array<directory_view, balancerCount> m_balancers;
    std::map<int, server_model> m_servers;
    std::array<int, addressCount> m_numbers {};
    std::array<int, addressCount> m_addressFreeAt {};
    std::vector<int> m_endedIds;
    std::vector<delayed_call> m_delayedCalls;
    uint64_t m_epoch = 0;
    int m_lastNumber = 0;
    int m_now = 0;
    int m_checkedServers = 0;
};

// Guards against a server that is alive and whose announcements are acknowledged, and that a balancer that has received
// all updates regards as departed, silent or at another address, after any sequence of events.
BOOST_DATA_TEST_CASE(live_server_is_known_to_every_balancer, boost::unit_test::data::xrange(1, 13), seed)
{
    fleet_model model(static_cast<unsigned>(seed));
    model.run(120'000);
    BOOST_TEST(model.checkedServers() > 500);
}

} // namespace

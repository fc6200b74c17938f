// Flows that leave their availability zone under different load patterns; the comment of each test names its pattern.
#include <Placement/zone_spill.h>
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <numbers>
#include <queue>
#include <random>

using namespace bilberryyard;

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr size_t zoneTotal = 3;
constexpr duration workTime = milliseconds(34);
constexpr duration oneWay = microseconds(4'500);
constexpr double slotsPerZone = 80;

duration scaled(duration time, double factor) { return std::chrono::duration_cast<duration>(time * factor); }

/// Balancers of three zones that know nothing of each other, in front of servers with two slots each. A balancer sees
/// too few flows to know its servers' queues, so it chooses a server of a zone at random.
class zone_load {
public:
    /// @param balancers Balancers of each zone.
    explicit zone_load(size_t balancers, zone_spill_settings const& settings = {})
    {
        for (size_t zone = 0; zone < zoneTotal; ++zone) {
            m_servers[zone].resize(static_cast<size_t>(slotsPerZone) / 2);
            for (size_t number = 0; number < balancers; ++number) {
                auto& spill = m_balancers[zone].emplace_back(settings, std::to_string(zone));
                for (size_t other = 0; other < zoneTotal; ++other)
                    spill.indexOf(std::to_string(other));
            }
        }
        loads.fill([](double) { return 0.0; });
        m_due.fill(0);
    }

    void run(milliseconds time)
    {
        for (auto const end = m_now + time; m_now < end; m_now += milliseconds(1)) {
            for (; !m_responses.empty() && m_responses.top().at <= m_now; m_responses.pop())
                deliver(m_responses.top());
            for (size_t zone = 0; zone < zoneTotal; ++zone) {
                m_due[zone]
                    += loads[zone](seconds()) * slotsPerZone / std::chrono::duration<double>(workTime).count() / 1'000;
                for (; m_due[zone] >= 1; --m_due[zone])
                    place(zone);
            }
        }
    }

    /// Forgets what has been counted.
    void clear()
    {
        flows = {};
        responseSum = {};
    }

    /// @return Share of a zone's flows that left it since clear().
    double leftShare(size_t zone) const
    {
        double const all = flows[zone][0] + flows[zone][1] + flows[zone][2];
        return all == 0 ? 0 : 1 - flows[zone][zone] / all;
    }
    double meanResponseMs(size_t zone) const
    {
        return responseSum[zone] / (flows[zone][0] + flows[zone][1] + flows[zone][2]);
    }
    /// @return Mean over the balancers of a zone of the share that they let leave.
    double decidedShare(size_t zone) const
    {
        double sum = 0;
        for (auto const& spill : m_balancers[zone])
            sum += spill.comparisonOf("orders", kind).share;
        return sum / static_cast<double>(m_balancers[zone].size());
    }

    /// Load of each zone's callers at a time in seconds, relative to the slots of the zone.
    std::array<std::function<double(double)>, zoneTotal> loads;
    request_kind kind = request_kind::Idempotent;
    uint64_t bytesPerRequest = 2'000;
    duration targetLatency = milliseconds(500);
    std::array<bool, zoneTotal> isCut {};
    /// Servers of zone 0 that take five times as long.
    size_t slowServers = 0;
    /// Flows by the zone of their callers and of their servers.
    std::array<std::array<double, zoneTotal>, zoneTotal> flows {};
    std::array<double, zoneTotal> responseSum {};

private:
    struct response {
        monotonic_time at;
        size_t zone;
        size_t balancer;
        size_t serverZone;
        duration time;
        bool operator<(response const& other) const { return at > other.at; }
    };

    double seconds() const { return std::chrono::duration<double>(m_now.time_since_epoch()).count(); }

    // A balancer numbers its own zone 0; the others keep their order.
    static size_t toIndex(size_t zone, size_t serverZone)
    {
        return serverZone == zone ? 0 : serverZone + (serverZone < zone ? 1 : 0);
    }
    static size_t toZone(size_t zone, size_t index) { return index == 0 ? zone : index - (index <= zone ? 1 : 0); }

    void place(size_t zone)
    {
        auto const balancer = m_random() % m_balancers[zone].size();
        auto& spill = m_balancers[zone][balancer];
        std::array<double, zoneTotal> capacities {};
        for (size_t serverZone = 0; serverZone < zoneTotal; ++serverZone)
            capacities[toIndex(zone, serverZone)] = isCut[serverZone] ? 0 : slotsPerZone;
        auto const index
            = spill.chooseZone("orders", kind, targetLatency, capacities, m_draw(m_random), m_draw(m_random), m_now);
        auto const serverZone = toZone(zone, index.value_or(0));
        auto const distance = serverZone == zone ? duration::zero() : 2 * oneWay;
        ++flows[zone][serverZone];
        auto const number = m_random() % m_servers[serverZone].size();
        auto& server = m_servers[serverZone][number];
        auto& slot = server[0] < server[1] ? server[0] : server[1];
        auto const isSlow = serverZone == 0 && number < slowServers;
        // Servers refuse requests when their queue is full.
        auto const start = std::max(slot, m_now);
        if (start - m_now > 4 * workTime) {
            responseSum[zone] += 1'000;
            return;
        }
        slot = start + scaled(workTime, (isSlow ? 5 : 1) * m_work(m_random));
        auto const time = slot - m_now + distance;
        responseSum[zone] += std::chrono::duration<double, std::milli>(time).count();
        m_responses.push({ m_now + time, zone, balancer, serverZone, time });
        spill.recordHandshakeTime(index.value_or(0), milliseconds(6) + distance);
    }

    void deliver(response const& item)
    {
        auto& spill = m_balancers[item.zone][item.balancer];
        spill.recordResponseTime("orders", kind, toIndex(item.zone, item.serverZone), item.time, m_now);
        spill.recordRequestBytes("orders", kind, bytesPerRequest);
    }

    monotonic_time m_now = monotonic_time() + std::chrono::seconds(100);
    std::array<std::vector<zone_spill>, zoneTotal> m_balancers;
    std::array<std::vector<std::array<monotonic_time, 2>>, zoneTotal> m_servers;
    std::array<double, zoneTotal> m_due;
    std::priority_queue<response> m_responses;
    std::mt19937 m_random { 7 };
    std::uniform_real_distribution<double> m_draw { 0, 1 };
    std::lognormal_distribution<double> m_work { -0.125, 0.5 };
};

std::function<double(double)> constant(double load)
{
    return [load](double) { return load; };
}

struct load_row {
    char const* name;
    std::array<double, zoneTotal> loads;
    size_t slowServers;
    int targetMs;
    /// Bounds of the share of zone 0 that leaves.
    double atLeast;
    double atMost;
};
std::ostream& operator<<(std::ostream& stream, load_row const& row) { return stream << row.name; }

load_row const loadRows[] = {
    { "own zone full, others idle", { 1.3, 0.2, 0.2 }, 0, 500, 0.25, 0.6 },
    { "own zone below capacity, others idle", { 0.4, 0.2, 0.2 }, 0, 500, 0, 0.02 },
    { "all zones full", { 1.3, 1.3, 1.3 }, 0, 500, 0, 0.15 },
    { "one slow own server", { 0.4, 0.3, 0.3 }, 1, 0, 0, 0.02 },
    { "own zone slower than others, far below the target latency", { 0.9, 0.2, 0.2 }, 0, 5'000, 0, 0.02 },
};

// Steady load: the share that leaves depends on what the own zone lacks and on what the others have.
BOOST_DATA_TEST_CASE(flows_leave_a_full_zone_for_idle_ones, loadRows, row)
{
    zone_load load(27);
    load.loads.fill(constant(0.3));
    load.run(milliseconds(5'000));
    for (size_t zone = 0; zone < zoneTotal; ++zone)
        load.loads[zone] = constant(row.loads[zone]);
    load.slowServers = row.slowServers;
    load.targetLatency = milliseconds(row.targetMs);
    load.run(milliseconds(3'000));
    load.clear();
    load.run(milliseconds(4'000));
    BOOST_TEST(load.leftShare(0) >= row.atLeast);
    BOOST_TEST(load.leftShare(0) <= row.atMost);
    BOOST_TEST_MESSAGE(row.name << ": left " << load.leftShare(0) << " mean ms " << load.meanResponseMs(0));
}

// Both of two zones busy: traffic that each sends to the other helps no caller.
BOOST_AUTO_TEST_CASE(two_busy_zones_do_not_swap_their_traffic)
{
    zone_load load(27);
    load.isCut[2] = true;
    load.loads = { constant(0.3), constant(0.3), constant(0) };
    load.run(milliseconds(5'000));
    load.loads = { constant(1.1), constant(1.1), constant(0) };
    load.run(milliseconds(3'000));
    load.clear();
    load.run(milliseconds(5'000));
    BOOST_TEST_MESSAGE("swap " << load.leftShare(0) << " " << load.leftShare(1));
    BOOST_TEST(std::min(load.leftShare(0), load.leftShare(1)) < 0.1);
}

// A wave of demand that moves from zone to zone: the zone of the peak sends flows out, the zone of the trough does not.
BOOST_AUTO_TEST_CASE(a_moving_wave_is_followed)
{
    zone_load load(27);
    constexpr double period = 16;
    for (size_t zone = 0; zone < zoneTotal; ++zone)
        load.loads[zone] = [zone](double time) {
            auto const phase = time / period - static_cast<double>(zone) / zoneTotal;
            return 0.7 * (1 + 0.55 * std::sin(2 * std::numbers::pi * phase));
        };
    load.run(milliseconds(16'000));
    // Time 100 s is at phase 0.25 of a period of 16 s, so that zone 0 has its peak at the start of each run.
    double atPeak = 0;
    double atTrough = 1;
    for (int step = 0; step < 16; ++step) {
        load.clear();
        load.run(milliseconds(1'000));
        atPeak = std::max(atPeak, load.leftShare(0));
        atTrough = std::min(atTrough, load.leftShare(0));
        BOOST_TEST_MESSAGE("wave " << step << " left " << load.leftShare(0) << " " << load.leftShare(1) << " "
                                   << load.leftShare(2) << " mean ms " << load.meanResponseMs(0));
    }
    BOOST_TEST(atPeak > 0.15);
    BOOST_TEST(atTrough < 0.02);
}

// A zone that is cut off: flows that leave go to the remaining one.
BOOST_AUTO_TEST_CASE(no_flow_goes_to_a_cut_zone)
{
    zone_load load(27);
    load.loads = { constant(0.3), constant(0.2), constant(0.2) };
    load.run(milliseconds(5'000));
    load.loads[0] = constant(1.2);
    load.isCut[1] = true;
    load.run(milliseconds(3'000));
    load.clear();
    load.run(milliseconds(2'000));
    BOOST_TEST(load.flows[0][1] == 0);
    BOOST_TEST(load.flows[0][2] > 0);
}

// A remote zone is full as well: flows that leave avoid it.
BOOST_AUTO_TEST_CASE(a_full_remote_zone_gets_less_than_an_idle_one)
{
    zone_load load(27);
    load.loads = { constant(0.3), constant(0.3), constant(0.3) };
    load.run(milliseconds(5'000));
    load.loads = { constant(1.3), constant(1.1), constant(0.2) };
    load.run(milliseconds(3'000));
    load.clear();
    load.run(milliseconds(3'000));
    BOOST_TEST_MESSAGE("full " << load.flows[0][1] << " idle " << load.flows[0][2]);
    BOOST_TEST(load.flows[0][1] * 3 < load.flows[0][2]);
}

// A burst of uploads: the cost of their bytes keeps more of them in the zone than of small requests.
BOOST_AUTO_TEST_CASE(uploads_leave_later_than_small_requests)
{
    std::array<double, 2> shares {};
    for (size_t index = 0; index < shares.size(); ++index) {
        zone_load load(27);
        load.kind = index == 0 ? request_kind::Idempotent : request_kind::Upload;
        load.bytesPerRequest = index == 0 ? 500 : 100'000;
        load.loads = { constant(0.3), constant(0.2), constant(0.2) };
        load.run(milliseconds(5'000));
        load.loads[0] = constant(0.95);
        load.run(milliseconds(3'000));
        load.clear();
        load.run(milliseconds(4'000));
        shares[index] = load.leftShare(0);
    }
    BOOST_TEST_MESSAGE("small " << shares[0] << " uploads " << shares[1]);
    BOOST_TEST(shares[1] < 0.6 * shares[0]);
}

// 97 balancers that decide alone: within two seconds they settle at a share that no longer swings by more than 10%.
BOOST_AUTO_TEST_CASE(many_balancers_settle_without_a_common_swing)
{
    zone_load load(97);
    load.loads = { constant(0.4), constant(0.2), constant(0.2) };
    load.run(milliseconds(6'000));
    load.loads[0] = constant(1.3);
    load.run(milliseconds(2'000));
    double lowest = 1;
    double highest = 0;
    for (int step = 0; step < 60; ++step) {
        load.run(milliseconds(100));
        lowest = std::min(lowest, load.decidedShare(0));
        highest = std::max(highest, load.decidedShare(0));
        if (step % 5 == 0)
            BOOST_TEST_MESSAGE("share " << load.decidedShare(0));
    }
    BOOST_TEST(lowest > 0.2);
    BOOST_TEST(highest - lowest <= 0.1);
}

} // namespace

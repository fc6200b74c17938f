#pragma once

#include <Base/hashing.h>
#include <Trace/replay_options.h>
#include <Trace/replay_outcome.h>
#include <Trace/replay_queue.h>
#include <Trace/trace_header.h>
#include <Trace/trace_input.h>
#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace bilberryyard {

/// State shared by all components of a replay: clock, delays, partitions, message faults, and the outcome.
class replay_network {
public:
    replay_network(trace_header header, replay_options options)
        : m_header(std::move(header))
        , m_options(std::move(options))
    {
    }

    trace_header const& header() const { return m_header; }
    replay_options const& options() const { return m_options; }
    replay_queue& queue() { return m_queue; }
    replay_outcome& outcome() { return m_outcome; }
    monotonic_time now() const { return m_queue.now(); }
    /// @return Time since the start of the trace.
    duration elapsed() const { return now() - replay_queue::start; }

    /// @param salt Identifies what the value is used for, so that different uses get different values.
    /// @return Pseudo-random value that depends only on the trace's seed, the salt and the number of earlier calls.
    uint64_t random(uint64_t salt) { return hashPair(m_header.seed + salt, ++m_drawCount); }

    void setPartition(partition_event const& event) { m_partitionedZones = { event.zones.begin(), event.zones.end() }; }
    void setFault(message_fault const& fault) { m_faults[{ fault.sender, fault.receiver }] = fault; }

    /// @return Whether packets pass between two zones.
    bool connects(zone_id first, zone_id second) const
    {
        return m_partitionedZones.contains(first) == m_partitionedZones.contains(second);
    }
    bool isPartitioned() const { return !m_partitionedZones.empty(); }
    duration delayBetween(zone_id first, zone_id second) const
    {
        return first == second ? m_header.localDelay : m_header.zoneDelay;
    }

    /// Sends a message between two hosts over a connection that preserves order. The message is lost when the hosts
    /// are partitioned or a fault drops it.
    /// @param deliver Runs on arrival.
    void send(trace_host sender, trace_host receiver, std::function<void()> deliver)
    {
        if (!connects(sender.zone, receiver.zone))
            return;
        auto arrival = now() + delayBetween(sender.zone, receiver.zone);
        if (auto const found = m_faults.find({ sender.id, receiver.id }); found != m_faults.end()) {
            if (random(1) % 1000 < found->second.lossPerMille)
                return;
            arrival += found->second.delay;
        }
        auto& last = m_lastArrival[{ sender.id, receiver.id }];
        last = std::max(last, arrival);
        m_queue.add(last, std::move(deliver));
    }

private:
    trace_header m_header;
    replay_options m_options;
    replay_queue m_queue;
    replay_outcome m_outcome;
    uint64_t m_drawCount = 0;
    std::set<zone_id> m_partitionedZones;
    std::map<std::pair<host_id, host_id>, message_fault> m_faults;
    std::map<std::pair<host_id, host_id>, monotonic_time> m_lastArrival;
};

} // namespace bilberryyard

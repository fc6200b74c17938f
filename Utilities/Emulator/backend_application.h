#pragma once

#include "emulated_request.h"
#include <Base/monotonic_time.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bilberryyard {

/// Settings of an emulated backend server.
struct backend_application_settings {
    std::string service;
    std::string server;
    /// Number of requests processed concurrently.
    uint32_t slots = 2;
    /// How long a request occupies a slot.
    std::chrono::milliseconds serviceTime { 2 };
    auto operator<=>(backend_application_settings const&) const = default;
};

/// Payload to send on a connection.
struct application_output {
    uint64_t connection = 0;
    std::string payload;
    /// Whether to close the connection after the payload.
    bool closes = false;
    auto operator<=>(application_output const&) const = default;
};

/// The application on an emulated backend server: processes requests in a bounded number of slots and serves feeds.
/// Does no I/O and reads no clock: the caller passes received bytes and the time, and sends the output.
class backend_application {
public:
    explicit backend_application(backend_application_settings settings);

    /// Handles bytes received on a connection.
    /// @param connection Identifier of the connection.
    /// @param buffer Received bytes; complete requests are removed from it.
    /// @param output The payloads to send are appended to it.
    void receive(uint64_t connection, std::string& buffer, monotonic_time now, std::vector<application_output>& output);

    /// Removes the feed and the queued requests of a connection that has ended.
    void connectionEnded(uint64_t connection);

    /// Completes requests and sends feed updates that are due.
    void poll(monotonic_time now, std::vector<application_output>& output);

    uint32_t busySlots() const { return static_cast<uint32_t>(m_running.size()); }
    uint32_t queued() const { return static_cast<uint32_t>(m_queue.size()); }
    uint64_t completedCount() const { return m_completedCount; }
    /// @return Number of executions of each order, by request id.
    std::map<uint64_t, uint32_t> const& executions() const { return m_executions; }

private:
    struct work_item {
        uint64_t connection;
        emulated_request request;
        monotonic_time end;
    };
    struct feed {
        emulated_request request;
        uint64_t updates = 0;
    };

    void startWork(monotonic_time now);
    application_output complete(work_item const& item);

    backend_application_settings const m_settings;
    std::deque<work_item> m_queue;
    std::vector<work_item> m_running;
    std::map<uint64_t, feed> m_feeds;
    // Connections of feeds by the due time of their next update; entries of ended feeds are skipped.
    std::multimap<monotonic_time, uint64_t> m_schedule;
    std::map<uint64_t, uint32_t> m_executions;
    uint64_t m_completedCount = 0;
};

} // namespace bilberryyard

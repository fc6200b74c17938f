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
    /// Requests that are worked on at the same time.
    uint32_t slots = 2;
    /// Time that one request occupies a slot.
    std::chrono::milliseconds serviceTime { 2 };
    auto operator<=>(backend_application_settings const&) const = default;
};

/// What the application wants sent on a connection.
struct application_output {
    uint64_t connection = 0;
    std::string payload;
    /// Close the connection after the payload.
    bool closes = false;
    auto operator<=>(application_output const&) const = default;
};

/// The application on an emulated backend server: works on requests in a bounded number of slots and
/// serves feeds. Pure: bytes and the time in, bytes out.
class backend_application {
public:
    explicit backend_application(backend_application_settings settings);

    /// Handles bytes of a connection.
    /// @param connection Number of the connection.
    /// @param buffer Received bytes; complete requests are taken from it.
    /// @param now The time.
    /// @param output Receives what to send.
    void receive(uint64_t connection, std::string& buffer, monotonic_time now, std::vector<application_output>& output);

    /// Forgets a connection that has ended.
    void connectionEnded(uint64_t connection);

    /// Finishes work whose time has come.
    void poll(monotonic_time now, std::vector<application_output>& output);

    uint32_t busySlots() const { return static_cast<uint32_t>(m_running.size()); }
    uint32_t queued() const { return static_cast<uint32_t>(m_queue.size()); }
    uint64_t completed() const { return m_completed; }
    /// @return How often each order was executed, by request id.
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
    application_output answer(work_item const& item);

    backend_application_settings const m_settings;
    std::deque<work_item> m_queue;
    std::vector<work_item> m_running;
    std::map<uint64_t, feed> m_feeds;
    // Next update by due time; entries of ended feeds are skipped.
    std::multimap<monotonic_time, uint64_t> m_schedule;
    std::map<uint64_t, uint32_t> m_executions;
    uint64_t m_completed = 0;
};

} // namespace bilberryyard

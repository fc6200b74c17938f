#include "announcer.h"

#include <OperatorInterface/http_client.h>
#include <iostream>
#include <sstream>

namespace bilberryyard {

namespace {

    constexpr std::chrono::milliseconds announceInterval { 1'000 };
    constexpr std::chrono::milliseconds announceTimeout { 700 };
    constexpr std::chrono::milliseconds pollInterval { 20 };

} // namespace

std::string announced_server::toJson() const
{
    std::ostringstream json;
    json << R"({"service":")" << service << R"(","address":")" << endpoint.address.toText() << R"(","port":)"
         << endpoint.port << R"(,"zone":")" << zone << R"(","state":")" << state << R"(","slots":)" << slots
         << R"(,"connection_limit":)" << connectionLimit << R"(,"busy_slots":)" << busySlots << R"(,"queue":)" << queue
         << R"(,"open_connections":)" << openConnections << R"(,"incarnation":)" << incarnation << "}";
    return json.str();
}

announcer::announcer(std::vector<ip_endpoint> entryHosts, announced_server const& initial)
    : m_entryHosts(std::move(entryHosts))
    , m_preferredHost(initial.endpoint.address.bytes.back() % m_entryHosts.size())
    , m_value(initial)
    , m_thread(std::make_unique<worker_thread>("announcer", [this](std::stop_token const& token) { run(token); }))
{
}

void announcer::update(announced_server const& value)
{
    std::lock_guard const lock(m_mutex);
    if (value.state != m_value.state)
        m_stateChanged = true;
    m_value = value;
}

void announcer::run(std::stop_token const& stopToken)
{
    auto next = std::chrono::steady_clock::now();
    while (!stopToken.stop_requested()) {
        if (std::chrono::steady_clock::now() < next && !m_stateChanged.exchange(false)) {
            std::this_thread::sleep_for(pollInterval);
            continue;
        }
        announced_server value;
        {
            std::lock_guard const lock(m_mutex);
            value = m_value;
        }
        // A failed announcement is retried after a tenth of the interval.
        next = std::chrono::steady_clock::now() + (announceOnce(value) ? announceInterval : announceInterval / 10);
    }
}

bool announcer::announceOnce(announced_server const& value)
{
    for (size_t attempt = 0; attempt < m_entryHosts.size(); ++attempt) {
        auto const& host = m_entryHosts[m_preferredHost];
        http_request const request { "POST", "/v1/servers", {}, { { "content-type", "application/json" } },
            value.toJson() };
        auto const response = exchangeHttp({ host.address, host.port }, request, announceTimeout).response;
        if (response.ok() && response->status == 200)
            return true;
        if (response.ok() && response->status == 400)
            std::cerr << "entry host rejected the announcement: " << response->body << std::endl;
        m_preferredHost = (m_preferredHost + 1) % m_entryHosts.size();
    }
    return false;
}

} // namespace bilberryyard

#include "backend_application.h"

#include <algorithm>
#include <utility>

namespace bilberryyard {

backend_application::backend_application(backend_application_settings settings)
    : m_settings(std::move(settings))
{
}

void backend_application::receive(
    uint64_t connection, std::string& buffer, monotonic_time now, std::vector<application_output>& output)
{
    while (auto const request = emulated_request::decode(buffer)) {
        if (request->kind != request_kind::Feed) {
            m_queue.push_back({ connection, *request, now });
            continue;
        }
        response_header const header { m_settings.service, m_settings.server, request->id, 0 };
        output.push_back({ connection, header.encode() + feedUpdate(request->id, 0), false });
        m_feeds[connection] = { *request, 1 };
        m_schedule.emplace(now + request->interval, connection);
    }
    startWork(now);
}

void backend_application::connectionEnded(uint64_t connection)
{
    m_feeds.erase(connection);
    // Requests that are still queued are cancelled with their connection; a running request completes normally.
    std::erase_if(m_queue, [connection](work_item const& item) { return item.connection == connection; });
}

void backend_application::poll(monotonic_time now, std::vector<application_output>& output)
{
    for (auto const& item : m_running) {
        if (item.end <= now)
            output.push_back(complete(item));
    }
    std::erase_if(m_running, [now](work_item const& item) { return item.end <= now; });
    startWork(now);
    while (!m_schedule.empty() && m_schedule.begin()->first <= now) {
        auto const connection = m_schedule.begin()->second;
        m_schedule.erase(m_schedule.begin());
        auto const entry = m_feeds.find(connection);
        if (entry == m_feeds.end())
            continue;
        auto& active = entry->second;
        output.push_back({ connection, feedUpdate(active.request.id, active.updates++), false });
        m_schedule.emplace(now + active.request.interval, connection);
    }
}

void backend_application::startWork(monotonic_time now)
{
    while (m_running.size() < m_settings.slots && !m_queue.empty()) {
        auto item = m_queue.front();
        m_queue.pop_front();
        item.end = now + m_settings.serviceTime;
        if (item.request.kind == request_kind::Order)
            ++m_executions[item.request.id];
        m_running.push_back(item);
    }
}

application_output backend_application::complete(work_item const& item)
{
    ++m_completedCount;
    response_header const header { m_settings.service, m_settings.server, item.request.id, item.request.size };
    return { item.connection, header.encode() + responsePayload(item.request.id, item.request.size), true };
}

} // namespace bilberryyard

#include "directory_subscription.h"

#include <algorithm>

namespace bilberryyard {

namespace {

    // The next lease of a host that does not respond starts a new request.
    constexpr int maximumRequests = 5;

} // namespace

directory_subscription::directory_subscription(std::string zone, sender send)
    : m_zone(std::move(zone))
    , m_send(std::move(send))
{
}

void directory_subscription::request(ip_endpoint const& source, known_records known, monotonic_time now)
{
    if (m_recovery == recovery::Disabled)
        return;
    auto const position = m_view.positionOf(source);
    directory_fetch fetch({ server_scope::Own, m_zone, position.epoch, position.revision, {}, known });
    auto const [entry, isNew] = m_requests.try_emplace(source, pending_request { fetch, now });
    if (isNew)
        m_send(source, entry->second.fetch.nextRequest(now));
}

directory_view::changes directory_subscription::apply(
    ip_endpoint const& source, directory_update const& update, monotonic_time now)
{
    auto changes = m_view.apply(source, update, now);
    if (changes.isComplete == directory_view::completeness::Gap) {
        bool const isBlank = m_view.directory().entries().empty();
        request(source, isBlank ? known_records::Included : known_records::Omitted, now);
        return changes;
    }
    if (changes.isComplete == directory_view::completeness::UnknownServer) {
        m_requests.erase(source);
        request(source, known_records::Included, now);
        return changes;
    }
    // The missing changes arrived in one update instead of in pages.
    auto const pending = m_requests.find(source);
    if (pending != m_requests.end() && !pending->second.fetch.hasPages())
        m_requests.erase(pending);
    return changes;
}

directory_view::changes directory_subscription::apply(
    ip_endpoint const& source, directory_page const& page, monotonic_time now)
{
    auto changes = m_view.apply(source, page, now);
    if (page.scope != server_scope::Own)
        return changes;
    auto const pending = m_requests.find(source);
    if (pending == m_requests.end() || !pending->second.fetch.accept(page))
        return changes;
    auto& fetch = pending->second.fetch;
    if (!fetch.isComplete()) {
        m_send(source, fetch.nextRequest(now));
        pending->second.sentAt = now;
        return changes;
    }
    for (auto const& position : fetch.positions()) {
        if (position.announcer == source)
            m_view.setPosition(position);
    }
    m_requests.erase(pending);
    return changes;
}

void directory_subscription::step(monotonic_time now)
{
    for (auto& [source, pending] : m_requests) {
        if (pending.fetch.isDue(now) && pending.fetch.requestsSincePage() < maximumRequests) {
            m_send(source, pending.fetch.nextRequest(now));
            pending.sentAt = now;
        }
    }
    std::erase_if(m_requests, [&](auto const& item) {
        return item.second.fetch.requestsSincePage() >= maximumRequests && item.second.fetch.isDue(now);
    });
}

monotonic_time directory_subscription::nextDeadline() const
{
    auto deadline = monotonic_time::max();
    for (auto const& [source, pending] : m_requests)
        deadline = std::min(deadline, pending.sentAt + directory_fetch::pageTimeout);
    return deadline;
}

void directory_subscription::setForwardedPositions(std::vector<feed_position> const& positions)
{
    for (auto const& position : positions)
        m_view.setForwardedPosition(position);
}

} // namespace bilberryyard

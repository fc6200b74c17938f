#include "control_service.h"

#include <Fleet/fleet_codec.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    // Changes that arrive within this time are sent in one update. The time grows with the number of receivers, because
    // sending to one of them takes up to a tenth of a millisecond on a small host.
    constexpr duration minimumChangeDelay = std::chrono::milliseconds(20);
    constexpr duration changeDelayPerReceiver = std::chrono::microseconds(500);
    constexpr duration maximumChangeDelay = std::chrono::milliseconds(200);
    // Announcement intervals after which a server counts as late. Together with leaseInterval it is about as long as
    // balancers wait before they stop using a server that does not respond to callers either.
    constexpr double lateIntervals = 1.2;
    // A paged copy of the directory is replaced after this time. The ages in it are off by up to this much.
    constexpr duration pagesLifetime = std::chrono::milliseconds(100);
    // A change of more servers than this is sent in pages.
    constexpr size_t maximumUpdateRecords = 80;
    // Minimum interval between full directories to the same host. A starting balancer sends a hello message every 150
    // ms, while an earlier response is still in flight. With 3,000 servers a directory has 270 KB, and hundreds of
    // hosts may start at once.
    constexpr duration fullDirectoryInterval = std::chrono::milliseconds(500);
    // An encoded directory is reused for hosts that start together. The ages in it are off by up to this much.
    constexpr duration encodedServersLifetime = std::chrono::milliseconds(100);

    // Converts an update for hosts that know no leases.
    directory_update withoutLease(directory_update update, std::vector<uint32_t> renewed)
    {
        update.lease = lease_renewal::No;
        update.late.clear();
        update.renewed = std::move(renewed);
        update.renewedDigests.clear();
        return update;
    }

} // namespace

void control_service::sendMissingServers(ip_endpoint const& receiver, hello_message const& message, monotonic_time now)
{
    bool const requestsAll = message.servers == server_scope::All;
    auto const update = m_feed.updateSince(message.directoryEpoch, message.directoryRevision, now);
    if (!requestsAll && !update)
        return;
    if (!requestsAll && update->fromRevision > 0)
        return m_channel.send(receiver, withoutLease(*update, update->renewed));
    auto& sentAt = m_fullDirectorySentAt[{ receiver, message.servers }];
    if (now - sentAt < fullDirectoryInterval)
        return;
    sentAt = now;
    if (requestsAll)
        m_channel.sendEncoded(receiver, encodedServers(now));
    else
        m_channel.send(receiver, withoutLease(*update, update->renewed));
}

directory_pages& control_service::pages(server_scope scope, monotonic_time now)
{
    auto& directory = m_pages[scope];
    if (directory.assignedAt != monotonic_time() && now - directory.assignedAt < pagesLifetime)
        return directory.pages;
    directory.assignedAt = now;
    auto [records, revision] = m_feed.records(now);
    std::vector<feed_position> positions { { self().peer, m_feed.epoch(), revision } };
    if (scope == server_scope::All) {
        // Of two records of one server, the one of the control host that it announces itself to comes first.
        std::map<std::string, page_record> merged;
        for (auto& record : m_otherServers.view().records(positions, now))
            merged.emplace(record.server.announcement.id, std::move(record));
        for (auto& record : records) {
            auto& known = merged.try_emplace(record.server.announcement.id, record).first->second;
            if (!record.isLate || record.server.age < known.server.age)
                known = std::move(record);
        }
        records.clear();
        for (auto& [id, record] : merged)
            records.push_back(std::move(record));
    }
    directory.pages.assign(std::move(records), std::move(positions), scope);
    return directory.pages;
}

void control_service::handle(ip_endpoint const& sender, directory_request const& message, monotonic_time now)
{
    bool const isUpdate = message.epoch == m_feed.epoch() && message.revision > 0;
    if (message.scope == server_scope::Own && (isUpdate || message.known == known_records::Omitted)) {
        auto const update = m_feed.updateSince(message.epoch, message.revision, now, message.known);
        if (!update)
            return m_channel.send(sender, m_feed.lease());
        if (update->records.size() <= maximumUpdateRecords)
            return m_channel.send(sender, *update);
    }
    m_pageSentAt = now;
    m_channel.sendEncoded(sender, pages(message.scope, now).encodedPageAt(message.cursor, message.zone));
}

void control_service::handle(ip_endpoint const& sender, age_request const& message, monotonic_time now)
{
    auto servers = m_feed.agesOf(message.tokens, now);
    if (!servers.empty())
        m_channel.send(sender, age_response { std::move(servers) });
}

void control_service::handle(ip_endpoint const& sender, directory_page const& message, monotonic_time now)
{
    applyChanges(m_otherServers.apply(sender, message, now));
}

void control_service::setServices(route_table const& routes, monotonic_time now)
{
    m_warmUp.setServices(routes.services);
    std::set<std::string> services;
    for (auto const& service : routes.services)
        services.insert(service.name);
    m_feed.setServices(services);
    applyChanges(m_otherServers.view().setServices(std::move(services), now));
}

void control_service::applyChanges(directory_view::changes const& changes)
{
    auto const& view = m_otherServers.view();
    for (auto const& id : changes.changed) {
        if (auto const* const entry = view.directory().find(id))
            m_feed.recordElsewhere(entry->announcement, entry->warmUpEndsAt);
    }
    for (auto const& [token, liveness] : changes.renewed) {
        auto const* const id = view.findId(token);
        if (!id)
            continue;
        if (liveness.lease)
            m_feed.release(*id);
        else
            m_feed.contradictLate(*id, liveness.lastSeenAt);
    }
}

void control_service::handle(ip_endpoint const& sender, directory_update const& message, monotonic_time now)
{
    applyChanges(m_otherServers.apply(sender, message, now));
}

directory_update control_service::allServers(monotonic_time now) const
{
    auto update = m_feed.fullUpdate(now);
    update.scope = server_scope::All;
    for (auto const& [id, entry] : m_otherServers.view().directory().entries())
        update.records.push_back({ entry.announcement, now - m_otherServers.view().livenessOf(id).latest() });
    return update;
}

std::string const& control_service::encodedServers(monotonic_time now)
{
    if (m_encodedServers.empty() || now - m_serversEncodedAt >= encodedServersLifetime) {
        m_encodedServers = encodeFleetMessage(allServers(now));
        m_serversEncodedAt = now;
    }
    return m_encodedServers;
}

duration control_service::changeDelay() const
{
    return std::clamp<duration>(
        changeDelayPerReceiver * static_cast<int64_t>(m_subscribers), minimumChangeDelay, maximumChangeDelay);
}

void control_service::publishDirectory(monotonic_time now)
{
    bool const isLeaseDue = now - m_leaseSentAt >= leaseInterval;
    if (isLeaseDue) {
        m_leaseSentAt = now;
        m_feed.markLate(std::chrono::duration_cast<duration>(lateIntervals * m_settings.announcementInterval), now);
    }
    if (!isLeaseDue && (!m_feed.hasChanges() || now - m_directoryPublishedAt < changeDelay()))
        return;
    m_directoryPublishedAt = now;
    auto const changes = m_feed.drainChanges(now);
    auto const renewals = m_feed.drainRenewals();
    auto const update = changes ? *changes : m_feed.lease();
    auto const bytes = encodeFleetMessage(update);
    std::string bytesWithoutLease;
    m_subscribers = 0;
    for (auto const role : { host_role::Balancer, host_role::Control }) {
        for (auto const& host : m_hosts.list(role, now, subscriberTimeout)) {
            ++m_subscribers;
            if (host.protocol == directory_protocol::Leases) {
                m_channel.sendEncoded(host.peer, bytes);
                continue;
            }
            if (bytesWithoutLease.empty())
                bytesWithoutLease = encodeFleetMessage(withoutLease(update, renewals));
            m_channel.sendEncoded(host.peer, bytesWithoutLease);
        }
    }
}

} // namespace bilberryyard

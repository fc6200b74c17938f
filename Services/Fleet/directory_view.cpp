#include "directory_view.h"

#include <Placement/flow_token.h>
#include <algorithm>

namespace bilberryyard {

std::shared_ptr<announcer_lease> directory_view::leaseOf(announcer_feed& feed, uint64_t epoch)
{
    // An incarnation that has ended must not be renewed by its successor, which has not received the announcements of
    // the same servers.
    if (!feed.lease || feed.leaseEpoch != epoch) {
        feed.lease = std::make_shared<announcer_lease>();
        feed.leaseEpoch = epoch;
    }
    return feed.lease;
}

void directory_view::refresh(std::string const& id)
{
    auto const server = m_servers.find(flowToken(id));
    if (server != m_servers.end())
        m_directory.setLastSeen(id, server->second.liveness().latest());
}

void directory_view::refreshClaimants(ip_endpoint const& address)
{
    for (auto const& id : m_directory.claimantsOf(address))
        refresh(id);
}

void directory_view::reevaluateAddressOf(std::string const& id)
{
    refresh(id);
    auto const* const entry = m_directory.find(id);
    if (!entry || !m_directory.contestedAddresses().contains(entry->announcement.address))
        return;
    refreshClaimants(entry->announcement.address);
    m_directory.reevaluate(entry->announcement.address);
}

bool directory_view::isLaterThan(received_record const& record, tracked_server const& server)
{
    // Without a control host that confirms the server from now on, the record must be later than any confirmation.
    if (!record.announcer || record.isLate)
        return record.lastSeenAt > server.liveness().latest();
    return record.lastSeenAt >= server.lastSeenAt;
}

void directory_view::applyRecord(received_record const& record, monotonic_time now, changes& result)
{
    auto const& announcement = record.announcement;
    refresh(announcement.id);
    refreshClaimants(announcement.address);
    auto const* const known = m_directory.find(announcement.id);
    bool const isSameIncarnation = known && known->announcement.startedAtMs == announcement.startedAtMs;
    auto const effect = m_directory.apply(announcement, record.lastSeenAt, now);
    if (effect == announcement_effect::Deferred) {
        m_deferred[announcement.id] = record;
        return;
    }
    auto const token = flowToken(announcement.id);
    auto& server = m_servers[token];
    bool const isKnown = !server.id.empty();
    server.id = announcement.id;
    if (effect == announcement_effect::Ignored && isKnown)
        return;
    bool const isLater = !isKnown || !isSameIncarnation || isLaterThan(record, server);
    if (isLater) {
        server.announcer = record.announcer;
        server.isLate = record.isLate;
        server.lastSeenAt = record.lastSeenAt;
    }
    // A control host does not report a server as late that has left, so its lease says nothing about that server.
    if (announcement.state == backend_state::Gone)
        server.announcer = nullptr;
    bool const hasChanged = effect == announcement_effect::Added || effect == announcement_effect::Changed;
    if (hasChanged)
        result.changed.push_back(announcement.id);
    if (hasChanged || isLater)
        result.renewed.emplace_back(token, server.liveness());
}

void directory_view::applyDeferredRecords(monotonic_time now, changes& result)
{
    for (auto const& [id, record] : std::exchange(m_deferred, {}))
        applyRecord(record, now, result);
}

directory_view::changes directory_view::setServices(std::set<std::string> services, monotonic_time now)
{
    m_directory.setServices(std::move(services));
    return reevaluate(now);
}

directory_view::changes directory_view::reevaluate(monotonic_time now)
{
    changes result;
    applyDeferredRecords(now, result);
    for (auto const& address : m_directory.contestedAddresses())
        refreshClaimants(address);
    m_directory.reevaluateAddresses();
    result.displaced = m_directory.drainDisplacementChanges();
    return result;
}

bool directory_view::isRenewalOf(directory_update const& update, size_t index, std::string const& id) const
{
    auto const* const entry = m_directory.find(id);
    return update.renewedDigests.empty() || (entry && update.renewedDigests[index] == digestOf(entry->announcement));
}

bool directory_view::containsRenewed(directory_update const& update, size_t index)
{
    if (update.renewedDigests.empty())
        return false;
    return std::any_of(update.records.begin(), update.records.end(), [&](auto const& record) {
        return flowToken(record.announcement.id) == update.renewed[index]
            && digestOf(record.announcement) == update.renewedDigests[index];
    });
}

void directory_view::applyRenewals(
    directory_update const& update, announcer_feed& feed, monotonic_time now, changes& result)
{
    auto const announcer
        = update.lease == lease_renewal::Yes ? leaseOf(feed, update.epoch) : std::shared_ptr<announcer_lease>();
    for (size_t index = 0; index < update.renewed.size(); ++index) {
        auto const token = update.renewed[index];
        auto const server = m_servers.find(token);
        if (server == m_servers.end() || !isRenewalOf(update, index, server->second.id)) {
            // The sender sends no record since its peers have one. Only a full copy of its directory has it too.
            if (announcer && !containsRenewed(update, index)) {
                result.isComplete = completeness::UnknownServer;
                feed.received = {};
            }
            continue;
        }
        server->second.announcer = announcer;
        server->second.isLate = false;
        server->second.lastSeenAt = now;
        reevaluateAddressOf(server->second.id);
        result.renewed.emplace_back(token, server->second.liveness());
    }
}

void directory_view::applyLateServers(
    directory_update const& update, announcer_feed& feed, monotonic_time now, changes& result)
{
    for (auto const& late : update.late) {
        auto const server = m_servers.find(late.token);
        // A server that announces itself to another control host by now is not late.
        if (server == m_servers.end() || server->second.announcer != leaseOf(feed, update.epoch))
            continue;
        server->second.isLate = true;
        server->second.lastSeenAt = now - late.age;
        reevaluateAddressOf(server->second.id);
        result.renewed.emplace_back(late.token, server->second.liveness());
    }
}

directory_view::changes directory_view::apply(
    ip_endpoint const& sender, directory_update const& update, monotonic_time now)
{
    changes result;
    auto& feed = m_feeds[sender];
    bool const hasLease = update.lease == lease_renewal::Yes;
    bool const continues = feed.received.epoch == update.epoch && update.fromRevision <= feed.received.revision;
    if (hasLease && !continues && update.fromRevision > 0 && feed.leaseEpoch != update.epoch) {
        // The first update that was received from this incarnation. A full copy of its directory follows.
        result.isComplete = completeness::Gap;
        return result;
    }
    auto const announcer = hasLease ? leaseOf(feed, update.epoch) : std::shared_ptr<announcer_lease>();
    if (continues)
        feed.received.revision = std::max(feed.received.revision, update.toRevision);
    else if (update.fromRevision == 0)
        feed.received = { update.epoch, update.toRevision };
    else if (hasLease)
        result.isComplete = completeness::Gap;
    for (auto const& record : update.records)
        applyRecord({ record.announcement, now - record.age, announcer, false }, now, result);
    applyRenewals(update, feed, now, result);
    applyLateServers(update, feed, now, result);
    result.displaced = m_directory.drainDisplacementChanges();
    // After a gap the lease could renew a server that the lost update reported as late.
    if (hasLease && result.isComplete == completeness::Complete)
        announcer->renewedAt = now;
    return result;
}

directory_view::changes directory_view::apply(ip_endpoint const& sender, directory_page const& page, monotonic_time now)
{
    changes result;
    for (auto const& record : page.records) {
        auto const& source = page.positions.at(record.announcer);
        std::shared_ptr<announcer_lease> announcer;
        if (source.epoch != 0) {
            auto& feed = m_feeds[source.announcer];
            // If the control host itself has sent updates in another epoch, the sender of the page may not know it yet.
            bool const isOutdated
                = source.announcer != sender && feed.received.epoch != 0 && feed.received.epoch != source.epoch;
            announcer = isOutdated ? nullptr : leaseOf(feed, source.epoch);
        }
        applyRecord({ record.server.announcement, now - record.server.age, announcer, record.isLate }, now, result);
    }
    result.displaced = m_directory.drainDisplacementChanges();
    return result;
}

void directory_view::setPosition(feed_position const& received)
{
    auto& feed = m_feeds[received.announcer];
    if (feed.received.epoch == received.epoch)
        feed.received.revision = std::max(feed.received.revision, received.revision);
    else
        feed.received = { received.epoch, received.revision };
}

void directory_view::setForwardedPosition(feed_position const& received)
{
    auto const current = positionOf(received.announcer);
    // Revision 0 means that the sender itself has not received the directory.
    if (received.epoch == 0 || received.revision == 0 || (current.epoch != 0 && current.epoch != received.epoch))
        return;
    setPosition(received);
}

std::vector<std::string> directory_view::expire(monotonic_time now)
{
    for (auto const& [token, server] : m_servers)
        m_directory.setLastSeen(server.id, server.liveness().latest());
    auto removedIds = m_directory.expire(now);
    for (auto const& id : removedIds) {
        m_servers.erase(flowToken(id));
        m_deferred.erase(id);
    }
    return removedIds;
}

directory_view::position directory_view::positionOf(ip_endpoint const& sender) const
{
    auto const feed = m_feeds.find(sender);
    return feed == m_feeds.end() ? position {} : feed->second.received;
}

server_liveness directory_view::livenessOf(std::string const& id) const
{
    auto const server = m_servers.find(flowToken(id));
    return server == m_servers.end() ? server_liveness {} : server->second.liveness();
}

bool directory_view::isAnnouncer(ip_endpoint const& controlHost, uint32_t token) const
{
    auto const feed = m_feeds.find(controlHost);
    auto const server = m_servers.find(token);
    return feed != m_feeds.end() && server != m_servers.end() && server->second.announcer
        && server->second.announcer == feed->second.lease;
}

ip_endpoint const* directory_view::announcerOf(uint32_t token) const
{
    auto const server = m_servers.find(token);
    if (server == m_servers.end() || !server->second.announcer)
        return nullptr;
    for (auto const& [peer, feed] : m_feeds) {
        if (feed.lease == server->second.announcer)
            return &peer;
    }
    return nullptr;
}

std::string const* directory_view::findId(uint32_t token) const
{
    auto const server = m_servers.find(token);
    return server == m_servers.end() ? nullptr : &server->second.id;
}

std::vector<page_record> directory_view::records(std::vector<feed_position>& positions, monotonic_time now) const
{
    std::map<announcer_lease const*, uint32_t> indices;
    for (auto const& [peer, feed] : m_feeds) {
        if (!feed.lease)
            continue;
        // Without a position of its own, a receiver would wait for changes that this host has not received.
        bool const isCurrent = feed.received.epoch == feed.leaseEpoch;
        indices[feed.lease.get()] = static_cast<uint32_t>(positions.size());
        positions.push_back({ peer, feed.leaseEpoch, isCurrent ? feed.received.revision : 0 });
    }
    auto const unknownAnnouncer = static_cast<uint32_t>(positions.size());
    positions.emplace_back();
    std::vector<page_record> result;
    result.reserve(m_directory.entries().size());
    for (auto const& [id, entry] : m_directory.entries()) {
        auto const server = m_servers.find(flowToken(id));
        auto const& liveness = server->second.liveness();
        auto const index = indices.find(server->second.announcer.get());
        result.push_back({ { entry.announcement, now - liveness.latest() }, server->second.isLate,
            index == indices.end() ? unknownAnnouncer : index->second });
    }
    return result;
}

} // namespace bilberryyard

#include <Membership/backend_directory.h>

#include <algorithm>

namespace bilberryyard {

backend_directory::backend_directory(backend_directory_settings const& settings)
    : m_settings(settings)
{
}

backend_entry const* backend_directory::find(std::string const& id) const
{
    auto const entry = m_entries.find(id);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

std::string const* backend_directory::ownerOf(ip_endpoint const& address) const
{
    auto const owner = m_addressOwners.find(address);
    return owner == m_addressOwners.end() ? nullptr : &owner->second;
}

bool backend_directory::isOutdated(
    backend_entry const& known, backend_announcement const& announcement, monotonic_time receivedAt) const
{
    auto const& stored = known.announcement;
    bool const hadTimedOut = receivedAt - known.lastSeenAt >= m_settings.announcementTimeout;
    if (announcement.startedAtMs == stored.startedAtMs) {
        if (stored.state == backend_state::Gone)
            return true;
        return announcement.sequence < stored.sequence && !hadTimedOut;
    }
    if (announcement.startedAtMs > stored.startedAtMs)
        return false;
    return stored.state == backend_state::Gone || !hadTimedOut;
}

void backend_directory::updateEntry(backend_entry& entry, backend_announcement const& announcement, monotonic_time now)
{
    bool const wasLeaving = entry.revision > 0 && entry.announcement.state != backend_state::Ready
        && entry.announcement.startedAtMs == announcement.startedAtMs;
    if (!wasLeaving && announcement.state != backend_state::Ready)
        entry.leavingSince = now;
    entry.announcement = announcement;
    entry.revision = ++m_revision;
}

bool backend_directory::claimAddress(
    backend_announcement const& announcement, monotonic_time receivedAt, monotonic_time now)
{
    auto const owner = m_addressOwners.find(announcement.address);
    if (owner != m_addressOwners.end() && owner->second != announcement.id) {
        auto& other = m_entries.at(owner->second);
        if (other.announcement.state != backend_state::Gone) {
            bool const isLater = announcement.startedAtMs > other.announcement.startedAtMs
                || receivedAt - other.lastSeenAt >= m_settings.announcementTimeout;
            if (!isLater)
                return false;
            auto goneAnnouncement = other.announcement;
            goneAnnouncement.state = backend_state::Gone;
            updateEntry(other, goneAnnouncement, now);
        }
    }
    m_addressOwners[announcement.address] = announcement.id;
    return true;
}

announcement_effect backend_directory::apply(
    backend_announcement const& announcement, monotonic_time receivedAt, monotonic_time now)
{
    auto const known = m_entries.find(announcement.id);
    if (announcement.state == backend_state::Gone)
        return applyLeave(announcement, receivedAt, now);
    if (known != m_entries.end() && isOutdated(known->second, announcement, receivedAt))
        return announcement_effect::Ignored;
    if (!claimAddress(announcement, receivedAt, now))
        return announcement_effect::Ignored;
    if (known == m_entries.end()) {
        auto& entry = m_entries[announcement.id];
        entry.lastSeenAt = receivedAt;
        updateEntry(entry, announcement, now);
        return announcement_effect::Added;
    }
    auto& entry = known->second;
    entry.lastSeenAt = std::max(entry.lastSeenAt, receivedAt);
    auto comparable = announcement;
    comparable.sequence = entry.announcement.sequence;
    comparable.remainingWarmUp = entry.announcement.remainingWarmUp;
    // The end of a warm-up needs no change, since its time is known from the beginning.
    bool const startedWarmUp
        = announcement.remainingWarmUp > duration::zero() && entry.announcement.remainingWarmUp == duration::zero();
    if (comparable == entry.announcement && !startedWarmUp) {
        entry.announcement.sequence = announcement.sequence;
        entry.announcement.remainingWarmUp = announcement.remainingWarmUp;
        return announcement_effect::Renewed;
    }
    updateEntry(entry, announcement, now);
    return announcement_effect::Changed;
}

announcement_effect backend_directory::applyLeave(
    backend_announcement const& announcement, monotonic_time receivedAt, monotonic_time now)
{
    auto const known = m_entries.find(announcement.id);
    if (known == m_entries.end()) {
        // Another host received the server's announcements. The leave is stored so that peers that know the server
        // receive it.
        auto& entry = m_entries[announcement.id];
        entry.lastSeenAt = receivedAt;
        updateEntry(entry, announcement, now);
        return announcement_effect::Added;
    }
    auto& entry = known->second;
    auto const& stored = entry.announcement;
    bool const isOfEarlierIncarnation = announcement.startedAtMs != 0 && announcement.startedAtMs < stored.startedAtMs;
    if (stored.state == backend_state::Gone || isOfEarlierIncarnation)
        return announcement_effect::Ignored;
    auto goneAnnouncement = stored;
    goneAnnouncement.state = backend_state::Gone;
    updateEntry(entry, goneAnnouncement, now);
    return announcement_effect::Changed;
}

void backend_directory::renew(std::string const& id, monotonic_time receivedAt)
{
    auto const entry = m_entries.find(id);
    if (entry != m_entries.end())
        entry->second.lastSeenAt = std::max(entry->second.lastSeenAt, receivedAt);
}

std::vector<std::string> backend_directory::expire(monotonic_time now)
{
    std::vector<std::string> removed;
    for (auto const& [id, entry] : m_entries) {
        if (now - entry.lastSeenAt >= m_settings.retention)
            removed.push_back(id);
    }
    for (auto const& id : removed) {
        auto const entry = m_entries.find(id);
        auto const owner = m_addressOwners.find(entry->second.announcement.address);
        if (owner != m_addressOwners.end() && owner->second == id)
            m_addressOwners.erase(owner);
        m_entries.erase(entry);
    }
    return removed;
}

} // namespace bilberryyard

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

bool backend_directory::isOutdated(
    backend_entry const& known, backend_announcement const& announcement, monotonic_time lastSeenAt) const
{
    auto const& held = known.announcement;
    bool const wasSilent = lastSeenAt - known.lastSeenAt >= m_settings.announcementTimeout;
    if (announcement.startedAtMs == held.startedAtMs) {
        if (held.state == backend_state::Gone)
            return true;
        return announcement.sequence < held.sequence && !wasSilent;
    }
    if (announcement.startedAtMs > held.startedAtMs)
        return false;
    return held.state == backend_state::Gone || !wasSilent;
}

void backend_directory::change(backend_entry& entry, backend_announcement const& announcement, monotonic_time now)
{
    bool const wasLeaving = entry.revision > 0 && entry.announcement.state != backend_state::Ready
        && entry.announcement.startedAtMs == announcement.startedAtMs;
    if (!wasLeaving && announcement.state != backend_state::Ready)
        entry.leavingSince = now;
    entry.announcement = announcement;
    entry.revision = ++m_revision;
}

bool backend_directory::takeAddress(
    backend_announcement const& announcement, monotonic_time lastSeenAt, monotonic_time now)
{
    auto const holder = m_holders.find(announcement.address);
    if (holder != m_holders.end() && holder->second != announcement.id) {
        auto& other = m_entries.at(holder->second);
        if (other.announcement.state != backend_state::Gone) {
            bool const isLater = announcement.startedAtMs > other.announcement.startedAtMs
                || lastSeenAt - other.lastSeenAt >= m_settings.announcementTimeout;
            if (!isLater)
                return false;
            auto ended = other.announcement;
            ended.state = backend_state::Gone;
            change(other, ended, now);
        }
    }
    m_holders[announcement.address] = announcement.id;
    return true;
}

announcement_effect backend_directory::apply(
    backend_announcement const& announcement, monotonic_time lastSeenAt, monotonic_time now)
{
    auto const known = m_entries.find(announcement.id);
    if (announcement.state == backend_state::Gone)
        return leave(announcement, lastSeenAt, now);
    if (known != m_entries.end() && isOutdated(known->second, announcement, lastSeenAt))
        return announcement_effect::Ignored;
    if (!takeAddress(announcement, lastSeenAt, now))
        return announcement_effect::Ignored;
    if (known == m_entries.end()) {
        auto& entry = m_entries[announcement.id];
        entry.lastSeenAt = lastSeenAt;
        change(entry, announcement, now);
        return announcement_effect::Added;
    }
    auto& entry = known->second;
    entry.lastSeenAt = std::max(entry.lastSeenAt, lastSeenAt);
    auto comparable = announcement;
    comparable.sequence = entry.announcement.sequence;
    comparable.remainingWarmUp = entry.announcement.remainingWarmUp;
    bool const warmUpChanged
        = (announcement.remainingWarmUp > duration::zero()) != (entry.announcement.remainingWarmUp > duration::zero());
    if (comparable == entry.announcement && !warmUpChanged) {
        entry.announcement.sequence = announcement.sequence;
        return announcement_effect::Renewed;
    }
    change(entry, announcement, now);
    return announcement_effect::Changed;
}

announcement_effect backend_directory::leave(
    backend_announcement const& announcement, monotonic_time lastSeenAt, monotonic_time now)
{
    auto const known = m_entries.find(announcement.id);
    if (known == m_entries.end()) {
        // The announcements went through another host; peers that know the server need to hear that it has left.
        auto& entry = m_entries[announcement.id];
        entry.lastSeenAt = lastSeenAt;
        change(entry, announcement, now);
        return announcement_effect::Added;
    }
    auto& entry = known->second;
    auto const& held = entry.announcement;
    bool const isOfEarlierStart = announcement.startedAtMs != 0 && announcement.startedAtMs < held.startedAtMs;
    if (held.state == backend_state::Gone || isOfEarlierStart)
        return announcement_effect::Ignored;
    auto ended = held;
    ended.state = backend_state::Gone;
    change(entry, ended, now);
    return announcement_effect::Changed;
}

void backend_directory::renew(std::string const& id, monotonic_time lastSeenAt)
{
    auto const entry = m_entries.find(id);
    if (entry != m_entries.end())
        entry->second.lastSeenAt = std::max(entry->second.lastSeenAt, lastSeenAt);
}

std::vector<std::string> backend_directory::expire(monotonic_time now)
{
    std::vector<std::string> forgotten;
    for (auto const& [id, entry] : m_entries) {
        if (now - entry.lastSeenAt >= m_settings.retention)
            forgotten.push_back(id);
    }
    for (auto const& id : forgotten) {
        auto const entry = m_entries.find(id);
        auto const holder = m_holders.find(entry->second.announcement.address);
        if (holder != m_holders.end() && holder->second == id)
            m_holders.erase(holder);
        m_entries.erase(entry);
    }
    return forgotten;
}

} // namespace bilberryyard

#include <Membership/backend_directory.h>

#include <algorithm>

namespace bilberryyard {

namespace {

    // Late announcements come from the last few incarnations.
    constexpr size_t maximumEndedStarts = 4;

    bool hasEnded(backend_entry const& known, int64_t startedAtMs)
    {
        return std::find(known.endedStarts.begin(), known.endedStarts.end(), startedAtMs) != known.endedStarts.end();
    }

    void recordRestart(backend_entry& entry, int64_t startedAtMs)
    {
        auto& ended = entry.endedStarts;
        // An incarnation that was taken for an ended one has returned.
        std::erase(ended, startedAtMs);
        entry.incarnationSeenAt = entry.lastSeenAt;
        ended.push_back(entry.announcement.startedAtMs);
        if (ended.size() > maximumEndedStarts)
            ended.erase(ended.begin());
    }

} // namespace

backend_directory::backend_directory(backend_directory_settings const& settings)
    : m_settings(settings)
{
}

backend_entry const* backend_directory::find(std::string const& id) const
{
    auto const entry = m_entries.find(id);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

std::vector<std::string> const& backend_directory::claimantsOf(ip_endpoint const& address) const
{
    static std::vector<std::string> const none;
    auto const claimants = m_claimants.find(address);
    return claimants == m_claimants.end() ? none : claimants->second;
}

bool backend_directory::isConfigured(backend_announcement const& announcement) const
{
    return m_services && m_services->contains(announcement.service);
}

bool backend_directory::mustDefer(
    backend_entry const& known, backend_announcement const& announcement, monotonic_time receivedAt) const
{
    bool const isLive = known.announcement.state != backend_state::Gone
        && receivedAt - known.lastSeenAt < m_settings.announcementTimeout;
    // With an unchanged address the open flows of the server stay where they are.
    return m_services && !isConfigured(announcement) && isConfigured(known.announcement) && isLive
        && announcement.address != known.announcement.address;
}

bool backend_directory::supersedes(backend_entry const& candidate, backend_entry const& other) const
{
    // Any program may announce any address. Only an announcement of a configured service is evidence of a new server.
    if (!isConfigured(candidate.announcement))
        return false;
    // Wall clocks can step back, so the start times matter only while both were seen at about the same time.
    auto const lead = candidate.lastSeenAt - other.lastSeenAt;
    bool const hasLeft = candidate.announcement.state == backend_state::Gone;
    if (lead >= m_settings.announcementTimeout && !hasLeft)
        return true;
    if (lead <= -m_settings.announcementTimeout)
        return false;
    if (hasLeft && other.announcement.state != backend_state::Gone && lead <= duration::zero())
        return false;
    return !isConfigured(other.announcement) || candidate.announcement.startedAtMs > other.announcement.startedAtMs;
}

void backend_directory::reevaluate(ip_endpoint const& address)
{
    auto const& claimants = claimantsOf(address);
    for (auto const& id : claimants) {
        auto& entry = m_entries.at(id);
        auto const successor = std::find_if(claimants.begin(), claimants.end(),
            [&](auto const& other) { return other != id && supersedes(m_entries.at(other), entry); });
        auto const displacedBy = successor == claimants.end() ? std::string() : *successor;
        if (displacedBy.empty() != entry.displacedBy.empty())
            m_displacementChanges.push_back(id);
        entry.displacedBy = displacedBy;
    }
}

void backend_directory::reevaluateAddresses()
{
    for (auto const& address : m_contestedAddresses)
        reevaluate(address);
}

void backend_directory::setServices(std::set<std::string> services)
{
    m_services = std::move(services);
    reevaluateAddresses();
}

void backend_directory::addClaim(backend_announcement const& announcement)
{
    // A leave of an unknown server has no address.
    if (announcement.address.port == 0)
        return;
    auto& claimants = m_claimants[announcement.address];
    claimants.push_back(announcement.id);
    if (claimants.size() > 1)
        m_contestedAddresses.insert(announcement.address);
}

void backend_directory::removeClaim(backend_announcement const& announcement)
{
    auto const claimants = m_claimants.find(announcement.address);
    if (claimants == m_claimants.end())
        return;
    std::erase(claimants->second, announcement.id);
    if (claimants->second.size() <= 1)
        m_contestedAddresses.erase(announcement.address);
    if (claimants->second.empty())
        m_claimants.erase(claimants);
}

bool backend_directory::isReplaced(backend_entry const& known, int64_t startedAtMs) const
{
    return hasEnded(known, startedAtMs) && known.lastSeenAt - known.incarnationSeenAt >= m_settings.announcementTimeout;
}

bool backend_directory::isOutdated(
    backend_entry const& known, backend_announcement const& announcement, monotonic_time receivedAt) const
{
    auto const& stored = known.announcement;
    // Another program may have announced the identifier with any start time and sequence number.
    if (m_services && !isConfigured(stored) && isConfigured(announcement) && stored.state != backend_state::Gone)
        return false;
    bool const hadTimedOut = hasTimedOut(known, receivedAt);
    bool const hasLeft = stored.state == backend_state::Gone;
    if (announcement.startedAtMs == stored.startedAtMs)
        return hasLeft || (announcement.sequence < stored.sequence && !hadTimedOut);
    if (announcement.startedAtMs > stored.startedAtMs && !isReplaced(known, announcement.startedAtMs))
        return false;
    // A server that has left may start again after its wall clock has stepped back.
    bool const mayHaveEnded = hasEnded(known, announcement.startedAtMs) || announcement.startedAtMs == 0;
    return (hasLeft && mayHaveEnded) || !hadTimedOut;
}

void backend_directory::updateEntry(
    backend_entry& entry, backend_announcement const& announcement, monotonic_time receivedAt, monotonic_time now)
{
    entry.warmUpEndsAt = receivedAt + announcement.remainingWarmUp;
    bool const wasLeaving = entry.revision > 0 && entry.announcement.state != backend_state::Ready
        && entry.announcement.startedAtMs == announcement.startedAtMs;
    if (!wasLeaving && announcement.state != backend_state::Ready)
        entry.leavingSince = now;
    auto const previous = std::exchange(entry.announcement, announcement);
    entry.revision = ++m_revision;
    if (previous.address == announcement.address && previous.id == announcement.id)
        return reevaluate(announcement.address);
    removeClaim(previous);
    addClaim(announcement);
    entry.displacedBy.clear();
    reevaluate(previous.address);
    reevaluate(announcement.address);
}

announcement_effect backend_directory::apply(
    backend_announcement const& announcement, monotonic_time receivedAt, monotonic_time now)
{
    auto const known = m_entries.find(announcement.id);
    if (announcement.state == backend_state::Gone)
        return applyLeave(announcement, receivedAt, now);
    if (known == m_entries.end()) {
        auto& entry = m_entries[announcement.id];
        entry.lastSeenAt = receivedAt;
        updateEntry(entry, announcement, receivedAt, now);
        return announcement_effect::Added;
    }
    auto& entry = known->second;
    if (isOutdated(entry, announcement, receivedAt))
        return announcement_effect::Ignored;
    if (mustDefer(entry, announcement, receivedAt))
        return announcement_effect::Deferred;
    entry.lastSeenAt = std::max(entry.lastSeenAt, receivedAt);
    auto comparable = announcement;
    comparable.sequence = entry.announcement.sequence;
    comparable.remainingWarmUp = entry.announcement.remainingWarmUp;
    // The end of a warm-up needs no change, since its time is known from the beginning.
    auto const warmUpEndsAt = receivedAt + announcement.remainingWarmUp;
    bool const startedWarmUp = announcement.remainingWarmUp > duration::zero()
        && warmUpEndsAt > entry.warmUpEndsAt + m_settings.warmUpTolerance;
    if (comparable == entry.announcement && !startedWarmUp) {
        entry.announcement.sequence = announcement.sequence;
        entry.announcement.remainingWarmUp = announcement.remainingWarmUp;
        if (m_contestedAddresses.contains(announcement.address))
            reevaluate(announcement.address);
        return announcement_effect::Renewed;
    }
    if (announcement.startedAtMs != entry.announcement.startedAtMs)
        recordRestart(entry, announcement.startedAtMs);
    updateEntry(entry, announcement, receivedAt, now);
    return announcement_effect::Changed;
}

bool backend_directory::isOutdatedLeave(
    backend_entry const& known, backend_announcement const& announcement, monotonic_time receivedAt) const
{
    auto const& stored = known.announcement;
    bool const hasLeft = stored.state == backend_state::Gone;
    if (announcement.startedAtMs == stored.startedAtMs)
        return hasLeft;
    // A leave without a start time may be that of any incarnation, so one that the server has outlived is not its own.
    if (announcement.startedAtMs == 0)
        return hasLeft || known.lastSeenAt - receivedAt >= m_settings.announcementTimeout;
    if (announcement.startedAtMs < stored.startedAtMs)
        return true;
    if (hasEnded(known, announcement.startedAtMs))
        return isReplaced(known, announcement.startedAtMs);
    // If the server announces itself, the later start time is that of an earlier incarnation whose clock was ahead.
    return !hasLeft && !hasTimedOut(known, receivedAt);
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
        updateEntry(entry, announcement, receivedAt, now);
        return announcement_effect::Added;
    }
    auto& entry = known->second;
    if (isOutdatedLeave(entry, announcement, receivedAt))
        return announcement_effect::Ignored;
    auto goneAnnouncement = entry.announcement;
    goneAnnouncement.state = backend_state::Gone;
    goneAnnouncement.startedAtMs = std::max(announcement.startedAtMs, entry.announcement.startedAtMs);
    updateEntry(entry, goneAnnouncement, receivedAt, now);
    return announcement_effect::Changed;
}

void backend_directory::setLastSeen(std::string const& id, monotonic_time receivedAt)
{
    auto const entry = m_entries.find(id);
    if (entry != m_entries.end())
        entry->second.lastSeenAt = receivedAt;
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
        auto const address = entry->second.announcement.address;
        removeClaim(entry->second.announcement);
        m_entries.erase(entry);
        reevaluate(address);
    }
    return removed;
}

} // namespace bilberryyard

#include "directory_feed.h"

#include <Placement/flow_token.h>

namespace bilberryyard {

directory_feed::directory_feed(backend_directory_settings const& settings, uint64_t epoch)
    : m_directory(settings)
    , m_epoch(epoch)
{
}

announcement_effect directory_feed::announce(backend_announcement const& announcement, monotonic_time now)
{
    std::lock_guard const lock(m_mutex);
    auto const effect = m_directory.apply(announcement, now, now);
    if (effect == announcement_effect::Renewed)
        m_renewed.insert(flowToken(announcement.id));
    return effect;
}

bool directory_feed::hasChanges() const
{
    std::lock_guard const lock(m_mutex);
    return m_directory.revision() > m_sentRevision;
}

std::vector<aged_announcement> directory_feed::recordsAfter(uint64_t revision, monotonic_time now) const
{
    std::vector<aged_announcement> records;
    for (auto const& [id, entry] : m_directory.entries()) {
        if (entry.revision > revision)
            records.push_back({ entry.announcement, now - entry.lastSeenAt });
    }
    return records;
}

std::optional<directory_update> directory_feed::drainChanges(monotonic_time now)
{
    std::lock_guard const lock(m_mutex);
    if (m_directory.revision() == m_sentRevision && m_renewed.empty())
        return std::nullopt;
    directory_update update { m_epoch, m_sentRevision, m_directory.revision(), recordsAfter(m_sentRevision, now),
        { m_renewed.begin(), m_renewed.end() }, server_scope::Own };
    m_sentRevision = m_directory.revision();
    m_renewed.clear();
    return update;
}

std::optional<directory_update> directory_feed::updateSince(uint64_t epoch, uint64_t revision, monotonic_time now) const
{
    std::lock_guard const lock(m_mutex);
    auto const knownRevision = epoch == m_epoch ? revision : 0;
    if (epoch == m_epoch && knownRevision >= m_sentRevision)
        return std::nullopt;
    return directory_update { m_epoch, knownRevision, m_directory.revision(), recordsAfter(knownRevision, now), {},
        server_scope::Own };
}

directory_update directory_feed::fullUpdate(monotonic_time now) const
{
    std::lock_guard const lock(m_mutex);
    return { m_epoch, 0, m_directory.revision(), recordsAfter(0, now), {}, server_scope::Own };
}

uint64_t directory_feed::revision() const
{
    std::lock_guard const lock(m_mutex);
    return m_directory.revision();
}

void directory_feed::expire(monotonic_time now)
{
    std::lock_guard const lock(m_mutex);
    m_directory.expire(now);
}

} // namespace bilberryyard

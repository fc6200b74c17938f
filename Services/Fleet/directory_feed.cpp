#include "directory_feed.h"

#include <Placement/flow_token.h>

namespace bilberryyard {

namespace {

    // Two calls of markLate() that are further apart mean that this process was suspended or had no processor time.
    constexpr duration maximumCheckGap = std::chrono::milliseconds(1'200);
    constexpr int thresholdsAfterGap = 2;

} // namespace

directory_feed::directory_feed(backend_directory_settings const& settings, uint64_t epoch)
    : m_directory(settings)
    , m_epoch(epoch)
{
}

bool directory_feed::isKnownElsewhere(backend_announcement const& announcement, monotonic_time now) const
{
    auto const known = m_elsewhere.find(announcement.id);
    if (known == m_elsewhere.end())
        return false;
    auto comparable = announcement;
    comparable.sequence = known->second.announcement.sequence;
    comparable.remainingWarmUp = known->second.announcement.remainingWarmUp;
    bool const hasWarmUp = announcement.remainingWarmUp == duration::zero()
        || now + announcement.remainingWarmUp
            <= known->second.warmUpEndsAt + backend_directory_settings().warmUpTolerance;
    return hasWarmUp && comparable == known->second.announcement;
}

bool directory_feed::contradictsElsewhere(backend_announcement const& announcement) const
{
    auto const known = m_elsewhere.find(announcement.id);
    return known != m_elsewhere.end() && announcement.state != backend_state::Gone
        && m_directory.isConfigured(known->second.announcement) && !m_directory.isConfigured(announcement)
        && known->second.announcement.state != backend_state::Gone
        && known->second.announcement.address != announcement.address;
}

announcement_effect directory_feed::announce(backend_announcement const& announcement, monotonic_time now)
{
    std::lock_guard const lock(m_mutex);
    // Heartbeats are repeated, so a server that is deferred in error is added with one of its next announcements.
    if (contradictsElsewhere(announcement))
        return announcement_effect::Deferred;
    auto const effect = m_directory.apply(announcement, now, now);
    if (effect == announcement_effect::Ignored || effect == announcement_effect::Deferred)
        return effect;
    auto const token = flowToken(announcement.id);
    auto& state = m_states[announcement.id];
    m_idsByToken[token] = announcement.id;
    bool const wasLate = state.isLate || state.isReleased;
    state.isLate = state.isReleased = false;
    m_renewed.insert(token);
    if (effect == announcement_effect::Renewed) {
        if (wasLate)
            state.livenessRevision = m_directory.advanceRevision();
        return effect;
    }
    ++m_recordChanges;
    if (effect == announcement_effect::Added && isKnownElsewhere(announcement, now))
        state.knownElsewhereRevision = state.livenessRevision = m_directory.find(announcement.id)->revision;
    return effect;
}

void directory_feed::setServices(std::set<std::string> services)
{
    std::lock_guard const lock(m_mutex);
    m_directory.setServices(std::move(services));
}

void directory_feed::markLate(duration threshold, monotonic_time now)
{
    std::lock_guard const lock(m_mutex);
    if (now - m_lateCheckedAt > maximumCheckGap)
        m_lateCheckResumesAt = now + thresholdsAfterGap * threshold;
    m_lateCheckedAt = now;
    if (now < m_lateCheckResumesAt)
        return;
    for (auto const& [id, entry] : m_directory.entries()) {
        auto& state = m_states[id];
        if (state.isLate || state.isReleased || entry.announcement.state == backend_state::Gone
            || now - entry.lastSeenAt <= threshold)
            continue;
        state.isLate = true;
        state.livenessRevision = m_directory.advanceRevision();
    }
}

void directory_feed::recordElsewhere(backend_announcement const& announcement, monotonic_time warmUpEndsAt)
{
    std::lock_guard const lock(m_mutex);
    m_elsewhere[announcement.id] = { announcement, warmUpEndsAt };
}

void directory_feed::forgetElsewhere(std::string const& id)
{
    std::lock_guard const lock(m_mutex);
    m_elsewhere.erase(id);
}

void directory_feed::release(std::string const& id)
{
    std::lock_guard const lock(m_mutex);
    if (m_directory.find(id))
        m_states[id].isReleased = true;
}

void directory_feed::contradictLate(std::string const& id, monotonic_time lastSeenAt)
{
    std::lock_guard const lock(m_mutex);
    auto const* const entry = m_directory.find(id);
    if (!entry || entry->announcement.state == backend_state::Gone || entry->lastSeenAt <= lastSeenAt)
        return;
    auto& state = m_states[id];
    if (state.isLate)
        return;
    state.isReleased = false;
    state.livenessRevision = m_directory.advanceRevision();
}

bool directory_feed::hasChanges() const
{
    std::lock_guard const lock(m_mutex);
    return m_directory.revision() > m_sentRevision;
}

directory_update directory_feed::changesAfter(uint64_t revision, monotonic_time now) const
{
    directory_update update { m_epoch, revision, m_directory.revision(), {}, {}, server_scope::Own, {},
        lease_renewal::Yes };
    for (auto const& [id, entry] : m_directory.entries()) {
        auto const known = m_states.find(id);
        auto const state = known == m_states.end() ? server_state {} : known->second;
        if (entry.revision > revision && entry.revision != state.knownElsewhereRevision)
            update.records.push_back({ entry.announcement, now - entry.lastSeenAt });
        // Nothing renews a server that has left.
        if (state.livenessRevision <= revision || state.isReleased || entry.announcement.state == backend_state::Gone)
            continue;
        if (state.isLate) {
            update.late.push_back({ flowToken(id), now - entry.lastSeenAt });
        } else {
            update.renewed.push_back(flowToken(id));
            update.renewedDigests.push_back(digestOf(entry.announcement));
        }
    }
    return update;
}

std::optional<directory_update> directory_feed::drainChanges(monotonic_time now)
{
    std::lock_guard const lock(m_mutex);
    if (m_directory.revision() == m_sentRevision)
        return std::nullopt;
    auto update = changesAfter(m_sentRevision, now);
    m_sentRevision = m_directory.revision();
    return update;
}

std::vector<uint32_t> directory_feed::drainRenewals()
{
    std::lock_guard const lock(m_mutex);
    std::vector<uint32_t> tokens(m_renewed.begin(), m_renewed.end());
    m_renewed.clear();
    return tokens;
}

directory_update directory_feed::lease() const
{
    std::lock_guard const lock(m_mutex);
    return { m_epoch, m_sentRevision, m_sentRevision, {}, {}, server_scope::Own, {}, lease_renewal::Yes };
}

std::optional<directory_update> directory_feed::updateSince(
    uint64_t epoch, uint64_t revision, monotonic_time now, known_records known) const
{
    std::lock_guard const lock(m_mutex);
    auto const knownRevision = epoch == m_epoch ? revision : 0;
    if (epoch == m_epoch && knownRevision >= m_sentRevision)
        return std::nullopt;
    auto update = changesAfter(knownRevision, now);
    if (knownRevision > 0 || known == known_records::Omitted)
        return update;
    update.records.clear();
    for (auto const& [id, entry] : m_directory.entries())
        update.records.push_back({ entry.announcement, now - entry.lastSeenAt });
    return update;
}

directory_update directory_feed::fullUpdate(monotonic_time now) const
{
    std::lock_guard const lock(m_mutex);
    directory_update update { m_epoch, 0, m_directory.revision(), {}, {}, server_scope::Own, {}, lease_renewal::No };
    for (auto const& [id, entry] : m_directory.entries())
        update.records.push_back({ entry.announcement, now - entry.lastSeenAt });
    return update;
}

std::pair<std::vector<page_record>, uint64_t> directory_feed::records(monotonic_time now) const
{
    std::lock_guard const lock(m_mutex);
    std::vector<page_record> result;
    result.reserve(m_directory.entries().size());
    for (auto const& [id, entry] : m_directory.entries()) {
        auto const known = m_states.find(id);
        bool const isLate = known != m_states.end() && (known->second.isLate || known->second.isReleased);
        result.push_back({ { entry.announcement, now - entry.lastSeenAt }, isLate, 0 });
    }
    return { std::move(result), m_sentRevision };
}

std::vector<server_age> directory_feed::agesOf(std::vector<uint32_t> const& tokens, monotonic_time now) const
{
    std::lock_guard const lock(m_mutex);
    std::vector<server_age> result;
    // Announcements that arrived during a suspension may not have been read yet.
    if (now - m_lateCheckedAt > maximumCheckGap || now < m_lateCheckResumesAt)
        return result;
    for (auto const token : tokens) {
        auto const id = m_idsByToken.find(token);
        auto const* const entry = id == m_idsByToken.end() ? nullptr : m_directory.find(id->second);
        if (entry)
            result.push_back({ token, now - entry->lastSeenAt });
    }
    return result;
}

uint64_t directory_feed::recordChanges() const
{
    std::lock_guard const lock(m_mutex);
    return m_recordChanges;
}

void directory_feed::expire(monotonic_time now)
{
    std::lock_guard const lock(m_mutex);
    // Receivers derive from the records who has an address.
    m_directory.drainDisplacementChanges();
    for (auto const& id : m_directory.expire(now)) {
        m_states.erase(id);
        m_idsByToken.erase(flowToken(id));
    }
}

} // namespace bilberryyard

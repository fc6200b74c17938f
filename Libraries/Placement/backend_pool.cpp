#include <Placement/backend_pool.h>

#include <Base/hashing.h>
#include <algorithm>
#include <cmath>

namespace bilberryyard {

namespace {

    // Maximum random addition to each cost. It spreads flows over servers whose costs differ by an insignificant
    // amount.
    constexpr double tieBreakCost = 0.02;
    constexpr double meanResponseGain = 0.02;
    // Limits the samples that are stored until the metrics read them; further ones are left out.
    constexpr size_t maximumPendingSamples = 256;

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

    // Called when a server was not Gone before, or another incarnation of it was.
    void resetDepartureEvidence(pooled_backend& backend, monotonic_time now)
    {
        backend.goneSince = now;
        backend.load.unansweredSinceLeave = 0;
    }

} // namespace

backend_pool::backend_pool(placement_settings const& settings, std::string const& zone, uint64_t seed)
    : m_settings(settings)
    , m_overload(settings)
    , m_spill(settings.zoneSpill, zone)
    , m_seed(seed)
{
}

void backend_pool::update(backend_entry const& entry, monotonic_time now)
{
    auto const token = flowToken(entry.announcement.id);
    auto& backend = m_backends[token];
    bool const isNew = backend.token == noToken;
    bool const serviceChanged = !isNew && backend.entry.announcement.service != entry.announcement.service;
    bool const restarted = !isNew && backend.entry.announcement.startedAtMs != entry.announcement.startedAtMs;
    if (serviceChanged)
        std::erase(m_services[backend.entry.announcement.service], token);
    if (isNew || serviceChanged)
        m_services[entry.announcement.service].push_back(token);
    bool const wasGone = !isNew && !restarted && backend.entry.state() == backend_state::Gone;
    if (isNew)
        backend.knownSince = now;
    backend.token = token;
    backend.entry = entry;
    backend.zoneIndex = m_spill.indexOf(entry.announcement.zone);
    if (!wasGone)
        resetDepartureEvidence(backend, now);
    backend.liveness = { entry.lastSeenAt, nullptr };
    backend.announcedAt = std::max(backend.announcedAt, entry.lastSeenAt);
    backend.warmUpEndsAt = now + entry.announcement.remainingWarmUp;
    backend.warmUpUpdatedAt = now;
    if (restarted) {
        backend.load.retransmissionsSinceResponse = 0;
        backend.load.ejectedUntil = {};
        backend.load.ejections = 0;
        m_evidence.remove(token);
    }
}

bool backend_pool::setEvacuatedZones(evacuated_zones const& evacuations, monotonic_time now)
{
    if (evacuations.revision <= m_evacuations.revision)
        return false;
    m_evacuations = evacuations;
    std::erase_if(m_evacuatedSince, [&](auto const& item) { return !m_evacuations.zones.contains(item.first); });
    for (auto const& zone : m_evacuations.zones)
        m_evacuatedSince.try_emplace(zone, now);
    return true;
}

void backend_pool::setDisplacement(std::string const& id, std::string const& displacedBy, monotonic_time now)
{
    auto* const backend = find(flowToken(id));
    if (!backend)
        return;
    bool const wasGone = backend->entry.state() == backend_state::Gone;
    backend->entry.displacedBy = displacedBy;
    if (!wasGone)
        resetDepartureEvidence(*backend, now);
}

void backend_pool::setLiveness(uint32_t token, server_liveness const& liveness)
{
    if (auto* const backend = find(token)) {
        backend->liveness = liveness;
        backend->announcedAt = std::max(backend->announcedAt, liveness.lastSeenAt);
    }
}

void backend_pool::recordAnnouncement(
    uint32_t token, monotonic_time announcedAt, announcement_reporter reporter, monotonic_time now)
{
    auto* const backend = find(token);
    if (!backend)
        return;
    backend->announcedAt = std::max(backend->announcedAt, announcedAt);
    if (reporter == announcement_reporter::Announcer)
        backend->announcementCheckedAt = now;
}

bool backend_pool::isOverdue(pooled_backend const& backend, monotonic_time now) const
{
    auto const intervals = [&](duration time) { return seconds(time) / seconds(m_settings.announcementInterval); };
    bool const isChecked = backend.announcementCheckedAt > backend.load.withoutResponseSince;
    if (isChecked && intervals(backend.announcementCheckedAt - backend.announcedAt) > m_settings.overdueIntervals)
        return true;
    // A balancer that has just started may have an outdated record from a control host that has just started as well.
    auto const missingFor
        = intervals(now - std::max({ backend.liveness.latest(), backend.announcedAt, backend.knownSince }));
    if (backend.liveness.isLate)
        return missingFor > m_settings.overdueIntervals;
    auto const& lease = backend.liveness.lease;
    if (lease && now - lease->renewedAt <= m_settings.leaseTimeout)
        return false;
    return m_health == directory_health::Current && missingFor > m_settings.unresponsiveIntervals;
}

void backend_pool::remove(std::string const& id)
{
    auto const backend = m_backends.find(flowToken(id));
    if (backend == m_backends.end())
        return;
    std::erase(m_services[backend->second.entry.announcement.service], backend->first);
    m_evidence.remove(backend->first);
    m_backends.erase(backend);
}

pooled_backend* backend_pool::find(uint32_t token)
{
    auto const backend = m_backends.find(token);
    return backend == m_backends.end() ? nullptr : &backend->second;
}

size_t backend_pool::readyCount(std::string const& service) const
{
    auto const tokens = m_services.find(service);
    if (tokens == m_services.end())
        return 0;
    return static_cast<size_t>(std::count_if(tokens->second.begin(), tokens->second.end(),
        [&](uint32_t token) { return m_backends.at(token).entry.state() == backend_state::Ready; }));
}

size_t backend_pool::evacuatedZoneFlows() const
{
    size_t count = 0;
    for (auto const& [token, backend] : m_backends) {
        if (m_evacuations.zones.contains(backend.entry.announcement.zone))
            count += backend.load.open + backend.load.opening;
    }
    return count;
}

bool backend_pool::isLimited(pooled_backend const& backend, monotonic_time now) const
{
    return now < backend.warmUpEndsAt && m_warmUp.isLimited(backend.entry.announcement.service);
}

bool backend_pool::hasLimitedServer(std::string const& service, monotonic_time now) const
{
    auto const tokens = m_services.find(service);
    if (tokens == m_services.end() || !m_warmUp.isLimited(service))
        return false;
    return std::any_of(tokens->second.begin(), tokens->second.end(), [&](uint32_t token) {
        auto const& backend = m_backends.at(token);
        return backend.entry.state() == backend_state::Ready && isLimited(backend, now)
            && !m_evacuations.zones.contains(backend.entry.announcement.zone);
    });
}

std::vector<warming_server> backend_pool::limitedServers(monotonic_time now) const
{
    std::vector<warming_server> result;
    if (!m_warmUp.hasLimits())
        return result;
    for (auto const& [token, backend] : m_backends) {
        if (backend.entry.state() != backend_state::Gone && isLimited(backend, now))
            result.push_back({ token, backend.entry.announcement.service, backend.load.open + backend.load.opening });
    }
    return result;
}

void backend_pool::setWarmUpEnd(uint32_t token, monotonic_time endsAt, monotonic_time askedAt)
{
    auto* const backend = find(token);
    if (backend && askedAt > backend->warmUpUpdatedAt)
        backend->warmUpEndsAt = endsAt;
}

placement_criteria backend_pool::criteriaOf(
    pooled_backend const& backend, request_kind kind, route_importance importance, monotonic_time now) const
{
    using enum placement_criterion;
    auto const state = backend.entry.state();
    auto const& load = backend.load;
    bool const isEjectionCandidate = load.retransmissionsSinceResponse >= m_settings.ejectionRetransmissions;
    auto const intervals
        = isEjectionCandidate ? m_settings.ejectionCandidateIntervals : m_settings.unresponsiveIntervals;
    bool const isAnnounced = m_health == directory_health::Stale
        || seconds(now - backend.liveness.latest()) <= intervals * seconds(m_settings.announcementInterval);
    // After an ejection, a single handshake at a time probes whether the server responds again.
    bool const isResponsive = load.ejectedUntil <= now && !(isEjectionCandidate && load.opening > 0);
    bool const isRecentlyDraining
        = state == backend_state::Draining && now - backend.entry.leavingSince <= m_settings.handshakeTimeout;
    auto const& announcement = backend.entry.announcement;
    bool const isPermitted = !m_evacuations.zones.contains(announcement.zone)
        && (!isLimited(backend, now) || m_warmUp.mayOpen(backend.token, announcement.service, importance, now));
    return placement_criteria()
        .addIf(m_evidence.isTrusted(backend.token, kind, now), Trusted)
        .addIf(isPermitted, Permitted)
        .addIf(state == backend_state::Ready, Ready)
        .addIf(isRecentlyDraining, RecentlyDraining)
        .addIf(isAnnounced, Announced)
        .addIf(isResponsive, Responsive);
}

bool backend_pool::mayRepeatHandshake(pooled_backend const& backend, monotonic_time now) const
{
    bool const isUnresponsive
        = backend.load.retransmissionsSinceResponse > 0 && now - backend.load.lastResponseAt > m_settings.responseGap;
    if (isUnresponsive || backend.load.ejectedUntil > now)
        return false;
    auto const evacuation = m_evacuatedSince.find(backend.entry.announcement.zone);
    if (evacuation != m_evacuatedSince.end() && now - evacuation->second > m_settings.handshakeTimeout)
        return false;
    switch (backend.entry.state()) {
    case backend_state::Ready:
        return true;
    case backend_state::Draining:
        return now - backend.entry.leavingSince <= m_settings.handshakeTimeout;
    case backend_state::Gone:
        break;
    }
    return false;
}

double backend_pool::slowness(pooled_backend const& backend, monotonic_time now) const
{
    auto const age = seconds(now - backend.load.slownessUpdatedAt) / seconds(m_settings.slownessHalfLife);
    auto const observed = 1 + (backend.load.slowness - 1) * std::exp2(-age);
    return now < backend.warmUpEndsAt ? std::max(observed, m_settings.warmUpSlowness) : observed;
}

double backend_pool::idleFlowWeight(std::string const& service)
{
    uint32_t busy = 0;
    uint32_t open = 0;
    for (auto const token : m_services.at(service)) {
        busy += m_backends.at(token).load.busy;
        open += m_backends.at(token).load.open;
    }
    auto& share = m_busyShares[service];
    if (open > 0)
        share += m_settings.idleFlowGain * (static_cast<double>(busy) / open - share);
    return std::clamp(share, m_settings.minimumIdleFlowWeight, m_settings.maximumIdleFlowWeight);
}

double backend_pool::draw() { return static_cast<double>(hashPair(m_seed, ++m_drawCount) % 1024) / 1024; }

double backend_pool::cost(pooled_backend const& backend, double idleWeight, monotonic_time now)
{
    auto const& load = backend.load;
    auto const requests = 1 + load.busy + load.opening + idleWeight * (load.open - std::min(load.busy, load.open));
    auto const slots = std::max<uint32_t>(backend.entry.announcement.slots, 1);
    return requests / slots * slowness(backend, now) + tieBreakCost * draw();
}

pooled_backend* backend_pool::select(std::string const& service, request_kind kind, monotonic_time now,
    route_importance importance, duration targetLatency)
{
    auto const tokens = m_services.find(service);
    if (tokens == m_services.end())
        return nullptr;
    evaluateEvidence(service, now);
    auto const idleWeight = idleFlowWeight(service);
    auto bestLevel = placementLevels.size();
    m_candidates.assign(m_spill.zoneCount(), {});
    m_capacities.assign(m_spill.zoneCount(), 0);
    for (auto const token : tokens->second) {
        auto& backend = m_backends.at(token);
        auto const level = strictestLevel(criteriaOf(backend, kind, importance, now));
        if (!level || *level > bestLevel)
            continue;
        if (*level < bestLevel) {
            bestLevel = *level;
            m_candidates.assign(m_spill.zoneCount(), {});
            m_capacities.assign(m_spill.zoneCount(), 0);
        }
        auto const slots = std::max<uint32_t>(backend.entry.announcement.slots, 1);
        m_capacities[backend.zoneIndex] += slots / slowness(backend, now);
        auto const value = cost(backend, idleWeight, now);
        auto& candidate = m_candidates[backend.zoneIndex];
        if (!candidate.backend || value < candidate.cost)
            candidate = { &backend, value };
    }
    auto chosenZone = m_spill.chooseZone(service, kind, targetLatency, m_capacities, draw(), draw(), now);
    if (!chosenZone) {
        double bestCost = 0;
        for (size_t zone = 0; zone < m_candidates.size(); ++zone) {
            if (!m_candidates[zone].backend)
                continue;
            auto const value = m_candidates[zone].cost + m_spill.remoteCost(service, kind, zone);
            if (chosenZone && value >= bestCost)
                continue;
            chosenZone = zone;
            bestCost = value;
        }
    }
    if (!chosenZone)
        return nullptr;
    if (*chosenZone != 0)
        m_spill.recordDeparture(service, kind, *chosenZone);
    auto* const best = m_candidates[*chosenZone].backend;
    m_evidence.recordPlacement(best->token, now);
    return best;
}

void backend_pool::evaluateEvidence(std::string const& service, monotonic_time now)
{
    if (!m_evidence.isDue(service, now))
        return;
    std::vector<uint32_t> ready;
    for (auto const token : m_services.at(service)) {
        if (m_backends.at(token).entry.state() == backend_state::Ready)
            ready.push_back(token);
    }
    m_evidence.evaluate(service, ready, now);
}

void backend_pool::recordAcknowledgement(pooled_backend& backend, monotonic_time now)
{
    backend.load.lastResponseAt = now;
    backend.load.unansweredSinceLeave = 0;
    backend.load.retransmissionsSinceResponse = 0;
    backend.load.ejections = 0;
    backend.load.ejectedUntil = {};
}

void backend_pool::recordResponseTime(
    pooled_backend& backend, duration time, monotonic_time now, std::optional<request_kind> kind)
{
    auto const sample = seconds(time);
    if (m_responseTimes.size() < maximumPendingSamples)
        m_responseTimes.push_back(sample);
    m_overload.recordLatency(backend.entry.announcement.service, time, now);
    if (kind)
        m_spill.recordResponseTime(backend.entry.announcement.service, *kind, backend.zoneIndex, time, now);
    auto& mean = m_meanResponseSeconds[backend.entry.announcement.service];
    mean = mean == 0 ? sample : mean + meanResponseGain * (sample - mean);
    if (mean <= 0)
        return;
    auto const ratio = std::clamp(sample / mean, 0.2, m_settings.maximumSlowness);
    auto const current = slowness(backend, now);
    backend.load.slowness = current + m_settings.slownessGain * (ratio - current);
    backend.load.slownessUpdatedAt = now;
}

void backend_pool::recordResponse(pooled_backend& backend, observed_response const& response, monotonic_time now)
{
    m_evidence.record(backend.token, response.look, now);
    if (!response.time)
        return;
    if (response.look != response_look::Conspicuous)
        return recordResponseTime(backend, *response.time, now, response.kind);
    m_overload.recordLatency(backend.entry.announcement.service, *response.time, now);
}

bool backend_pool::mayEject(pooled_backend const& candidate, monotonic_time now) const
{
    auto const& tokens = m_services.at(candidate.entry.announcement.service);
    size_t ready = 0;
    size_t ejected = 0;
    for (auto const token : tokens) {
        auto const& backend = m_backends.at(token);
        if (backend.entry.state() != backend_state::Ready)
            continue;
        ++ready;
        ejected += token != candidate.token && backend.load.ejectedUntil > now ? 1 : 0;
    }
    return static_cast<double>(ejected + 1) <= m_settings.maximumEjectedShare * static_cast<double>(ready);
}

void backend_pool::recordRetransmission(pooled_backend& backend, monotonic_time since, monotonic_time now)
{
    // The server has responded to other packets since, so only this packet was lost.
    if (backend.load.lastResponseAt > since)
        return;
    if (now - backend.load.lastRetransmissionAt > m_settings.maximumRetransmissionInterval)
        backend.load.retransmissionsSinceResponse = 0;
    backend.load.lastRetransmissionAt = now;
    if (backend.load.retransmissionsSinceResponse++ == 0)
        backend.load.withoutResponseSince = since;
    if (now - backend.suspectedAt >= m_settings.announcementQueryInterval) {
        backend.suspectedAt = now;
        m_suspects.push_back(backend.token);
    }
    if (backend.load.retransmissionsSinceResponse < m_settings.ejectionRetransmissions
        || backend.load.ejectedUntil > now)
        return;
    if (!mayEject(backend, now))
        return;
    auto const doublings = std::min<uint32_t>(backend.load.ejections, 8);
    backend.load.ejectedUntil = now
        + std::min<duration>(m_settings.initialEjectionDuration * (1 << doublings), m_settings.maximumEjectionDuration);
    ++backend.load.ejections;
    auto const time = std::chrono::duration_cast<std::chrono::milliseconds>(backend.load.ejectedUntil - now);
    m_newEjections.emplace_back(backend.entry.announcement.id, time.count());
}

void backend_pool::recordUnansweredData(pooled_backend& backend, monotonic_time sentAt)
{
    if (backend.entry.state() == backend_state::Gone && sentAt >= backend.goneSince
        && backend.load.lastResponseAt <= sentAt)
        ++backend.load.unansweredSinceLeave;
}

bool backend_pool::hasStopped(pooled_backend const& backend, packet_novelty packet) const
{
    if (backend.entry.state() != backend_state::Gone)
        return false;
    // A single packet may have been lost, so it counts only for its own flow.
    auto const required = packet == packet_novelty::Repeated ? 1 : m_settings.ejectionRetransmissions;
    return backend.load.unansweredSinceLeave >= required;
}

bool backend_pool::isPresumedDead(pooled_backend const& backend, monotonic_time now) const
{
    auto const& load = backend.load;
    // Silence alone does not tell a crashed server from a slow one or from a path that loses packets.
    if (load.retransmissionsSinceResponse < m_settings.presumedDeadRetransmissions || !isOverdue(backend, now))
        return false;
    auto const mean = m_meanResponseSeconds.find(backend.entry.announcement.service);
    auto const responses
        = mean == m_meanResponseSeconds.end() ? 0 : m_settings.presumedDeadResponseTimes * mean->second;
    auto const timeout = std::max(seconds(m_settings.presumedDeadTimeout), responses);
    auto const since = std::max(load.withoutResponseSince, load.lastResponseAt);
    return seconds(now - since) >= timeout && mayEject(backend, now);
}

} // namespace bilberryyard

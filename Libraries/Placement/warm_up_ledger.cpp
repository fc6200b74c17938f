#include <Placement/warm_up_ledger.h>

#include <algorithm>
#include <cmath>

namespace bilberryyard {

namespace {

    // A process that did not run for longer may read announcements that arrived much earlier.
    constexpr duration maximumActivityGap = std::chrono::milliseconds(1'200);
    // A server that has sent more announcements has run for longer, and its warm-up may have begun again.
    constexpr uint64_t firstSequences = 10;
    constexpr duration firstAnnouncementAge = std::chrono::milliseconds(500);
    // Flows that a balancer has reported may be open without packets for this long after it has stopped reporting.
    constexpr duration reportRetention = std::chrono::seconds(60);
    // Until then callers have sent their next requests, through another balancer if necessary.
    constexpr duration reportHold = std::chrono::seconds(3);
    constexpr double maximumLimit = 1'000'000;
    constexpr duration serverRetention = std::chrono::seconds(120);

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

} // namespace

warm_up_ledger::warm_up_ledger(warm_up_times const& times, duration announcementInterval)
    : m_times(times)
    , m_announcementInterval(announcementInterval)
{
}

duration warm_up_ledger::takeoverDelay() const { return announcementTimeout() + m_times.chargePeriod(); }

uint32_t warm_up_ledger::divisorOf(warm_up_announcement const& announcement) const
{
    auto const age = announcement.whole - announcement.remaining;
    bool const isWarmingUp = announcement.remaining > duration::zero();
    // Since the server has started, no host can have received its announcements for the whole delay. So another host
    // may have granted a part of the limit at most: two hosts have the first announcement if its response was lost, or
    // one has the first and others the next ones.
    if (!isWarmingUp || announcement.sequence > firstSequences || age >= takeoverDelay())
        return 0;
    return age <= firstAnnouncementAge ? 2 : 4;
}

void warm_up_ledger::recordActivity(monotonic_time now)
{
    bool const wasSuspended = m_activeAt != monotonic_time() && now - m_activeAt > maximumActivityGap;
    m_activeAt = now;
    if (!wasSuspended)
        return;
    for (auto& [token, entry] : m_servers) {
        entry.exclusiveFrom = now + takeoverDelay();
        entry.divisor = 0;
    }
}

void warm_up_ledger::recordAnnouncement(
    warm_up_announcement const& announcement, warm_up_limit const& limit, monotonic_time now)
{
    recordActivity(now);
    auto const [item, isUnknown] = m_servers.try_emplace(announcement.token);
    auto& entry = item->second;
    bool const isRestarted = isUnknown || entry.startedAtMs != announcement.startedAtMs;
    bool const isContinued = !isRestarted && now - entry.announcedAt <= announcementTimeout();
    auto const endsAt = now + announcement.remaining;
    bool const isWarmingUp = announcement.remaining > duration::zero();
    // Announcements of one warm-up state the same end, apart from their delays.
    auto const delay = isRestarted || !isWarmingUp ? duration::zero() : endsAt - entry.warmUpEndsAt;
    bool const beginsAgain = delay > m_announcementInterval;
    if (isRestarted) {
        entry.startedAtMs = announcement.startedAtMs;
        // The flows of the earlier incarnation have ended. Grants that are still in use may reach the new one.
        entry.reports.clear();
        entry.divisor = divisorOf(announcement);
    }
    if (beginsAgain)
        entry.divisor = 0;
    if (!isContinued || beginsAgain)
        entry.exclusiveFrom = now + takeoverDelay();
    entry.limit = limit;
    bool const isLate = delay > duration::zero() && !beginsAgain;
    entry.announcedAt = isLate ? std::max(entry.announcedAt, now - delay) : now;
    entry.warmUpEndsAt = isLate ? entry.warmUpEndsAt : endsAt;
}

warm_up_ledger::charged_requests warm_up_ledger::chargedRequests(server& entry, monotonic_time now) const
{
    std::erase_if(entry.reports, [&](auto const& item) { return now - item.second.receivedAt > reportRetention; });
    std::erase_if(entry.charges, [&](charge const& item) {
        if (now - item.grantedAt <= m_times.chargePeriod())
            return false;
        // Until the balancer has reported the flows that it opened with the grant, they may still be open.
        auto const report = entry.reports.find(item.balancer);
        bool const isReported = report != entry.reports.end()
            && report->second.receivedAt - item.grantedAt > m_times.grantSpan + m_times.requestDelay;
        return isReported || now - item.grantedAt > reportRetention;
    });
    charged_requests result;
    for (auto const& item : entry.charges)
        result.granted += item.requests;
    for (auto const& [balancer, report] : entry.reports)
        result.ofOpenFlows += report.requestsPerSecond;
    return result;
}

uint32_t warm_up_ledger::availableRequests(server& entry, monotonic_time now) const
{
    auto const whole = [](double value) { return static_cast<uint32_t>(std::clamp(value, 0.0, maximumLimit)); };
    auto const& limit = entry.limit;
    // No second may have more requests than the limit allows, and a charge period not more than the server bears, but
    // one at least.
    auto largest = whole(limit.requestsPerSecond * limit.excess + limit.slack);
    auto borne = std::max(whole(limit.requestsPerSecond * seconds(m_times.chargePeriod())), uint32_t { 1 });
    if (now < entry.exclusiveFrom) {
        largest /= entry.divisor;
        borne = (borne + entry.divisor - 1) / entry.divisor;
    }
    auto const charged = chargedRequests(entry, now);
    auto const remainder = [](uint32_t from, uint32_t used) { return from - std::min(from, used); };
    return std::min(remainder(largest, charged.granted + charged.ofOpenFlows), remainder(borne, charged.granted));
}

void warm_up_ledger::recordReport(flow_report& report, uint32_t requestsPerSecond, monotonic_time now)
{
    report.receivedAt = now;
    if (requestsPerSecond < report.requestsPerSecond && now < report.heldUntil)
        return;
    report.requestsPerSecond = requestsPerSecond;
    report.heldUntil = now + reportHold;
}

std::optional<warm_up_grant> warm_up_ledger::grant(
    ip_endpoint const& balancer, warm_up_demand const& demand, monotonic_time now)
{
    recordActivity(now);
    auto const item = m_servers.find(demand.token);
    if (item == m_servers.end())
        return std::nullopt;
    auto& entry = item->second;
    recordReport(entry.reports[balancer], demand.openFlowRequests, now);
    if (now - entry.announcedAt > announcementTimeout())
        return std::nullopt;
    warm_up_grant result { demand.token, 0, std::max(entry.warmUpEndsAt - now, duration::zero()) };
    if (now < entry.exclusiveFrom && entry.divisor == 0) {
        m_deferredCount += demand.wanted;
        return result;
    }
    result.requests = std::min(demand.wanted, availableRequests(entry, now));
    if (result.requests > 0)
        entry.charges.push_back({ balancer, result.requests, now });
    m_grantedCount += result.requests;
    m_withheldCount += demand.wanted - result.requests;
    return result;
}

void warm_up_ledger::expire(monotonic_time now)
{
    std::erase_if(m_servers, [&](auto const& item) { return now - item.second.announcedAt > serverRetention; });
}

size_t warm_up_ledger::warmingUpCount(monotonic_time now) const
{
    return static_cast<size_t>(std::count_if(
        m_servers.begin(), m_servers.end(), [&](auto const& item) { return now < item.second.warmUpEndsAt; }));
}

} // namespace bilberryyard

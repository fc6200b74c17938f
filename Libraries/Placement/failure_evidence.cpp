#include <Placement/failure_evidence.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace bilberryyard {

namespace {

    constexpr duration evaluationInterval = std::chrono::milliseconds(50);
    // After this time without a conspicuous request, no server can be an outlier.
    constexpr int evidenceHalfLives = 6;
    // Counts below this have no influence and are forgotten.
    constexpr double negligibleCount = 0.05;

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

    double entropyTerm(double share, double reference) { return share > 0 ? share * std::log(share / reference) : 0; }

    // Relative entropy of two Bernoulli distributions.
    double divergence(double share, double reference)
    {
        return entropyTerm(share, reference) + entropyTerm(1 - share, 1 - reference);
    }

    request_counts operator-(request_counts const& left, request_counts const& right)
    {
        return { std::max(left.whole - right.whole, 0.0), std::max(left.conspicuous - right.conspicuous, 0.0) };
    }

    void addTo(request_counts& sum, request_counts const& counts)
    {
        sum.whole += counts.whole;
        sum.conspicuous += counts.conspicuous;
    }

    double shareOf(request_counts const& counts) { return counts.conspicuous / counts.total(); }

    template <typename Value>
    Value upperQuartile(std::vector<Value> values)
    {
        auto const quartile = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 3 / 4);
        std::nth_element(values.begin(), quartile, values.end());
        return *quartile;
    }

} // namespace

void usual_response::record(uint32_t bytes, duration time)
{
    if (m_sizes.size() < maximumSamples) {
        m_sizes.push_back(bytes);
        m_times.push_back(time);
    } else {
        auto const index = m_next++ % maximumSamples;
        m_sizes[index] = bytes;
        m_times[index] = time;
    }
    if (m_sizes.size() < minimumSamples)
        return;
    m_bytes = upperQuartile(m_sizes);
    m_time = upperQuartile(m_times);
}

request_counts decaying_counts::at(failure_evidence_settings const& settings, monotonic_time now) const
{
    auto const factor = std::exp2(-seconds(now - m_updatedAt) / seconds(settings.countHalfLife));
    return { m_counts.whole * factor, m_counts.conspicuous * factor };
}

void decaying_counts::add(request_counts const& counts, failure_evidence_settings const& settings, monotonic_time now)
{
    m_counts = at(settings, now);
    m_updatedAt = now;
    auto const room = std::max(settings.maximumCount - counts.total(), 0.0);
    if (auto const total = m_counts.total(); total > room) {
        m_counts.whole *= room / total;
        m_counts.conspicuous *= room / total;
    }
    addTo(m_counts, counts);
}

std::vector<outlier_score> scoreServers(std::vector<server_counts> servers, request_counts const& rest,
    double threshold, failure_evidence_settings const& settings)
{
    std::erase_if(servers, [](auto const& server) { return server.counts.total() < negligibleCount; });
    std::sort(servers.begin(), servers.end(), [](auto const& left, auto const& right) {
        return std::pair(shareOf(left.counts), left.counts.total())
            > std::pair(shareOf(right.counts), right.counts.total());
    });
    auto remaining = rest;
    for (auto const& server : servers)
        addTo(remaining, server.counts);
    std::vector<outlier_score> scores;
    for (auto const& [token, counts] : servers) {
        auto others = remaining - counts;
        // What is left of a difference of fractions.
        if (others.total() < negligibleCount)
            others = {};
        auto const othersShare
            = others.total() > 0 ? std::max(settings.normalShare, shareOf(others)) : settings.normalShare;
        auto const share = shareOf(counts);
        outlier_score result { token, counts, othersShare, 0 };
        if (share > othersShare && others.total() > 0) {
            auto const common = (counts.conspicuous + othersShare * others.total()) / (counts.total() + others.total());
            result.score
                = counts.total() * divergence(share, common) + others.total() * divergence(othersShare, common);
        }
        if (result.score >= threshold && share - othersShare >= settings.minimumExcess)
            remaining = others;
        scores.push_back(result);
    }
    return scores;
}

failure_evidence::failure_evidence(failure_evidence_settings const& settings)
    : m_settings(settings)
{
}

response_look failure_evidence::lookOf(ip_endpoint const& route, uint32_t responseBytes) const
{
    auto const usual = m_usual.find(route);
    if (usual == m_usual.end() || usual->second.bytes() == 0)
        return response_look::Unknown;
    return responseBytes >= m_settings.usualSizeShare * usual->second.bytes() ? response_look::Whole
                                                                              : response_look::Conspicuous;
}

bool failure_evidence::isSilent(ip_endpoint const& route, duration withoutResponse) const
{
    auto const usual = m_usual.find(route);
    if (usual == m_usual.end() || usual->second.bytes() == 0)
        return false;
    return withoutResponse > m_settings.minimumSilence
        && seconds(withoutResponse) > m_settings.silentResponseTimes * seconds(usual->second.time());
}

void failure_evidence::recordUsual(ip_endpoint const& route, uint32_t responseBytes, duration time)
{
    m_usual[route].record(responseBytes, time);
}

void failure_evidence::record(uint32_t token, response_look look, monotonic_time now)
{
    if (look == response_look::Unknown)
        return;
    request_counts const counts = look == response_look::Whole ? request_counts { 1, 0 } : request_counts { 0, 1 };
    if (look == response_look::Conspicuous)
        m_conspicuousAt = now;
    m_conspicuousCount += look == response_look::Conspicuous ? 1 : 0;
    m_counts[token].add(counts, m_settings, now);
    addTo(m_pending[token], counts);
}

void failure_evidence::setSums(ip_endpoint const& sender, failure_sums const& sums, monotonic_time now)
{
    m_sums[sender] = { sums, now };
}

void failure_evidence::remove(uint32_t token)
{
    m_counts.erase(token);
    m_pending.erase(token);
    m_untrusted.erase(token);
}

double failure_evidence::threshold(size_t servers) const
{
    return std::log(static_cast<double>(std::max<size_t>(servers, 1)) / m_settings.falseAlarmProbability);
}

failure_evidence::received_sums const* failure_evidence::currentSums(monotonic_time now) const
{
    received_sums const* best = nullptr;
    for (auto const& [sender, received] : m_sums) {
        if (now - received.receivedAt > m_settings.sharedExpiry)
            continue;
        if (!best || received.sums.reporters > best->sums.reporters)
            best = &received;
    }
    return best;
}

std::vector<outlier_score> failure_evidence::ownScores(std::vector<uint32_t> const& ready, monotonic_time now) const
{
    std::vector<server_counts> servers;
    for (auto const token : ready) {
        if (auto const counts = m_counts.find(token); counts != m_counts.end())
            servers.push_back({ token, counts->second.at(m_settings, now) });
    }
    return scoreServers(std::move(servers), {}, threshold(ready.size()), m_settings);
}

std::vector<outlier_score> failure_evidence::sharedScores(std::vector<uint32_t> const& ready, monotonic_time now) const
{
    auto const* const received = currentSums(now);
    if (!received)
        return {};
    std::set<uint32_t> const tokens(ready.begin(), ready.end());
    // Without further sums the counts are as old as the message.
    auto const factor = std::exp2(-seconds(now - received->receivedAt) / seconds(m_settings.countHalfLife));
    std::vector<server_counts> servers;
    for (auto const& server : received->sums.servers) {
        if (tokens.contains(server.token))
            servers.push_back({ server.token, { server.counts.whole * factor, server.counts.conspicuous * factor } });
    }
    // The sums do not name the services of the other servers, so each gets the same part.
    auto const unlisted = static_cast<double>(ready.size() - servers.size());
    auto const all = std::max<double>(static_cast<double>(m_counts.size()), unlisted);
    auto const part = all > 0 ? unlisted / all : 0;
    request_counts const rest { received->sums.rest.whole * part, received->sums.rest.conspicuous * part };
    return scoreServers(std::move(servers), rest, threshold(ready.size()), m_settings);
}

bool failure_evidence::isDue(std::string const& service, monotonic_time now) const
{
    auto const evaluated = m_evaluatedAt.find(service);
    return evaluated == m_evaluatedAt.end() || now - evaluated->second >= evaluationInterval;
}

void failure_evidence::evaluate(std::string const& service, std::vector<uint32_t> const& ready, monotonic_time now)
{
    m_evaluatedAt[service] = now;
    auto const* const received = currentSums(now);
    bool const hasEvidence = now - m_conspicuousAt <= evidenceHalfLives * m_settings.countHalfLife
        || (received && !received->sums.servers.empty());
    if (!hasEvidence && m_untrusted.empty())
        return;
    auto const limit = threshold(ready.size());
    struct verdict {
        outlier_score score;
        trust_change::source from;
    };
    std::unordered_map<uint32_t, verdict> verdicts;
    auto const collect = [&](std::vector<outlier_score> const& scores, trust_change::source from) {
        for (auto const& score : scores) {
            auto const [known, isNew] = verdicts.try_emplace(score.token, verdict { score, from });
            if (!isNew && score.score > known->second.score.score)
                known->second = { score, from };
        }
    };
    collect(ownScores(ready, now), trust_change::source::Own);
    collect(sharedScores(ready, now), trust_change::source::Shared);
    auto untrusted = static_cast<size_t>(
        std::count_if(ready.begin(), ready.end(), [&](uint32_t token) { return m_untrusted.contains(token); }));
    for (auto const token : ready) {
        auto const found = verdicts.find(token);
        verdict const current
            = found == verdicts.end() ? verdict { { token, {}, 0, 0 }, trust_change::source::Own } : found->second;
        auto const& score = current.score;
        if (m_untrusted.contains(token)) {
            if (score.score >= m_settings.recoveryFactor * limit)
                continue;
            m_untrusted.erase(token);
            m_changes.push_back(
                { trust_change::direction::Regained, score, limit, current.from, --untrusted, ready.size() });
            continue;
        }
        if (!(score.score >= limit) || shareOf(score.counts) - score.othersShare < m_settings.minimumExcess)
            continue;
        if (static_cast<double>(untrusted + 1) > m_settings.maximumUntrustedShare * static_cast<double>(ready.size()))
            continue;
        m_untrusted[token].nextProbeAt = now + probeInterval(now);
        m_changes.push_back({ trust_change::direction::Lost, score, limit, current.from, ++untrusted, ready.size() });
    }
}

duration failure_evidence::probeInterval(monotonic_time now) const
{
    auto const* const received = currentSums(now);
    return m_settings.probeInterval * std::max<uint32_t>(received ? received->sums.reporters : 1, 1);
}

bool failure_evidence::isTrusted(uint32_t token, request_kind kind, monotonic_time now) const
{
    auto const untrusted = m_untrusted.find(token);
    if (untrusted == m_untrusted.end())
        return true;
    return kind == request_kind::Idempotent && now >= untrusted->second.nextProbeAt;
}

void failure_evidence::recordPlacement(uint32_t token, monotonic_time now)
{
    if (auto const untrusted = m_untrusted.find(token); untrusted != m_untrusted.end())
        untrusted->second.nextProbeAt = now + probeInterval(now);
}

failure_report failure_evidence::drainReport(monotonic_time now)
{
    auto const pending = std::exchange(m_pending, {});
    auto const* const received = currentSums(now);
    bool const isConspicuousElsewhere = received && !received->sums.servers.empty();
    bool const isConspicuousHere
        = std::any_of(pending.begin(), pending.end(), [](auto const& item) { return item.second.conspicuous > 0; });
    failure_report report;
    if (!isConspicuousHere && !isConspicuousElsewhere)
        return report;
    for (auto const& [token, counts] : pending)
        report.servers.push_back({ token, counts });
    std::sort(report.servers.begin(), report.servers.end());
    return report;
}

failure_aggregator::failure_aggregator(failure_evidence_settings const& settings)
    : m_settings(settings)
{
}

void failure_aggregator::record(ip_endpoint const& reporter, failure_report const& report, monotonic_time now)
{
    m_reporters[reporter] = now;
    for (auto const& [token, counts] : report.servers)
        m_servers[token][reporter].add(counts, m_settings, now);
}

failure_sums failure_aggregator::sums(monotonic_time now) const
{
    failure_sums result;
    result.reporters = static_cast<uint32_t>(m_reporters.size());
    std::vector<server_counts> listed;
    for (auto const& [token, reporters] : m_servers) {
        request_counts sum;
        for (auto const& [reporter, counts] : reporters) {
            auto bounded = counts.at(m_settings, now);
            bounded.conspicuous = std::min(bounded.conspicuous, maximumConspicuousPerReporter);
            addTo(sum, bounded);
        }
        if (auto const total = sum.total(); total > m_settings.maximumCount) {
            sum.whole *= m_settings.maximumCount / total;
            sum.conspicuous *= m_settings.maximumCount / total;
        }
        if (sum.conspicuous < minimumListedConspicuous)
            addTo(result.rest, sum);
        else
            listed.push_back({ token, sum });
    }
    std::sort(listed.begin(), listed.end(),
        [](auto const& left, auto const& right) { return left.counts.conspicuous > right.counts.conspicuous; });
    for (size_t index = 0; index < listed.size(); ++index) {
        if (index < maximumListedServers)
            result.servers.push_back(listed[index]);
        else
            addTo(result.rest, listed[index].counts);
    }
    return result;
}

void failure_aggregator::expire(monotonic_time now)
{
    for (auto& [token, reporters] : m_servers) {
        std::erase_if(
            reporters, [&](auto const& item) { return item.second.at(m_settings, now).total() < negligibleCount; });
    }
    std::erase_if(m_servers, [](auto const& item) { return item.second.empty(); });
    std::erase_if(m_reporters, [&](auto const& item) { return now - item.second > 4 * m_settings.countHalfLife; });
}

} // namespace bilberryyard

#include "load_summary.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace bilberryyard {

namespace {

    constexpr std::array<std::string_view, 7> outcomeNames { "still open", "answered", "refused", "not established",
        "broken", "wrong answer", "wrong service" };

    double percentile(std::vector<double> samples, double fraction)
    {
        if (samples.empty())
            return 0;
        auto const index = static_cast<size_t>(fraction * static_cast<double>(samples.size() - 1));
        std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index), samples.end());
        return samples[index];
    }

} // namespace

void load_summary::add(emulated_caller const& caller)
{
    ++m_flows;
    ++m_outcomes[static_cast<size_t>(caller.outcome())];
    m_retransmissions += caller.retransmissions();
    m_feedUpdates += caller.feedUpdates();
    if (!caller.server().empty())
        ++m_flowsByServer[caller.service()][caller.server()];
    if (caller.outcome() == caller_outcome::Answered && caller.request().kind != request_kind::Feed) {
        m_responseMilliseconds.push_back(
            std::chrono::duration<double, std::milli>(caller.completedAt() - caller.startedAt()).count());
    }
}

uint64_t load_summary::brokenFlows() const
{
    return count(caller_outcome::Broken) + count(caller_outcome::WrongAnswer) + count(caller_outcome::WrongService);
}

double load_summary::imbalance(std::string const& service) const
{
    auto const entry = m_flowsByServer.find(service);
    if (entry == m_flowsByServer.end())
        return 0;
    uint64_t total = 0;
    uint64_t largest = 0;
    for (auto const& [server, flows] : entry->second) {
        total += flows;
        largest = std::max(largest, flows);
    }
    return static_cast<double>(largest) * static_cast<double>(entry->second.size()) / static_cast<double>(total);
}

std::string load_summary::toText() const
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << "flows            " << m_flows << '\n';
    for (size_t index = 1; index < outcomeNames.size(); ++index)
        text << std::left << std::setw(17) << outcomeNames[index] << m_outcomes[index] << '\n';
    text << "feed updates     " << m_feedUpdates << '\n'
         << "retransmissions  " << m_retransmissions << '\n'
         << "response time    p50 " << percentile(m_responseMilliseconds, 0.5) << " ms, p99 "
         << percentile(m_responseMilliseconds, 0.99) << " ms\n";
    for (auto const& [service, servers] : m_flowsByServer) {
        text << "service " << service << ": " << servers.size() << " servers, maximum over mean " << imbalance(service)
             << '\n';
        for (auto const& [server, flows] : servers)
            text << "  " << std::left << std::setw(24) << server << flows << '\n';
    }
    text << "broken flows     " << brokenFlows() << '\n';
    return text.str();
}

} // namespace bilberryyard

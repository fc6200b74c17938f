#include <Routing/table_planner.h>

#include <Base/error_kind.h>
#include <Routing/delta_builder.h>
#include <algorithm>
#include <array>
#include <string>

namespace bilberryyard {

namespace {

    struct urgency_share {
        change_urgency urgency;
        /// Percentage of the budget that may be used before changes of this urgency are delayed.
        uint64_t percentage;
    };

    constexpr std::array urgencyShares {
        urgency_share { change_urgency::Urgent, 100 },
        urgency_share { change_urgency::Repair, 85 },
        urgency_share { change_urgency::Balance, 75 },
        urgency_share { change_urgency::Settle, 50 },
    };

} // namespace

table_planner::table_planner(planner_settings const& settings, routed_peer self)
    : m_settings(settings)
    , m_self(self)
    , m_budget(settings.bytesPerSecond)
{
}

absl::StatusOr<table_planner> table_planner::create(planner_settings const& settings, routed_peer self)
{
    if (settings.witnessCount == 0 || settings.witnessCount > maximumWitnesses)
        return makeError(
            error_kind::InvalidArgument, "witness_count must be between 1 and " + std::to_string(maximumWitnesses));
    if (settings.bytesPerSecond < 256)
        return makeError(
            error_kind::InvalidArgument, "the budget for table changes must be at least 256 bytes a second");
    if (settings.movesPerMillePerSecond == 0 || settings.movesPerMillePerSecond > 1000)
        return makeError(
            error_kind::InvalidArgument, "the moves a second must be between 1 and 1000 per mille of the buckets");
    if (settings.publishInterval < duration::zero() || settings.coldStart < duration::zero()
        || settings.firstAssignmentDelay < duration::zero() || settings.flowIdleTimeout < duration::zero()
        || settings.unreachableGroupTimeout < duration::zero())
        return makeError(
            error_kind::InvalidArgument, "the planner's intervals, delays and timeouts must not be negative");
    return table_planner(settings, self);
}

absl::Status table_planner::addService(service_traffic traffic, replicated_table const& start)
{
    auto const service = start.table.service();
    if (m_services.contains(service))
        return makeError(error_kind::Conflict, "service " + std::to_string(service.value) + " is planned already");
    m_services.emplace(service, service_planner(m_settings, m_self, traffic, start));
    return absl::OkStatus();
}

void table_planner::removeService(service_id service) { m_services.erase(service); }

absl::Status table_planner::offer(replicated_table const& table)
{
    auto const entry = m_services.find(table.table.service());
    if (entry == m_services.end())
        return makeError(error_kind::NotFound,
            "offered table belongs to unknown service " + std::to_string(table.table.service().value));
    if (table.table.bucketCount() != entry->second.table().bucketCount())
        return makeError(error_kind::InvalidArgument,
            "offered table has " + std::to_string(table.table.bucketCount()) + " buckets instead of "
                + std::to_string(entry->second.table().bucketCount()));
    entry->second.offer(table);
    return absl::OkStatus();
}

void table_planner::settled(settled_report const& report)
{
    if (auto const entry = m_services.find(report.service); entry != m_services.end())
        entry->second.settled(report);
}

void table_planner::filled(filled_report const& report)
{
    if (auto const entry = m_services.find(report.service); entry != m_services.end())
        entry->second.filled(report);
}

void table_planner::recordDesynchronisation(routed_peer host)
{
    for (auto& [service, planner] : m_services)
        planner.recordDesynchronisation(host);
}

planner_output table_planner::step(planner_input const& input)
{
    planner_output output;
    if (!m_publishedAt || input.now - *m_publishedAt >= m_settings.publishInterval) {
        m_publishedAt = input.now;
        ++m_round;
        for (auto& [service, planner] : m_services)
            planner.plan(input);
        for (auto const& share : urgencyShares)
            publish(share.urgency, input, output);
    }
    for (auto const& host : input.hosts) {
        bool const isReleased = std::all_of(m_services.begin(), m_services.end(),
            [&](auto const& item) { return item.second.isReleased(host.peer.host); });
        if (host.isLeaving && isReleased)
            output.mayLeave.push_back(host.peer.host);
    }
    return output;
}

bucket_table const* table_planner::table(service_id service) const
{
    auto const entry = m_services.find(service);
    return entry == m_services.end() ? nullptr : &entry->second.table();
}

uint64_t table_planner::revision(service_id service) const
{
    auto const entry = m_services.find(service);
    return entry == m_services.end() ? 0 : entry->second.revision();
}

std::optional<replicated_table> table_planner::replicated(service_id service) const
{
    auto const entry = m_services.find(service);
    if (entry == m_services.end())
        return std::nullopt;
    return entry->second.replicated();
}

uint64_t table_planner::allowance(change_urgency urgency, uint64_t copies, monotonic_time now) const
{
    auto const percentage = urgencyShares.at(static_cast<size_t>(urgency)).percentage;
    auto const reserved = m_budget.capacity() * (100 - percentage) / 100;
    auto const available = m_budget.available(now);
    return available > reserved ? (available - reserved) / copies : 0;
}

void table_planner::publish(change_urgency urgency, planner_input const& input, planner_output& output)
{
    uint64_t const copies = std::max<uint64_t>(input.hosts.size(), 2) - 1;
    auto const first = m_services.empty() ? 0 : m_round % m_services.size();
    for (size_t offset = 0; offset < m_services.size(); ++offset) {
        auto const position = (first + offset) % m_services.size();
        auto& planner = std::next(m_services.begin(), static_cast<std::ptrdiff_t>(position))->second;
        auto delta = planner.build(urgency, allowance(urgency, copies, input.now));
        if (!delta)
            continue;
        m_budget.charge(estimateDeltaBytes(*delta) * copies, input.now);
        output.deltas.push_back(std::move(*delta));
    }
}

} // namespace bilberryyard

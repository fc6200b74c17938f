#include <Routing/flow_router.h>

#include <Base/error_kind.h>

namespace bilberryyard {

service_routes const* flow_router::routesOf(service_id service) const
{
    auto const found = m_routes.find(service);
    return found == m_routes.end() || !found->second.table() ? nullptr : &found->second;
}

flow_explanation flow_router::explain(flow_key const& key) const
{
    flow_explanation result;
    auto const service = m_endpoints.find(key);
    if (!service)
        return result;
    result.service = *service;
    result.flowHash = hashFlow(key, m_view->hashSeed);
    result.rule = routing_rule::Unsynchronised;
    auto const* routes = routesOf(*service);
    if (!routes)
        return result;
    result.bucket = routes->table()->bucketIndex(result.flowHash);
    result.tableVersion = routes->table()->version();
    if (!isSynchronised(m_now) && !isIsolated(m_now))
        return result;
    auto const& target = routes->table()->at(result.bucket);
    if (target.phase == bucket_phase::Stable) {
        result.rule = routing_rule::StableBucket;
        result.server = target.current;
        return result;
    }
    auto const found = resolve(*routes, target, { result.flowHash, routes->shortService() }, 0, std::nullopt, m_now);
    result.rule = found.rule;
    result.server = found.server;
    if (found.rule == routing_rule::Relayed)
        result.host = found.host;
    if (found.rule == routing_rule::Base && key.protocol != ip_protocol::Tcp) {
        result.rule = routing_rule::NewFlow;
        result.server = target.current;
    }
    return result;
}

bucket_usage flow_router::usageOf(service_id service, uint32_t index) const
{
    bucket_usage result;
    auto const* routes = routesOf(service);
    if (!routes || index >= routes->table()->bucketCount())
        return result;
    auto const& table = *routes->table();
    m_flows.forEachInBucket(routes->shortService(), table.bucketCount(), index, [&](flow_entry const& entry) {
        if (!m_timeouts.isExpired(entry, tickOf(m_now))) {
            ++result.entries;
            result.differing += entry.server != table.at(index).current ? 1 : 0;
        }
        return true;
    });
    auto const& history = routes->historyOf(index);
    if (history.lastBaseUse != monotonic_time::min())
        result.lastBaseUse = history.lastBaseUse;
    return result;
}

transfer_batch flow_router::exportFlows(
    service_id service, std::span<uint32_t const> buckets, transfer_cursor const& cursor, size_t maximumFlows) const
{
    transfer_batch batch { {}, cursor, false };
    auto const* routes = routesOf(service);
    while (routes && batch.next.position < buckets.size()) {
        bool full = false;
        auto const first = batch.next.lastHash;
        m_flows.forEachInBucket(routes->shortService(), routes->table()->bucketCount(), buckets[batch.next.position],
            [&](flow_entry const& entry) {
                if ((first && m_flows.orderOf(entry.hash) <= m_flows.orderOf(*first))
                    || m_timeouts.isExpired(entry, tickOf(m_now)))
                    return true;
                full = batch.flows.size() >= maximumFlows;
                if (full)
                    return false;
                batch.flows.push_back({ entry.hash, entry.server });
                batch.next.lastHash = entry.hash;
                return true;
            });
        if (full)
            return batch;
        batch.next = { batch.next.position + 1, std::nullopt };
    }
    batch.done = true;
    return batch;
}

absl::StatusOr<size_t> flow_router::importFlows(
    service_id service, std::span<transferred_flow const> flows, monotonic_time now)
{
    observe(now);
    auto const* routes = routesOf(service);
    if (!routes)
        return makeError(
            error_kind::NotFound, "this host has no bucket table of service " + std::to_string(service.value));
    size_t added = 0;
    for (auto const& flow : flows) {
        auto const& target = routes->table()->at(routes->table()->bucketIndex(flow.flowHash));
        flow_id const id { flow.flowHash, routes->shortService() };
        if (!routes->storesEntriesFor(target) || findUnexpired(id, tickOf(now)))
            continue;
        flow_entry const entry { flow.flowHash, flow.server, tickOf(now), 0, id.service, flow_state::Established,
            target.base == noServer ? flow_flags::datagram : uint8_t { 0 } };
        if (!m_flows.put(entry, tickOf(now)))
            return makeError(error_kind::ResourceExhausted,
                "the flow table is full at " + std::to_string(m_flows.size()) + " flows");
        ++added;
    }
    return added;
}

} // namespace bilberryyard

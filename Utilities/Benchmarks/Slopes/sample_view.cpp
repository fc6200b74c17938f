#include "sample_view.h"

namespace bilberryyard {

namespace {

    server_id serverOf(sample_shape const& shape, service_id service, uint32_t number)
    {
        return { service.value * shape.serversPerService + number % shape.serversPerService + 1 };
    }

} // namespace

flow_key sampleFlow(uint32_t flow, service_id service)
{
    return { ip_address::fromIpv4(0x0A000000U + flow / 40'000), ip_address::fromIpv4(0xC6120000U + service.value),
        static_cast<uint16_t>(1'024 + flow % 40'000), 80 };
}

std::shared_ptr<bucket_table const> makeSampleTable(sample_shape const& shape, service_id service)
{
    witness_set witnesses;
    if (shape.phase == bucket_phase::Tracked) {
        witnesses.count = 1;
        witnesses.groups[0].count = 2;
        witnesses.groups[0].witnesses[0] = { host_id { 1 }, 1, witness_state::Complete };
        witnesses.groups[0].witnesses[1] = { host_id { 2 }, 1, witness_state::Complete };
    }
    table_delta delta { service, 1, {} };
    for (uint32_t index = 0; index < shape.bucketCount; ++index) {
        auto const current = serverOf(shape, service, index);
        auto const base = shape.phase == bucket_phase::Stable ? current : serverOf(shape, service, index + 1);
        delta.changes.push_back({ current, base, shape.phase, witnesses, { 1, host_id { 1 } }, { index } });
    }
    return std::make_shared<bucket_table const>(bucket_table(service, shape.bucketCount).withDelta(delta));
}

std::shared_ptr<routing_view> makeSampleView(sample_shape const& shape)
{
    auto view = std::make_shared<routing_view>();
    view->self = { host_id { 1 }, 1 };
    view->peers = { { host_id { 2 }, 1 } };
    view->hashSeed = 11;
    for (uint32_t number = 1; number <= shape.services; ++number) {
        service_id const service { number };
        view->endpoints.push_back({ sampleFlow(0, service).destination, 80, ip_protocol::Tcp, service });
        view->tables[service] = makeSampleTable(shape, service);
        for (uint32_t server = 0; server < shape.serversPerService; ++server) {
            auto const id = serverOf(shape, service, server);
            view->servers[id] = { id, server_condition::Accepting, 0, 0, 0, service };
        }
    }
    return view;
}

} // namespace bilberryyard

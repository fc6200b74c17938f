#pragma once

#include <Routing/routing_view.h>
#include <memory>

namespace bilberryyard {

/// Shape of a prepared routing view.
struct sample_shape {
    uint32_t services = 1;
    uint32_t bucketCount = 4'096;
    uint32_t serversPerService = 7;
    bucket_phase phase = bucket_phase::Stable;
};

/// @return a view of host 1 and peer 2; in phase Tracked, host 1 is the primary of every bucket
std::shared_ptr<routing_view> makeSampleView(sample_shape const& shape);

/// @return a table whose buckets are dealt to the servers of the service in turn
std::shared_ptr<bucket_table const> makeSampleTable(sample_shape const& shape, service_id service);

/// @return the key of a numbered flow to a service
flow_key sampleFlow(uint32_t flow, service_id service);

} // namespace bilberryyard

#pragma once

#include <Routing/routing_view.h>
#include <memory>

namespace bilberryyard {

/// Size of a sample routing view.
struct sample_shape {
    uint32_t services = 1;
    uint32_t bucketCount = 4'096;
    uint32_t serversPerService = 7;
    bucket_phase phase = bucket_phase::Stable;
};

/// @return A view of host 1 with peer 2; in phase Tracked, host 1 is the primary of every bucket.
std::shared_ptr<routing_view> makeSampleView(sample_shape const& shape);

/// @return A table whose buckets are assigned to the servers of the service in rotation.
std::shared_ptr<bucket_table const> makeSampleTable(sample_shape const& shape, service_id service);

/// @return The key of a flow to the service; each number gives a different key.
flow_key sampleFlow(uint32_t flow, service_id service);

} // namespace bilberryyard

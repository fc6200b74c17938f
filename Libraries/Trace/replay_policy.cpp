#include <Trace/replay_policy.h>

#include <Base/error_kind.h>
#include <Routing/consistent_hash_router.h>
#include <Routing/maglev_router.h>
#include <Trace/trace_replayer.h>

namespace bilberryyard {

absl::StatusOr<replay_policy> replayPolicyOf(std::string_view name)
{
    if (name == "flow")
        return replay_policy::FlowRouter;
    if (name == "consistent-hash")
        return replay_policy::ConsistentHash;
    if (name == "maglev")
        return replay_policy::Maglev;
    return makeError(error_kind::InvalidArgument,
        "router '" + std::string(name) + "' is unknown; expected flow, consistent-hash or maglev");
}

absl::StatusOr<replay_outcome> replayTrace(std::string const& path, replay_policy policy, replay_options const& options)
{
    auto reader = trace_reader::create(path);
    if (!reader.ok())
        return reader.status();
    switch (policy) {
    case replay_policy::ConsistentHash:
        return trace_replayer<consistent_hash_router>::replay(*reader, options);
    case replay_policy::Maglev:
        return trace_replayer<maglev_router>::replay(*reader, options);
    case replay_policy::FlowRouter:
        break;
    }
    return trace_replayer<flow_router>::replay(*reader, options);
}

} // namespace bilberryyard

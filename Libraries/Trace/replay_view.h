#pragma once

#include <Coordination/forwarding_view.h>
#include <Trace/replay_options.h>
#include <memory>

namespace bilberryyard {

/// Modifies a forwarding view as if the disabled mechanisms did not exist.
/// @param view View of the coordinator; it is not changed.
/// @return The view for the router; the same object when no mechanism is disabled.
std::shared_ptr<forwarding_view const> withoutMechanisms(
    std::shared_ptr<forwarding_view const> const& view, replay_options const& options);

} // namespace bilberryyard

#pragma once

#include <Coordination/forwarding_view.h>
#include <Trace/replay_options.h>
#include <memory>

namespace bilberryyard {

/// Changes a view as if mechanisms were absent.
/// @param view The view that the coordinator made.
/// @param options The absent mechanisms.
/// @return The view that the router gets.
std::shared_ptr<forwarding_view const> withoutMechanisms(
    std::shared_ptr<forwarding_view const> const& view, replay_options const& options);

} // namespace bilberryyard

#pragma once

#include <Consensus/cluster_configuration.h>
#include <string>

namespace bilberryyard {

/// The state of the state machine after the entry at `index`, which replaces the log up to that entry. The bootstrap
/// configuration of a cluster is stored as a snapshot at index 0.
struct log_snapshot {
    log_index index = 0;
    term_number term = 0;
    /// Configuration in effect at `index`.
    cluster_configuration configuration;
    /// Encoded state of the state machine; consensus_member does not interpret it.
    std::string data;
    auto operator<=>(log_snapshot const&) const = default;
};

} // namespace bilberryyard

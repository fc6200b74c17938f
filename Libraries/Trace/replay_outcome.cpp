#include <Trace/replay_outcome.h>

#include <algorithm>
#include <chrono>

namespace bilberryyard {

std::map<std::string, double> replay_outcome::metrics(duration from) const
{
    auto const seconds = [](duration value) { return std::chrono::duration<double>(value).count(); };
    std::map<std::string, double> result {
        { "flows", static_cast<double>(flows) },
        { "established", static_cast<double>(established) },
        { "broken_flows", static_cast<double>(brokenFlows) },
        { "lost_with_server", static_cast<double>(lostWithServer) },
        { "unanswered_flows", static_cast<double>(flowsWithoutResponse) },
        { "refusals", static_cast<double>(refusals) },
        { "untrue_refusals", static_cast<double>(untrueRefusals) },
        { "wrong_service_packets", static_cast<double>(wrongServicePackets) },
        { "executed_twice", static_cast<double>(executedTwice) },
        { "answers", static_cast<double>(responses) },
        { "wrong_answers", static_cast<double>(wrongResponses) },
        { "incomplete_answers", static_cast<double>(incompleteResponses) },
        { "late_flows_at_draining", static_cast<double>(lateFlowsAtDraining) },
        { "unfinished_stops", static_cast<double>(unfinishedStops) },
        { "relays", static_cast<double>(relays) },
        { "dropped_packets", static_cast<double>(droppedPackets) },
        { "revision_reversals", static_cast<double>(revisionReversals) },
        { "changes_accepted", static_cast<double>(changesAccepted) },
        { "changes_refused", static_cast<double>(changesRefused) },
        { "changes_unanswered", static_cast<double>(changesWithoutResponse) },
        { "wrong_change_answers", static_cast<double>(wrongChangeResponses) },
        { "changes_lost", static_cast<double>(changesLost) },
        { "changes_repeated", static_cast<double>(changesRepeated) },
        { "stale_reads", static_cast<double>(staleReads) },
        { "slowest_change_seconds", seconds(slowestChange) },
        { "longest_without_leader_seconds", seconds(longestWithoutLeader) },
        { "dropped_inputs", static_cast<double>(droppedInputs) },
        { "refused_inputs", static_cast<double>(refusedInputs) },
    };
    for (auto const& sample : imbalance) {
        if (sample.time < from)
            continue;
        auto& worst = result["imbalance_" + sample.service];
        worst = std::max(worst, sample.value);
    }
    for (auto const& [kind, counts] : kinds) {
        result["offered_" + kind] = static_cast<double>(counts.offered);
        result["completed_" + kind] = static_cast<double>(counts.completed);
    }
    return result;
}

} // namespace bilberryyard

#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberryyard {

/// Counts of the requests of one kind.
struct kind_outcome {
    uint64_t offered = 0;
    uint64_t completed = 0;
    /// Sum of the response times of the completed requests.
    duration totalTime {};
    auto operator<=>(kind_outcome const&) const = default;
};

/// Distribution of the open flows of a service over its serving servers at one time.
struct imbalance_sample {
    duration time {};
    std::string service;
    /// Maximum divided by mean of the flows per server.
    double value = 0;
    double mean = 0;
    auto operator<=>(imbalance_sample const&) const = default;
};

/// Time at which a host applied a configuration revision.
struct revision_sample {
    duration time {};
    host_id host;
    uint64_t revision = 0;
    auto operator<=>(revision_sample const&) const = default;
};

/// Counters and measurements of a replay. Times are on the simulated clock.
struct replay_outcome {
    uint64_t flows = 0;
    uint64_t established = 0;
    /// Established flows that ended before their last response although their server was running.
    uint64_t brokenFlows = 0;
    /// Established flows that ended because their server was killed.
    uint64_t lostWithServer = 0;
    /// Flows that no server accepted before the caller's last SYN timed out.
    uint64_t flowsWithoutResponse = 0;
    uint64_t refusals = 0;
    /// Refused flows of which a server executed a request, before or after the refusal.
    uint64_t untrueRefusals = 0;
    uint64_t wrongServicePackets = 0;
    /// Requests that more than one server executed.
    uint64_t executedTwice = 0;
    uint64_t responses = 0;
    /// Response segments with the content of another flow or request.
    uint64_t wrongResponses = 0;
    /// Responses that were incomplete when the flow broke or the trace ended.
    uint64_t incompleteResponses = 0;
    /// New flows that a draining server received more than 3 s after it announced its drain.
    uint64_t lateFlowsAtDraining = 0;
    /// Draining servers that were still running at the end of the trace.
    uint64_t unfinishedStops = 0;
    uint64_t relays = 0;
    uint64_t droppedPackets = 0;
    uint64_t controlBytes = 0;
    std::map<std::string, kind_outcome> kinds;
    std::vector<imbalance_sample> imbalance;
    std::vector<revision_sample> revisions;
    /// Number of times that a host applied an older revision than its current one.
    uint64_t revisionReversals = 0;
    uint64_t changesAccepted = 0;
    uint64_t changesRefused = 0;
    /// Changes without a response to the operator before the end of the trace.
    uint64_t changesWithoutResponse = 0;
    /// Responses to a resent change that differ from the first response.
    uint64_t wrongChangeResponses = 0;
    /// Accepted changes that are missing from the replicated state at the end.
    uint64_t changesLost = 0;
    /// Changes that were applied more than once.
    uint64_t changesRepeated = 0;
    /// Reads that returned a revision older than one accepted before the read.
    uint64_t staleReads = 0;
    /// Longest time from the acceptance of a change until every running, reachable host applied it.
    duration slowestChange {};
    /// Longest time without a leader after the first election.
    duration longestWithoutLeader {};
    /// Inputs that the recorder dropped because its rings were full.
    uint64_t droppedInputs = 0;
    /// Inputs that the decision code rejected or that could not be decoded.
    uint64_t refusedInputs = 0;

    /// @param from Imbalance is measured from this time since the start of the trace.
    /// @return Every outcome by its name in the files of expected outcomes.
    std::map<std::string, double> metrics(duration from) const;
    auto operator<=>(replay_outcome const&) const = default;
};

} // namespace bilberryyard
